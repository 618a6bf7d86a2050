package spread

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"junctionring/internal/lab"
	"junctionring/internal/standin"
)

var begun = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return begun.Add(d) }

// poisson is a load dealt by a rule: to returns the server of the n-th request.
func poisson(rate float64, d time.Duration, to func(n int, at time.Duration) string) (all []standin.Arrival) {
	rng := rand.New(rand.NewPCG(3, 4))
	for t, n := time.Duration(0), 0; ; n++ {
		if t += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)); t > d {
			return all
		}
		all = append(all, standin.Arrival{At: at(t), Ended: at(t + 50*time.Millisecond), Server: to(n, t)})
	}
}

func servers(n int) (all []Server) {
	for i := range n {
		all = append(all, Server{ID: string(rune('a' + i)), Capacity: 10, From: begun})
	}
	return all
}

// In turn is nearly perfect, at random is as chance has it, and all to a few is far above it: the figures tell which.
func TestEvennessTellsSpreadsApart(t *testing.T) {
	s, rng := servers(10), rand.New(rand.NewPCG(1, 2))
	to := at(20 * time.Second)
	for _, c := range []struct {
		name     string
		to       func(int, time.Duration) string
		from, up float64 // CV over that of chance
	}{
		{"in turn", func(n int, _ time.Duration) string { return s[n%10].ID }, 0, 0.2},
		{"at random", func(int, time.Duration) string { return s[rng.IntN(10)].ID }, 0.9, 1.1},
		{"half of them", func(int, time.Duration) string { return s[rng.IntN(5)].ID }, 3, 15},
	} {
		e := Evenness(s, poisson(1000, 20*time.Second, c.to), time.Second, begun, to, 1)
		if x := e.CV / e.Chance; x < c.from || x > c.up || e.Windows != 20 || e.Perfect > e.Chance/4 {
			t.Errorf("%s: %.2f times chance (%+v)", c.name, x, e)
		}
	}
	// By capacity: a server of three times the capacity is to get three times as much.
	s[0].Capacity = 30
	e := Evenness(s, poisson(1200, 20*time.Second, func(n int, _ time.Duration) string { return s[max(0, n%12-2)].ID }), time.Second, begun, to, 1)
	if e.CV > 0.2*e.Chance {
		t.Errorf("in turn by capacity: %+v", e)
	}
	// One that isn't usable yet is none of them.
	s[9].From = to
	e = Evenness(s, poisson(1200, 20*time.Second, func(n int, _ time.Duration) string { return s[max(0, n%11-2)].ID }), time.Second, begun, to, 1)
	if e.CV > 0.2*e.Chance {
		t.Errorf("with one that comes later: %+v", e)
	}
}

func TestAHerdIsMoreThanChance(t *testing.T) {
	s, rng := servers(10), rand.New(rand.NewPCG(1, 2))
	load := poisson(500, 60*time.Second, func(int, time.Duration) string { return s[rng.IntN(10)].ID })
	if h := Herds(s, load, begun, at(60*time.Second)); len(h) != 0 {
		t.Errorf("chance alone: %+v", h)
	}
	herd := poisson(500, 60*time.Second, func(_ int, t time.Duration) string {
		if t > 30*time.Second && t < 30*time.Second+100*time.Millisecond {
			return "a"
		}
		return s[rng.IntN(10)].ID
	})
	h := Herds(s, herd, begun, at(60*time.Second))
	if len(h) != 1 || h[0].Server != "a" || !h[0].At.Equal(at(30*time.Second)) {
		t.Errorf("all at once to one: %+v", h)
	}
}

func TestIdleAndRefusedWithRoom(t *testing.T) {
	s := servers(3)
	s[2].From = at(8 * time.Second)
	load := []standin.Arrival{
		{Server: "a", At: at(0), Ended: at(10 * time.Second)},
		{Server: "b", At: at(0), Ended: at(2 * time.Second)}, {Server: "b", At: at(time.Second), Ended: at(3 * time.Second)},
		{Server: "b", At: at(8 * time.Second)}, // never ended
		{Server: "c", At: at(9 * time.Second), Ended: at(10 * time.Second)},
	}
	if n, longest := Idle(s, load, begun, at(10*time.Second)); n != 3 || longest != 5*time.Second {
		t.Errorf("idle %d s, the longest %v", n, longest)
	}
	refused := func(d time.Duration, status int) lab.Sample { return lab.Sample{At: d, Status: status} }
	n := RefusedWithRoom(s, load, []lab.Sample{
		refused(time.Second, http.StatusServiceUnavailable),            // both are busy, and c is not there
		refused(4*time.Second, http.StatusServiceUnavailable),          // b is idle
		refused(4*time.Second, http.StatusTooManyRequests),             // for want of quota
		refused(8500*time.Millisecond, http.StatusServiceUnavailable),  // c has come, and has nothing
		refused(9500*time.Millisecond, http.StatusServiceUnavailable)}, // all are busy
		begun, at(10*time.Second))
	if n != 2 {
		t.Errorf("%d refused with room", n)
	}
}
