package control_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"strconv"
	"testing"

	"junctionring/control"
)

// settings returns settings with round figures, which are not those of any deployment.
func settings() control.Settings {
	return control.Settings{
		Gateways: 2, Zone: "0",
		Classes: []control.Class{
			{Aim: 1, Deadline: 4, Worth: 2, Repeat: control.Safe},
			{Aim: 1, Deadline: 4, Worth: 2, Repeat: control.Keyed, Group: control.GroupZone, Window: 2},
			{Aim: 1, Deadline: 4, Worth: 5, Repeat: control.Unsafe},
			{Aim: 1, Deadline: 4, Worth: 2, Repeat: control.Keyed, Group: control.GroupAll, Window: 2},
		},
		Plans: []control.Plan{
			{Rate: 2, Burst: 8, Worth: 1, OverCost: 1},
			{Rate: 4, Burst: 8, Worth: 1, OverCost: 1, CeilingRate: 8, CeilingBurst: 16, CeilingSlack: 1},
			{Open: 4, Worth: 1, OverCost: 1},
		},
		Limits:     control.Limits{MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: 2},
		Guarantees: control.Guarantees{ColdFrom: 0.2, Ramp: 10, FallMultiple: 2, FallAfter: 2, AskEvery: 5},
		Counter:    control.CounterInfo{Allowed: true, Price: 0.005, Timeout: 0.05},
	}
}

// harness drives one gateway with a clock that tests set.
type harness struct {
	t      *testing.T
	g      *control.Gateway
	now    float64
	lastID uint64
}

func newHarness(t *testing.T, s control.Settings, servers ...control.Member) *harness {
	t.Helper()
	return newSeededHarness(t, s, 1, servers...)
}

// newSeededHarness is newHarness with another seed.
func newSeededHarness(t *testing.T, s control.Settings, seed uint64, servers ...control.Member) *harness {
	t.Helper()
	g, err := control.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, g: g, now: 1000}
	r.handle(control.Members{Kind: control.Cached, Entries: servers})
	return r
}

func (r *harness) handle(ev control.Event) []control.Action { return r.g.Handle(r.now, ev, nil) }

// request passes a new request to the gateway and returns its number and the gateway's actions.
func (r *harness) request(class, plan int, customer uint64) (uint64, []control.Action) {
	r.lastID++
	return r.lastID, r.handle(control.Request{
		ID: r.lastID, Class: class, Plan: plan, Customer: customer, TimeLeft: 3, Units: 1, Spread: 2,
	})
}

// requestAnswered is request with an immediate good answer to each attempt that was sent.
func (r *harness) requestAnswered(class, plan int, customer uint64) []control.Action {
	_, acts := r.request(class, plan, customer)
	for _, s := range filter[control.Send](acts) {
		r.endAttempt(s, 0, control.OK)
	}
	return acts
}

// advance moves the clock forward in steps of 20 ms with a timer event each, and returns the actions.
func (r *harness) advance(seconds float64) []control.Action {
	var acts []control.Action
	for end := r.now + seconds; r.now < end; {
		r.now += 0.02
		acts = append(acts, r.handle(control.Timer{})...)
	}
	return acts
}

// filter returns the actions of type A.
func filter[A control.Action](acts []control.Action) []A {
	var got []A
	for _, a := range acts {
		if a, ok := a.(A); ok {
			got = append(got, a)
		}
	}
	return got
}

// readyMembers returns list entries of ready, warm servers, alternately in zones 0 and 1.
func readyMembers(names ...string) []control.Member {
	var ms []control.Member
	for i, n := range names {
		ms = append(ms, control.Member{Server: n, Zone: strconv.Itoa(i % 2), Cell: strconv.Itoa(i), State: control.Ready})
	}
	return ms
}

// endAttempt ends an attempt with a status.
func (r *harness) endAttempt(s control.Send, attempt int, st control.Status) []control.Action {
	return r.handle(control.Outcome{ID: s.ID, Server: s.Server, Attempt: attempt, Status: st, Closed: st == control.OK})
}

