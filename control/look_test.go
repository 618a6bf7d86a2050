package control_test

import (
	"math"
	"testing"

	"junctionring/control"
)

// newSmallShareHarness returns a harness with one of 100 gateways, whose even split of a customer's quota is too small
// for a request.
func newSmallShareHarness(t *testing.T, timeout control.Seconds) *harness {
	s := settings()
	s.Gateways, s.Counter.Timeout = 100, timeout
	s.Plans[0] = control.Plan{Rate: 2, Burst: 3, Worth: 1, OverCost: 1}
	return newHarness(t, s, readyMembers("a", "b", "c")...)
}

// requestHeld passes in a new request that must be held for a counter call, and returns its number and the calls.
func (r *harness) requestHeld(customer uint64) (uint64, []control.Count) {
	r.t.Helper()
	r.lastID++
	acts := r.handle(control.Request{ID: r.lastID, Customer: customer, TimeLeft: 3, Units: 1, Spread: 4})
	if len(filter[control.Send](acts))+len(filter[control.Refuse](acts)) > 0 {
		r.t.Fatalf("request decided before the counter has answered: %v", acts)
	}
	return r.lastID, filter[control.Count](acts)
}

// answerLookup answers a call, and the read of the previous window that may follow it: nothing was used in that window.
func (r *harness) answerLookup(call control.Count, st control.Status, total float64) []control.Action {
	acts := r.handle(control.Counted{Name: call.Name, Status: st, Total: total, Elapsed: 0.002})
	if reads := filter[control.Count](acts); len(reads) == 1 && reads[0].Amount == 0 && reads[0].Name != call.Name {
		acts = append(acts, r.handle(control.Counted{Name: reads[0].Name, Status: control.OK, Elapsed: 0.002})...)
	}
	return acts
}

// totalLeaving is the window's total that leaves these units in the bucket of a customer of newSmallShareHarness's
// plan, if the bucket was full when the window began.
func (r *harness) totalLeaving(units float64) float64 {
	const rate, burst, window = 2, 3, 3
	return burst + rate*math.Mod(r.now, window) - units
}

// The first request of a customer that this gateway does not know is held until the counter has answered, and decided
// by the total. Without an answer it is admitted, and further requests are not held.
func TestFirstTryWaitsForTheCounter(t *testing.T) {
	for _, c := range []struct {
		name   string
		status control.Status
		total  float64
		sent   bool
	}{
		{"nothing spent", control.OK, 0, true}, {"all spent", control.OK, 500, false},
		{"rejected", control.Full, 0, true}, {"silent", control.Timeout, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newSmallShareHarness(t, 0.05)
			id, calls := r.requestHeld(7)
			if len(calls) != 1 || calls[0].Amount != 0 {
				t.Fatalf("calls for a held request: want one that adds nothing, got %v", calls)
			}
			acts := r.answerLookup(calls[0], c.status, c.total)
			sends, refusals := filter[control.Send](acts), filter[control.Refuse](acts)
			if c.sent && (len(sends) != 1 || sends[0].ID != id || len(refusals) > 0) {
				t.Fatalf("want the held request sent, got %v", acts)
			}
			if !c.sent && (len(sends) > 0 || len(refusals) != 1 || !refusals[0].Over) {
				t.Fatalf("want the held request refused as over quota, got %v", acts)
			}
			if c.status != control.OK {
				if _, acts := r.request(0, 0, 8); len(filter[control.Send](acts)) != 1 {
					t.Errorf("next customer's request after a failed call: want it sent without a lookup, got %v", acts)
				}
			}
		})
	}
}

// Requests are not held if the time-out of a counter call is too long for the time that the client waits: the answer
// would come too late.
func TestSlowCounterIsNotWaitedFor(t *testing.T) {
	for timeout, waits := range map[control.Seconds]bool{0.7: true, 1: false} {
		acts := newSmallShareHarness(t, timeout).handle(control.Request{ID: 1, Customer: 7, TimeLeft: 3, Units: 1, Spread: 4})
		if len(filter[control.Send](acts)) == 1 == waits {
			t.Errorf("time left 3 s, call time-out %v s: want held %v, got %v", timeout, waits, acts)
		}
	}
}

// Several requests of a customer are held for one call. They are decided in order by the units that are left: no more
// are sent than there are units. A request whose client has left meanwhile is not sent.
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
			t.Fatalf("calls %v, and then %v: want one, and no further one while it is in flight", calls, more)
		}
		ids := []uint64{first, second}
		if c.leaves {
			ids = ids[1:]
			if acts := r.handle(control.ClientGone{ID: first}); len(filter[control.Send](acts)) > 0 {
				t.Errorf("sent when its client left: %v", acts)
			}
		}
		acts := r.answerLookup(calls[0], control.OK, total)
		sends, refusals := filter[control.Send](acts), filter[control.Refuse](acts)
		if len(sends)+len(refusals) != len(ids) || len(sends) > max(0, int(c.room)) || c.room == 3 && len(sends) == 0 {
			t.Fatalf("%+v: %d of %d requests sent and %d refused, want each decided and no more sent than units are left",
				c, len(sends), len(ids), len(refusals))
		}
		for i, s := range sends {
			if s.ID != ids[i] {
				t.Errorf("%+v: sent request %d before %d", c, s.ID, ids[i])
			}
		}
		if _, acts := r.request(0, 0, 7); len(filter[control.Send](acts))+len(filter[control.Refuse](acts)) != 1 {
			t.Errorf("%+v: next request with a recent view: want it decided at once, got %v", c, acts)
		}
	}
}

// For an unknown customer the previous window is read, too, if the total of the present one does not decide: if all
// units were used in the previous window, the bucket is empty however little was used in the present one.
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
					t.Fatalf("want one read of the previous window, got %v", acts)
				}
				acts = r.handle(control.Counted{Name: reads[0].Name, Total: c.before, Elapsed: 0.002})
			}
			if sends, refusals := filter[control.Send](acts), filter[control.Refuse](acts); len(sends) == 1 != c.sent ||
				len(refusals) == 1 == c.sent {
				t.Errorf("sent %v, refused %v; want it sent: %v", sends, refusals, c.sent)
			}
		})
	}
}

// Requests of several unknown customers within a few milliseconds are all looked up: the burst of the call limit is
// large enough for them.
func TestFirstSightsAtOnceAreAllLookedUp(t *testing.T) {
	s := settings()
	s.Gateways, s.Counter.Timeout = 300, 0.05
	s.Plans[0] = control.Plan{Rate: 2, Burst: 3, Worth: 1, OverCost: 1}
	r := newHarness(t, s, readyMembers("a", "b", "c")...)
	r.advance(1)
	for customer := range uint64(4) {
		if _, calls := r.requestHeld(customer + 1); len(calls) != 1 {
			t.Errorf("customer %d: counter calls %v, want one", customer+1, calls)
		}
		r.now += 0.001
	}
}
