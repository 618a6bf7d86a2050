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
const usualAnswerTime = 0.1

// copying are settings that allow second copies.
func hedgingSettings() control.Settings {
	s := settings()
	s.Limits.SecondCopies = true
	s.Limits.MaxAttempts = 6
	return s
}

// learnedRig is a rig whose gateway has seen a hundred usual answers of each class.
func newTrainedHarness(t *testing.T, s control.Settings, servers ...string) *harness {
	r := newHarness(t, s, readyMembers(servers...)...)
	for i := range 300 {
		_, acts := r.request(i%3, 0, uint64(1000+i))
		sends := filter[control.Send](acts)
		r.advance(usualAnswerTime)
		for _, send := range sends {
			r.endAttempt(send, 0, control.OK)
		}
	}
	return r
}

// hang brings a request in and returns its first attempt, which nobody answers.
func (r *harness) requestUnanswered(class int, customer uint64) control.Send {
	r.t.Helper()
	_, acts := r.request(class, 0, customer)
	sends := filter[control.Send](acts)
	if len(sends) != 1 {
		r.t.Fatalf("%d attempts for a new request, want 1", len(sends))
	}
	return sends[0]
}

// copyOf waits for the second copy of a request.
func (r *harness) awaitHedge(first control.Send) control.Send {
	r.t.Helper()
	sends := filter[control.Send](r.advance(0.5))
	if len(sends) != 1 || sends[0].ID != first.ID {
		r.t.Fatalf("sent %+v, want one copy of %+v", sends, first)
	}
	return sends[0]
}

func TestSlowRequestGetsOneCopyAtAnotherServer(t *testing.T) {
	r := newTrainedHarness(t, hedgingSettings(), "a", "b", "c")
	first := r.requestUnanswered(safeClass, 1)
	if early := filter[control.Send](r.advance(usualAnswerTime / 2)); len(early) > 0 {
		t.Fatalf("a copy before the usual time has passed: %+v", early)
	}
	second := r.awaitHedge(first)
	if second.Server == first.Server {
		t.Errorf("the copy went to the server of the first attempt, %s", first.Server)
	}
	if more := filter[control.Send](r.advance(0.1)); len(more) > 0 {
		t.Errorf("a third attempt beside two: %+v", more)
	}
}

func TestFirstGoodAnswerEndsBothCopies(t *testing.T) {
	for winner := range 2 {
		r := newTrainedHarness(t, hedgingSettings(), "a", "b", "c")
		first := r.requestUnanswered(safeClass, 1)
		copies := []control.Send{first, r.awaitHedge(first)}
		acts := r.endAttempt(copies[winner], winner, control.OK)
		cancels := filter[control.Cancel](acts)
		if want := (control.Cancel{ID: first.ID, Attempt: 1 - winner}); len(cancels) != 1 || cancels[0] != want {
			t.Errorf("answer of attempt %d: cancelled %+v, want %+v", winner, cancels, want)
		}
		loser := copies[1-winner]
		after := r.handle(control.Outcome{ID: loser.ID, Server: loser.Server, Attempt: 1 - winner, Status: control.Cancelled, Closed: true})
		if refused, failed := filter[control.Refuse](after), filter[control.Fail](after); len(refused)+len(failed) > 0 {
			t.Errorf("a second final answer: %+v", after)
		}
	}
}

func TestFailureOfOneCopyWaitsForTheOther(t *testing.T) {
	for _, status := range []control.Status{control.Error, control.Reset, control.Full, control.ConnectFailed, control.Timeout} {
		r := newTrainedHarness(t, hedgingSettings(), "a", "b", "c")
		first := r.requestUnanswered(safeClass, 1)
		second := r.awaitHedge(first)
		acts := r.endAttempt(first, 0, status)
		if final := len(filter[control.Refuse](acts)) + len(filter[control.Fail](acts)); final > 0 || len(filter[control.Send](acts)) > 0 {
			t.Errorf("status %v of the first with the copy still out: %+v", status, acts)
		}
		if acts = r.endAttempt(second, 1, control.Error); len(filter[control.Send](acts))+len(filter[control.Refuse](acts)) != 1 {
			t.Errorf("status %v, then an error: %+v, want one more attempt or one refusal", status, acts)
		}
	}
}

