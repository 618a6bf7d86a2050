package lease

import (
	"fmt"
	"testing"
	"time"
)

// A pause or a jump that a process can see ends its session, and a slow answer does in time: it stops before its end.
func TestAHolderStopsBeforeItMust(t *testing.T) {
	const s = time.Second
	r := Rules{Life: 10 * s, Drift: 0.01, Margin: s, Pause: 5 * s, Jump: 2 * s}
	held := func() *Holder {
		h := NewHolder(r)
		h.Tick(0, 0, nil)
		n := h.Renew(0)
		h.Want("l")
		h.Renewed(s, n, View{Rev: 2, Held: []Grant{{"l", 7}}}, nil)
		return h
	}
	if span := r.Span(); span >= 9*s || span < 8*s {
		t.Errorf("of a life of 10 s %v are left to act in", span)
	}
	for _, c := range []struct {
		name       string
		mono, wall []time.Duration
		want       Cause
	}{
		{"in time", []time.Duration{4 * s, 8 * s}, []time.Duration{4 * s, 8 * s}, ""},
		{"no answer", []time.Duration{4 * s, 8 * s, 9 * s}, []time.Duration{4 * s, 8 * s, 9 * s}, Ran},
		{"paused", []time.Duration{1 * s, 7 * s}, []time.Duration{1 * s, 7 * s}, Paused},
		{"suspended: the monotonic clock stood still", []time.Duration{1 * s, 2 * s}, []time.Duration{1 * s, 8 * s}, Jumped},
		{"the wall clock set back", []time.Duration{1 * s, 2 * s}, []time.Duration{1 * s, -60 * s}, Jumped},
	} {
		h := held()
		if token, left, ok := h.May(s, "l"); !ok || token != 7 || left != r.Span()-s {
			t.Fatalf("it may not act at first: %d %v %v", token, left, ok)
		}
		var do []any
		for i := range c.mono {
			do = h.Tick(c.mono[i], c.wall[i], do)
		}
		why, over := h.Over()
		if _, _, may := h.May(c.mono[len(c.mono)-1], "l"); over == may || why != c.want {
			t.Errorf("%s: over for %q, may act %v", c.name, why, may)
		}
		if want := fmt.Sprint([]any{Stop{Grant{"l", 7}, c.want}, Over{c.want}}); over && fmt.Sprint(do) != want {
			t.Errorf("%s: %v, want %v", c.name, do, want)
		}
	}
}

func TestWatchersMissNothing(t *testing.T) {
	s := NewState()
	for i := range 3 * keptChanges {
		id := fmt.Sprint(i / 2)
		if i%2 == 0 {
			s.Apply(Command{Op: Open, Session: id, Life: time.Second})
		} else {
			s.Apply(Command{Op: Close, Session: id})
		}
	}
	for _, c := range []struct {
		after uint64
		n     int
		ok    bool
	}{
		{s.Seq, 0, true}, {s.Seq - 1, 1, true}, {s.Seq - keptChanges, keptChanges, true}, {s.Seq - keptChanges - 1, 0, false}, {0, 0, false}, {s.Seq + 1, 0, false},
	} {
		missed, ok := s.Missed(c.after)
		if ok != c.ok || len(missed) != c.n {
			t.Errorf("after %d: %d, %v; want %d, %v", c.after, len(missed), ok, c.n, c.ok)
		}
		for i, m := range missed {
			if m.Seq != c.after+uint64(i)+1 {
				t.Fatalf("after %d comes %d", c.after, m.Seq)
			}
		}
	}
}
