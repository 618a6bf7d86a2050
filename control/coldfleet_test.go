package control_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"junctionring/control"
)

// The simulated fleet: gateways that share servers of processor-sharing cores, some of which start cold while
// traffic doubles. Quotas are off, so that all that is refused is refused for want of servers.

const (
	simTick            = 0.004 // s
	simCores           = 3.0
	simMaxQueue        = 60 // requests at a server beyond which it turns away
	simMinListDelay    = 0.3
	simListDelayRange  = 1.4 // s that a gateway's list may lag beyond simDiscovery
	simWarmUp          = 10.0
	simDuration        = 34.0
	simBurstFrom       = 12.0
	simBurstTo         = 18.0
	simBurstFactor     = 2.0
	simLoad            = 0.5 // of the capacity of all servers while warm, before the burst
	simCrashAt         = 13.0
	simCrashDuration   = 1.5
	simReplaceInterval = 0.8 // s between the replacements of a release
)

// simClass is a class of the simulated traffic.
type simClass struct {
	share float64 // of the requests
	work  float64 // s, mean; exponential
}

// simJob is a request at a server.
type simJob struct {
	gateway  *simGateway
	request  *simRequest
	attempt  int
	workLeft float64 // s of work
	timeout  float64 // absolute; 0: none
	ended    bool
}

// simRequest is a client's request.
type simRequest struct {
	id        uint64
	class     int
	arrivedAt float64
	work      float64
	attempts  int
	ended     bool
}

// simServer is one server: its cores share what is at it.
type simServer struct {
	name         string
	speed        float64
	startedAt    float64 // last start; 0: long past
	up           bool
	jobs         []*simJob
	coldArrivals []float64 // times of the calls that it took while cold
}

// simGateway is one control instance with its view of time and list.
type simGateway struct {
	*harness
	set          control.Settings
	ordinal      int
	requests     map[uint64]*simRequest
	timerAt      float64
	pendingLists []simList // still to be learned
}

type simList struct {
	at      float64
	entries []control.Member
}

// simFleet is all of it.
type simFleet struct {
	t            *testing.T
	rng          *rand.Rand
	set          control.Settings
	classes      []simClass
	now          float64
	gateways     []*simGateway
	servers      map[string]*simServer
	order        []*simServer
	members      map[string]control.Member
	earnedWorth  []float64 // by class, worth in time
	offeredWorth []float64
	refused      []int
	late         []int
	timedOut     []int
	lastID       uint64
	choose       func(f *simFleet, r *simRequest) *simServer // the policy that knows all; nil: the gateways
}

func newSimFleet(t *testing.T, set control.Settings, classes []simClass, servers int, seed uint64) *simFleet {
	f := &simFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), set: set, classes: classes, now: 1000,
		servers: map[string]*simServer{}, members: map[string]control.Member{},
		earnedWorth: make([]float64, len(classes)), offeredWorth: make([]float64, len(classes)),
		refused: make([]int, len(classes)), late: make([]int, len(classes)), timedOut: make([]int, len(classes)),
	}
	for i := range servers {
		f.addServer(fmt.Sprint("s", i), 0)
	}
	for i := range set.Gateways {
		f.gateways = append(f.gateways, f.startGateway(i, seed))
	}
	return f
}

// add starts a server.
func (f *simFleet) addServer(name string, since float64) {
	speed := 0.97
	if len(f.order)%2 == 1 {
		speed = 0.6
	}
	s := &simServer{name: name, speed: speed, startedAt: since, up: true}
	f.servers[name] = s
	f.order = append(f.order, s)
	f.members[name] = control.Member{Server: name, Since: since}
}

