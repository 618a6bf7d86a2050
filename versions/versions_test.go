package versions

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// rig carries a Life's actions out as a test says, and keeps what it promised.
type rig struct {
	t       testing.TB
	life    *Lifecycle
	now     Seconds
	pending []Action // steps that are not done yet
	answers []Answer
	applied []int64
	saved   []int64
}

func newRig(t testing.TB, saves bool) *rig {
	return &rig{t: t, life: New(0, Offer{Source: FromDisk}, saves)}
}

func (r *rig) tell(ev Event) {
	r.now++
	for _, a := range r.life.Handle(r.now, ev, nil) {
		switch a := a.(type) {
		case Answer:
			r.answers = append(r.answers, a)
		case Drop:
		default:
			r.pending = append(r.pending, a)
		}
	}
}

// step ends the step that is under way, with faults or without.
func (r *rig) step(waiting bool, faults ...string) {
	r.t.Helper()
	if len(r.pending) == 0 {
		r.t.Fatal("nothing is on its way")
	}
	a := r.pending[0]
	r.pending = r.pending[1:]
	var o Offer
	switch a := a.(type) {
	case Check:
		o = a.Offer
	case Stage:
		o = a.Offer
	case Save:
		o = a.Offer
		if len(faults) == 0 {
			r.saved = append(r.saved, o.Number)
		}
	case Apply:
		o, faults = a.Offer, nil // it can't fail
		r.applied = append(r.applied, o.Number)
	}
	r.tell(Done{Number: o.Number, Digest: o.Digest, Faults: faults, Waiting: waiting})
}

func (r *rig) run() {
	for len(r.pending) > 0 {
		r.step(false)
	}
}

func offer(n int64) Offer { return Offer{Number: n, Digest: uint64(n) * 7, Nonce: "n"} }

// last is the reason of the last answer; empty: acknowledged.
func (r *rig) last() string {
	r.t.Helper()
	if len(r.answers) == 0 {
		r.t.Fatal("no answer")
	}
	return r.answers[len(r.answers)-1].Reason
}

func TestGoodVersionIsSavedAppliedAcknowledged(t *testing.T) {
	r := newRig(t, true)
	r.tell(offer(1))
	for range 3 {
		r.step(false)
	}
	if len(r.answers) != 0 || len(r.saved) != 1 || len(r.applied) != 0 {
		t.Errorf("before it is in force: answers %v, saved %v", r.answers, r.saved)
	}
	r.step(false)
	if r.last() != "" || r.life.Status().InForce.Number != 1 {
		t.Errorf("%q, %+v", r.last(), r.life.Status())
	}
}

func TestBrokenVersionLeavesTheLastGood(t *testing.T) {
	for steps := range 3 { // it fails at its check, its staging, its saving
		r := newRig(t, true)
		r.tell(offer(1))
		r.run()
		r.tell(offer(2))
		for range steps {
			r.step(false)
		}
		r.step(false, "plan club: rate must be above 0", "route 3: no class x")
		if want := "plan club: rate must be above 0; route 3: no class x"; r.last() != want {
			t.Errorf("%q", r.last())
		}
		if s := r.life.Status(); s.InForce.Number != 1 || s.LastRejected.Number != 2 {
			t.Errorf("%+v", s)
		}
		r.tell(offer(3)) // it blocks nothing
		r.run()
		if r.life.Status().InForce.Number != 3 {
			t.Error("the next one is not in force")
		}
	}
}

func TestOrderOfVersions(t *testing.T) {
	r := newRig(t, false)
	r.tell(offer(5))
	r.run()
	for _, c := range []struct {
		o    Offer
		want string // in the reason; empty: acknowledged
	}{
		{offer(5), ""},
		{offer(4), "no newer than 5"},
		{Offer{Number: 5, Digest: 1}, "other content"},
		{Offer{Number: 0}, "numbers start at 1"},
		{Offer{Number: 3, Digest: 21, Rollback: true}, ""},
		{offer(5), "no newer than 5"}, // a second control service that has not heard of the rollback
		{offer(4), "no newer than 5"},
		{offer(6), ""},
	} {
		r.tell(c.o)
		r.run()
		if got := r.last(); (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("version %d: %q, want %q", c.o.Number, got, c.want)
		}
	}
}

