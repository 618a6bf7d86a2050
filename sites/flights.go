package sites

import "math"

// Attempt is an attempt that is out, as Sent returned it; Ended takes it back.
type Attempt struct {
	Site   int
	seq    uint64
	class  int
	sent   Seconds
	server *server
	cross  bool
}

// flights are a site's attempts out, oldest first: a ring that grows to the most there ever were.
type flights struct {
	ring  []leg
	first uint64 // sequence number of the oldest that is kept
	next  uint64 // and of the next to come
	out   int

	avg   float64 // attempts out, averaged
	avgAt Seconds
}

// leg is one place of the ring.
type leg struct {
	sent   Seconds
	class  int
	server *server
	ended  bool
	told   bool // counted as late already
}

const flightMemory = 0.5 // s over which attempts out are averaged

func (f *flights) add(now Seconds, class int, s *server) uint64 {
	f.mean(now)
	if f.next-f.first == uint64(len(f.ring)) {
		ring := make([]leg, max(16, 2*len(f.ring)))
		for i := f.first; i < f.next; i++ {
			ring[i%uint64(len(ring))] = f.ring[i%uint64(len(f.ring))]
		}
		f.ring = ring
	}
	*f.at(f.next) = leg{sent: now, class: class, server: s}
	f.next++
	f.out++
	return f.next - 1
}

func (f *flights) at(seq uint64) *leg { return &f.ring[seq%uint64(len(f.ring))] }

// end books an attempt's end, and tells whether it was counted as late before.
func (f *flights) end(now Seconds, seq uint64) (told, ok bool) {
	if seq < f.first || seq >= f.next || f.at(seq).ended {
		return false, false
	}
	f.mean(now)
	l := f.at(seq)
	l.ended = true
	f.out--
	for f.first < f.next && f.at(f.first).ended {
		f.first++
	}
	return l.told, true
}

// oldest is when the oldest attempt out was sent, and whether there is one.
func (f *flights) oldest() (Seconds, bool) {
	if f.first == f.next {
		return 0, false
	}
	return f.at(f.first).sent, true // the first that is kept has not ended
}

// mean is the number of attempts out, averaged over the last moments.
func (f *flights) mean(now Seconds) float64 {
	k := math.Exp(-max(0, now-f.avgAt) / flightMemory)
	f.avg, f.avgAt = f.avg*k+float64(f.out)*(1-k), now
	return f.avg
}