// start begins a gateway with the list as it is.
func (f *simFleet) startGateway(ordinal int, seed uint64) *simGateway {
	set := f.set
	set.Ordinal = ordinal
	g, err := control.New(set, seed*1000+uint64(ordinal)+uint64(f.now*10))
	if err != nil {
		f.t.Fatal(err)
	}
	gw := &simGateway{harness: &harness{t: f.t, g: g, now: f.now}, set: set, ordinal: ordinal, requests: map[uint64]*simRequest{}}
	var entries []control.Member
	for _, s := range f.order {
		if m := f.members[s.name]; m.State == control.Ready {
			entries = append(entries, m)
		}
	}
	f.perform(gw, gw.handle(control.Members{Kind: control.Cached, Entries: entries}))
	return gw
}

// tell has each gateway learn of a change, each at its own time.
func (f *simFleet) announceChange(m control.Member) {
	f.members[m.Server] = m
	for _, gw := range f.gateways {
		gw.pendingLists = append(gw.pendingLists, simList{f.now + simMinListDelay + simListDelayRange*f.rng.Float64(), []control.Member{m}})
	}
}

// warmth is the share of its capacity that a server has.
func (s *simServer) warmShare(f *simFleet) float64 {
	g := f.set.Guarantees
	if s.startedAt == 0 || f.now-s.startedAt >= g.Ramp {
		return 1
	}
	return g.ColdFrom + (1-g.ColdFrom)*(f.now-s.startedAt)/g.Ramp
}

// rate is how much work a server does in a second on each of its jobs.
func (s *simServer) ratePerJob(f *simFleet) float64 {
	return s.speed * s.warmShare(f) * min(1, simCores/float64(max(1, len(s.jobs))))
}

// run lets the servers work for one tick.
func (f *simFleet) runServers() {
	for _, s := range f.order {
		if !s.up {
			continue
		}
		done := s.ratePerJob(f) * simTick
		jobs := s.jobs
		s.jobs = nil
		var ended []*simJob
		for _, j := range jobs {
			if j.workLeft -= done; j.workLeft <= 0 {
				ended = append(ended, j)
			} else {
				s.jobs = append(s.jobs, j)
			}
		}
		for _, j := range ended {
			f.endAttempt(j, s, control.OK)
		}
	}
}

// finish tells how an attempt ended.
func (f *simFleet) endAttempt(j *simJob, s *simServer, st control.Status) {
	if j.ended {
		return
	}
	j.ended = true
	r := j.request
	class := f.set.Classes[r.class]
	if st == control.OK && !r.ended {
		r.ended = true
		if took := f.now - r.arrivedAt; took <= class.Aim {
			f.earnedWorth[r.class] += class.Worth
		} else {
			f.earnedWorth[r.class] += class.Worth * class.LateWorth
			f.late[r.class]++
		}
	}
	if j.gateway != nil {
		f.perform(j.gateway, j.gateway.handleAt(f.now, control.Outcome{
			ID: r.id, Server: s.name, Attempt: j.attempt, Status: st, Closed: st == control.OK, Elapsed: f.now - r.arrivedAt,
		}))
	}
}

func (gw *simGateway) handleAt(now float64, ev control.Event) []control.Action {
	gw.now = now
	return gw.handle(ev)
}

// take carries out what a gateway asks for.
func (f *simFleet) perform(gw *simGateway, acts []control.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case control.Send:
			r := gw.requests[a.ID]
			j := &simJob{gateway: gw, request: r, attempt: r.attempts, workLeft: r.work}
			if a.Timeout > 0 {
				j.timeout = f.now + a.Timeout
			}
			r.attempts++
			f.deliver(j, f.servers[a.Server])
		case control.Refuse:
			if r := gw.requests[a.ID]; r != nil && !r.ended {
				r.ended = true
				f.refused[r.class]++
			}
		case control.SetTimer:
			gw.timerAt = f.now + a.Delay
		}
	}
}

// call brings a request to a server.
func (f *simFleet) deliver(j *simJob, s *simServer) {
	switch {
	case !s.up:
		f.endAttempt(j, s, control.ConnectFailed)
	case len(s.jobs) >= simMaxQueue:
		f.endAttempt(j, s, control.Full)
	default:
		if s.warmShare(f) < 1 {
			s.coldArrivals = append(s.coldArrivals, f.now)
		}
		s.jobs = append(s.jobs, j)
	}
}