func TestNewRefusesWrongSettings(t *testing.T) {
	for name, corrupt := range map[string]func(*control.Settings){
		"no class":         func(s *control.Settings) { s.Classes = nil },
		"no plan":          func(s *control.Settings) { s.Plans = nil },
		"negative rate":    func(s *control.Settings) { s.Plans[0].Rate = -1 },
		"negative ceiling": func(s *control.Settings) { s.Plans[1].CeilingRate = -1 },
		"no aim":           func(s *control.Settings) { s.Classes[0].Aim = 0 },
		"no gateway":       func(s *control.Settings) { s.Gateways = 0 },
		"NaN rate":         func(s *control.Settings) { s.Plans[0].Rate = math.NaN() },
		"infinite burst":   func(s *control.Settings) { s.Plans[0].Burst = math.Inf(1) },
		"infinite aim":     func(s *control.Settings) { s.Classes[0].Aim = math.Inf(1) },
		"NaN ramp":         func(s *control.Settings) { s.Guarantees.Ramp = math.NaN() },
		"NaN price":        func(s *control.Settings) { s.Counter.Price = math.NaN() },
	} {
		s := settings()
		corrupt(&s)
		if _, err := control.New(s, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestFirstSightGivesTheEvenSplit(t *testing.T) {
	r := newHarness(t, settings(), readyMembers("a", "b", "c", "d", "e", "f")...)
	sent := 0
	for range 8 {
		id, acts := r.request(0, 0, 5)
		for _, s := range filter[control.Send](acts) {
			sent++
			r.handle(control.Outcome{ID: id, Server: s.Server, Status: control.OK, Closed: true})
		}
	}
	if sent != 4 {
		t.Errorf("%d of 8 first requests of a customer admitted, want burst/spread = 4", sent)
	}
}

// answerCount answers the only counter call in acts with a status and a total.
func (r *harness) answerCount(acts []control.Action, st control.Status, total float64) (control.Count, []control.Action) {
	r.t.Helper()
	calls := filter[control.Count](acts)
	if len(calls) != 1 {
		r.t.Fatalf("%d counter calls, want 1: %v", len(calls), acts)
	}
	return calls[0], r.handle(control.Counted{Name: calls[0].Name, Status: st, Total: total, Elapsed: 0.002})
}

func TestTotalsOfOthersUseUpTheQuota(t *testing.T) {
	r := newHarness(t, settings(), readyMembers("a", "b", "c")...)
	_, acts := r.request(0, 0, 5)
	acts = append(acts, r.advance(1.2)...)
	r.answerCount(acts, control.OK, 9) // other gateways used 8: the bucket is empty
	_, acts = r.request(0, 0, 5)
	refused := filter[control.Refuse](acts)
	if len(refused) != 1 {
		t.Fatalf("want a refusal with the quota used up, got %v", acts)
	}
	// The bucket refills one unit in half a second; this gateway's split of it would take twice as long.
	if hint := refused[0].RetryAfter; hint <= 0 || hint > 0.5 {
		t.Errorf("retry-after hint of %v s, want the time in which the bucket refills one unit, up to 0.5 s", hint)
	}
}

// Units of a failed counter call must be added exactly once: again if the call certainly added nothing, and after
// a time-out only if a read shows that they are missing.
func TestNoDeltaIsLostOrAddedTwice(t *testing.T) {
	for _, c := range []struct {
		name   string
		status control.Status
		total  float64 // returned by the read
		readd  bool
	}{
		{"full", control.Full, 0, true},
		{"connect failed", control.ConnectFailed, 0, true},
		{"timeout, not made", control.Timeout, 0, true},
		{"timeout, made", control.Timeout, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.Plans[0].Rate = 0.4 // long windows
			r := newHarness(t, s, readyMembers("a", "b")...)
			acts := r.requestAnswered(0, 0, 5)
			first, _ := r.answerCount(append(acts, r.advance(1.2)...), c.status, 0)
			if first.Amount != 1 {
				t.Fatalf("first call added %v, want 1", first.Amount)
			}
			next := r.advance(1.4)
			if c.status == control.Timeout {
				read, more := r.answerCount(next, control.OK, c.total)
				if read.Amount != 0 || read.Name != first.Name {
					t.Fatalf("want a read of the same name that adds nothing, got %+v", read)
				}
				r.requestAnswered(0, 0, 5) // one more unit, so that a call is due in any case
				next = append(more, r.advance(1.2)...)
				want := 1.0
				if c.readd {
					want = 2
				}
				if got, _ := r.answerCount(next, control.OK, 2); got.Amount != want {
					t.Errorf("call after the read added %v, want %v", got.Amount, want)
				}
				return
			}
			if again, _ := r.answerCount(next, control.OK, 1); again.Amount != 1 {
				t.Errorf("call after the failed one added %v, want 1", again.Amount)
			}
		})
	}
}

// runCounter answers counter calls like a working counter for some seconds.
func (r *harness) runCounter(seconds float64, totals map[uint64]float64, acts []control.Action) {
	for end := r.now + seconds; r.now < end; acts = append(acts, r.advance(0.02)...) {
		calls := filter[control.Count](acts)
		acts = nil
		for _, c := range calls {
			totals[c.Name] += c.Amount
			acts = append(acts, r.handle(control.Counted{Name: c.Name, Total: totals[c.Name], Elapsed: 0.002})...)
		}
	}
}

func TestEmptiedCounterIsPostedAgain(t *testing.T) {
	s := settings()
	s.Plans[0].Rate = 0.2 // a window of 40 s
	r := newHarness(t, s, readyMembers("a", "b")...)
	totals := map[uint64]float64{}
	for range 3 {
		r.runCounter(2, totals, r.requestAnswered(0, 0, 5))
	}
	clear(totals)
	acts := r.requestAnswered(0, 0, 5)
	r.runCounter(4, totals, acts)
	sum := 0.0
	for _, v := range totals {
		sum += v
	}
	if sum != 4 {
		t.Errorf("the counter holds %v after it lost its totals, want 4: the 3 lost units and 1 new one", sum)
	}
}

// While the counter rejects every call, all gateways together make few calls, at any number of gateways.
func TestCallsSlowDownWhenTurnedAway(t *testing.T) {
	for _, gateways := range []int{2, 10, 100, 500} {
		set := settings()
		set.Gateways = gateways
		r := newHarness(t, set, readyMembers("a", "b", "c")...)
		calls := 0
		for i := range 1000 {
			r.lastID++
			acts := r.handle(control.Request{
				ID: r.lastID, Plan: 0, Customer: uint64(i % 50), TimeLeft: 3, Units: 1, Spread: gateways,
			})
			acts = append(acts, r.advance(0.1)...)
			for _, s := range filter[control.Send](acts) {
				acts = append(acts, r.endAttempt(s, 0, control.OK)...)
			}
			for len(acts) > 0 {
				var more []control.Action
				for _, c := range filter[control.Count](acts) {
					if i >= 200 {
						calls++
					}
					more = append(more, r.handle(control.Counted{Name: c.Name, Status: control.Full, Elapsed: 0.001})...)
				}
				acts = more
			}
		}
		if rate := float64(calls*gateways) / 80; rate < 10 || rate > 80 {
			t.Errorf("%d gateways together make %.0f calls a second to a counter that rejects them, want 10 to 80",
				gateways, rate)
		}
	}
}

func TestCeilingHoldsWithoutACounter(t *testing.T) {
	r := newHarness(t, settings(), readyMembers("a", "b", "c", "d", "e", "f")...)
	sent := 0
	for range 500 { // 5 s
		id, acts := r.request(0, 1, 9)
		for _, s := range filter[control.Send](acts) {
			sent++
			r.handle(control.Outcome{ID: id, Server: s.Server, Status: control.OK, Closed: true})
		}
		r.now += 0.01
	}
	// This gateway's split: half of 8 a second for 5 s, without a burst, which it may have spent before a restart.
	if sent > 20 {
		t.Errorf("%d attempts in the 5 s after the start, want at most 20", sent)
	}
}

func TestOpenLimitIsSplit(t *testing.T) {
	r := newHarness(t, settings(), readyMembers("a", "b", "c", "d", "e", "f")...)
	sent := 0
	for range 6 {
		_, acts := r.request(0, 2, 9)
		sent += len(filter[control.Send](acts))
	}
	if sent != 2 {
		t.Errorf("%d attempts in flight, want 2: half of the plan's 4", sent)
	}
}

// If a plan limits both the rate and the attempts in flight, the gateway estimates the attempts in flight at other
// gateways from the counter's totals. An even split would waste part of the limit where answers are quick; where
// they are slow, no more than the rest may be used.
func TestOpenLimitGoesByWhatOthersLikelyHaveOut(t *testing.T) {
	for _, c := range []struct {
		aim         control.Seconds // the initial estimate of the time to answer is a fifth of it
		least, most int             // attempts sent for the 6 simultaneous requests
	}{{1, 5, 6}, {10, 0, 3}} {
		const others = 18 // units a second
		s := settings()
		s.Plans[0] = control.Plan{Rate: 20, Burst: 60, Open: 6, Worth: 1, OverCost: 1}
		s.Classes[0].Aim, s.Classes[0].Deadline = c.aim, 20
		var servers []control.Member
		for _, name := range serverNames(9) {
			servers = append(servers, control.Member{Server: name})
		}
		r := newHarness(t, s, servers...)
		totals := map[uint64]float64{}
		for range 40 { // 4 s
			var acts []control.Action
			acts = append(acts, r.requestAnswered(0, 0, 5)...)
			for end := r.now + 0.1; r.now < end; acts = r.advance(0.02) {
				for _, call := range filter[control.Count](acts) {
					if _, known := totals[call.Name]; !known {
						totals[call.Name] = 0
					}
					totals[call.Name] += call.Amount
					r.handle(control.Counted{Name: call.Name, Total: totals[call.Name], Elapsed: 0.002})
				}
			}
			for name := range totals {
				totals[name] += others / 10.0
			}
		}
		sent := 0
		for range 6 {
			_, acts := r.request(0, 0, 5)
			sent += len(filter[control.Send](acts))
		}
		if sent < c.least || sent > c.most {
			t.Errorf("aim %v s: %d of 6 simultaneous requests sent, want %d to %d", c.aim, sent, c.least, c.most)
		}
	}
}

// Servers missing from a full list are forgotten, so that memory does not grow with every replacement, and one that
// is listed later under the same id is new.
func TestServersNotOnAWholeListAreForgotten(t *testing.T) {
	r := newHarness(t, settings(), control.Member{Server: "old"})
	for i := range 100 {
		r.handle(control.Members{
			Kind: control.Snapshot, Version: int64(i), Entries: []control.Member{{Server: fmt.Sprint("s", i)}},
		})
	}
	if n := r.g.ServerCount(); n != 1 {
		t.Errorf("%d servers kept, want 1", n)
	}
	_, acts := r.request(0, 0, 5)
	if sent := filter[control.Send](acts); len(sent) != 1 || sent[0].Server != "s99" {
		t.Errorf("sent %v, want one attempt at s99", sent)
	}
}

func TestRepeatsAndRefusalsByClass(t *testing.T) {
	const safe, keyed, unsafe, keyedAll = 0, 1, 2, 3
	for _, c := range []struct {
		class  int
		status control.Status
		again  bool // another attempt is expected
	}{
		{safe, control.Timeout, true}, {safe, control.Error, true}, {safe, control.Full, true},
		{unsafe, control.Timeout, false}, {unsafe, control.Reset, false}, {unsafe, control.Error, false},
		{unsafe, control.Full, true}, {unsafe, control.ConnectFailed, true},
		{keyed, control.Reset, true}, {keyedAll, control.Reset, true},
		{safe, control.NotSent, false},
	} {
		r := newHarness(t, settings(), readyMembers("a", "b", "c", "d")...)
		_, acts := r.request(c.class, 0, 5)
		first := filter[control.Send](acts)[0]
		acts = r.endAttempt(first, 0, c.status)
		again := filter[control.Send](acts)
		if (len(again) == 1) != c.again {
			t.Errorf("class %d, status %d: further attempts %v, want one: %v", c.class, c.status, again, c.again)
		}
		zone := map[string]int{"a": 0, "b": 1, "c": 0, "d": 1}
		if c.class == keyed && len(again) == 1 && zone[again[0].Server] != zone[first.Server] {
			t.Errorf("keyed request sent to %s and then outside its group, to %s", first.Server, again[0].Server)
		}
		if c.class == unsafe && !c.again && len(filter[control.Fail](acts)) != 1 {
			t.Errorf("unsafe request that may have run: want Fail, got %v", acts)
		}
	}
}

func TestKeyedIsNotSentAgainAfterItsWindow(t *testing.T) {
	r := newHarness(t, settings(), readyMembers("a", "b", "c", "d")...)
	_, acts := r.request(1, 0, 5)
	first := filter[control.Send](acts)[0]
	r.now += 2.1
	if acts = r.endAttempt(first, 0, control.Reset); len(filter[control.Fail](acts)) != 1 {
		t.Errorf("keyed request after its window: want Fail, got %v", acts)
	}
}

func TestAttemptsAreCapped(t *testing.T) {
	r := newHarness(t, settings(), readyMembers("a", "b", "c", "d")...)
	_, acts := r.request(0, 0, 5)
	n := 0
	for sends := filter[control.Send](acts); len(sends) == 1; sends = filter[control.Send](acts) {
		acts = r.endAttempt(sends[0], n, control.ConnectFailed)
		n++
	}
	if n != 3 || len(filter[control.Refuse](acts)) != 1 {
		t.Errorf("%d attempts followed by %v, want 3 attempts followed by Refuse", n, acts)
	}
}

func TestDrainingAndRemovedGetNothing(t *testing.T) {
	for _, ev := range []control.Members{
		{Kind: control.Delta, Entries: []control.Member{{Server: "a", State: control.Draining}}},
		{Kind: control.Delta, Entries: []control.Member{{Server: "a", State: control.Removed}}},
		{Kind: control.Snapshot, Entries: readyMembers("b")},
	} {
		r := newHarness(t, settings(), readyMembers("a", "b")...)
		r.handle(ev)
		for i := range 20 {
			_, acts := r.request(0, 0, uint64(i))
			for _, s := range filter[control.Send](acts) {
				if s.Server == "a" {
					t.Fatalf("sent to server a after %+v", ev)
				}
			}
		}
	}
}

func TestSubscribesAndAsksAgain(t *testing.T) {
	s := settings()
	s.Subscribe = true
	g, err := control.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, g: g, now: 10}
	if n := len(filter[control.Watch](r.handle(control.Members{Kind: control.Cached, Entries: readyMembers("a")}))); n != 1 {
		t.Fatalf("%d subscriptions at the start, want 1", n)
	}
	r.handle(control.Members{Kind: control.Failed})
	if n := len(filter[control.Watch](r.advance(3))); n != 1 {
		t.Errorf("%d subscriptions after a failure, want 1", n)
	}
}

func TestColdServerGetsLittle(t *testing.T) {
	members := readyMembers("a", "b", "c")
	r := newHarness(t, settings(), members...)
	counts := map[string]int{}
	run := func(n int) {
		clear(counts)
		for i := range n {
			_, acts := r.request(0, 0, uint64(i))
			for _, s := range filter[control.Send](acts) {
				counts[s.Server]++
				r.now += 0.02
				r.endAttempt(s, 0, control.OK)
			}
		}
	}
	run(200)
	cold := members[0]
	cold.Since = r.now
	r.handle(control.Members{Kind: control.Delta, Entries: []control.Member{cold}})
	run(100) // in the 2 s after its start, the least share of its capacity rises from 0.2 to 0.36
	if n := counts["a"]; n == 0 || n > 100/3/2 {
		t.Errorf("cold server got %d of 100 attempts, want 1 to 16: at most half of an even share", n)
	}
}

// A server that fails quickly looks fast and must not attract traffic for it. It is used again once it answers well.
func TestFailingServersAreLeftAloneAndTriedAgain(t *testing.T) {
	for _, st := range []control.Status{control.Error, control.ConnectFailed, control.Reset} {
		r := newHarness(t, settings(), readyMembers("a", "b", "c")...)
		bad, last := 0, 0
		for i := range 1000 {
			_, acts := r.request(0, 0, uint64(i))
			for n := 0; len(filter[control.Send](acts)) > 0; n++ {
				s := filter[control.Send](acts)[0]
				end := control.OK
				if s.Server == "a" && i < 400 {
					bad++
					end = st
				}
				if s.Server == "a" && i >= 400 {
					last++
				}
				r.now += 0.01
				acts = r.endAttempt(s, n, end)
			}
			r.now += 0.02
		}
		if bad > 30 {
			t.Errorf("status %d: failing server got %d of 400 requests' attempts, want at most 30", st, bad)
		}
		if last == 0 {
			t.Errorf("status %d: recovered server got no attempt", st)
		}
	}
}

func TestNeverAllServersOut(t *testing.T) {
	r := newHarness(t, settings(), readyMembers("a", "b")...)
	for i := range 40 {
		_, acts := r.request(0, 0, uint64(i))
		for n := 0; len(filter[control.Send](acts)) > 0; n++ {
			acts = r.endAttempt(filter[control.Send](acts)[0], n, control.Error)
		}
		r.now += 0.01
	}
	if _, acts := r.request(0, 0, 99); len(filter[control.Send](acts)) != 1 {
		t.Errorf("all servers failing: want one attempt, got %v", acts)
	}
}

func TestFloodOfCustomersSeenOnceIsForgotten(t *testing.T) {
	r := newHarness(t, settings(), readyMembers("a", "b", "c")...)
	calls := 0
	for i := range 5000 {
		_, acts := r.request(0, 0, uint64(1000+i))
		for _, s := range filter[control.Send](acts) {
			acts = append(acts, r.endAttempt(s, 0, control.OK)...)
		}
		for _, c := range filter[control.Count](append(acts, r.advance(0.02)...)) {
			calls++
			r.handle(control.Counted{Name: c.Name, Status: control.OK, Total: c.Amount, Elapsed: 0.001})
		}
	}
	if kept := r.g.CustomerCount(); kept > 2000 {
		t.Errorf("%d customers kept after 5000 seen once, want at most 2000", kept)
	}
	if calls > 10000 {
		t.Errorf("%d counter calls for 5000 customers seen once, want at most 10000", calls)
	}
}

// TestRandomDays feeds valid events in random order and checks that the actions keep to the rules for attempts and
// final answers.
func TestRandomDays(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomEvents(t, seed) })
	}
}

