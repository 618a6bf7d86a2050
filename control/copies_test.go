package control_test

import (
	"reflect"
	"testing"

	"junctionring/control"
)

// The classes of settings() by what a repeat does.
const (
	safeClass   = 0
	keyedClass  = 1
	unsafeClass = 2
)

// usualAnswer is how long answers take in these tests, unless a server hangs.
const usualAnswer = 0.1

// copying are settings that allow second copies.
func copying() control.Settings {
	s := settings()
	s.Limits.SecondCopies = true
	s.Limits.MaxAttempts = 6
	return s
}

// learnedRig is a rig whose gateway has seen a hundred usual answers of each class.
func learnedRig(t *testing.T, s control.Settings, servers ...string) *rig {
	r := newRig(t, s, warm(servers...)...)
	for i := range 300 {
		_, acts := r.ask(i%3, 0, uint64(1000+i))
		sends := pick[control.Send](acts)
		r.wait(usualAnswer)
		for _, send := range sends {
			r.end(send, 0, control.OK)
		}
	}
	return r
}

// hang brings a request in and returns its first attempt, which nobody answers.
func (r *rig) hang(class int, customer uint64) control.Send {
	r.t.Helper()
	_, acts := r.ask(class, 0, customer)
	sends := pick[control.Send](acts)
	if len(sends) != 1 {
		r.t.Fatalf("%d attempts for a new request, want 1", len(sends))
	}
	return sends[0]
}

// copyOf waits for the second copy of a request.
func (r *rig) copyOf(first control.Send) control.Send {
	r.t.Helper()
	sends := pick[control.Send](r.wait(0.5))
	if len(sends) != 1 || sends[0].ID != first.ID {
		r.t.Fatalf("sent %+v, want one copy of %+v", sends, first)
	}
	return sends[0]
}

func TestSlowRequestGetsOneCopyAtAnotherServer(t *testing.T) {
	r := learnedRig(t, copying(), "a", "b", "c")
	first := r.hang(safeClass, 1)
	if early := pick[control.Send](r.wait(usualAnswer / 2)); len(early) > 0 {
		t.Fatalf("a copy before the usual time has passed: %+v", early)
	}
	second := r.copyOf(first)
	if second.Server == first.Server {
		t.Errorf("the copy went to the server of the first attempt, %s", first.Server)
	}
	if more := pick[control.Send](r.wait(0.1)); len(more) > 0 {
		t.Errorf("a third attempt beside two: %+v", more)
	}
}

func TestFirstGoodAnswerEndsBothCopies(t *testing.T) {
	for winner := range 2 {
		r := learnedRig(t, copying(), "a", "b", "c")
		first := r.hang(safeClass, 1)
		copies := []control.Send{first, r.copyOf(first)}
		acts := r.end(copies[winner], winner, control.OK)
		cancels := pick[control.Cancel](acts)
		if want := (control.Cancel{ID: first.ID, Attempt: 1 - winner}); len(cancels) != 1 || cancels[0] != want {
			t.Errorf("answer of attempt %d: cancelled %+v, want %+v", winner, cancels, want)
		}
		loser := copies[1-winner]
		after := r.do(control.Outcome{ID: loser.ID, Server: loser.Server, Attempt: 1 - winner, Status: control.Cancelled, Closed: true})
		if refused, failed := pick[control.Refuse](after), pick[control.Fail](after); len(refused)+len(failed) > 0 {
			t.Errorf("a second final answer: %+v", after)
		}
	}
}

func TestFailureOfOneCopyWaitsForTheOther(t *testing.T) {
	for _, status := range []control.Status{control.Error, control.Reset, control.Full, control.ConnectFailed, control.Timeout} {
		r := learnedRig(t, copying(), "a", "b", "c")
		first := r.hang(safeClass, 1)
		second := r.copyOf(first)
		acts := r.end(first, 0, status)
		if final := len(pick[control.Refuse](acts)) + len(pick[control.Fail](acts)); final > 0 || len(pick[control.Send](acts)) > 0 {
			t.Errorf("status %v of the first with the copy still out: %+v", status, acts)
		}
		if acts = r.end(second, 1, control.Error); len(pick[control.Send](acts))+len(pick[control.Refuse](acts)) != 1 {
			t.Errorf("status %v, then an error: %+v, want one more attempt or one refusal", status, acts)
		}
	}
}

