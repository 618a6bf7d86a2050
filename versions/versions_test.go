package versions

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// harness carries out a Lifecycle's actions as a test directs, and records the answers and what was applied and saved.
type harness struct {
	t         testing.TB
	lifecycle *Lifecycle
	now       Seconds
	pending   []Action // steps that have not ended yet
	answers   []Answer
	applied   []int64
	saved     []int64
}

func newHarness(t testing.TB, saves bool) *harness {
	return &harness{t: t, lifecycle: New(0, Offer{Source: FromDisk}, saves)}
}

func (h *harness) handle(ev Event) {
	h.now++
	for _, a := range h.lifecycle.Handle(h.now, ev, nil) {
		switch a := a.(type) {
		case Answer:
			h.answers = append(h.answers, a)
		case Drop:
		default:
			h.pending = append(h.pending, a)
		}
	}
}

// finishStep ends the current step, with or without faults.
func (h *harness) finishStep(waiting bool, faults ...string) {
	h.t.Helper()
	if len(h.pending) == 0 {
		h.t.Fatal("no step is pending")
	}
	a := h.pending[0]
	h.pending = h.pending[1:]
	var o Offer
	switch a := a.(type) {
	case Check:
		o = a.Offer
	case Stage:
		o = a.Offer
	case Save:
		o = a.Offer
		if len(faults) == 0 {
			h.saved = append(h.saved, o.Number)
		}
	case Apply:
		o, faults = a.Offer, nil // Apply cannot fail
		h.applied = append(h.applied, o.Number)
	}
	h.handle(Done{Number: o.Number, Digest: o.Digest, Faults: faults, Waiting: waiting})
}

func (h *harness) finishAll() {
	for len(h.pending) > 0 {
		h.finishStep(false)
	}
}

func offer(n int64) Offer { return Offer{Number: n, Digest: uint64(n) * 7, Nonce: "n"} }

// lastReason is the reason of the last answer; empty: acknowledged.
func (h *harness) lastReason() string {
	h.t.Helper()
	if len(h.answers) == 0 {
		h.t.Fatal("no answer")
	}
	return h.answers[len(h.answers)-1].Reason
}

func TestGoodVersionIsSavedAppliedAcknowledged(t *testing.T) {
	h := newHarness(t, true)
	h.handle(offer(1))
	for range 3 {
		h.finishStep(false)
	}
	if len(h.answers) != 0 || len(h.saved) != 1 || len(h.applied) != 0 {
		t.Errorf("before the version is in force: answers %v, saved %v, want no answer and one saved", h.answers, h.saved)
	}
	h.finishStep(false)
	if h.lastReason() != "" || h.lifecycle.Status().InForce.Number != 1 {
		t.Errorf("last reason %q, status %+v", h.lastReason(), h.lifecycle.Status())
	}
}

func TestBrokenVersionLeavesTheLastGood(t *testing.T) {
	for steps := range 3 { // the number of steps that succeed before one fails: Check, Stage or Save
		h := newHarness(t, true)
		h.handle(offer(1))
		h.finishAll()
		h.handle(offer(2))
		for range steps {
			h.finishStep(false)
		}
		h.finishStep(false, "plan club: rate must be above 0", "route 3: no class x")
		if want := "plan club: rate must be above 0; route 3: no class x"; h.lastReason() != want {
			t.Errorf("reason %q, want %q", h.lastReason(), want)
		}
		if s := h.lifecycle.Status(); s.InForce.Number != 1 || s.LastRejected.Number != 2 {
			t.Errorf("status %+v, want version 1 in force and version 2 rejected last", s)
		}
		h.handle(offer(3)) // the failed version does not block later ones
		h.finishAll()
		if h.lifecycle.Status().InForce.Number != 3 {
			t.Error("version 3 is not in force")
		}
	}
}

func TestOrderOfVersions(t *testing.T) {
	h := newHarness(t, false)
	h.handle(offer(5))
	h.finishAll()
	for _, c := range []struct {
		o    Offer
		want string // a part of the reason; empty: acknowledged
	}{
		{offer(5), ""},
		{offer(4), "no newer than 5"},
		{Offer{Number: 5, Digest: 1}, "other content"},
		{Offer{Number: 0}, "numbers start at 1"},
		{Offer{Number: 3, Digest: 21, Rollback: true}, ""},
		{offer(5), "no newer than 5"}, // from a second control service that does not know of the rollback
		{offer(4), "no newer than 5"},
		{offer(6), ""},
	} {
		h.handle(c.o)
		h.finishAll()
		if got := h.lastReason(); (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("version %d: %q, want %q", c.o.Number, got, c.want)
		}
	}
}

