package control_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"junctionring/control"
)

// workload is the traffic and the servers of one simulated day. Nothing of it is told to a gateway but the settings.
type workload struct {
	settings control.Settings
	shares   []float64 // of the requests, by class
	work     []float64 // mean seconds of a core, by class
	plans    []float64 // shares of the requests, by plan; none: all of plan 0
	steady   bool      // work is exponential, unless it is steady
	servers  int
	cores    int
	queue    int     // requests that may wait at a server
	load     float64 // asked, as a share of what the servers can do
	seconds  float64
	burst    float64 // times the load in the second third of the day; 0: no burst
}

// dispatcher decides where a request goes: the gateways under test or a reference policy.
type dispatcher interface {
	offer(s *simulation, r *queuedRequest)
	ended(s *simulation, r *queuedRequest, at *queueServer, status control.Status)
}

// simulation plays a workload against a dispatcher in simulated time.
type simulation struct {
	*workload
	rng      *rand.Rand
	now      float64
	queue    eventQueue
	order    int
	pool     []*queueServer
	policy   dispatcher
	requests map[uint64]*queuedRequest
	byClass  []earning
	byPlan   []earning
	byThird  [][3]earning // by class
}

// earning is what was offered and what was earned of it, and what became of the requests.
type earning struct {
	asked, earned               float64
	requests, refused           int
	inTime, late, lost, further int
}

func (e earning) share() float64 { return e.earned / max(e.asked, 1e-9) }

type queuedRequest struct {
	id       uint64
	class    int
	plan     int
	gateway  int
	begun    float64
	work     float64
	worth    float64
	attempts int
	done     bool
}

type queueServer struct {
	name    string
	speed   float64
	busy    int
	waiting []*simAttempt
	out     int
}

type simAttempt struct {
	request *queuedRequest
	server  *queueServer
	number  int
	over    bool // answered, timed out or called off
}

type simEvent struct {
	at    float64
	order int
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (s *simulation) after(delay float64, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now + max(0, delay), s.order, run})
}

// play runs a day and returns what came of it.
func play(w *workload, policy dispatcher, seed uint64) *simulation {
	s := &simulation{workload: w, rng: rand.New(rand.NewPCG(seed, 7)), policy: policy, now: 1000,
		requests: map[uint64]*queuedRequest{}, byClass: make([]earning, len(w.shares)),
		byPlan: make([]earning, len(w.settings.Plans)), byThird: make([][3]earning, len(w.shares))}
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
			s.after(s.rng.ExpFloat64()/(rate*s.crest(end)), arrive)
		}
	}
	s.after(0.01, arrive)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		if s.now = e.at; s.now > end+60 {
			break
		}
		e.run()
	}
	return s
}

// crest is how many times the usual load is asked now.
func (s *simulation) crest(end float64) float64 {
	if past := 1 - (end-s.now)/s.seconds; s.burst > 0 && past > 1.0/3 && past < 2.0/3 {
		return s.burst
	}
	return 1
}

func (s *simulation) arrive() {
	r := &queuedRequest{id: uint64(len(s.requests) + 1), begun: s.now, class: draw(s.rng, s.shares)}
	if len(s.plans) > 0 {
		r.plan = draw(s.rng, s.plans)
	}
	r.gateway = s.rng.IntN(s.settings.Gateways)
	r.work = s.work[r.class]
	if !s.steady {
		r.work *= s.rng.ExpFloat64()
	}
	class := &s.settings.Classes[r.class]
	r.worth = class.Worth * s.settings.Plans[r.plan].Worth
	s.requests[r.id] = r
	s.book(r, func(e *earning) { e.asked += r.worth; e.requests++ })
	s.policy.offer(s, r)
}