// A hundred versions while the first is looked at: the newest wins, and every one is answered.
func TestFlood(t *testing.T) {
	r := newRig(t, true)
	for n := range int64(100) {
		r.tell(offer(n + 1))
	}
	r.run()
	if len(r.answers) != 100 || r.life.Status().InForce.Number != 100 {
		t.Errorf("%d answers, version %d", len(r.answers), r.life.Status().InForce.Number)
	}
	if len(r.applied) > 2 {
		t.Errorf("%d were applied", len(r.applied))
	}
}

func TestWaitingForTheRoster(t *testing.T) {
	r := newRig(t, true)
	r.tell(offer(1))
	r.step(true, "target t9 is not on the roster")
	if r.last() == "" {
		t.Fatal("it was acknowledged")
	}
	r.tell(Roster{})
	r.run()
	if r.last() != "" || r.life.Status().InForce.Number != 1 {
		t.Errorf("%q, version %d", r.last(), r.life.Status().InForce.Number)
	}
}

func TestPin(t *testing.T) {
	r := newRig(t, true)
	r.tell(offer(1))
	r.run()
	r.tell(Pin{})
	for _, n := range []int64{2, 4, 3} {
		r.tell(offer(n))
		if !strings.Contains(r.last(), "pinned") {
			t.Errorf("version %d: %q", n, r.last())
		}
	}
	r.tell(Unpin{})
	r.run()
	if got := r.life.Status().InForce.Number; got != 4 {
		t.Errorf("version %d after the pin, want the newest offered", got)
	}
}

// Whatever is offered, fails and is pinned, in whatever order: numbers in force rise but for rollbacks, what is
// acknowledged is in force and saved before, every offer is answered once, and a step of another version does
// nothing.
func TestLifeKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &rig{t: &testing.T{}, life: New(0, Offer{Source: FromDisk}, true)}
		offers, highest := 0, int64(0)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			before := r.life.Status()
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				n := rapid.Int64Range(0, 12).Draw(t, "number")
				o := Offer{Number: n, Digest: uint64(n), Source: rapid.IntRange(0, 1).Draw(t, "source"),
					Rollback: rapid.IntRange(0, 7).Draw(t, "rollback") == 0}
				if rapid.IntRange(0, 7).Draw(t, "other") == 0 {
					o.Digest = 99
				}
				offers++
				r.tell(o)
			case 3:
				r.tell(Pin{})
			case 4:
				r.tell(Unpin{})
			case 5:
				r.tell(Roster{})
			case 6:
				r.tell(Done{Number: 77}) // nobody asked
			default:
				if len(r.pending) > 0 {
					if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
						r.step(rapid.Bool().Draw(t, "waits"), "a fault")
					} else {
						r.step(false)
					}
				}
			}
			if len(r.pending) > 1 {
				t.Fatalf("%d steps at once", len(r.pending))
			}
			after := r.life.Status()
			if after.InForce != before.InForce {
				n := after.InForce
				if !n.Rollback && n.Number <= highest {
					t.Fatalf("version %d took the place of %d", n.Number, highest)
				}
				if len(r.saved) == 0 || r.saved[len(r.saved)-1] != n.Number {
					t.Fatalf("version %d is in force and not saved", n.Number)
				}
				if before.Pinned && before.Step < Saving {
					t.Fatal("it changed under a pin")
				}
			}
			highest = max(highest, after.InForce.Number)
		}
		r.tell(Unpin{})
		r.run()
		if len(r.answers) < offers {
			t.Fatalf("%d offers, %d answers", offers, len(r.answers))
		}
		for _, a := range r.answers {
			if a.Reason == "" && a.Number <= 0 {
				t.Fatalf("acknowledged: %+v", a)
			}
		}
	})
}
