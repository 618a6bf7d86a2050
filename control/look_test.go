package control_test

import (
	"math"
	"testing"

	"junctionring/control"
)

// thin is a gateway of many: its part of a customer's quota holds no try by itself.
func newSmallShareHarness(t *testing.T, timeout control.Seconds) *harness {
	s := settings()
	s.Gateways, s.Counter.Timeout = 100, timeout
	s.Plans[0] = control.Plan{Rate: 2, Burst: 3, Worth: 1, OverCost: 1}
	return newHarness(t, s, readyMembers("a", "b", "c")...)
}

// waits brings in a request that is to wait for the counter, and returns its number and the calls made for it.
func (r *harness) requestHeld(customer uint64) (uint64, []control.Count) {
	r.t.Helper()
	r.lastID++
	acts := r.handle(control.Request{ID: r.lastID, Customer: customer, TimeLeft: 3, Units: 1, Spread: 4})
	if len(filter[control.Send](acts))+len(filter[control.Refuse](acts)) > 0 {
		r.t.Fatalf("decided before the counter was heard: %v", acts)
	}
	return r.lastID, filter[control.Count](acts)
}

// told answers a call, and the read of the previous window that may follow: that window was empty.
func (r *harness) answerLookup(call control.Count, st control.Status, total float64) []control.Action {
	acts := r.handle(control.Counted{Name: call.Name, Status: st, Total: total, Elapsed: 0.002})
	if reads := filter[control.Count](acts); len(reads) == 1 && reads[0].Amount == 0 && reads[0].Name != call.Name {
		acts = append(acts, r.handle(control.Counted{Name: reads[0].Name, Status: control.OK, Elapsed: 0.002})...)
	}
	return acts
}

// totalThatLeaves is the total of the window of thin's customers that leaves some units in a store that was full as
// the window began.
func (r *harness) totalLeaving(units float64) float64 {
	const rate, burst, window = 2, 3, 3
	return burst + rate*math.Mod(r.now, window) - units
}

// A customer whom this gateway does not know is let in or refused by what the counter says, and not before. Where it
// gives no answer the try goes on at once as without it, and further ones do not wait.
func TestFirstTryWaitsForTheCounter(t *testing.T) {
	for _, c := range []struct {
		name   string
		status control.Status
		total  float64
		sent   bool
	}{
		{"nothing spent", control.OK, 0, true}, {"all spent", control.OK, 500, false},
		{"turned away", control.Full, 0, true}, {"silent", control.Timeout, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newSmallShareHarness(t, 0.05)
			id, calls := r.requestHeld(7)
			if len(calls) != 1 || calls[0].Amount != 0 {
				t.Fatalf("asked for a try that is not let in yet: %v", calls)
			}
			acts := r.answerLookup(calls[0], c.status, c.total)
			sends, refusals := filter[control.Send](acts), filter[control.Refuse](acts)
			if c.sent && (len(sends) != 1 || sends[0].ID != id || len(refusals) > 0) {
				t.Fatalf("not sent on: %v", acts)
			}
			if !c.sent && (len(sends) > 0 || len(refusals) != 1 || !refusals[0].Over) {
				t.Fatalf("not refused: %v", acts)
			}
			if c.status != control.OK {
				if _, acts := r.request(0, 0, 8); len(filter[control.Send](acts)) != 1 {
					t.Errorf("held for a counter in trouble: %v", acts)
				}
			}
		})
	}
}

// A counter that settings give more time than clients have is not waited for: the answer would come too late.
func TestSlowCounterIsNotWaitedFor(t *testing.T) {
	for timeout, waits := range map[control.Seconds]bool{0.7: true, 1: false} {
		acts := newSmallShareHarness(t, timeout).handle(control.Request{ID: 1, Customer: 7, TimeLeft: 3, Units: 1, Spread: 4})
		if len(filter[control.Send](acts)) == 1 == waits {
			t.Errorf("a client that waits 3 s, a call of up to %v s: %v", timeout, acts)
		}
	}
}

// Several tries wait for one call, and are decided in their order by what it leaves: no more than its room. One whose
// client has left meanwhile is not sent on.
func TestTriesWaitForOneCall(t *testing.T) {
	for _, c := range []struct {
		room   float64
		leaves bool
	}{{3, false}, {3, true}, {1, false}, {-96, false}} {
		r := newSmallShareHarness(t, 0.05)
		total := r.totalLeaving(c.room)
		first, calls := r.requestHeld(7)
		second, more := r.requestHeld(7)
		if len(calls) != 1 || len(more) > 0 {
			t.Fatalf("calls %v, and then %v while one is out", calls, more)
		}
		ids := []uint64{first, second}
		if c.leaves {
			ids = ids[1:]
			if acts := r.handle(control.ClientGone{ID: first}); len(filter[control.Send](acts)) > 0 {
				t.Errorf("sent on as its client left: %v", acts)
			}
		}
		acts := r.answerLookup(calls[0], control.OK, total)
		sends, refusals := filter[control.Send](acts), filter[control.Refuse](acts)
		if len(sends)+len(refusals) != len(ids) || len(sends) > max(0, int(c.room)) || c.room == 3 && len(sends) == 0 {
			t.Fatalf("%+v: %d sent on and %d refused of %d", c, len(sends), len(refusals), len(ids))
		}
		for i, s := range sends {
			if s.ID != ids[i] {
				t.Errorf("%+v: %d went before %d", c, s.ID, ids[i])
			}
		}
		if _, acts := r.request(0, 0, 7); len(filter[control.Send](acts))+len(filter[control.Refuse](acts)) != 1 {
			t.Errorf("%+v: held by a view just taken: %v", c, acts)
		}
	}
}

// What is left of a quota at first sight rests on the previous window too, where the present one does not settle it:
// one in which all that came in was used has left nothing, however little the present window shows.
func TestFirstSightReadsThePreviousWindow(t *testing.T) {
	for _, c := range []struct {
		name            string
		present, before float64
		reads, sent     bool
	}{
		{"all used before", 2, 6, true, false},
		{"little used before", 2, 1, true, true},
		{"the present window has room for sure", 0, 6, false, true},
		{"the present window has used all", 20, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newSmallShareHarness(t, 0.05)
			_, calls := r.requestHeld(7)
			acts := r.handle(control.Counted{Name: calls[0].Name, Total: c.present, Elapsed: 0.002})
			if reads := filter[control.Count](acts); c.reads {
				if len(reads) != 1 || reads[0].Name == calls[0].Name || reads[0].Amount != 0 {
					t.Fatalf("the previous window is not read: %v", acts)
				}
				acts = r.handle(control.Counted{Name: reads[0].Name, Total: c.before, Elapsed: 0.002})
			}
			if sends, refusals := filter[control.Send](acts), filter[control.Refuse](acts); len(sends) == 1 != c.sent ||
				len(refusals) == 1 == c.sent {
				t.Errorf("sent on %v, refused %v", sends, refusals)
			}
		})
	}
}

// Several tries of unknown customers within a few milliseconds are all looked up: a gateway saves up calls for them.
func TestFirstSightsAtOnceAreAllLookedUp(t *testing.T) {
	s := settings()
	s.Gateways, s.Counter.Timeout = 300, 0.05
	s.Plans[0] = control.Plan{Rate: 2, Burst: 3, Worth: 1, OverCost: 1}
	r := newHarness(t, s, readyMembers("a", "b", "c")...)
	r.advance(1)
	for customer := range uint64(4) {
		if _, calls := r.requestHeld(customer + 1); len(calls) != 1 {
			t.Errorf("customer %d: calls %v", customer+1, calls)
		}
		r.now += 0.001
	}
}
