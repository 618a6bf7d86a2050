package control_test

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"junctionring/control"
)

// Each test here is one kind of trouble of docs/oncall.md, as one gateway sees it.

// fleet answers attempts after a time that a test gives for each server, and
// calls to the counter after a time of its own.
type fleet struct {
	*harness
	answer      func(server string) (after float64, st control.Status)
	rejects     func(server string, class int) bool // turned away at once
	answerCount func() (after float64, st control.Status)
	totals      map[uint64]float64
	pending     []pendingEvent
	sentTo      map[string]int
	callsTo     map[uint64]int
	refused     map[int]int // by class
	classOf     map[uint64]int
	attempts    map[uint64]int
}

type pendingEvent struct {
	at float64
	ev control.Event
}

func newFleet(t *testing.T, s control.Settings, servers ...string) *fleet {
	return &fleet{
		harness:     newHarness(t, s, readyMembers(servers...)...),
		answer:      func(string) (float64, control.Status) { return 0.1, control.OK },
		rejects:     func(string, int) bool { return false },
		answerCount: func() (float64, control.Status) { return 0.002, control.OK },
		totals:      map[uint64]float64{},
		sentTo:      map[string]int{},
		callsTo:     map[uint64]int{},
		refused:     map[int]int{},
		classOf:     map[uint64]int{},
		attempts:    map[uint64]int{},
	}
}

func (f *fleet) perform(acts []control.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case control.Send:
			after, st := f.answer(a.Server)
			if f.rejects(a.Server, f.classOf[a.ID]) {
				after, st = 0.01, control.Full
			}
			if a.Timeout > 0 && a.Timeout < after {
				after, st = a.Timeout, control.Timeout
			}
			f.sentTo[a.Server]++
			f.pending = append(f.pending, pendingEvent{f.now + after, control.Outcome{
				ID: a.ID, Server: a.Server, Attempt: f.attempts[a.ID], Status: st, Closed: st == control.OK, Elapsed: after,
			}})
			f.attempts[a.ID]++
		case control.Count:
			after, st := f.answerCount()
			f.callsTo[a.Name]++
			if st == control.OK {
				f.totals[a.Name] += a.Amount
			}
			f.pending = append(f.pending, pendingEvent{f.now + after, control.Counted{
				Name: a.Name, Status: st, Total: f.totals[a.Name], Elapsed: after,
			}})
		case control.Refuse:
			f.refused[f.classOf[a.ID]]++
		}
	}
}

// step lets time pass and delivers what falls due.
func (f *fleet) step(d float64) {
	f.now += d
	f.perform(f.handle(control.Timer{}))
	var later []pendingEvent
	now := f.pending
	f.pending = nil
	for _, p := range now {
		if p.at <= f.now {
			f.perform(f.handle(p.ev))
		} else {
			later = append(later, p)
		}
	}
	f.pending = append(later, f.pending...)
}

// offer brings one request in and tells whether it was sent on.
func (f *fleet) offer(class, plan int, customer uint64) bool {
	f.classOf[f.lastID+1] = class
	_, acts := f.request(class, plan, customer)
	f.perform(acts)
	return len(filter[control.Send](acts)) > 0
}

func (f *fleet) totalSent() int {
	n := 0
	for _, k := range f.sentTo {
		n += k
	}
	return n
}

func TestSilentCounterLeavesTheSplit(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c", "d")
	f.answerCount = func() (float64, control.Status) { return 0.05, control.Timeout }
	sent := 0
	for range 500 { // 10 s of far more than the quota
		if f.offer(0, 0, 5) {
			sent++
		}
		f.step(0.02)
	}
	if part := (8.0 + 2*10) / 2; float64(sent) > part+2 || float64(sent) < part/2 {
		t.Errorf("%d sent on in a silence, want about the part of %v", sent, part)
	}
}

func TestSlowCounterIsNotOverloadedByAFlood(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c", "d")
	f.answerCount = func() (float64, control.Status) { return 0.04, control.OK } // near its time-out
	busy := 0
	for i := range 1000 { // 20 s
		f.offer(0, 0, uint64(100+i)) // customers seen once
		if i%10 == 0 && f.offer(0, 1, 5) {
			busy++
		}
		f.step(0.02)
	}
	most, sum := 0, 0
	for _, n := range f.callsTo {
		most = max(most, n)
		sum += n
	}
	if sum > 1000 {
		t.Errorf("%d calls in 20 s to a counter that is crowded", sum)
	}
	if busy < 40 {
		t.Errorf("only %d of 100 of a steady customer sent on in a flood", busy)
	}
	if most < 2 {
		t.Error("the steady customer was never looked up again: the flood swamped the calls")
	}
}

