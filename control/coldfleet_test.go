package control_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"junctionring/control"
)

// This file simulates a fleet of gateways and servers with processor-sharing cores, some of which start cold while
// traffic doubles. Quotas are off, so all refusals are for lack of server capacity.

const (
	simTick            = 0.004 // s
	simCores           = 3.0
	simMaxQueue        = 60   // requests at a server beyond which it rejects more
	simMinListDelay    = 0.3  // s until the first gateway may learn of a list change
	simListDelayRange  = 1.4  // s; each gateway learns of it after simMinListDelay and a random part of this
	simWarmUp          = 10.0 // s
	simDuration        = 34.0 // s
	simBurstFrom       = 12.0 // s
	simBurstTo         = 18.0 // s
	simBurstFactor     = 2.0  // multiplies the load during the burst
	simLoad            = 0.5  // load before the burst, as a share of the capacity of all servers when warm
	simCrashAt         = 13.0 // s
	simCrashDuration   = 1.5  // s
	simReplaceInterval = 0.8  // s between the server replacements of a release
)

// simClass is a class of the simulated traffic.
type simClass struct {
	share float64 // share of the requests
	work  float64 // mean core seconds; the work of a request is log-normal around it
}

// simJob is an attempt of a request at a server.
type simJob struct {
	gateway  *simGateway
	request  *simRequest
	attempt  int
	workLeft float64 // core seconds
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

// simServer is one server: its jobs share its cores.
type simServer struct {
	name         string
	speed        float64
	startedAt    float64 // time of its last start; 0: long ago
	up           bool
	jobs         []*simJob
	coldArrivals []float64 // times of the attempts that it accepted while cold
}

// simGateway is one gateway under test, with its requests, timer and pending server lists.
type simGateway struct {
	*harness
	set          control.Settings
	ordinal      int
	requests     map[uint64]*simRequest
	timerAt      float64
	pendingLists []simList // not delivered yet
}

// simList is a change of the server list and the time when one gateway learns of it.
type simList struct {
	at      float64
	entries []control.Member
}

// simFleet is the simulated fleet and the statistics of its requests.
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
	earnedWorth  []float64 // by class
	offeredWorth []float64
	refused      []int
	late         []int
	timedOut     []int
	lastID       uint64
	choose       func(f *simFleet, r *simRequest) *simServer // policy that replaces the gateways; nil: none
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

// addServer starts a server. Every second one is slower.
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

// startGateway returns a new gateway that has the present server list.
func (f *simFleet) startGateway(ordinal int, seed uint64) *simGateway {
	set := f.set
	set.Ordinal = ordinal
	g, err := control.New(set, seed*1000+uint64(ordinal)+uint64(f.now*10))
	if err != nil {
		f.t.Fatal(err)
	}
	gw := &simGateway{
		harness: &harness{t: f.t, g: g, now: f.now}, set: set, ordinal: ordinal, requests: map[uint64]*simRequest{},
	}
	var entries []control.Member
	for _, s := range f.order {
		if m := f.members[s.name]; m.State == control.Ready {
			entries = append(entries, m)
		}
	}
	f.perform(gw, gw.handle(control.Members{Kind: control.Cached, Entries: entries}))
	return gw
}

// announceChange schedules the delivery of a list change to each gateway, after a random delay for each.
func (f *simFleet) announceChange(m control.Member) {
	f.members[m.Server] = m
	for _, gw := range f.gateways {
		gw.pendingLists = append(gw.pendingLists, simList{
			f.now + simMinListDelay + simListDelayRange*f.rng.Float64(), []control.Member{m},
		})
	}
}

// warmShare is the share of its full capacity that a server has now.
func (s *simServer) warmShare(f *simFleet) float64 {
	g := f.set.Guarantees
	if s.startedAt == 0 || f.now-s.startedAt >= g.Ramp {
		return 1
	}
	return g.ColdFrom + (1-g.ColdFrom)*(f.now-s.startedAt)/g.Ramp
}

// ratePerJob is the work a second that a server does for each of its jobs.
func (s *simServer) ratePerJob(f *simFleet) float64 {
	return s.speed * s.warmShare(f) * min(1, simCores/float64(max(1, len(s.jobs))))
}

// runServers advances the work of all servers by one tick.
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

// endAttempt records the end of an attempt and reports it to the gateway.
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

// handleAt sets the gateway's clock and passes it an event.
func (gw *simGateway) handleAt(now float64, ev control.Event) []control.Action {
	gw.now = now
	return gw.handle(ev)
}

// perform carries out the actions of a gateway.
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

// deliver starts a job at a server, which may reject it.
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

// endExpired ends the jobs whose time-out or deadline has passed.
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

// arrive creates a random request and passes it to a random gateway, or to the policy.
func (f *simFleet) arrive() {
	class, u := 0, f.rng.Float64()
	for u > f.classes[class].share && class < len(f.classes)-1 {
		u -= f.classes[class].share
		class++
	}
	f.lastID++
	r := &simRequest{id: f.lastID, class: class, arrivedAt: f.now,
		work: f.classes[class].work * math.Exp(0.9*f.rng.NormFloat64()-0.405)}
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
	f.perform(gw, gw.handleAt(f.now, control.Request{ID: r.id, Class: class, Customer: f.rng.Uint64(),
		TimeLeft: f.set.Classes[class].Deadline, Units: 1, Spread: f.set.Gateways}))
}

// meanWork is the mean work of a request, in core seconds.
func (f *simFleet) meanWork() (work float64) {
	for _, c := range f.classes {
		work += c.share * c.work
	}
	return work
}

// run simulates the traffic with a release that replaces half of the servers, a crash of two others, a burst and, if
// restarts is set, the restart of half of the gateways.
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

// deliverDue passes a gateway the list changes and the timer that are due.
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

// crash takes a server down and resets its jobs.
func (f *simFleet) crash(s *simServer) {
	s.up = false
	jobs := s.jobs
	s.jobs = nil
	for _, j := range jobs {
		f.endAttempt(j, s, control.Reset)
	}
}

// earnedShare is the earned worth as a share of the offered worth.
func (f *simFleet) earnedShare() float64 {
	served, asked := 0.0, 0.0
	for i := range f.earnedWorth {
		served += f.earnedWorth[i]
		asked += f.offeredWorth[i]
	}
	return served / asked
}

// worstColdLoad is the highest load of any cold server, as a multiple of what the guarantees for cold servers allow.
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

// fullInformationPolicy knows the jobs of every server. It chooses the server that will be done first, and returns nil
// if the answer would be late.
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

// coldSettings returns settings with a class of low worth and a long aim, and one of high worth and a short aim.
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

// All gateways together must not overload cold servers, and must earn nearly as much as a policy that knows the state
// of every server, although lists come late and, in every second run, half of the gateways are restarted.
func TestColdServersUnderABurst(t *testing.T) {
	const runs = 6
	for _, c := range []struct {
		gateways int
		least    float64 // least worth, as a share of what the full-information policy earns
	}{{3, 0.99}, {10, 0.99}, {30, 0.97}} {
		t.Run(fmt.Sprint(c.gateways), func(t *testing.T) {
			earned, possible, refused := 0.0, 0.0, 0
			for run := range uint64(runs) {
				set, classes := coldSettings(c.gateways)
				f := newSimFleet(t, set, classes, 12, run)
				f.run(run%2 == 1)
				if worst := f.worstColdLoad(); worst > 1 {
					t.Errorf("run %d: a cold server got %.2f times the attempts that the guarantees allow, want at most 1", run, worst)
				}
				best := newSimFleet(t, set, classes, 12, run)
				best.choose = fullInformationPolicy
				best.run(false)
				earned += f.earnedShare() / runs
				possible += best.earnedShare() / runs
				refused += f.refused[0]
			}
			t.Logf("earned %.3f of the worth, with full information %.3f; refused %d of class 0", earned, possible, refused)
			if earned < c.least*possible {
				t.Errorf("earned %.3f of the worth, want %.2f of the %.3f that full information earns", earned, c.least, possible)
			}
		})
	}
}

// Cold servers answer late. While the warm ones answer quickly and have room, that must not be taken as overload.
func TestLateAnswersOfColdServersAreNoOverload(t *testing.T) {
	for _, gateways := range []int{3, 10, 30} {
		refused, asked := 0, 0
		for seed := range uint64(10) {
			s := settings()
			s.Gateways, s.Ordinal = gateways, int(seed)%gateways
			f := newFleet(t, s, serverNames(12)...)
			f.harness = newSeededHarness(t, s, seed, readyMembers(serverNames(12)...)...)
			restarted := map[string]bool{}
			f.answerOf = func(server string) (float64, control.Status) {
				if restarted[server] {
					return 0.7, control.OK // within its aim, though later than a warm server answers
				}
				return 0.1, control.OK
			}
			offer := func(seconds float64) {
				for end := f.now + seconds; f.now < end; {
					f.offer(0, 0, f.lastID)
					f.offer(2, 0, f.lastID)
					for range gateways { // 40 requests a second at all gateways together
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
			t.Errorf("%d gateways: %.3f of %d refused while eight warm servers of twelve had room, want at most 0.01",
				gateways, share, asked)
		} else {
			t.Logf("%d gateways: %.3f of %d refused", gateways, share, asked)
		}
	}
}

// Where no server is warm, late answers of cold ones must be taken as overload: the class of lower worth is shed first.
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
		f.answerOf = func(string) (float64, control.Status) { return 0.7, control.OK }
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
		t.Errorf("refused %d of class 0 (worth 2) and %d of class 2 (worth 5), want at least 1.1 times as many of class 0",
			refused[0], refused[2])
	} else {
		t.Logf("refused %d of class 0 (worth 2) and %d of class 2 (worth 5)", refused[0], refused[2])
	}
}