func TestNoCopyWhereNoneIsAllowed(t *testing.T) {
	forbidden := copying()
	forbidden.Limits.SecondCopies = false
	single := copying()
	single.Limits.MaxAttempts = 1
	streamed := copying()
	streamed.Classes[safeClass].Stream = true
	for name, c := range map[string]struct {
		settings control.Settings
		class    int
	}{
		"settings":         {forbidden, safeClass},
		"one attempt":      {single, safeClass},
		"streamed answers": {streamed, safeClass},
		"a keyed class":    {copying(), keyedClass},
		"an unsafe class":  {copying(), unsafeClass},
	} {
		r := learnedRig(t, c.settings, "a", "b", "c")
		r.hang(c.class, 1)
		if sends := pick[control.Send](r.wait(0.7)); len(sends) > 0 {
			t.Errorf("%s: a second attempt while the first was out: %+v", name, sends)
		}
	}
}

func TestNoCopyOfABodyThatCameInPieceByPiece(t *testing.T) {
	r := learnedRig(t, copying(), "a", "b", "c")
	r.id++
	r.do(control.Request{ID: r.id, Class: safeClass, Customer: 1, TimeLeft: 3, Units: 1, Spread: 2, BodyIncoming: true})
	r.wait(0.3)
	r.do(control.BodyReceived{ID: r.id})
	if sends := pick[control.Send](r.wait(0.7)); len(sends) > 0 {
		t.Errorf("a second attempt of what can't be sent twice: %+v", sends)
	}
}

func TestNoCopyToADrainingServer(t *testing.T) {
	r := learnedRig(t, copying(), "a", "b")
	first := r.hang(safeClass, 1)
	other := map[string]string{"a": "b", "b": "a"}[first.Server]
	r.do(control.Members{Kind: control.Delta, Entries: []control.Member{{Server: other, State: control.Draining}}})
	if sends := pick[control.Send](r.wait(0.7)); len(sends) > 0 {
		t.Errorf("a copy to a server that drains, or to the one that has the first: %+v", sends)
	}
}

func TestClientThatLeavesEndsBothCopies(t *testing.T) {
	r := learnedRig(t, copying(), "a", "b", "c")
	first := r.hang(safeClass, 1)
	waiting := r.hang(safeClass, 2)
	r.do(control.ClientGone{ID: waiting.ID})
	r.copyOf(first) // and none for the client that has left
	if cancels := pick[control.Cancel](r.do(control.ClientGone{ID: first.ID})); len(cancels) != 2 {
		t.Errorf("called off %+v, want both copies", cancels)
	}
}

func TestCopiesKeepToACustomersAttemptsOut(t *testing.T) {
	s := copying()
	s.Gateways = 1
	s.Plans[0].Open = 1
	r := learnedRig(t, s, "a", "b", "c")
	r.hang(safeClass, 1)
	if sends := pick[control.Send](r.wait(0.7)); len(sends) > 0 {
		t.Errorf("a copy beyond the one attempt that the plan allows: %+v", sends)
	}
}

func TestCopiesStayFewWhenEveryRequestHangs(t *testing.T) {
	r := learnedRig(t, copying(), named(20)...)
	first, copies := 0, 0
	for i := range 200 {
		r.id++
		_, acts := r.ask(safeClass, 0, uint64(5000+i))
		acts = append(acts, r.wait(0.05)...)
		for _, s := range pick[control.Send](acts) {
			if s.ID == r.id {
				first++
			} else {
				copies++
			}
		}
	}
	const savedUp, earned = 4, 0.05
	if most := savedUp + earned*float64(first); copies == 0 || float64(copies) > most {
		t.Errorf("%d copies of %d requests, want some, and %.1f at the most", copies, first, most)
	}
}

// Where second copies are not allowed the module does what it does where no class could have one: the same events give
// the same actions, to the last random draw.
func TestSettingsThatForbidCopiesChangeNothing(t *testing.T) {
	play := func(s control.Settings) (all [][]control.Action) {
		r := newRig(t, s, warm("a", "b", "c", "d")...)
		for i := range 400 {
			class := i % 3
			id, acts := r.ask(class, i%2, uint64(i%17))
			all = append(all, acts)
			sends := pick[control.Send](acts)
			all = append(all, r.wait(0.06))
			if i%7 == 0 {
				continue // it hangs
			}
			for _, send := range sends {
				st := []control.Status{control.OK, control.OK, control.Error, control.OK, control.Full}[i%5]
				all = append(all, r.do(control.Outcome{ID: id, Server: send.Server, Status: st, Closed: st == control.OK}))
			}
		}
		return all
	}
	forbidden := settings()
	forbidden.Classes = forbidden.Classes[1:3] // keyed and unsafe: no class may have copies
	forbidden.Classes = append(forbidden.Classes, forbidden.Classes[0])
	allowed := forbidden
	allowed.Limits.SecondCopies = true
	if !reflect.DeepEqual(play(forbidden), play(allowed)) {
		t.Error("the setting alone changes what is done, although no class may have a second copy")
	}
}