// A hundred versions are offered while the first is processed: the newest comes into force, and each is answered.
func TestFlood(t *testing.T) {
	h := newHarness(t, true)
	for n := range int64(100) {
		h.handle(offer(n + 1))
	}
	h.finishAll()
	if len(h.answers) != 100 || h.lifecycle.Status().InForce.Number != 100 {
		t.Errorf("%d answers, version %d in force, want 100 of each", len(h.answers), h.lifecycle.Status().InForce.Number)
	}
	if len(h.applied) > 2 {
		t.Errorf("%d versions were applied, want at most 2", len(h.applied))
	}
}

func TestWaitingForTheRoster(t *testing.T) {
	h := newHarness(t, true)
	h.handle(offer(1))
	h.finishStep(true, "target t9 is not on the roster")
	if h.lastReason() == "" {
		t.Fatal("a version with an unknown target was acknowledged")
	}
	h.handle(Roster{})
	h.finishAll()
	if h.lastReason() != "" || h.lifecycle.Status().InForce.Number != 1 {
		t.Errorf("after the roster changed: reason %q, version %d in force", h.lastReason(), h.lifecycle.Status().InForce.Number)
	}
}

func TestPin(t *testing.T) {
	h := newHarness(t, true)
	h.handle(offer(1))
	h.finishAll()
	h.handle(Pin{})
	for _, n := range []int64{2, 4, 3} {
		h.handle(offer(n))
		if !strings.Contains(h.lastReason(), "pinned") {
			t.Errorf("version %d: reason %q, want one that names the pin", n, h.lastReason())
		}
	}
	h.handle(Unpin{})
	h.finishAll()
	if got := h.lifecycle.Status().InForce.Number; got != 4 {
		t.Errorf("version %d in force after the pin was removed, want 4, the newest offered", got)
	}
}

// Invariants for any order of offers, failures and pins: the number in force only increases, except for rollbacks; a
// version is saved before it is in force; no version comes into force under a pin unless it was already being saved;
// every offer is answered; one step at a time is pending; and a Done for another version has no effect.
func TestLifecycleInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{t: &testing.T{}, lifecycle: New(0, Offer{Source: FromDisk}, true)}
		offers, highest := 0, int64(0)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			before := h.lifecycle.Status()
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				n := rapid.Int64Range(0, 12).Draw(t, "number")
				o := Offer{Number: n, Digest: uint64(n), Source: rapid.IntRange(0, 1).Draw(t, "source"),
					Rollback: rapid.IntRange(0, 7).Draw(t, "rollback") == 0}
				if rapid.IntRange(0, 7).Draw(t, "other") == 0 {
					o.Digest = 99
				}
				offers++
				h.handle(o)
			case 3:
				h.handle(Pin{})
			case 4:
				h.handle(Unpin{})
			case 5:
				h.handle(Roster{})
			case 6:
				h.handle(Done{Number: 77}) // no such step was requested
			default:
				if len(h.pending) > 0 {
					if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
						h.finishStep(rapid.Bool().Draw(t, "waits"), "a fault")
					} else {
						h.finishStep(false)
					}
				}
			}
			if len(h.pending) > 1 {
				t.Fatalf("%d steps are pending at once", len(h.pending))
			}
			after := h.lifecycle.Status()
			if after.InForce != before.InForce {
				n := after.InForce
				if !n.Rollback && n.Number <= highest {
					t.Fatalf("version %d, not a rollback, replaced version %d", n.Number, highest)
				}
				if len(h.saved) == 0 || h.saved[len(h.saved)-1] != n.Number {
					t.Fatalf("version %d is in force but was not saved last", n.Number)
				}
				if before.Pinned && before.Step < Saving {
					t.Fatal("the version in force changed under a pin")
				}
			}
			highest = max(highest, after.InForce.Number)
		}
		h.handle(Unpin{})
		h.finishAll()
		if len(h.answers) < offers {
			t.Fatalf("%d offers, %d answers", offers, len(h.answers))
		}
		for _, a := range h.answers {
			if a.Reason == "" && a.Number <= 0 {
				t.Fatalf("an offer without a valid number was acknowledged: %+v", a)
			}
		}
	})
}
