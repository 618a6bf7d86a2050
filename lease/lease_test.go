package lease

import (
	"fmt"
	"testing"
	"time"
)

// A holder stops acting before its session can expire at the coordinators: a pause or a clock jump that the process
// can see ends the session, and so does a renewal that is not answered in time.
func TestAHolderStopsBeforeItMust(t *testing.T) {
	const s = time.Second
	r := Timing{TTL: 10 * s, Drift: 0.01, Margin: s, MaxPause: 5 * s, MaxClockJump: 2 * s}
	held := func() *Holder {
		h := NewHolder(r)
		h.Tick(0, 0, nil)
		n := h.Renew(0)
		h.Acquire("l")
		h.Renewed(s, n, View{Rev: 2, Held: []Grant{{"l", 7}}}, nil)
		return h
	}
	if validity := r.Validity(); validity >= 9*s || validity < 8*s {
		t.Errorf("validity of a TTL of 10 s is %v, want at least 8 s and less than 9 s", validity)
	}
	for _, c := range []struct {
		name       string
		mono, wall []time.Duration
		want       Cause
	}{
		{"in time", []time.Duration{4 * s, 8 * s}, []time.Duration{4 * s, 8 * s}, ""},
		{"no answer", []time.Duration{4 * s, 8 * s, 9 * s}, []time.Duration{4 * s, 8 * s, 9 * s}, CauseRenewalTimeout},
		{"paused", []time.Duration{1 * s, 7 * s}, []time.Duration{1 * s, 7 * s}, CausePaused},
		{"suspended: the monotonic clock stood still", []time.Duration{1 * s, 2 * s}, []time.Duration{1 * s, 8 * s}, CauseClockJump},
		{"the wall clock set back", []time.Duration{1 * s, 2 * s}, []time.Duration{1 * s, -60 * s}, CauseClockJump},
	} {
		h := held()
		if token, remaining, ok := h.MayAct(s, "l"); !ok || token != 7 || remaining != r.Validity()-s {
			t.Fatalf("MayAct after the first renewal: token %d, remaining %v, %v", token, remaining, ok)
		}
		var actions []any
		for i := range c.mono {
			actions = h.Tick(c.mono[i], c.wall[i], actions)
		}
		cause, ended := h.Ended()
		if _, _, mayAct := h.MayAct(c.mono[len(c.mono)-1], "l"); ended == mayAct || cause != c.want {
			t.Errorf("%s: ended by %q, may act: %v", c.name, cause, mayAct)
		}
		if want := fmt.Sprint([]any{Stop{Grant{"l", 7}, c.want}, SessionEnded{c.want}}); ended && fmt.Sprint(actions) != want {
			t.Errorf("%s: %v, want %v", c.name, actions, want)
		}
	}
}

func TestWatchersMissNothing(t *testing.T) {
	s := NewState()
	for i := range 3 * retainedChanges {
		id := fmt.Sprint(i / 2)
		if i%2 == 0 {
			s.Apply(Command{Op: Open, Session: id, TTL: time.Second})
		} else {
			s.Apply(Command{Op: Close, Session: id})
		}
	}
	for _, c := range []struct {
		after uint64
		n     int
		ok    bool
	}{
		{s.Seq, 0, true}, {s.Seq - 1, 1, true}, {s.Seq - retainedChanges, retainedChanges, true}, {s.Seq - retainedChanges - 1, 0, false}, {0, 0, false}, {s.Seq + 1, 0, false},
	} {
		changes, ok := s.ChangesSince(c.after)
		if ok != c.ok || len(changes) != c.n {
			t.Errorf("changes since %d: %d, %v; want %d, %v", c.after, len(changes), ok, c.n, c.ok)
		}
		for i, change := range changes {
			if change.Seq != c.after+uint64(i)+1 {
				t.Fatalf("a change since %d has the number %d", c.after, change.Seq)
			}
		}
	}
}
