package control_test

import (
	"testing"

	"junctionring/control"
)

// A request that gets no further attempt must be answered in the same step, with a retry-after hint if it is refused,
// and not held until near its deadline.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	none := func(*fleet) {}
	for _, c := range []struct {
		name    string
		class   int
		plan    int
		prepare func(f *fleet)
		left    float64        // time that the client still waits
		end     control.Status // of each attempt
		fail    bool           // it gets Fail; otherwise Refuse with a hint
	}{
		{"no server", 0, 0, func(f *fleet) {
			f.handle(control.Members{Kind: control.Cached, Entries: nil})
		}, 3, 0, false},
		{"beyond its quota", 0, 0, func(f *fleet) {
			for range 200 {
				f.requestAnswered(0, 0, 7)
			}
		}, 3, 0, false},
		{"no time left", 0, 0, none, 0.001, 0, false},
		{"shed under overload", 0, 0, func(f *fleet) {
			for i := range 400 { // no attempt is answered
				f.request(0, 0, uint64(100+i))
				f.now += 0.05
				f.handle(control.Timer{})
			}
		}, 3, 0, false},
		{"attempts spent", 0, 0, none, 3, control.Reset, false},
		{"unsafe and may have run", 2, 0, none, 3, control.Reset, true},
		{"unsafe and never ran", 2, 0, none, 3, control.ConnectFailed, false},
		{"retry budget empty", 0, 0, func(f *fleet) {
			for i := range 60 {
				f.classOf[f.lastID+1] = 0
				_, acts := f.request(0, 0, uint64(100+i))
				for _, s := range filter[control.Send](acts) {
					f.handle(control.Outcome{ID: s.ID, Server: s.Server, Status: control.Error, Elapsed: 0.001})
				}
			}
		}, 3, control.Error, false},
		{"time-out at the client's deadline", 0, 0, none, 3, control.Timeout, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, settings(), "a", "b", "c", "d")
			c.prepare(f)
			f.lastID++
			acts := f.handle(control.Request{
				ID: f.lastID, Class: c.class, Plan: c.plan, Customer: 7, TimeLeft: c.left, Units: 1, Spread: 2,
			})
			for attempt := 0; c.end != 0 && len(filter[control.Send](acts)) > 0; attempt++ {
				s := filter[control.Send](acts)[0]
				took := 0.01
				if c.end == control.Timeout {
					took = c.left
				}
				f.now += took
				acts = f.handle(control.Outcome{ID: s.ID, Server: s.Server, Attempt: attempt, Status: c.end, Elapsed: took})
			}
			refused, failed := 0, 0
			for _, a := range filter[control.Refuse](acts) {
				if a.ID == f.lastID {
					refused++
					if a.RetryAfter <= 0 {
						t.Error("refused without a retry-after hint")
					}
				}
			}
			for _, a := range filter[control.Fail](acts) {
				if a.ID == f.lastID {
					failed++
				}
			}
			if refused+failed != 1 || (failed == 1) != c.fail {
				t.Errorf("%d Refuse and %d Fail in the step that gave up, want one in all; want Fail: %v", refused, failed, c.fail)
			}
			for _, a := range f.advance(4) { // no further action for this request
				switch a := a.(type) {
				case control.Refuse:
					if a.ID == f.lastID {
						t.Error("refused after its final answer")
					}
				case control.Send:
					if a.ID == f.lastID {
						t.Error("sent to a server after its final answer")
					}
				}
			}
		})
	}
}