// expire ends what has run out of time.
func (f *simFleet) endExpired() {
	for _, s := range f.order {
		for _, j := range slices.Clone(s.jobs) {
			deadline := j.request.arrivedAt + f.set.Classes[j.request.class].Deadline
			if over := f.now >= deadline; over || j.timeout > 0 && f.now >= j.timeout {
				if over && !j.request.ended {
					j.request.ended = true
					f.timedOut[j.request.class]++
				}
				j.timeout = 0
				st := control.Timeout
				f.endAttempt(j, s, st)
				if over && j.gateway != nil {
					f.perform(j.gateway, j.gateway.handleAt(f.now, control.ClientGone{ID: j.request.id}))
				}
			}
		}
	}
}

// arrive brings one request in at a gateway drawn at random.
func (f *simFleet) arrive() {
	class, u := 0, f.rng.Float64()
	for u > f.classes[class].share && class < len(f.classes)-1 {
		u -= f.classes[class].share
		class++
	}
	f.lastID++
	r := &simRequest{id: f.lastID, class: class, arrivedAt: f.now, work: f.classes[class].work * math.Exp(0.9*f.rng.NormFloat64()-0.405)}
	f.offeredWorth[class] += f.set.Classes[class].Worth
	if f.choose != nil {
		if s := f.choose(f, r); s != nil {
			f.deliver(&simJob{request: r, workLeft: r.work}, s)
		} else {
			f.refused[class]++
		}
		return
	}
	gw := f.gateways[f.rng.IntN(len(f.gateways))]
	gw.requests[r.id] = r
	f.perform(gw, gw.handleAt(f.now, control.Request{ID: r.id, Class: class, Customer: f.rng.Uint64(), TimeLeft: f.set.Classes[class].Deadline, Units: 1, Spread: f.set.Gateways}))
}

// meanWork is that of a request.
func (f *simFleet) meanWork() (work float64) {
	for _, c := range f.classes {
		work += c.share * c.work
	}
	return work
}

// play lets a day pass: a release of half of the servers, a crash of two others, a burst, and, where asked for,
// gateways that are restarted meanwhile.
func (f *simFleet) run(restarts bool) {
	begin := f.now
	half := len(f.order) / 2
	deployed, crashed, returned, restarted := 0, false, false, 0
	capacity := 0.0
	for _, s := range f.order {
		capacity += s.speed * simCores
	}
	for due := begin; f.now < begin+simDuration; f.now += simTick {
		at := f.now - begin
		rate := simLoad * capacity / f.meanWork()
		if at > simBurstFrom && at < simBurstTo {
			rate *= simBurstFactor
		}
		for ; due < f.now; due += f.rng.ExpFloat64() / rate {
			f.arrive()
		}
		if deployed < half && at > simWarmUp+simReplaceInterval*float64(deployed) {
			old := fmt.Sprint("s", deployed)
			f.announceChange(control.Member{Server: old, State: control.Removed})
			name := fmt.Sprint("new", deployed)
			f.addServer(name, f.now)
			f.announceChange(f.members[name])
			deployed++
		}
		if !crashed && at > simCrashAt {
			crashed = true
			for i := half; i < half+2; i++ {
				f.crash(f.servers[fmt.Sprint("s", i)])
			}
		}
		if crashed && !returned && at > simCrashAt+simCrashDuration {
			returned = true
			for i := half; i < half+2; i++ {
				s := f.servers[fmt.Sprint("s", i)]
				s.up, s.startedAt = true, f.now
				f.announceChange(control.Member{Server: s.name, Since: f.now})
			}
		}
		if restarts && restarted < len(f.gateways)/2 && at > simWarmUp+5*float64(restarted)/float64(len(f.gateways)) {
			f.gateways[restarted] = f.startGateway(restarted, 77)
			restarted++
		}
		f.runServers()
		f.endExpired()
		for _, gw := range f.gateways {
			f.deliverDue(gw)
		}
	}
}

