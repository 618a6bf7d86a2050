package control_test

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"junctionring/control"
)

// Each test shows one kind of fault that docs/oncall.md describes, as one gateway meets it.

// fleet is a harness that answers attempts and counter calls after times that the test sets, the former by server.
type fleet struct {
	*harness
	answerOf      func(server string) (after float64, st control.Status)
	rejects       func(server string, class int) bool // reports whether it rejects the class as full
	counterAnswer func() (after float64, st control.Status)
	totals        map[uint64]float64
	pending       []pendingEvent
	sentTo        map[string]int
	callsTo       map[uint64]int
	refused       map[int]int // by class
	classOf       map[uint64]int
	attempts      map[uint64]int
}

// pendingEvent is an event to deliver at a later time.
type pendingEvent struct {
	at float64
	ev control.Event
}

func newFleet(t *testing.T, s control.Settings, servers ...string) *fleet {
	return &fleet{
		harness:       newHarness(t, s, readyMembers(servers...)...),
		answerOf:      func(string) (float64, control.Status) { return 0.1, control.OK },
		rejects:       func(string, int) bool { return false },
		counterAnswer: func() (float64, control.Status) { return 0.002, control.OK },
		totals:        map[uint64]float64{},
		sentTo:        map[string]int{},
		callsTo:       map[uint64]int{},
		refused:       map[int]int{},
		classOf:       map[uint64]int{},
		attempts:      map[uint64]int{},
	}
}

// perform carries out the actions of the gateway.
func (f *fleet) perform(acts []control.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case control.Send:
			after, st := f.answerOf(a.Server)
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
			after, st := f.counterAnswer()
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

// step moves the clock forward and delivers the pending events that are due.
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

// offer passes a new request to the gateway and reports whether it was sent to a server.
func (f *fleet) offer(class, plan int, customer uint64) bool {
	f.classOf[f.lastID+1] = class
	_, acts := f.request(class, plan, customer)
	f.perform(acts)
	return len(filter[control.Send](acts)) > 0
}

// totalSent returns the number of attempts at all servers.
func (f *fleet) totalSent() int {
	n := 0
	for _, k := range f.sentTo {
		n += k
	}
	return n
}

func TestSilentCounterLeavesTheSplit(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c", "d")
	f.counterAnswer = func() (float64, control.Status) { return 0.05, control.Timeout }
	sent := 0
	for range 500 { // 10 s of far more than the quota
		if f.offer(0, 0, 5) {
			sent++
		}
		f.step(0.02)
	}
	if part := (8.0 + 2*10) / 2; float64(sent) > part+2 || float64(sent) < part/2 {
		t.Errorf("%d requests sent while the counter is silent, want at most 2 more than the split of %v, and at least half",
			sent, part)
	}
}

func TestSlowCounterIsNotOverloadedByAFlood(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c", "d")
	f.counterAnswer = func() (float64, control.Status) { return 0.04, control.OK } // near its time-out
	sent := 0
	for i := range 1000 { // 20 s
		f.offer(0, 0, uint64(100+i)) // customers seen once
		if i%10 == 0 && f.offer(0, 1, 5) {
			sent++
		}
		f.step(0.02)
	}
	most, sum := 0, 0
	for _, n := range f.callsTo {
		most = max(most, n)
		sum += n
	}
	if sum > 1000 {
		t.Errorf("%d calls in 20 s to an overloaded counter, want at most 1000", sum)
	}
	if sent < 40 {
		t.Errorf("%d of 100 requests of a steady customer sent during a flood, want at least 40", sent)
	}
	if most < 2 {
		t.Error("no count was called twice: the flood left no counter calls for the steady customer")
	}
}

func TestRestartGrantsNoCeilingBurst(t *testing.T) {
	s := settings()
	sent := 0
	for range 4 { // four processes of half a second each, with a silent counter
		f := newFleet(t, s, "a", "b", "c", "d")
		f.counterAnswer = func() (float64, control.Status) { return 0.05, control.Timeout }
		for range 50 {
			if f.offer(0, 1, 5) {
				sent++
			}
			f.step(0.01)
		}
	}
	if most := 8.0 / 2 * 2; float64(sent) > most {
		t.Errorf("%d requests sent by four processes in 2 s, want at most the split of the ceiling's rate: %v", sent, most)
	}
}

func TestServersInTrouble(t *testing.T) {
	for _, c := range []struct {
		name  string
		after float64
		st    control.Status
		most  float64 // highest allowed share of all attempts
	}{
		{"standing still", 2.5, control.Timeout, 0.08},
		{"slow", 0.8, control.OK, 0.15},
		{"full", 0.001, control.Full, 0.25},
		{"no connections", 0.25, control.ConnectFailed, 0.08},
		{"quick errors", 0.001, control.Error, 0.10},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, settings(), "a", "b", "c", "d")
			f.answerOf = func(server string) (float64, control.Status) {
				if server == "a" {
					return c.after, c.st
				}
				return 0.1, control.OK
			}
			for i := range 1000 {
				f.offer(2, 0, uint64(i)) // unsafe: no retries to other servers
				f.step(0.02)
			}
			if share := float64(f.sentTo["a"]) / float64(f.totalSent()); share > c.most || f.sentTo["a"] == 0 {
				t.Errorf("faulty server got %.2f of all attempts, want more than 0 and at most %v", share, c.most)
			}
		})
	}
}