func TestNoCopyWhereNoneIsAllowed(t *testing.T) {
	forbidden := hedgingSettings()
	forbidden.Limits.SecondCopies = false
	single := hedgingSettings()
	single.Limits.MaxAttempts = 1
	streamed := hedgingSettings()
	streamed.Classes[safeClass].Stream = true
	for name, c := range map[string]struct {
		settings control.Settings
		class    int
	}{
		"settings":         {forbidden, safeClass},
		"one attempt":      {single, safeClass},
		"streamed answers": {streamed, safeClass},
		"a keyed class":    {hedgingSettings(), keyedClass},
		"an unsafe class":  {hedgingSettings(), unsafeClass},
	} {
		r := newTrainedHarness(t, c.settings, "a", "b", "c")
		r.requestUnanswered(c.class, 1)
		if sends := filter[control.Send](r.advance(0.7)); len(sends) > 0 {
			t.Errorf("%s: a second attempt while the first was out: %+v", name, sends)
		}
	}
}

func TestNoCopyOfABodyThatCameInPieceByPiece(t *testing.T) {
	r := newTrainedHarness(t, hedgingSettings(), "a", "b", "c")
	r.lastID++
	r.handle(control.Request{ID: r.lastID, Class: safeClass, Customer: 1, TimeLeft: 3, Units: 1, Spread: 2, BodyIncoming: true})
	r.advance(0.3)
	r.handle(control.BodyReceived{ID: r.lastID})
	if sends := filter[control.Send](r.advance(0.7)); len(sends) > 0 {
		t.Errorf("a second attempt of what can't be sent twice: %+v", sends)
	}
}

func TestNoCopyToADrainingServer(t *testing.T) {
	r := newTrainedHarness(t, hedgingSettings(), "a", "b")
	first := r.requestUnanswered(safeClass, 1)
	other := map[string]string{"a": "b", "b": "a"}[first.Server]
	r.handle(control.Members{Kind: control.Delta, Entries: []control.Member{{Server: other, State: control.Draining}}})
	if sends := filter[control.Send](r.advance(0.7)); len(sends) > 0 {
		t.Errorf("a copy to a server that drains, or to the one that has the first: %+v", sends)
	}
}

func TestClientThatLeavesEndsBothCopies(t *testing.T) {
	r := newTrainedHarness(t, hedgingSettings(), "a", "b", "c")
	first := r.requestUnanswered(safeClass, 1)
	waiting := r.requestUnanswered(safeClass, 2)
	r.handle(control.ClientGone{ID: waiting.ID})
	r.awaitHedge(first) // and none for the client that has left
	if cancels := filter[control.Cancel](r.handle(control.ClientGone{ID: first.ID})); len(cancels) != 2 {
		t.Errorf("called off %+v, want both copies", cancels)
	}
}

func TestCopiesKeepToACustomersAttemptsOut(t *testing.T) {
	s := hedgingSettings()
	s.Gateways = 1
	s.Plans[0].Open = 1
	r := newTrainedHarness(t, s, "a", "b", "c")
	r.requestUnanswered(safeClass, 1)
	if sends := filter[control.Send](r.advance(0.7)); len(sends) > 0 {
		t.Errorf("a copy beyond the one attempt that the plan allows: %+v", sends)
	}
}

func TestCopiesStayFewWhenEveryRequestHangs(t *testing.T) {
	r := newTrainedHarness(t, hedgingSettings(), serverNames(20)...)
	first, copies := 0, 0
	for i := range 200 {
		r.lastID++
		_, acts := r.request(safeClass, 0, uint64(5000+i))
		acts = append(acts, r.advance(0.05)...)
		for _, s := range filter[control.Send](acts) {
			if s.ID == r.lastID {
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
		r := newHarness(t, s, readyMembers("a", "b", "c", "d")...)
		for i := range 400 {
			class := i % 3
			id, acts := r.request(class, i%2, uint64(i%17))
			all = append(all, acts)
			sends := filter[control.Send](acts)
			all = append(all, r.advance(0.06))
			if i%7 == 0 {
				continue // it hangs
			}
			for _, send := range sends {
				st := []control.Status{control.OK, control.OK, control.Error, control.OK, control.Full}[i%5]
				all = append(all, r.handle(control.Outcome{ID: id, Server: send.Server, Status: st, Closed: st == control.OK}))
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