func FuzzDays(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(runRandomEvents)
}

// trackedRequest is what the test knows about one request.
type trackedRequest struct {
	class    int
	deadline float64
	sends    []control.Send
	sentAt   []float64
	statuses []control.Status // -1: in flight
	final    bool
}

// runRandomEvents checks one random sequence of events, and that a second gateway with the same seed acts the same.
func runRandomEvents(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := settings()
	s.Limits.SecondCopies = seed%3 == 0
	s.Subscribe = seed%4 == 0
	s.Limits.Cancel = seed%5 != 0
	g, err := control.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	twin, _ := control.New(s, seed)
	now := 50.0
	members := readyMembers("a", "b", "c", "d", "e")
	up := map[string]bool{"a": true, "b": true, "c": true, "d": true, "e": true}
	requests := map[uint64]*trackedRequest{}
	var order []uint64
	var counts []control.Count
	handle := func(ev control.Event) {
		acts := g.Handle(now, ev, nil)
		if other := twin.Handle(now, ev, nil); !reflect.DeepEqual(acts, other) {
			t.Fatalf("two gateways with the same seed and events differ in their actions:\n%v\n%v", acts, other)
		}
		for _, a := range acts {
			switch a := a.(type) {
			case control.Send:
				req := requests[a.ID]
				if req == nil || req.final {
					t.Fatalf("attempt of a closed or unknown request: %+v", a)
				}
				if !up[a.Server] {
					t.Fatalf("sent to %s, which is not ready", a.Server)
				}
				checkRepeat(t, s, req, a, now)
				req.sends, req.sentAt, req.statuses = append(req.sends, a), append(req.sentAt, now), append(req.statuses, -1)
			case control.Refuse:
				checkFinal(t, requests, a.ID)
				for i, st := range requests[a.ID].statuses {
					class := s.Classes[requests[a.ID].class]
					free := class.Repeat == control.Safe || class.Repeat == control.Keyed && class.Group == control.GroupAll
					if !free && mayHaveRun(st) {
						t.Fatalf("request %d refused although attempt %d may have run", a.ID, i)
					}
				}
			case control.Fail:
				checkFinal(t, requests, a.ID)
			case control.Count:
				counts = append(counts, a)
			case control.Cancel:
				if !s.Limits.Cancel {
					t.Fatal("attempt cancelled although the settings don't allow it")
				}
			}
		}
	}
	handle(control.Members{Kind: control.Cached, Entries: members})
	for step := range 1500 {
		now += rng.Float64() * 0.02
		switch k := rng.IntN(10); {
		case k < 4:
			id := uint64(step + 1)
			requests[id] = &trackedRequest{class: rng.IntN(4), deadline: now + 3}
			order = append(order, id)
			handle(control.Request{ID: id, Class: requests[id].class, Plan: rng.IntN(3), Customer: rng.Uint64N(9),
				TimeLeft: 3, Units: 1, Spread: 2})
		case k < 7 && len(order) > 0:
			id := order[rng.IntN(len(order))]
			req := requests[id]
			for i, st := range req.statuses {
				if st >= 0 {
					continue
				}
				st = control.Status(rng.IntN(7))
				if rng.IntN(2) == 0 {
					st = control.OK
				}
				req.statuses[i] = st
				req.final = req.final || st == control.OK
				handle(control.Outcome{ID: id, Server: req.sends[i].Server, Attempt: i, Status: st, Closed: req.final,
					Elapsed: now - req.sentAt[i]})
				break
			}
		case k == 7 && len(counts) > 0:
			c := counts[0]
			counts = counts[1:]
			handle(control.Counted{Name: c.Name, Status: []control.Status{0, 0, 2, 3, 4}[rng.IntN(5)],
				Total: float64(rng.IntN(12)), Elapsed: 0.01})
		case k == 8 && rng.IntN(4) == 0:
			m := members[rng.IntN(len(members))]
			m.State = control.MemberState(rng.IntN(3))
			m.Since = now
			up[m.Server] = m.State == control.Ready
			handle(control.Members{Kind: control.Delta, Entries: []control.Member{m}})
		case k == 9 && len(order) > 0 && rng.IntN(5) == 0:
			id := order[rng.IntN(len(order))]
			requests[id].final = true
			handle(control.ClientGone{ID: id})
		default:
			handle(control.Timer{Token: uint64(rng.IntN(3))})
			handle(control.Probed{Server: "nobody", Status: control.OK})
			handle(control.Outcome{ID: 1 << 30, Server: "a"})
			handle(control.Counted{Name: 12345})
			handle(control.PeerMessage{From: 1, Data: "\x00?"})
		}
	}
	for len(counts) > 0 { // answer the calls in flight
		c := counts[0]
		counts = counts[1:]
		handle(control.Counted{Name: c.Name, Status: control.Timeout, Elapsed: 0.03})
	}
	for _, id := range order { // attempts in flight end at the deadline
		for i, st := range requests[id].statuses {
			if req := requests[id]; st < 0 {
				req.statuses[i] = control.Timeout
				now = max(now, req.deadline)
				handle(control.Outcome{ID: id, Server: req.sends[i].Server, Attempt: i, Status: control.Timeout,
					Closed: req.final, Elapsed: now - req.sentAt[i]})
			}
		}
	}
	for _, id := range order {
		req := requests[id]
		if out := len(req.statuses) > 0 && req.statuses[len(req.statuses)-1] < 0; !req.final && !out {
			t.Fatalf("request %d has no final answer and no attempt in flight", id)
		}
	}
}