func TestRetriesStayInTheirBudget(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c", "d")
	f.answerOf = func(string) (float64, control.Status) { return 0.05, control.Error }
	for i := range 500 {
		f.offer(0, 0, uint64(i))
		f.step(0.02)
	}
	first := len(f.attempts)
	if extra := f.totalSent() - first; float64(extra) > 0.1*500+10 {
		t.Errorf("%d retries of %d requests, want at most a tenth and 10", extra, first)
	}
}

func TestOverloadRefusesTheLeastWorthFirst(t *testing.T) {
	f := newFleet(t, settings(), "a", "b")
	busyUntil := map[string]float64{} // each server works one request at a time
	f.answerOf = func(server string) (float64, control.Status) {
		busyUntil[server] = max(busyUntil[server], f.now) + 0.1
		return busyUntil[server] - f.now, control.OK
	}
	for i := range 2000 { // 50 a second against 20
		f.offer([]int{0, 2}[i%2], 0, uint64(i))
		f.step(0.02)
	}
	if f.refused[2] >= f.refused[0] {
		t.Errorf("refused %d of class 0 (worth 2) and %d of class 2 (worth 5), want more of class 0",
			f.refused[0], f.refused[2])
	}
	if f.refused[0] < 200 {
		t.Errorf("%d refused at more than twice the capacity, want at least 200", f.refused[0])
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
	for i := range 100 { // 2 s: a cold server goes down after being overloaded for so long
		f.offer(0, 0, uint64(1000+i))
		f.offer(0, 0, uint64(5000+i))
		f.step(0.02)
	}
	warmest := 0.2 + 0.8*2/10 // least share of its capacity by then
	if got, peer := float64(f.sentTo["a"]), float64(f.sentTo["b"]); got > peer*warmest+2 {
		t.Errorf("cold server got %v attempts and a warm one %v, want at most %.2f of that and 2", got, peer, warmest)
	}
}

func TestShareFollowsTheTraffic(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c", "d")
	sent := 0
	for range 1000 { // 20 s, in which all of this customer's requests come to this gateway
		if f.offer(0, 0, 5) {
			sent++
		}
		f.step(0.02)
	}
	if quota := 8 + 2*20.0; float64(sent) < 0.8*quota || float64(sent) > quota+1 {
		t.Errorf("%d requests sent, want at least 0.8 of the quota of %v and at most 1 beyond it", sent, quota)
	}
}

func TestSuspectedRestartIsSentLittle(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c")
	down := true
	f.answerOf = func(server string) (float64, control.Status) {
		if server == "a" && down {
			return 0.01, control.ConnectFailed
		}
		return 0.1, control.OK
	}
	for i := range 500 {
		f.offer(0, 0, uint64(i))
		f.step(0.02)
	}
	down = false // it is back, and the list has not shown the restart
	clear(f.sentTo)
	for i := range 250 { // 5 s
		f.offer(0, 0, uint64(1000+i))
		f.step(0.02)
	}
	if got, peer := f.sentTo["a"], f.sentTo["b"]; got == 0 || float64(got) > 0.6*float64(peer) {
		t.Errorf("server with a suspected restart got %d attempts and another %d, want some and at most 0.6 of that", got, peer)
	}
}

// A gateway of a large fleet seldom has more than one attempt in flight, so its concurrency limits are never reached.
// Late answers must make it shed, even those of servers that it seldom uses.
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
			t.Errorf("%v of 150 requests of each class sent while answers are quick, want at least 290 in all", sent)
		case late && (sent[0]+sent[1] > 200 || sent[0] >= sent[1] || sent[1] == 0):
			t.Errorf("%v of 150 requests of each class sent while all answers are late, want at most 200, fewer of the cheaper",
				sent)
		}
	}
}