func TestRestartGrantsNoCeilingBurst(t *testing.T) {
	s := settings()
	sent := 0
	for range 4 { // four lives of half a second each, with a silent counter
		f := newFleet(t, s, "a", "b", "c", "d")
		f.answerCount = func() (float64, control.Status) { return 0.05, control.Timeout }
		for range 50 {
			if f.offer(0, 1, 5) {
				sent++
			}
			f.step(0.01)
		}
	}
	if most := 8.0 / 2 * 2; float64(sent) > most {
		t.Errorf("%d sent on over four lives of 2 s in all, want at most the ceiling's rate: %v", sent, most)
	}
}

func TestServersInTrouble(t *testing.T) {
	for _, c := range []struct {
		name  string
		after float64
		st    control.Status
		most  float64 // share of all sends the server may get
	}{
		{"standing still", 2.5, control.Timeout, 0.08},
		{"slow", 0.8, control.OK, 0.15},
		{"full", 0.001, control.Full, 0.25},
		{"no connections", 0.25, control.ConnectFailed, 0.08},
		{"quick errors", 0.001, control.Error, 0.10},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, settings(), "a", "b", "c", "d")
			f.answer = func(server string) (float64, control.Status) {
				if server == "a" {
					return c.after, c.st
				}
				return 0.1, control.OK
			}
			for i := range 1000 {
				f.offer(2, 0, uint64(i)) // unsafe: no second attempts to hide behind
				f.step(0.02)
			}
			if share := float64(f.sentTo["a"]) / float64(f.totalSent()); share > c.most || f.sentTo["a"] == 0 {
				t.Errorf("it got %.2f of all attempts, want some, and at most %v", share, c.most)
			}
		})
	}
}

func TestRetriesStayInTheirBudget(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c", "d")
	f.answer = func(string) (float64, control.Status) { return 0.05, control.Error }
	for i := range 500 {
		f.offer(0, 0, uint64(i))
		f.step(0.02)
	}
	first := len(f.attempts)
	if extra := f.totalSent() - first; float64(extra) > 0.1*500+10 {
		t.Errorf("%d further attempts for %d requests, want about a tenth", extra, first)
	}
}

func TestOverloadRefusesTheLeastWorthFirst(t *testing.T) {
	f := newFleet(t, settings(), "a", "b")
	out := map[string]float64{} // each server works one request at a time
	f.answer = func(server string) (float64, control.Status) {
		out[server] = max(out[server], f.now) + 0.1
		return out[server] - f.now, control.OK
	}
	for i := range 2000 { // 50 a second against 20
		f.offer([]int{0, 2}[i%2], 0, uint64(i))
		f.step(0.02)
	}
	if f.refused[2] >= f.refused[0] {
		t.Errorf("refused %d of the cheap and %d of the dear", f.refused[0], f.refused[2])
	}
	if f.refused[0] < 200 {
		t.Errorf("only %d refused at more than twice the capacity", f.refused[0])
	}
}

func TestColdServerInOverload(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c")
	for i := range 300 {
		f.offer(0, 0, uint64(i))
		f.step(0.02)
	}
	f.perform(f.handle(control.Members{Kind: control.Delta, Entries: []control.Member{{Server: "a", Since: f.now}}}))
	clear(f.sentTo)
	for i := range 100 { // 2 s, the time after which too much work makes it fall
		f.offer(0, 0, uint64(1000+i))
		f.offer(0, 0, uint64(5000+i))
		f.step(0.02)
	}
	warmest := 0.2 + 0.8*2/10 // share of its capacity it has by then at the least
	if got, peer := float64(f.sentTo["a"]), float64(f.sentTo["b"]); got > peer*warmest+2 {
		t.Errorf("a cold server got %v while a warm one got %v", got, peer)
	}
}

func TestShareFollowsTheTraffic(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c", "d")
	sent := 0
	for range 1000 { // 20 s, all of this customer's requests come here
		if f.offer(0, 0, 5) {
			sent++
		}
		f.step(0.02)
	}
	if quota := 8 + 2*20.0; float64(sent) < 0.8*quota || float64(sent) > quota+1 {
		t.Errorf("%d sent on, want most of the quota of %v and not more", sent, quota)
	}
}

func TestSuspectedRestartIsSentLittle(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c")
	down := true
	f.answer = func(server string) (float64, control.Status) {
		if server == "a" && down {
			return 0.01, control.ConnectFailed
		}
		return 0.1, control.OK
	}
	for i := range 500 {
		f.offer(0, 0, uint64(i))
		f.step(0.02)
	}
	down = false // it is back; the list has told nothing
	clear(f.sentTo)
	for i := range 250 { // 5 s
		f.offer(0, 0, uint64(1000+i))
		f.step(0.02)
	}
	if got, peer := f.sentTo["a"], f.sentTo["b"]; got == 0 || float64(got) > 0.6*float64(peer) {
		t.Errorf("after a suspected restart it got %d, another %d", got, peer)
	}
}

