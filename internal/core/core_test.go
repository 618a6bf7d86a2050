package core

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"junctionring/control"
)

// manualEgress is an egress whose attempts are ended by the test.
type manualEgress struct{ sent chan Attempt }

func (h manualEgress) Update(Table)         {}
func (h manualEgress) Start(a Attempt) bool { h.sent <- a; return true }
func (h manualEgress) Probe(string, time.Duration, func(control.Status, []float64)) bool {
	return false
}
func (h manualEgress) CloseIdle(string) {}

type unavailableCounter struct{}

func (unavailableCounter) Add(uint64, float64, time.Duration, func(control.Status, float64)) bool {
	return false
}

// startCore runs a core with two servers.
func startCore(t *testing.T, limits control.Limits) (*Core, manualEgress) {
	t.Helper()
	egress := manualEgress{make(chan Attempt, 16)}
	c, err := New(control.Settings{
		Gateways: 1,
		Classes: []control.Class{
			{Aim: 5, Deadline: 20, Worth: 1, Repeat: control.Safe},
			{Aim: 5, Deadline: 20, Worth: 1, Repeat: control.Keyed, Window: 3},
			{Aim: 5, Deadline: 20, Worth: 1, Repeat: control.Unsafe},
		},
		Plans: []control.Plan{{Rate: 100, Burst: 100, Worth: 1, OverCost: 1}}, Limits: limits,
		Guarantees: control.Guarantees{ColdFrom: 0.2, Ramp: 5, FallMultiple: 3, FallAfter: 1.5},
	}, 1, egress, unavailableCounter{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); <-c.done })
	go c.Run(ctx)
	table := Table{Kind: control.Snapshot}
	for _, id := range []string{"one", "two"} {
		table.Targets = append(table.Targets, Target{Member: control.Member{Server: id, State: control.Ready}})
	}
	c.Routes(table)
	return c, egress
}

// Guards against a retry that arrives when targets no longer know its key, and so runs a second time: it must carry the
// end of the class's window, counted from the first attempt that may have run. A retry of attempts that never ran, or in
// a class that may be repeated at any time, carries no limit.
func TestRepeatIsBoundByItsWindow(t *testing.T) {
	c, egress := startCore(t, control.Limits{MaxAttempts: 4, Cancel: true})
	for class, limited := range []bool{false, true} {
		done := make(chan Answer, 1)
		go func() {
			done <- c.Do(context.Background(), Exchange{Class: class, Units: 1, Spread: 1, Deadline: time.Now().Add(20 * time.Second)})
		}()
		first := <-egress.sent
		first.Report(Outcome{Status: control.ConnectFailed})
		failedAt := time.Now()
		second := <-egress.sent
		if !first.SendBefore.IsZero() || !second.SendBefore.IsZero() {
			t.Errorf("class %d: SendBefore is set to %v, %v before any attempt may have run",
				class, first.SendBefore, second.SendBefore)
		}
		reported := time.Now()
		second.Report(Outcome{Status: control.Reset, Written: true})
		third := <-egress.sent
		if early, late := failedAt.Add(3*time.Second-time.Second), reported.Add(3*time.Second); limited &&
			(third.SendBefore.Before(early) || third.SendBefore.After(late)) {
			t.Errorf("class %d: SendBefore is %v, want at most %v", class, third.SendBefore, late)
		}
		if !limited && !third.SendBefore.IsZero() {
			t.Errorf("class %d: SendBefore is %v, want none", class, third.SendBefore)
		}
		third.Report(Outcome{Status: control.OK, Written: true})
		if a := <-done; a.Kind != Served {
			t.Errorf("class %d: answered %+v", class, a)
		}
	}
}

// Requests that the core itself sheds must advise no longer wait than the settings allow, and none where these allow
// none. After Shed, later exchanges must be shed at once, without sending anything.
func TestShedKeepsToTheSettings(t *testing.T) {
	for _, s := range []struct {
		limits control.Limits
		want   time.Duration
	}{
		{control.Limits{MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: 2}, shedRetryAfter},
		{control.Limits{MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: 0.2}, 200 * time.Millisecond},
		{control.Limits{MaxAttempts: 2, MaxRetryAfter: 1}, 0},
	} {
		c, egress := startCore(t, s.limits)
		done := make(chan Answer, 3)
		for class := range 3 {
			go func() {
				done <- c.Do(context.Background(), Exchange{Class: class, Units: 1, Spread: 1, Deadline: time.Now().Add(20 * time.Second)})
			}()
			<-egress.sent
		}
		c.Shed()
		failed := 0
		for range 3 {
			switch a := <-done; {
			case a.Kind == Failed: // the unsafe exchange: it may have run
				failed++
			case a.Kind != Refused || a.RetryAfter != s.want:
				t.Errorf("%+v: answered %+v", s.limits, a)
			}
		}
		if failed != 1 {
			t.Errorf("%d exchanges failed, want only the unsafe one", failed)
		}
		for class := range 3 {
			a := c.Do(context.Background(), Exchange{Class: class, Units: 1, Spread: 1, Deadline: time.Now().Add(20 * time.Second)})
			if a.Kind != Refused || a.RetryAfter != s.want || a.MayHaveRun {
				t.Errorf("answered %+v after Shed", a)
			}
		}
		if len(egress.sent) > 0 {
			t.Error("an attempt was sent after Shed")
		}
	}
}