func TestNoEarlyTimeoutWhilePressed(t *testing.T) {
	r := newHarness(t, settings(), readyMembers("a", "b")...)
	var sends []control.Send
	for i := range 40 { // nothing is answered
		_, acts := r.request(0, 0, uint64(i))
		sends = append(sends, filter[control.Send](acts)...)
	}
	if len(sends) < 4 || len(sends) == 40 {
		t.Fatalf("%d of 40 requests sent, want 4 to 39: the limits reached and the rest refused", len(sends))
	}
	if first, last := sends[0].Timeout, sends[len(sends)-1].Timeout; first == 0 || last != 0 {
		t.Errorf("attempt time-outs of %v and then %v, want one without overload and none under overload", first, last)
	}
}

// Missing, frozen or absurd load reports must not change any decision.
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
			t.Errorf("reports %s: attempts %v, want the same at three servers as without reports: %v", name, got, counts["none"])
		}
	}
}

func TestAFewCustomersFloodingLeaveOthersAlone(t *testing.T) {
	f := newFleet(t, settings(), "a", "b", "c", "d")
	flooding, steady, asked := 0, 0, 0
	for i := range 1000 { // 20 s; two customers send 50 requests a second each, at a rate of 2
		for c := range uint64(2) {
			if f.offer(0, 0, c) {
				flooding++
			}
		}
		if i%50 == 0 { // a steady one sends one a second
			asked++
			if f.offer(0, 0, 9) {
				steady++
			}
		}
		f.step(0.02)
	}
	if quota := 2 * (8 + 2*20); flooding > quota+4 {
		t.Errorf("%d requests of the flooding customers sent, want at most 4 beyond their quotas of %d", flooding, quota)
	}
	if steady < asked*9/10 {
		t.Errorf("%d of %d requests of the steady customer sent, want at least nine tenths", steady, asked)
	}
}

// Units of other gateways that reach the counter late show as a jump of the total, and must be drawn exactly once.
func TestLaggingCounter(t *testing.T) {
	s := settings()
	s.Plans[0].Rate = 0.2 // a window of 40 s, a burst of 8
	f := newFleet(t, s, "a", "b", "c", "d")
	f.offer(0, 0, 5)
	f.step(1)
	f.step(1)
	for name := range f.totals {
		f.totals[name] += 5 // leaves two units
	}
	sent := 0
	for range 100 { // 10 s, in which two more units are refilled
		if f.offer(0, 0, 5) {
			sent++
		}
		f.step(0.1)
	}
	if sent < 2 || sent > 6 {
		t.Errorf("%d requests sent, want 2 to 6: two units left, two refilled, and at most two before the total was read", sent)
	}
}