// wake gives a gateway the lists and timers that are due.
func (f *simFleet) deliverDue(gw *simGateway) {
	gw.pendingLists = slices.DeleteFunc(gw.pendingLists, func(l simList) bool {
		if l.at > f.now {
			return false
		}
		f.perform(gw, gw.handleAt(f.now, control.Members{Kind: control.Delta, Entries: l.entries}))
		return true
	})
	if gw.timerAt > 0 && f.now >= gw.timerAt {
		gw.timerAt = 0
		f.perform(gw, gw.handleAt(f.now, control.Timer{}))
	}
}

// crash ends all that is at a server.
func (f *simFleet) crash(s *simServer) {
	s.up = false
	jobs := s.jobs
	s.jobs = nil
	for _, j := range jobs {
		f.endAttempt(j, s, control.Reset)
	}
}

// share is the served part of the worth asked for.
func (f *simFleet) earnedShare() float64 {
	served, asked := 0.0, 0.0
	for i := range f.earnedWorth {
		served += f.earnedWorth[i]
		asked += f.offeredWorth[i]
	}
	return served / asked
}

// excess is how much of what the rule on cold servers allows the worst server got.
func (f *simFleet) worstColdLoad() float64 {
	g, worst := f.set.Guarantees, 0.0
	for _, s := range f.order {
		for i, end := range s.coldArrivals {
			n := 0
			for k := i; k >= 0 && s.coldArrivals[k] > end-g.FallAfter; k-- {
				n++
			}
			age := max(0, end-g.FallAfter-s.startedAt)
			warm := g.ColdFrom + (1-g.ColdFrom)*min(1, age/g.Ramp)
			allowed := g.FallMultiple * warm * simCores * s.speed / f.meanWork() * g.FallAfter
			worst = max(worst, float64(n)/(allowed+2*math.Sqrt(allowed)+2))
		}
	}
	return worst
}

// knowsAll sends to the server that will be done first, by what is really at each, and refuses what would be late.
func fullInformationPolicy(f *simFleet, r *simRequest) *simServer {
	var best *simServer
	bestTime := math.Inf(1)
	for _, s := range f.order {
		if !s.up || f.members[s.name].State != control.Ready {
			continue
		}
		rate := s.speed * s.warmShare(f) * min(1, simCores/float64(len(s.jobs)+1))
		if took := f.classes[r.class].work / rate; took < bestTime {
			best, bestTime = s, took
		}
	}
	if bestTime > 0.6*f.set.Classes[r.class].Aim {
		return nil
	}
	return best
}

// coldSettings are round figures: a cheap class with a long aim and a dear one with a short.
func coldSettings(gateways int) (control.Settings, []simClass) {
	s := settings()
	s.Gateways = gateways
	s.Classes = []control.Class{
		{Aim: 2, Deadline: 7, Worth: 2, LateWorth: 0.2, Repeat: control.Safe},
		{Aim: 1, Deadline: 4, Worth: 6, LateWorth: 0.2, Repeat: control.Keyed, Group: control.GroupAll, Window: 4},
	}
	s.Plans = []control.Plan{{Worth: 1}}
	s.Counter.Allowed = false
	s.Guarantees = control.Guarantees{ColdFrom: 0.15, Ramp: 15, FallMultiple: 3, FallAfter: 1.5, AskEvery: 10}
	return s, []simClass{{0.66, 0.18}, {0.34, 0.11}}
}

