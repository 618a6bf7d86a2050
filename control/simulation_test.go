package control_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"junctionring/control"
)

// workload is the traffic and the servers of one simulation. A gateway knows nothing of it but the settings.
type workload struct {
	settings     control.Settings
	shares       []float64 // of the requests, by class
	work         []float64 // mean core seconds of a request, by class
	plans        []float64 // shares of the requests, by plan; nil: all of plan 0
	constantWork bool      // all requests of a class take the same work; otherwise it is exponential
	servers      int
	cores        int
	queue        int     // requests that may wait at a server
	load         float64 // offered load, as a share of the servers' capacity
	seconds      float64
	burstFactor  float64 // multiplies the load in the second third of the time; 0: no burst
}

// dispatcher sends requests to servers: the gateways under test or a reference policy.
type dispatcher interface {
	offer(s *simulation, r *queuedRequest)
	attemptEnded(s *simulation, r *queuedRequest, at *queueServer, status control.Status)
}

// simulation runs a workload with a dispatcher in simulated time.
type simulation struct {
	*workload
	rng      *rand.Rand
	now      float64
	queue    eventQueue
	lastSeq  int
	pool     []*queueServer
	policy   dispatcher
	requests map[uint64]*queuedRequest
	byClass  []requestStats
	byPlan   []requestStats
	byThird  [][3]requestStats // by class
}

// requestStats sums up the worth of some requests and how they ended.
type requestStats struct {
	offeredWorth, earnedWorth       float64
	requests, refused               int
	inTime, late, timedOut, retries int
}

func (e requestStats) earnedShare() float64 { return e.earnedWorth / max(e.offeredWorth, 1e-9) }

// queuedRequest is one request of the workload.
type queuedRequest struct {
	id        uint64
	class     int
	plan      int
	gateway   int
	arrivedAt float64
	work      float64
	worth     float64
	attempts  int
	done      bool
}

// queueServer is a server with some cores and one queue.
type queueServer struct {
	name     string
	speed    float64
	busy     int
	waiting  []*simAttempt
	inFlight int
}

// simAttempt is one attempt of a request at a server.
type simAttempt struct {
	request *queuedRequest
	server  *queueServer
	number  int
	ended   bool // answered or timed out
}

// simEvent is a function to run at a simulated time. Events of the same time run in order of their numbers.
type simEvent struct {
	at  float64
	seq int
	run func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (s *simulation) schedule(delay float64, run func()) {
	s.lastSeq++
	heap.Push(&s.queue, simEvent{s.now + max(0, delay), s.lastSeq, run})
}

// simulate runs a workload to its end, and returns the finished simulation.
func simulate(w *workload, policy dispatcher, seed uint64) *simulation {
	s := &simulation{workload: w, rng: rand.New(rand.NewPCG(seed, 7)), policy: policy, now: 1000,
		requests: map[uint64]*queuedRequest{}, byClass: make([]requestStats, len(w.shares)),
		byPlan: make([]requestStats, len(w.settings.Plans)), byThird: make([][3]requestStats, len(w.shares))}
	for i := range w.servers {
		s.pool = append(s.pool, &queueServer{name: fmt.Sprint("s", i), speed: 0.7 + 0.6*float64(i)/float64(max(1, w.servers-1))})
	}
	mean := 0.0
	for i, share := range w.shares {
		mean += share * w.work[i]
	}
	rate := w.load * float64(w.servers*w.cores) / mean
	end := s.now + w.seconds
	if starter, ok := policy.(interface{ start(*simulation) }); ok {
		starter.start(s)
	}
	var arrive func()
	arrive = func() {
		s.arrive()
		if s.now < end {
			s.schedule(s.rng.ExpFloat64()/(rate*s.loadFactor(end)), arrive)
		}
	}
	s.schedule(0.01, arrive)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		if s.now = e.at; s.now > end+60 {
			break
		}
		e.run()
	}
	return s
}