// Limits that an overload has cut must recover within seconds of quick answers. If each server's limit grew by only
// one in a hundred with each of its own answers, that would take minutes.
func TestLimitsRecoverAfterOverload(t *testing.T) {
	f := newFleet(t, settings(), serverNames(4)...)
	after := 0.9 // late, though within the aim
	f.answerOf = func(string) (float64, control.Status) { return after, control.OK }
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
		t.Errorf("%.2f refused eight seconds after answers became quick again, want at most 0.3", refused)
	}
}

// A request is no work for its server until the last byte of its body: slow uploads must not cause refusals of other
// requests. Once its body is complete it counts as in flight, and its time starts.
func TestIncomingBodiesAreNoWork(t *testing.T) {
	admitted := func(whole bool) (n int) {
		r := newHarness(t, settings(), control.Member{Server: "a"})
		var slow []control.Send
		for i := range 40 {
			r.lastID++
			acts := r.handle(control.Request{
				ID: r.lastID, Class: 3, Plan: 0, Customer: uint64(100 + i), TimeLeft: 3, Units: 1, Spread: 2, BodyIncoming: true,
			})
			sent := filter[control.Send](acts)
			if len(sent) == 0 && whole {
				continue // the limit is reached
			}
			if len(sent) != 1 || sent[0].Timeout != 0 {
				t.Fatalf("request %d with a slow body: want one attempt without a time-out, got %v", i, acts)
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
		if !whole { // in time: ten seconds after the first byte, but 0.1 s after the last
			r.now += 10
			r.handle(control.BodyReceived{ID: slow[0].ID})
			r.now += 0.1
			if acts := r.handle(control.Outcome{
				ID: slow[0].ID, Server: "a", Status: control.ConnectFailed, Elapsed: 0.1,
			}); len(filter[control.Refuse](acts))+len(filter[control.Send](acts)) != 1 {
				t.Errorf("failed attempt of a request with time left: want one retry or one refusal, got %v", acts)
			}
		}
		return n
	}
	if n := admitted(false); n != 40 {
		t.Errorf("%d of 40 requests admitted while 40 bodies are incoming, want all", n)
	}
	if n := admitted(true); n == 40 {
		t.Error("no refusal with 40 complete requests at one server: the check with incoming bodies proves nothing")
	}
}

// A gateway that shuts down adds all its unflushed units to the counter, including those of a call that failed
// meanwhile, and reports when none are left.
func TestEndingAddsWhatIsLeft(t *testing.T) {
	s := settings()

	r := newHarness(t, s, control.Member{Server: "a"})
	totals, calls := map[uint64]float64{}, []control.Count{}
	collect := func(acts []control.Action) { calls = append(calls, filter[control.Count](acts)...) }
	for i := range 30 {
		collect(r.requestAnswered(0, 0, uint64(300+i)))
	}
	if r.g.UnflushedCustomers() == 0 {
		t.Fatal("no unflushed units before the shutdown: the test proves nothing")
	}
	collect(r.handle(control.ShuttingDown{}))
	failed := false
	for range 2000 {
		r.now += 0.01
		if len(calls) == 0 {
			collect(r.handle(control.Timer{}))
			continue
		}
		c := calls[0]
		calls = calls[1:]
		if c.Amount > 0 && !failed { // the first call fails; its units are to be added later
			failed = true
			collect(r.handle(control.Counted{Name: c.Name, Status: control.ConnectFailed}))
			continue
		}
		totals[c.Name] += c.Amount
		collect(r.handle(control.Counted{Name: c.Name, Status: control.OK, Total: totals[c.Name], Elapsed: 0.001}))
	}
	sum := 0.0
	for _, n := range totals {
		sum += n
	}
	if r.g.UnflushedCustomers() != 0 || math.Abs(sum-30) > 1e-6 || !failed {
		t.Errorf("%v units added and %d customers unflushed (a call failed: %v), want 30 and none after a failed call",
			sum, r.g.UnflushedCustomers(), failed)
	}
}