// All gateways together keep to the rule on cold servers and serve nearly what a policy serves that knows the
// state of every server, while lists come late and, in every second day, half of the gateways are restarted.
func TestColdServersUnderABurst(t *testing.T) {
	const days = 6
	for _, c := range []struct {
		gateways int
		least    float64 // of what the policy serves that knows all
	}{{3, 0.99}, {10, 0.99}, {30, 0.97}} {
		t.Run(fmt.Sprint(c.gateways), func(t *testing.T) {
			served, possible, refused := 0.0, 0.0, 0
			for day := range uint64(days) {
				set, classes := coldSettings(c.gateways)
				f := newSimFleet(t, set, classes, 12, day)
				f.run(day%2 == 1)
				if excess := f.worstColdLoad(); excess > 1 {
					t.Errorf("day %d: a cold server got %.2f of the calls that the rule allows", day, excess)
				}
				best := newSimFleet(t, set, classes, 12, day)
				best.choose = fullInformationPolicy
				best.run(false)
				served += f.earnedShare() / days
				possible += best.earnedShare() / days
				refused += f.refused[0]
			}
			t.Logf("served %.3f, knowing all %.3f; refused %d of the cheap class", served, possible, refused)
			if served < c.least*possible {
				t.Errorf("served %.3f of the worth, want %.2f of %.3f", served, c.least, possible)
			}
		})
	}
}

// Servers that have just started answer late by nature. While the others answer quickly and have room, that is no
// reason to refuse anything.
func TestLateAnswersOfColdServersAreNoOverload(t *testing.T) {
	for _, gateways := range []int{3, 10, 30} {
		refused, asked := 0, 0
		for seed := range uint64(10) {
			s := settings()
			s.Gateways, s.Ordinal = gateways, int(seed)%gateways
			f := newFleet(t, s, serverNames(12)...)
			f.harness = newSeededHarness(t, s, seed, readyMembers(serverNames(12)...)...)
			restarted := map[string]bool{}
			f.answer = func(server string) (float64, control.Status) {
				if restarted[server] {
					return 0.7, control.OK // within its aim, though later than a warm server answers
				}
				return 0.1, control.OK
			}
			offer := func(seconds float64) {
				for end := f.now + seconds; f.now < end; {
					f.offer(0, 0, f.lastID)
					f.offer(2, 0, f.lastID)
					for range gateways { // 40 requests a second of all
						f.step(0.05)
					}
				}
			}
			offer(20)
			for _, name := range serverNames(4) {
				restarted[name] = true
				f.perform(f.handle(control.Members{Kind: control.Delta, Entries: []control.Member{{Server: name, Since: f.now}}}))
			}
			clear(f.refused)
			before := f.lastID
			offer(9)
			refused += f.refused[0] + f.refused[2]
			asked += int(f.lastID - before)
		}
		if share := float64(refused) / float64(asked); share > 0.01 {
			t.Errorf("%d gateways: %.3f of %d refused while eight warm servers of twelve had room", gateways, share, asked)
		} else {
			t.Logf("%d gateways: %.3f of %d refused", gateways, share, asked)
		}
	}
}

// Where no server is warm, the cold ones have to tell of an overload: the cheap class goes first.
func TestLateAnswersShedWhereAllAreCold(t *testing.T) {
	refused := map[int]int{}
	for seed := range uint64(10) {
		s := settings()
		s.Gateways = 10
		f := newFleet(t, s, serverNames(12)...)
		f.harness = newSeededHarness(t, s, seed)
		for _, name := range serverNames(12) {
			f.perform(f.handle(control.Members{Kind: control.Delta, Entries: []control.Member{{Server: name, Since: f.now}}}))
		}
		f.answer = func(string) (float64, control.Status) { return 0.7, control.OK }
		for range 150 {
			f.offer(0, 0, f.lastID)
			f.offer(2, 0, f.lastID)
			f.step(0.05)
		}
		for class, n := range f.refused {
			refused[class] += n
		}
	}
	if float64(refused[0]) < 1.1*float64(refused[2]) {
		t.Errorf("refused %d of the cheap and %d of the dear", refused[0], refused[2])
	} else {
		t.Logf("refused %d of the cheap and %d of the dear", refused[0], refused[2])
	}
}
