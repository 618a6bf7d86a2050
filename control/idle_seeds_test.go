package control_test

import (
	"math/rand/v2"
	"testing"

	"junctionring/control"
)

// outage is a time in which all attempts of a gateway fail or are late.
type outage struct {
	startsAt, endsAt control.Seconds
	requestInterval  control.Seconds // from one request to the next
	startFault       func(*fleet)
}

// longestWithoutAttempt offers a steady load during an outage and 20 s after it. It returns the longest time in which
// the gateway refused 15 or more consecutive requests, without any attempt.
func (o outage) longestWithoutAttempt(t *testing.T, seed uint64) (longest control.Seconds) {
	s := settings()
	s.Gateways = 30
	f := newFleet(t, s, serverNames(12)...)
	f.harness = newSeededHarness(t, s, seed, readyMembers(serverNames(12)...)...)
	simStart, refused, since := f.now, 0, f.now
	started, ended := false, false
	for i := 0; f.now < simStart+o.endsAt+20; i++ {
		if at := f.now - simStart; !started && at >= o.startsAt {
			o.startFault(f)
			started = true
		} else if !ended && at >= o.endsAt {
			f.answerOf = func(string) (float64, control.Status) { return 0.1, control.OK }
			f.rejects = func(string, int) bool { return false }
			ended = true
		}
		before := f.totalSent()
		f.offer(i%3, 0, uint64(i))
		f.step(o.requestInterval)
		if refused++; f.totalSent() > before {
			refused, since = 0, f.now
		} else if refused >= 15 {
			longest = max(longest, f.now-since)
		}
	}
	return longest
}

// A gateway must not refuse all requests for seconds during an outage of its servers or after it: it would not notice
// that they have recovered.
func TestNoGatewayTurnsAllAwayAfterAnyOutage(t *testing.T) {
	const allowed = 4.0 // s
	answers := func(after control.Seconds, status control.Status) func(*fleet) {
		return func(f *fleet) { f.answerOf = func(string) (float64, control.Status) { return after, status } }
	}
	for name, begin := range map[string]func(*fleet){
		"full":              func(f *fleet) { f.rejects = func(string, int) bool { return true } },
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
				o := outage{startsAt: begins, endsAt: begins + 0.5 + 11.5*draw.Float64(),
					requestInterval: 0.02 + 0.2*draw.Float64(), startFault: begin}
				if longest := o.longestWithoutAttempt(t, seed); longest >= allowed {
					t.Errorf("seed %d: outage of %.1f s, a request each %.2f s: %.1f s without an attempt, want less than %v s",
						seed, o.endsAt-o.startsAt, o.requestInterval, longest, allowed)
				}
			}
		})
	}
}