func draw(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// book enters something of a request in all accounts that it belongs to.
func (s *simulation) book(r *queuedRequest, enter func(*earning)) {
	third := min(2, int(3*(r.begun-1000)/s.seconds))
	enter(&s.byClass[r.class])
	enter(&s.byPlan[r.plan])
	enter(&s.byThird[r.class][third])
}

// refuse ends a request without an attempt, or after its last.
func (s *simulation) refuse(r *queuedRequest) {
	if !r.done {
		r.done = true
		s.book(r, func(e *earning) { e.refused++ })
	}
}

// deadline is how long a request's client still waits.
func (s *simulation) deadline(r *queuedRequest) float64 {
	return r.begun + s.settings.Classes[r.class].Deadline
}

// send starts an attempt at a server.
func (s *simulation) send(r *queuedRequest, server *queueServer, timeout float64) {
	a := &simAttempt{request: r, server: server, number: r.attempts}
	if r.attempts++; r.attempts > 1 {
		s.book(r, func(e *earning) { e.further++ })
	}
	if server.busy >= s.cores && len(server.waiting) >= s.workload.queue {
		s.after(0.001, func() { s.end(a, control.Full) })
		return
	}
	server.out++
	server.waiting = append(server.waiting, a)
	s.begin(server)
	left := s.deadline(r) - s.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	s.after(left, func() { s.end(a, control.Timeout) })
}

// begin has a server's free cores take up what waits.
func (s *simulation) begin(server *queueServer) {
	for server.busy < s.cores && len(server.waiting) > 0 {
		a := server.waiting[0]
		server.waiting = server.waiting[1:]
		if a.over { // called off in the queue
			server.out--
			continue
		}
		server.busy++
		s.after(a.request.work/server.speed, func() {
			server.busy--
			server.out--
			s.end(a, control.OK)
			s.begin(server)
		})
	}
}

func (s *simulation) end(a *simAttempt, status control.Status) {
	if a.over {
		return
	}
	a.over = true
	r := a.request
	if status == control.OK && !r.done {
		r.done = true
		class := &s.settings.Classes[r.class]
		took := s.now - r.begun
		s.book(r, func(e *earning) {
			if took <= class.Aim {
				e.inTime++
				e.earned += r.worth
			} else {
				e.late++
				e.earned += r.worth * class.LateWorth
			}
		})
	}
	if status == control.Timeout && s.now >= s.deadline(r) && !r.done {
		r.done = true
		s.book(r, func(e *earning) { e.lost++ })
	}
	s.policy.ended(s, r, a.server, status)
}

func (s *simulation) earned() (sum earning) {
	for _, e := range s.byClass {
		sum.asked += e.asked
		sum.earned += e.earned
		sum.requests += e.requests
		sum.refused += e.refused
		sum.inTime += e.inTime
		sum.late += e.late
		sum.lost += e.lost
		sum.further += e.further
	}
	return sum
}

// gateways is the fleet under test.
type gateways struct {
	all    []*control.Gateway
	seed   uint64
	number map[uint64]int // attempts so far, by request
	server map[string]*queueServer
}

func (f *gateways) start(s *simulation) {
	f.number, f.server = map[uint64]int{}, map[string]*queueServer{}
	var list []control.Member
	for _, server := range s.pool {
		f.server[server.name] = server
		list = append(list, control.Member{Server: server.name})
	}
	for i := range s.settings.Gateways {
		set := s.settings
		set.Ordinal = i
		g, err := control.New(set, f.seed+uint64(i))
		if err != nil {
			panic(err)
		}
		f.all = append(f.all, g)
		f.handle(s, i, control.Members{Kind: control.Cached, Entries: list})
	}
}

func (f *gateways) handle(s *simulation, i int, ev control.Event) {
	for _, a := range f.all[i].Handle(s.now, ev, nil) {
		switch a := a.(type) {
		case control.SetTimer:
			if s.now < 1000+s.seconds {
				s.after(a.Delay, func() { f.handle(s, i, control.Timer{}) })
			}
		case control.Send:
			s.send(s.requests[a.ID], f.server[a.Server], a.Timeout)
		case control.Refuse:
			s.refuse(s.requests[a.ID])
		case control.Fail:
			s.refuse(s.requests[a.ID])
		}
	}
}

func (f *gateways) offer(s *simulation, r *queuedRequest) {
	f.handle(s, r.gateway, control.Request{ID: r.id, Class: r.class, Plan: r.plan, Customer: r.id,
		TimeLeft: s.settings.Classes[r.class].Deadline, Units: 1, Spread: s.settings.Gateways})
}

func (f *gateways) ended(s *simulation, r *queuedRequest, at *queueServer, status control.Status) {
	attempt := f.number[r.id]
	f.number[r.id]++
	f.handle(s, r.gateway, control.Outcome{ID: r.id, Server: at.name, Attempt: attempt, Status: status,
		Closed: status == control.OK || r.done})
}

// seeing is the reference: one dispatcher that sees every queue as it is, sends to the shortest and refuses where
// all hold as many for each core as its cap.
type seeing struct{ cap float64 }

func (p *seeing) offer(s *simulation, r *queuedRequest) {
	var best *queueServer
	least := math.Inf(1)
	for _, server := range s.pool {
		if held := float64(server.out) / server.speed; held < least {
			best, least = server, held
		}
	}
	if float64(best.out) >= p.cap*float64(s.cores) {
		s.refuse(r)
		return
	}
	s.send(r, best, 0)
}

func (p *seeing) ended(s *simulation, r *queuedRequest, _ *queueServer, status control.Status) {
	if status == control.Full {
		s.refuse(r)
	}
}

// bestSeen is the most that a seeing dispatcher earns, over a few caps.
func bestSeen(w *workload, seed uint64) (best *simulation) {
	for _, cap := range []float64{1, 1.34, 2, 3, 5, 10} {
		if s := play(w, &seeing{cap}, seed); best == nil || s.earned().earned > best.earned().earned {
			best = s
		}
	}
	return best
}