// Guards against a request running twice: whatever control decides, a second attempt may be sent beside the first only
// if the settings allow it, the class is safe to repeat and the body was not forwarded as it arrived.
func TestSecondCopyIsGuarded(t *testing.T) {
	allowed := control.Limits{MaxAttempts: 4, SecondCopies: true, Cancel: true}
	forbidden := control.Limits{MaxAttempts: 4, Cancel: true}
	for _, s := range []struct {
		name   string
		limits control.Limits
		class  int
		spent  func() bool
		sent   int
	}{
		{"a safe class", allowed, 0, nil, 2},
		{"the settings", forbidden, 0, nil, 1},
		{"a keyed class", allowed, 1, nil, 1},
		{"an unsafe class", allowed, 2, nil, 1},
		{"a message sent on as it came in", allowed, 0, func() bool { return false }, 1},
	} {
		egress := manualEgress{make(chan Attempt, 4)}
		c, err := New(control.Settings{
			Gateways: 1,
			Classes: []control.Class{
				{Aim: 5, Deadline: 20, Repeat: control.Safe},
				{Aim: 5, Deadline: 20, Repeat: control.Keyed, Window: 3},
				{Aim: 5, Deadline: 20, Repeat: control.Unsafe},
			},
			Plans: []control.Plan{{Rate: 100, Burst: 100}}, Limits: s.limits,
		}, 1, egress, unavailableCounter{}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		c.ctx = context.Background()
		c.held[1] = &heldExchange{
			id: 1, Exchange: Exchange{Class: s.class, BodyConsumed: s.spent, Deadline: time.Now().Add(20 * time.Second)},
			answer: make(chan Answer, 1), done: make(chan struct{}),
		}
		c.send(control.Send{ID: 1, Server: "one"})
		c.send(control.Send{ID: 1, Server: "two"})
		if len(egress.sent) != s.sent {
			t.Errorf("%s: %d attempts in flight at once, want %d", s.name, len(egress.sent), s.sent)
		}
		if s.sent == 1 && (len(c.selfMessages) != 1 || c.selfMessages[0].(attemptEnded).Status != control.NotSent) {
			t.Errorf("%s: the suppressed attempt ended as %+v, want Moot", s.name, c.selfMessages)
		}
	}
}

// Both copies of a request are answered, in either order or one after the other has failed: the client must get one
// answer, and the copy still in flight at that time must be cancelled.
func TestTwoCopiesGiveOneAnswer(t *testing.T) {
	c, egress := startCore(t, control.Limits{MaxAttempts: 6, SecondCopies: true, Cancel: true})
	ask := func() chan Answer {
		done := make(chan Answer, 1)
		go func() {
			done <- c.Do(context.Background(), Exchange{Class: 0, Units: 1, Spread: 1, Deadline: time.Now().Add(20 * time.Second)})
		}()
		return done
	}
	for range 60 { // so that control learns how long answers take
		done := ask()
		(<-egress.sent).Report(Outcome{Status: control.OK, Written: true})
		<-done
	}
	for winner := range 2 {
		done := ask()
		copies := []Attempt{<-egress.sent, <-egress.sent}
		if copies[0].Target == copies[1].Target {
			t.Errorf("both copies went to %s", copies[0].Target)
		}
		copies[winner].Report(Outcome{Status: control.OK, Written: true, Reply: winner})
		if a := <-done; a.Kind != Served || a.Reply != winner {
			t.Errorf("answered %+v, want the reply of attempt %d", a, winner)
		}
		loser := copies[1-winner]
		<-loser.Ctx.Done()
		loser.Report(Outcome{Status: control.OK, Written: true, Reply: "crossed"}) // crosses the cancellation
		c.Settle()
	}
	done := ask()
	first, second := <-egress.sent, <-egress.sent
	first.Report(Outcome{Status: control.Error, Written: true})
	c.Settle()
	if len(egress.sent) > 0 {
		t.Error("a third attempt was sent beside the copy")
	}
	second.Report(Outcome{Status: control.OK, Written: true, Reply: "copy"})
	if a := <-done; a.Kind != Served || a.Reply != "copy" {
		t.Errorf("answered %+v after the first attempt had failed", a)
	}
}

// Guards against Failed for a request that is harmless to retry, where the core answers before control can.
func TestOverdueIsAnsweredByItsClass(t *testing.T) {
	for class, want := range []Kind{control.Safe: Refused, control.Keyed: Refused, control.Unsafe: Failed} {
		synctest.Test(t, func(t *testing.T) {
			c, egress := startCore(t, control.Limits{MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: 2})
			a := c.Do(t.Context(), Exchange{Class: class, Units: 1, Spread: 1, Deadline: time.Now().Add(time.Second)})
			if len(egress.sent) == 0 {
				t.Fatal("nothing was sent")
			}
			if a.Kind != want || want == Refused && a.RetryAfter != shedRetryAfter {
				t.Errorf("class %d: answered %+v, want kind %v", class, a, want)
			}
			(<-egress.sent).Report(Outcome{Status: control.Cancelled})
		})
	}
}
