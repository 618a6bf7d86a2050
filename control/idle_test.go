package control_test

import (
	"testing"

	"junctionring/control"
)

// One of 30 gateways, with little traffic, meets a time in which all its attempts fail or are late. Whatever its
// estimates are then, it must not refuse all requests for 4 s without one attempt.
func TestNoGatewayTurnsAllAwayForLong(t *testing.T) {
	const begins, ends, over = 10.0, 18.0, 40.0 // s
	answers := func(after float64, status control.Status) func(*fleet) {
		return func(f *fleet) {
			f.answerOf = func(string) (float64, control.Status) { return after, status }
		}
	}
	list := func(member control.Member) func(*fleet) {
		return func(f *fleet) {
			var entries []control.Member
			for _, name := range serverNames(12) {
				member.Server = name
				entries = append(entries, member)
			}
			f.perform(f.handle(control.Members{Kind: control.Delta, Entries: entries}))
		}
	}
	for name, begin := range map[string]func(*fleet){
		"late answers":          answers(1.5, control.OK),
		"answers near the aim":  answers(0.95, control.OK),
		"no answers":            answers(3, control.Timeout),
		"no connections":        answers(0.25, control.ConnectFailed),
		"connections reset":     answers(0.01, control.Reset),
		"errors":                answers(0.01, control.Error),
		"full":                  func(f *fleet) { f.rejects = func(string, int) bool { return true } },
		"all servers restarted": list(control.Member{Since: 1000 + begins}),
		"full for a moment": func(f *fleet) {
			f.rejects = func(string, int) bool { return f.now < 1000+begins+1 }
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings()
			s.Gateways = 30
			f := newFleet(t, s, serverNames(12)...)
			asked, since, longest := 0, f.now, 0.0
			for i := 0; f.now < 1000+over; i++ {
				switch at := f.now - 1000; {
				case at >= begins && at < begins+0.05:
					begin(f)
				case at >= ends && at < ends+0.05:
					f.answerOf = func(string) (float64, control.Status) { return 0.1, control.OK }
					f.rejects = func(string, int) bool { return false }
				}
				asked++
				before := f.totalSent()
				f.offer(i%3, 0, uint64(i))
				f.step(0.1)
				if f.totalSent() > before {
					asked, since = 0, f.now
				} else if asked >= 15 {
					longest = max(longest, f.now-since)
				}
			}
			t.Logf("the longest time without an attempt was %.1f s", longest)
			if longest >= 4 {
				t.Errorf("all requests refused for %.1f s without an attempt, want less than 4 s", longest)
			}
		})
	}
}