// A gateway of a large fleet has seldom more than one attempt out, so its own
// slots never fill; late answers of servers it hardly knows must do.
func TestLateAnswersOfAnyServerShed(t *testing.T) {
	set := settings()
	set.Gateways = 400
	names := make([]string, 80)
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	for _, late := range []bool{false, true} {
		r := newHarness(t, set, readyMembers(names...)...)
		var sent [2]int
		for i := range 200 {
			for class, worth := range []int{0, 2} { // worth 2 and 5
				_, acts := r.request(worth, 0, uint64(2*i+class))
				for _, s := range filter[control.Send](acts) {
					if i >= 50 {
						sent[class]++
					}
					r.now += 0.2
					if late {
						r.now += 0.7
					}
					r.endAttempt(s, 0, control.OK)
				}
			}
			r.advance(0.1)
		}
		switch {
		case !late && sent[0]+sent[1] < 290:
			t.Errorf("only %v of 150 each sent on while answers are quick", sent)
		case late && (sent[0]+sent[1] > 200 || sent[0] >= sent[1] || sent[1] == 0):
			t.Errorf("%v of 150 each sent on while all answers are late, want few, and less of the cheap", sent)
		}
	}
}

func TestNoEarlyTimeoutWhilePressed(t *testing.T) {
	r := newHarness(t, settings(), readyMembers("a", "b")...)
	var sends []control.Send
	for i := range 40 { // nothing comes back
		_, acts := r.request(0, 0, uint64(i))
		sends = append(sends, filter[control.Send](acts)...)
	}
	if len(sends) < 4 || len(sends) == 40 {
		t.Fatalf("%d of 40 sent on, want the servers filled and the rest refused", len(sends))
	}
	if first, last := sends[0].Timeout, sends[len(sends)-1].Timeout; first == 0 || last != 0 {
		t.Errorf("time-outs of %v and then %v, want one only while there is room", first, last)
	}
}

// Reports that are missing, frozen or absurd must not steer anything.
func TestLoadReportsCannotMislead(t *testing.T) {
	counts := map[string]map[string]int{}
	for name, load := range map[string][]float64{"none": nil, "frozen": {0, 0, 0}, "absurd": {-1e300, 1e300}} {
		s := settings()
		s.LoadFrom, s.LoadFields = control.LoadInAnswers, []string{"q", "rif", "busy"}
		r := newHarness(t, s, readyMembers("a", "b", "c")...)
		counts[name] = map[string]int{}
		for i := range 300 {
			_, acts := r.request(0, 0, uint64(i))
			r.now += 0.02
			for _, a := range filter[control.Send](acts) {
				counts[name][a.Server]++
				r.handle(control.Outcome{ID: a.ID, Server: a.Server, Closed: true, Elapsed: 0.02, Load: load})
				r.handle(control.Probed{Server: a.Server, Load: load})
			}
		}
	}
	for name, got := range counts {
		if !reflect.DeepEqual(got, counts["none"]) || len(got) != 3 {
			t.Errorf("reports %s: attempts went %v, without reports %v", name, got, counts["none"])
		}
	}
}

func TestAFewCustomersFloodingLeaveOthersAlone(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c", "d")
	flooding, steady, asked := 0, 0, 0
	for i := range 1000 { // 20 s; two customers ask 50 a second each against 2
		for c := range uint64(2) {
			if f.offer(0, 0, c) {
				flooding++
			}
		}
		if i%50 == 0 { // a steady one asks once a second
			asked++
			if f.offer(0, 0, 9) {
				steady++
			}
		}
		f.step(0.02)
	}
	if quota := 2 * (8 + 2*20); flooding > quota+4 {
		t.Errorf("the flooding ones got %d, their quotas hold %d", flooding, quota)
	}
	if steady < asked*9/10 {
		t.Errorf("the steady customer got %d of %d", steady, asked)
	}
}

// Others' adds that come late at the counter show as a jump, and are drawn once.
func TestLaggingCounter(t *testing.T) {
	s := settings()
	s.Plans[0].Rate = 0.2 // a window of 40 s, a store of 8
	f := newFleet(t, s, "a", "b", "c", "d")
	f.offer(0, 0, 5)
	f.step(1)
	f.step(1)
	for name := range f.totals {
		f.totals[name] += 5 // two are left
	}
	sent := 0
	for range 100 { // 10 s, in which two more units come in
		if f.offer(0, 0, 5) {
			sent++
		}
		f.step(0.1)
	}
	if sent < 2 || sent > 6 {
		t.Errorf("%d sent on, want about the two left, the two that came in, and at most two unseen", sent)
	}
}

