package control_test

import (
	"reflect"
	"testing"

	"junctionring/control"
)

// The classes of settings(), by whether a request may run more than once.
const (
	safeClass   = 0
	keyedClass  = 1
	unsafeClass = 2
)

// usualAnswerTime is the time to answer in these tests, in seconds, unless a request gets no answer.
const usualAnswerTime = 0.1

// hedgingSettings returns settings that allow second copies (hedging).
func hedgingSettings() control.Settings {
	s := settings()
	s.Limits.SecondCopies = true
	s.Limits.MaxAttempts = 6
	return s
}

// newTrainedHarness returns a harness whose gateway has had a hundred usual answers of each class.
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

// requestUnanswered passes a new request to the gateway and returns its first attempt, which gets no answer.
func (r *harness) requestUnanswered(class int, customer uint64) control.Send {
	r.t.Helper()
	_, acts := r.request(class, 0, customer)
	sends := filter[control.Send](acts)
	if len(sends) != 1 {
		r.t.Fatalf("%d attempts for a new request, want 1", len(sends))
	}
	return sends[0]
}

// awaitHedge waits for the second copy of a request.
func (r *harness) awaitHedge(first control.Send) control.Send {
	r.t.Helper()
	sends := filter[control.Send](r.advance(0.5))
	if len(sends) != 1 || sends[0].ID != first.ID {
		r.t.Fatalf("sent %+v, want one second copy of %+v", sends, first)
	}
	return sends[0]
}

func TestSlowRequestGetsOneCopyAtAnotherServer(t *testing.T) {
	r := newTrainedHarness(t, hedgingSettings(), "a", "b", "c")
	first := r.requestUnanswered(safeClass, 1)
	if early := filter[control.Send](r.advance(usualAnswerTime / 2)); len(early) > 0 {
		t.Fatalf("second copy before the usual answer time has passed: %+v", early)
	}
	second := r.awaitHedge(first)
	if second.Server == first.Server {
		t.Errorf("second copy sent to the server of the first attempt, %s", first.Server)
	}
	if more := filter[control.Send](r.advance(0.1)); len(more) > 0 {
		t.Errorf("third attempt with two in flight: %+v", more)
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
			t.Errorf("good answer of attempt %d: cancelled %+v, want %+v", winner, cancels, want)
		}
		loser := copies[1-winner]
		after := r.handle(control.Outcome{
			ID: loser.ID, Server: loser.Server, Attempt: 1 - winner, Status: control.Cancelled, Closed: true,
		})
		if refused, failed := filter[control.Refuse](after), filter[control.Fail](after); len(refused)+len(failed) > 0 {
			t.Errorf("second final answer: %+v", after)
		}
	}
}

func TestFailureOfOneCopyWaitsForTheOther(t *testing.T) {
	for _, status := range []control.Status{
		control.Error, control.Reset, control.Full, control.ConnectFailed, control.Timeout,
	} {
		r := newTrainedHarness(t, hedgingSettings(), "a", "b", "c")
		first := r.requestUnanswered(safeClass, 1)
		second := r.awaitHedge(first)
		acts := r.endAttempt(first, 0, status)
		if final := len(filter[control.Refuse](acts)) + len(filter[control.Fail](acts)); final > 0 ||
			len(filter[control.Send](acts)) > 0 {
			t.Errorf("status %v of the first attempt with the second in flight: want neither an answer nor an attempt, got %+v",
				status, acts)
		}
		if acts = r.endAttempt(second, 1, control.Error); len(filter[control.Send](acts))+len(filter[control.Refuse](acts)) != 1 {
			t.Errorf("status %v, then an error: want one attempt or one refusal, got %+v", status, acts)
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
			t.Errorf("%s: second attempt while the first was in flight: %+v", name, sends)
		}
	}
}

func TestNoCopyOfABodyThatCameInPieceByPiece(t *testing.T) {
	r := newTrainedHarness(t, hedgingSettings(), "a", "b", "c")
	r.lastID++
	r.handle(control.Request{
		ID: r.lastID, Class: safeClass, Customer: 1, TimeLeft: 3, Units: 1, Spread: 2, BodyIncoming: true,
	})
	r.advance(0.3)
	r.handle(control.BodyReceived{ID: r.lastID})
	if sends := filter[control.Send](r.advance(0.7)); len(sends) > 0 {
		t.Errorf("second attempt of a request whose body came in parts and can't be sent twice: %+v", sends)
	}
}

func TestNoCopyToADrainingServer(t *testing.T) {
	r := newTrainedHarness(t, hedgingSettings(), "a", "b")
	first := r.requestUnanswered(safeClass, 1)
	other := map[string]string{"a": "b", "b": "a"}[first.Server]
	r.handle(control.Members{Kind: control.Delta, Entries: []control.Member{{Server: other, State: control.Draining}}})
	if sends := filter[control.Send](r.advance(0.7)); len(sends) > 0 {
		t.Errorf("second copy at a draining server, or at the server of the first attempt: %+v", sends)
	}
}

func TestClientThatLeavesEndsBothCopies(t *testing.T) {
	r := newTrainedHarness(t, hedgingSettings(), "a", "b", "c")
	first := r.requestUnanswered(safeClass, 1)
	waiting := r.requestUnanswered(safeClass, 2)
	r.handle(control.ClientGone{ID: waiting.ID})
	r.awaitHedge(first) // and none for the client that has left
	if cancels := filter[control.Cancel](r.handle(control.ClientGone{ID: first.ID})); len(cancels) != 2 {
		t.Errorf("cancelled %+v, want both copies", cancels)
	}
}

func TestCopiesKeepToACustomersAttemptsOut(t *testing.T) {
	s := hedgingSettings()
	s.Gateways = 1
	s.Plans[0].Open = 1
	r := newTrainedHarness(t, s, "a", "b", "c")
	r.requestUnanswered(safeClass, 1)
	if sends := filter[control.Send](r.advance(0.7)); len(sends) > 0 {
		t.Errorf("second copy although the plan allows one attempt in flight: %+v", sends)
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
		t.Errorf("%d second copies of %d requests, want more than 0 and at most %.1f", copies, first, most)
	}
}

// If no class may have second copies, the setting that allows them must change nothing: the same events give exactly
// the same actions, including those that depend on random numbers.
func TestSettingsThatForbidCopiesChangeNothing(t *testing.T) {
	run := func(s control.Settings) (all [][]control.Action) {
		r := newHarness(t, s, readyMembers("a", "b", "c", "d")...)
		for i := range 400 {
			class := i % 3
			id, acts := r.request(class, i%2, uint64(i%17))
			all = append(all, acts)
			sends := filter[control.Send](acts)
			all = append(all, r.advance(0.06))
			if i%7 == 0 {
				continue // no answer
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
	if !reflect.DeepEqual(run(forbidden), run(allowed)) {
		t.Error("SecondCopies changes the actions although no class may have a second copy")
	}
}