// loadFactor is the present load as a multiple of workload.load.
func (s *simulation) loadFactor(end float64) float64 {
	if past := 1 - (end-s.now)/s.seconds; s.burstFactor > 0 && past > 1.0/3 && past < 2.0/3 {
		return s.burstFactor
	}
	return 1
}

// arrive creates a random request and offers it to the dispatcher.
func (s *simulation) arrive() {
	r := &queuedRequest{id: uint64(len(s.requests) + 1), arrivedAt: s.now, class: sampleIndex(s.rng, s.shares)}
	if len(s.plans) > 0 {
		r.plan = sampleIndex(s.rng, s.plans)
	}
	r.gateway = s.rng.IntN(s.settings.Gateways)
	r.work = s.work[r.class]
	if !s.constantWork {
		r.work *= s.rng.ExpFloat64()
	}
	class := &s.settings.Classes[r.class]
	r.worth = class.Worth * s.settings.Plans[r.plan].Worth
	s.requests[r.id] = r
	s.record(r, func(e *requestStats) { e.offeredWorth += r.worth; e.requests++ })
	s.policy.offer(s, r)
}

// sampleIndex draws an index with these probabilities.
func sampleIndex(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// record updates the statistics of a request's class, plan and third of the time.
func (s *simulation) record(r *queuedRequest, update func(*requestStats)) {
	third := min(2, int(3*(r.arrivedAt-1000)/s.seconds))
	update(&s.byClass[r.class])
	update(&s.byPlan[r.plan])
	update(&s.byThird[r.class][third])
}

// refuse ends a request without a good answer, unless it has ended.
func (s *simulation) refuse(r *queuedRequest) {
	if !r.done {
		r.done = true
		s.record(r, func(e *requestStats) { e.refused++ })
	}
}

// deadline is the time until which the request's client waits.
func (s *simulation) deadline(r *queuedRequest) float64 {
	return r.arrivedAt + s.settings.Classes[r.class].Deadline
}

// send starts an attempt at a server.
func (s *simulation) send(r *queuedRequest, server *queueServer, timeout float64) {
	a := &simAttempt{request: r, server: server, number: r.attempts}
	if r.attempts++; r.attempts > 1 {
		s.record(r, func(e *requestStats) { e.retries++ })
	}
	if server.busy >= s.cores && len(server.waiting) >= s.workload.queue {
		s.schedule(0.001, func() { s.end(a, control.Full) })
		return
	}
	server.inFlight++
	server.waiting = append(server.waiting, a)
	s.startWaiting(server)
	left := s.deadline(r) - s.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	s.schedule(left, func() { s.end(a, control.Timeout) })
}

// startWaiting starts waiting attempts on the free cores of a server.
func (s *simulation) startWaiting(server *queueServer) {
	for server.busy < s.cores && len(server.waiting) > 0 {
		a := server.waiting[0]
		server.waiting = server.waiting[1:]
		if a.ended { // timed out in the queue
			server.inFlight--
			continue
		}
		server.busy++
		s.schedule(a.request.work/server.speed, func() {
			server.busy--
			server.inFlight--
			s.end(a, control.OK)
			s.startWaiting(server)
		})
	}
}

// end records the end of an attempt and reports it to the dispatcher.
func (s *simulation) end(a *simAttempt, status control.Status) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	if status == control.OK && !r.done {
		r.done = true
		class := &s.settings.Classes[r.class]
		took := s.now - r.arrivedAt
		s.record(r, func(e *requestStats) {
			if took <= class.Aim {
				e.inTime++
				e.earnedWorth += r.worth
			} else {
				e.late++
				e.earnedWorth += r.worth * class.LateWorth
			}
		})
	}
	if status == control.Timeout && s.now >= s.deadline(r) && !r.done {
		r.done = true
		s.record(r, func(e *requestStats) { e.timedOut++ })
	}
	s.policy.attemptEnded(s, r, a.server, status)
}

