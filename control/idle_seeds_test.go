package control_test

import (
	"math/rand/v2"
	"testing"

	"junctionring/control"
)

// outage is a time in which all attempts of a gateway come to nothing.
type outage struct {
	begins, ends control.Seconds
	pause        control.Seconds // between requests
	begin        func(*fleet)
}

// longestWithoutAttempt offers a steady load over an outage, and returns the longest time in which the gateway turned
// away 15 requests or more on end with no attempt in between.
func (o outage) longestWithoutAttempt(t *testing.T, seed uint64) (longest control.Seconds) {
	s := settings()
	s.Gateways = 30
	f := newFleet(t, s, named(12)...)
	f.rig = seeded(t, s, seed, warm(named(12)...)...)
	start, refused, since := f.now, 0, f.now
	begun, ended := false, false
	for i := 0; f.now < start+o.ends+20; i++ {
		if at := f.now - start; !begun && at >= o.begins {
			o.begin(f)
			begun = true
		} else if !ended && at >= o.ends {
			f.takes = func(string) (float64, control.Status) { return 0.1, control.OK }
			f.full = func(string, int) bool { return false }
			ended = true
		}
		before := f.allSent()
		f.offer(i%3, 0, uint64(i))
		f.step(o.pause)
		if refused++; f.allSent() > before {
			refused, since = 0, f.now
		} else if refused >= 15 {
			longest = max(longest, f.now-since)
		}
	}
	return longest
}

// Guards against a gateway that refuses all for seconds while its servers are out, and after.
func TestNoGatewayTurnsAllAwayAfterAnyOutage(t *testing.T) {
	const allowed = 4.0 // s
	answers := func(after control.Seconds, status control.Status) func(*fleet) {
		return func(f *fleet) { f.takes = func(string) (float64, control.Status) { return after, status } }
	}
	for name, begin := range map[string]func(*fleet){
		"full":              func(f *fleet) { f.full = func(string, int) bool { return true } },
		"late answers":      answers(1.5, control.OK),
		"no answers":        answers(3, control.Timeout),
		"no connections":    answers(0.25, control.ConnectFailed),
		"connections reset": answers(0.01, control.Reset),
		"errors":            answers(0.01, control.Error),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				draw := rand.New(rand.NewPCG(seed, 37))
				begins := 5 + 5*draw.Float64()
				o := outage{begins: begins, ends: begins + 0.5 + 11.5*draw.Float64(), pause: 0.02 + 0.2*draw.Float64(), begin: begin}
				if longest := o.longestWithoutAttempt(t, seed); longest >= allowed {
					t.Errorf("seed %d: out for %.1f s, a request each %.2f s: all was turned away for %.1f s, with no attempt in between",
						seed, o.ends-o.begins, o.pause, longest)
				}
			}
		})
	}
}