// mayHaveRun reports whether an attempt with this status may have run.
func mayHaveRun(st control.Status) bool {
	return st != control.Full && st != control.ConnectFailed && st != control.NotSent
}

// checkFinal records a final answer, and fails the test if the request has one already.
func checkFinal(t *testing.T, open map[uint64]*trackedRequest, id uint64) {
	t.Helper()
	req := open[id]
	if req == nil || req.final {
		t.Fatalf("final answer for request %d, which is closed or unknown", id)
	}
	req.final = true
}

// checkRepeat fails the test if the class of a request forbids another attempt at this server.
func checkRepeat(t *testing.T, s control.Settings, req *trackedRequest, a control.Send, now float64) {
	t.Helper()
	zone := map[string]int{"a": 0, "b": 1, "c": 0, "d": 1, "e": 0}
	class := s.Classes[req.class]
	if len(req.sends) >= s.Limits.MaxAttempts {
		t.Fatalf("attempt %d, at most %d are allowed", len(req.sends)+1, s.Limits.MaxAttempts)
	}
	for i, st := range req.statuses {
		if st < 0 && !(s.Limits.SecondCopies && class.Repeat == control.Safe) {
			t.Fatal("two attempts of a request in flight at once where hedging is not allowed")
		}
		if !mayHaveRun(st) {
			continue
		}
		switch class.Repeat {
		case control.Unsafe:
			t.Fatalf("unsafe request sent again after status %d, which may have run", st)
		case control.Keyed:
			if now >= req.sentAt[i]+class.Window {
				t.Fatal("keyed request sent again after its window")
			}
			if class.Group == control.GroupZone && zone[a.Server] != zone[req.sends[i].Server] {
				t.Fatal("keyed request sent again outside its group")
			}
		}
	}
}