// total returns the statistics of all requests.
func (s *simulation) total() (sum requestStats) {
	for _, e := range s.byClass {
		sum.offeredWorth += e.offeredWorth
		sum.earnedWorth += e.earnedWorth
		sum.requests += e.requests
		sum.refused += e.refused
		sum.inTime += e.inTime
		sum.late += e.late
		sum.timedOut += e.timedOut
		sum.retries += e.retries
	}
	return sum
}

// gatewayFleet is the dispatcher under test: all gateways of a fleet.
type gatewayFleet struct {
	instances []*control.Gateway
	seed      uint64
	attempts  map[uint64]int // attempts that have ended, by request
	servers   map[string]*queueServer
}

func (f *gatewayFleet) start(s *simulation) {
	f.attempts, f.servers = map[uint64]int{}, map[string]*queueServer{}
	var list []control.Member
	for _, server := range s.pool {
		f.servers[server.name] = server
		list = append(list, control.Member{Server: server.name})
	}
	for i := range s.settings.Gateways {
		set := s.settings
		set.Ordinal = i
		g, err := control.New(set, f.seed+uint64(i))
		if err != nil {
			panic(err)
		}
		f.instances = append(f.instances, g)
		f.handle(s, i, control.Members{Kind: control.Cached, Entries: list})
	}
}

// handle passes an event to gateway i and carries out its actions.
func (f *gatewayFleet) handle(s *simulation, i int, ev control.Event) {
	for _, a := range f.instances[i].Handle(s.now, ev, nil) {
		switch a := a.(type) {
		case control.SetTimer:
			if s.now < 1000+s.seconds {
				s.schedule(a.Delay, func() { f.handle(s, i, control.Timer{}) })
			}
		case control.Send:
			s.send(s.requests[a.ID], f.servers[a.Server], a.Timeout)
		case control.Refuse:
			s.refuse(s.requests[a.ID])
		case control.Fail:
			s.refuse(s.requests[a.ID])
		}
	}
}

func (f *gatewayFleet) offer(s *simulation, r *queuedRequest) {
	f.handle(s, r.gateway, control.Request{ID: r.id, Class: r.class, Plan: r.plan, Customer: r.id,
		TimeLeft: s.settings.Classes[r.class].Deadline, Units: 1, Spread: s.settings.Gateways})
}

func (f *gatewayFleet) attemptEnded(s *simulation, r *queuedRequest, at *queueServer, status control.Status) {
	attempt := f.attempts[r.id]
	f.attempts[r.id]++
	f.handle(s, r.gateway, control.Outcome{ID: r.id, Server: at.name, Attempt: attempt, Status: status,
		Closed: status == control.OK || r.done})
}

// shortestQueue is the reference policy: one dispatcher that knows the length of every queue and sends to the server
// with the fewest attempts in flight relative to its speed. It refuses a request if that server has at least
// perCoreCap attempts in flight for each core.
type shortestQueue struct{ perCoreCap float64 }

func (p *shortestQueue) offer(s *simulation, r *queuedRequest) {
	var best *queueServer
	least := math.Inf(1)
	for _, server := range s.pool {
		if held := float64(server.inFlight) / server.speed; held < least {
			best, least = server, held
		}
	}
	if float64(best.inFlight) >= p.perCoreCap*float64(s.cores) {
		s.refuse(r)
		return
	}
	s.send(r, best, 0)
}

func (p *shortestQueue) attemptEnded(s *simulation, r *queuedRequest, _ *queueServer, status control.Status) {
	if status == control.Full {
		s.refuse(r)
	}
}

// bestShortestQueue runs the workload with shortestQueue at several caps and returns the run that earns most.
func bestShortestQueue(w *workload, seed uint64) (best *simulation) {
	for _, perCoreCap := range []float64{1, 1.34, 2, 3, 5, 10} {
		if s := simulate(w, &shortestQueue{perCoreCap}, seed); best == nil || s.total().earnedWorth > best.total().earnedWorth {
			best = s
		}
	}
	return best
}
