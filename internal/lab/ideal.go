package lab

import (
	"math/rand/v2"
	"slices"
	"time"
)

func sortDurations(d []time.Duration) { slices.Sort(d) }

// core is one core of a table server in the ideal pool.
type idealCore struct {
	free  time.Duration
	speed float64
}

// Ideal is what one pool with perfect knowledge of both sites would make of the same requests at the same
// times: each goes to the near core that has it done first, if that is in time, else to the far one, if that
// is, else nowhere. It returns the share served in time and how many crossed.
func Ideal(samples []Sample, near, far []Server, oneWay time.Duration, seed uint64) (inTime float64, crossed int) {
	rng := rand.New(rand.NewPCG(seed, 3))
	here, there := cores(near), cores(far)
	done := 0
	for _, s := range samples {
		c := &Classes[s.Class]
		work := c.Least + time.Duration(rng.Float64()*float64(c.Most-c.Least))
		if place(here, s.At, work, c.Aim, 0) {
			done++
		} else if place(there, s.At+oneWay, work, c.Aim-oneWay, oneWay) {
			done++
			crossed++
		}
	}
	return float64(done) / float64(max(1, len(samples))), crossed
}

func cores(servers []Server) (all []idealCore) {
	for _, s := range servers {
		for range s.Cores {
			all = append(all, idealCore{speed: s.Speed})
		}
	}
	return all
}

// place puts work on the core that has it done first, if it is done in time.
func place(all []idealCore, at, work, within, back time.Duration) bool {
	best, end := -1, time.Duration(1<<62)
	for i := range all {
		if e := max(at, all[i].free) + time.Duration(float64(work)/all[i].speed); e < end {
			best, end = i, e
		}
	}
	if best < 0 || end+back > at+within {
		return false
	}
	all[best].free = end
	return true
}