// Limits that a crowd has cut down are back within seconds of quick answers:
// one in a hundred for each would take minutes.
func TestLimitsRecoverAfterOverload(t *testing.T) {
	f := newFleet(t, settings(), serverNames(4)...)
	after := 0.9 // late, though within the aim
	f.answer = func(string) (float64, control.Status) { return after, control.OK }
	customer := uint64(0)
	play := func(seconds float64) (refused float64) {
		asked, before := 0, f.refused[2]
		for end := f.now + seconds; f.now < end; f.step(0.02) {
			customer++
			asked++
			f.offer(2, 0, customer)
		}
		return float64(f.refused[2]-before) / float64(asked)
	}
	play(60)
	after = 0.1
	play(8)
	if refused := play(10); refused > 0.3 {
		t.Errorf("%.2f refused eight seconds after answers are quick again", refused)
	}
}

// Requests whose bodies are slow to come in are no work at a server until their last byte: others are let in beside
// them as though they were not there. Once they are whole they count, and their time is judged from then on.
func TestIncomingBodiesAreNoWork(t *testing.T) {
	letIn := func(whole bool) (n int) {
		r := newHarness(t, settings(), control.Member{Server: "a"})
		var slow []control.Send
		for i := range 40 {
			r.lastID++
			acts := r.handle(control.Request{ID: r.lastID, Class: 3, Plan: 0, Customer: uint64(100 + i), TimeLeft: 3, Units: 1, Spread: 2, BodyIncoming: true})
			sent := filter[control.Send](acts)
			if len(sent) == 0 && whole {
				continue // a crowd already
			}
			if len(sent) != 1 || sent[0].Timeout != 0 {
				t.Fatalf("slow request %d: %v", i, acts)
			}
			if slow = append(slow, sent...); whole {
				r.handle(control.BodyReceived{ID: r.lastID})
			}
			r.now += 0.1
		}
		for i := range 40 {
			n += len(filter[control.Send](r.requestAnswered(0, 0, uint64(200+i))))
			r.now += 0.05
		}
		if !whole { // ten seconds after the first byte, a moment after the last: in time
			r.now += 10
			r.handle(control.BodyReceived{ID: slow[0].ID})
			r.now += 0.1
			if acts := r.handle(control.Outcome{ID: slow[0].ID, Server: "a", Status: control.ConnectFailed, Elapsed: 0.1}); len(filter[control.Refuse](acts))+len(filter[control.Send](acts)) != 1 {
				t.Errorf("a request within its time was not sent again nor refused: %v", acts)
			}
		}
		return n
	}
	if n := letIn(false); n != 40 {
		t.Errorf("beside bodies that are coming in %d of 40 were let in", n)
	}
	if n := letIn(true); n == 40 {
		t.Error("40 attempts out for seconds at one server are no crowd: the other half proves nothing")
	}
}

// A gateway that is about to end adds all it has used: in calls of the usual pace, also what an answer that was lost
// gives back, and says when nothing is left.
func TestEndingAddsWhatIsLeft(t *testing.T) {
	s := settings()

	r := newHarness(t, s, control.Member{Server: "a"})
	totals, out := map[uint64]float64{}, []control.Count{}
	take := func(acts []control.Action) { out = append(out, filter[control.Count](acts)...) }
	for i := range 30 {
		take(r.requestAnswered(0, 0, uint64(300+i)))
	}
	if r.g.UnflushedCustomers() == 0 {
		t.Fatal("all is added already: nothing to show")
	}
	take(r.handle(control.ShuttingDown{}))
	failed := false
	for range 2000 {
		r.now += 0.01
		if len(out) == 0 {
			take(r.handle(control.Timer{}))
			continue
		}
		c := out[0]
		out = out[1:]
		if c.Amount > 0 && !failed { // once: not added, and to be added later
			failed = true
			take(r.handle(control.Counted{Name: c.Name, Status: control.ConnectFailed}))
			continue
		}
		totals[c.Name] += c.Amount
		take(r.handle(control.Counted{Name: c.Name, Status: control.OK, Total: totals[c.Name], Elapsed: 0.001}))
	}
	sum := 0.0
	for _, n := range totals {
		sum += n
	}
	if r.g.UnflushedCustomers() != 0 || math.Abs(sum-30) > 1e-6 || !failed {
		t.Errorf("of 30 units %v were added, %d customers have some left", sum, r.g.UnflushedCustomers())
	}
}
