package control

// This file holds the state behind the decisions in control.go, arithmetic on it, and the handlers of events
// that only change it. The named thresholds and rates are in control.go.

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"junctionring/hedge"
	"junctionring/quota"
)

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	settings     Settings
	rng          *rand.Rand
	now          Seconds  // time of the event being handled
	actions      []Action // answers to that event so far
	startedAt    Seconds  // time of the first event of this process
	initialized  bool     // the first event has been handled
	shuttingDown bool

	customers            map[uint64]*customer
	customersByArrival   []*customer        // the same customers, oldest first: a map has no order
	callQueue            []*customer        // customers that need a counter call
	callRate, callTokens float64            // counter calls a second, and calls that may be made now
	failedCalls          int                // consecutive calls that failed: of any status but OK
	firstFailureAt       Seconds            // time of the first of them
	peerHeardAt          Seconds            // time of the last message from a peer
	unclaimedPeerUnits   map[uint64]float64 // units that peers reported of customers unknown here, by customer
	// Time of the last reports to peers, and the interval until the next.
	peersReportedAt, peerInterval Seconds
	tokensRefilledAt              Seconds                // when callTokens was last refilled
	lastResultAt                  Seconds                // when the last call ended, with any status
	callsInFlight                 map[uint64][]*customer // by name of the count, in order of the calls

	requests    map[uint64]*request
	retryBudget float64       // retries that may be made of requests that may have run
	hedger      *hedge.Hedger // nil if hedging is off

	meanUnits float64 // units of a request, averaged

	servers       map[string]*server
	pools         []*pool // by site; one if there are no sites
	resubscribeAt Seconds // when to ask for the server list again; 0: not needed
	sweptAt       Seconds // time of the last sweep
	wakeAt        Seconds // when the next timer is due
}

// pool is the servers of one site and what was learned about them together. Overload at one site says nothing
// about another, and neither do the times of answers that came over a link.
type pool struct {
	site              int
	gateways          float64 // gateways whose first choice is this site; all gateways if that is not known
	classes           []classState
	lossShare         float64 // share of attempts that got no answer
	lateShare         float64 // share of good answers that are late
	inTimeShare       float64 // share of attempts that are answered before they are late
	fleetOverload     float64 // overload of all servers, from late answers; a part of overload; 0: none
	overloadDecayedAt Seconds // when fleetOverload last decayed by itself
	overloadUpdatedAt Seconds // time of the last answer or overdue attempt that changed fleetOverload
	pooledLimit       float64 // attempts of this gateway that may be in flight at a server, pooled over all
	meanInFlight      float64 // attempts in flight at all usable servers, averaged
	meanInFlightAt    Seconds // when meanInFlight was last updated
	nearLimit         bool    // most of the limit is in use
	// fleetOverload plus the use of this gateway's limits beyond busyLimitShare. At an overload of x, a
	// request of mean worth is admitted with probability exp(-x).
	overload         float64
	meanWorthRate    float64 // mean worth that requests are expected to earn per second of work
	worthSamples     float64 // requests averaged in meanWorthRate
	shedSinceAttempt int     // requests refused because of overload since the last attempt

	attemptRate      float64 // this gateway's attempts a second, at all servers
	lastAttemptAt    Seconds
	effectiveServers float64 // warm servers, plus each cold one's load relative to a warm one's
	warmServers      int     // usable warm servers
	// Longest initial work time of any class. The times learned from cold servers are too long.
	initialWorkTime Seconds

	servers []*server // in an order of this gateway's own; see orderServers
}

// poolOf is the pool of a site, or the first one if there is no such site.
func (g *Gateway) poolOf(site int) *pool {
	if site < 0 || site >= len(g.pools) {
		site = 0
	}
	return g.pools[site]
}

// classState is what was learned about a class.
type classState struct {
	typicalTime Seconds    // about the median time to answer
	rejectShare float64    // share of its attempts that servers reject as full
	workTime    Seconds    // a low quantile of the time to answer: the work without the waiting
	undecided   []*attempt // attempts not known yet to be in time or late, oldest first
}

// customer is what is known about one customer; see control.go, part 1.
type customer struct {
	id           uint64
	planIndex    int
	plan         *Plan
	gatewayCount float64 // gateways that its requests may come through
	firstGateway int     // number of the first of them
	evicted      bool

	// Estimates of the level of the quota's bucket, in units; see control.go, part 1.
	level, splitLevel float64
	refilledAt        Seconds // when the levels were last refilled
	ceilingLevel      float64 // units left in this gateway's split of the hard ceiling
	attemptsInFlight  int     // attempts of this gateway in flight, with those whose body is incoming

	// Units a second: admitted here, used at other gateways, and asked for here.
	ownRate, othersRate, ownDemandRate float64
	// Recent units that shares are computed from: this gateway's, and those of all gateways.
	ownRecentUnits, allRecentUnits float64

	window         int64   // number of the window whose count is in use
	unflushed      float64 // units not yet added to the counter
	unitsInFlight  float64 // units in the call in flight
	uncertainUnits float64 // units of a call that timed out: they may have been added
	unitsReported  float64 // units that count as reported to peers, of those not certainly added
	unitsFromPeers float64 // others' units that peers reported since the last view
	ownCounted     float64 // own units certainly added to this window's count
	othersCounted  float64 // highest seen number of others' units in this window's count
	unitsSinceView float64 // units admitted since the last view
	neverViewed    bool    // no total has been read yet
	callInFlight   bool
	// readsPrevious says that the call in flight reads the previous window, and levelUnknown that level does
	// not take the use in that window into account.
	readsPrevious, levelUnknown bool
	planChanged                 bool      // the plan changed while a call was in flight
	heldRequests                []Request // requests held until the call in flight is answered
	queued                      bool      // it is in the call queue
	viewedAt                    Seconds   // time of the last view: the last total read
	callDueAt                   Seconds   // when its queued call is due
	lastRequestAt               Seconds
}

// request is a request that this gateway works on; see control.go, part 3.
type request struct {
	id       uint64
	class    int
	customer *customer
	units    float64
	deadline Seconds
	timeLeft Seconds // time until the deadline, counted from BodyReceived; 0 if the body was complete at once
	attempts []*attempt
	inFlight int // attempts in flight

	bodyIncoming   bool
	closed         bool      // it has its final answer, or its client has left
	streaming      bool      // its answer has begun
	mayHaveRun     bool      // some attempt may have run, or an earlier request with its key
	firstRunSentAt Seconds   // when the first such attempt was sent
	firstRunAt     Placement // and where to
}

// attempt is one Send of a request.
type attempt struct {
	server    *server
	placement Placement // of the server when the attempt was sent
	sentAt    Seconds
	ended     bool
	bodySent  bool // the server has the whole request, or it is on its way
}

// startAttempt records a new attempt at s.
func (r *request) startAttempt(s *server, now Seconds) *attempt {
	a := &attempt{server: s, placement: s.placement(), sentAt: now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	r.customer.attemptsInFlight++
	return a
}

// endAttempt records the end of an attempt, and returns nil if the request is unknown or no such attempt is
// in flight.
func (r *request) endAttempt(number int) *attempt {
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	a := r.attempts[number]
	a.ended = true
	r.inFlight--
	r.customer.attemptsInFlight--
	return a
}

// server is what is known about one server; see control.go, part 4.
type server struct {
	id           string
	ringPosition uint64 // place in the order that all gateways share
	pool         *pool
	member       Member
	ready        bool // on the list and ready

	limiter          limiter
	sentAttempts     []sentAttempt // attempts in flight whose request was sent in full, oldest first
	slowness         float64       // time to answer, as a multiple of the class's typical time; averaged
	lastOutcomeAt    Seconds       // when an attempt last ended
	lastSuccessAt    Seconds       // time of the last good answer
	classSuccessAt   []Seconds     // the same by class
	classRejectedAt  []Seconds     // by class: last rejection as full, if no good answer came since; 0: none
	failures         int           // consecutive failures; ConnectFailed counts twice
	ejectedUntil     Seconds
	ejectionTime     Seconds // length of the last ejection
	onTrial          bool    // it was ejected and has not answered well since
	suspectedRestart bool    // an attempt ended with ConnectFailed: it may have restarted

	coldSince        Seconds // time of its last start, from the list or suspected
	cold             bool
	coldBudget       float64 // attempts that may be sent to it now while it is cold
	budgetRefilledAt Seconds
}

// sentAttempt identifies an attempt in flight whose request was sent in full.
type sentAttempt struct {
	requestID   uint64
	sentAt      Seconds
	typicalTime Seconds // typical answer time of its class when it was sent
}

// limiter is the concurrency limit of one server.
type limiter struct {
	limit    float64 // attempts that may be in flight
	inFlight int     // those in flight whose request was sent in full
}

// countName is the name of a customer's count in one window: a hash of its arguments in splitmix64 steps.
func countName(id, plan uint64, window int64) uint64 {
	h := id
	for _, v := range [...]uint64{plan, uint64(window)} {
		h += v*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return h >> 1
}

// poissonAtMost is the probability of at most n events of a Poisson distribution with this mean.
func poissonAtMost(n int, mean float64) float64 {
	if float64(n) > mean+10*math.Sqrt(mean)+10 {
		return 1
	}
	if mean > 50 {
		if float64(n) > mean {
			return 1
		}
		return 0
	}
	term := math.Exp(-mean)
	sum := term
	for i := 1; i <= n; i++ {
		term *= mean / float64(i)
		sum += term
	}
	return sum
}

// sign is -1 for x below 0, and 1 otherwise.
func sign(x float64) float64 {
	if x < 0 {
		return -1
	}
	return 1
}

// addAttempt records an attempt as in flight at s, when its request was sent in full.
func (s *server) addAttempt(a sentAttempt) {
	s.limiter.inFlight++
	s.sentAttempts = append(s.sentAttempts, a)
	if s.cold {
		s.coldBudget--
	}
}

// recentAttempts is the number of attempts in flight at s that are no older than this many typical answer
// times.
func (s *server) recentAttempts(now, typicals float64) float64 {
	n := 0.0
	for _, a := range s.sentAttempts {
		if now-a.sentAt <= typicals*a.typicalTime {
			n++
		}
	}
	return n
}

// refillTime is the time in which an empty bucket fills up.
func (p *Plan) refillTime() Seconds { return p.Burst / max(p.Rate, 1e-9) }

// ceilingRefillTime is the same for the bucket of the hard ceiling.
func (p *Plan) ceilingRefillTime() Seconds {
	if p.CeilingRate == 0 {
		return 0
	}
	return p.CeilingBurst / p.CeilingRate
}

// removeAttempt records the end of an attempt at s.
func (s *server) removeAttempt(id uint64, at Seconds) {
	s.limiter.inFlight--
	if i := slices.IndexFunc(s.sentAttempts, func(a sentAttempt) bool {
		return a.requestID == id && a.sentAt == at
	}); i >= 0 {
		s.sentAttempts = slices.Delete(s.sentAttempts, i, i+1)
	}
}

// viewAge is the time since the last view, and infinite before the first one.
func (c *customer) viewAge(now Seconds) Seconds {
	if c.neverViewed {
		return math.Inf(1)
	}
	return now - c.viewedAt
}

// refill updates a customer's levels and rates to the present time. Rates decay with this time constant.
func (c *customer) refill(now, timeConstant Seconds) {
	elapsed := now - c.refilledAt
	c.refilledAt = now
	c.level = min(c.plan.Burst, c.level+c.plan.Rate*elapsed)
	c.splitLevel = min(c.plan.Burst, c.splitLevel+c.plan.Rate*elapsed)
	c.ceilingLevel = min(c.plan.CeilingBurst/c.gatewayCount,
		c.ceilingLevel+c.plan.CeilingRate/c.gatewayCount*elapsed)
	decay := math.Exp(-elapsed / timeConstant)
	c.ownRate *= decay
	c.ownDemandRate *= decay
}

// windowAt is the number of the plan's window at a time.
func (p *Plan) windowAt(now Seconds) int64 { return int64(math.Floor(now / p.windowLength(minWindow))) }

// currentWindow is the number of the window that a customer's units belong to now.
func (c *customer) currentWindow(now Seconds) int64 { return c.plan.windowAt(now) }

// timeIntoWindow is the time since the start of the window in use.
func (c *customer) timeIntoWindow(now Seconds) Seconds {
	return now - float64(c.window)*c.plan.windowLength(minWindow)
}

// needsPreviousTotal raises the levels to the lowest level that the present total permits, and reports
// whether the decision on the first held request still depends on the use in the previous window: if the
// bucket was full at the end of that window the request would be admitted, and if it was empty it would
// not.
func (c *customer) needsPreviousTotal(now Seconds) bool {
	if !c.levelUnknown || len(c.heldRequests) == 0 {
		return false
	}
	lowest, highest := c.plan.bucket().Bounds(c.timeIntoWindow(now), c.ownCounted+c.othersCounted+c.unflushed)
	c.level, c.splitLevel = max(c.level, lowest), max(c.splitLevel, lowest)
	units := c.heldRequests[0].Units
	return lowest < units && units <= highest
}

// restoreLevel sets the levels of a customer that this gateway has no state for, from the totals of the
// previous window and of the present one.
func (c *customer) restoreLevel(now Seconds, previous float64) {
	b := c.plan.bucket()
	start := b.AtWindowStart(c.plan.windowLength(minWindow), previous)
	c.level = b.After(start, c.timeIntoWindow(now), c.ownCounted+c.othersCounted+c.unflushed)
	c.splitLevel = c.level
	c.levelUnknown = false
}

// bucket is the token bucket of a plan's quota.
func (p *Plan) bucket() quota.Bucket { return quota.Bucket{Rate: p.Rate, Burst: p.Burst} }

// sendCount makes a counter call for a customer.
func (g *Gateway) sendCount(c *customer, name uint64, amount float64) {
	c.unitsInFlight, c.callInFlight = amount, true
	g.callsInFlight[name] = append(g.callsInFlight[name], c)
	g.callTokens--
	g.emit(Count{Name: name, Amount: amount, TTL: min(60, countTTLWindows*c.plan.windowLength(minWindow))})
}

// readPreviousWindow reads the total of a customer's previous window.
func (g *Gateway) readPreviousWindow(c *customer) {
	c.readsPrevious = true
	g.sendCount(c, countName(c.id, c.plan.key(c.planIndex), c.window-1), 0)
}

// UnflushedCustomers is the number of customers with units that the counter may not hold yet.
func (g *Gateway) UnflushedCustomers() (n int) {
	for _, c := range g.customers {
		if g.settings.Counter.Allowed && c.plan.Rate > 0 && (c.unflushed != 0 || c.unitsInFlight != 0) {
			n++
		}
	}
	return n
}

// handleBodyReceived starts the deadline of a request whose body is complete.
func (g *Gateway) handleBodyReceived(e BodyReceived) {
	r := g.requests[e.ID]
	if r == nil || !r.bodyIncoming {
		return
	}
	r.bodyIncoming, r.deadline = false, g.now+cmp.Or(e.TimeLeft, r.timeLeft)
	if a := r.attempts[len(r.attempts)-1]; !a.ended {
		g.countAsSent(r, a)
	}
}

// handleStarted notes that the client has received the beginning of an answer: the request can't be sent
// again.
func (g *Gateway) handleStarted(e Started) {
	if r := g.requests[e.ID]; r != nil {
		r.streaming = true
	}
}

// handleClientGone finishes a request whose client has left.
func (g *Gateway) handleClientGone(e ClientGone) {
	if r := g.requests[e.ID]; r != nil {
		g.finish(r)
	}
}

// recordWorth adds the worth of a request to the mean over all that came in, and returns the mean as a
// multiple of that worth. The first fifty requests count equally; after that the average is exponential.
func (p *pool) recordWorth(worth float64) (meanRatio float64) {
	p.meanWorthRate += (worth - p.meanWorthRate) * max(0.02, 1/(1+p.worthSamples))
	p.worthSamples++
	return p.meanWorthRate / max(worth, 1e-9)
}

// occupancy returns, for the usable servers, the sum of their limits, the attempts in flight that are no
// older than maxAgeTypicals typical answer times, and the number of servers.
func (p *pool) occupancy(now, maxAgeTypicals float64) (limit, inFlight, servers float64) {
	for _, s := range p.servers {
		if s.usable(now) {
			servers++
			limit += s.limiter.limit
			inFlight += s.recentAttempts(now, maxAgeTypicals)
		}
	}
	return limit, inFlight, servers
}

// holdRequest keeps a request until the customer's call is answered. Its client may leave meanwhile.
func (g *Gateway) holdRequest(c *customer, e Request) {
	e.heldRequest = &request{id: e.ID, class: e.Class, customer: c, deadline: g.now + e.TimeLeft}
	g.requests[e.ID] = e.heldRequest
	c.heldRequests = append(c.heldRequests, e)
}

// releaseHeld decides about the requests that were held for a call, in the order in which they came in.
func (g *Gateway) releaseHeld(c *customer) {
	if c.callInFlight { // they wait for another call now
		return
	}
	held := c.heldRequests
	c.heldRequests = nil
	for _, e := range held {
		if g.requests[e.ID] != e.heldRequest { // its client has left
			continue
		}
		if !e.BodyIncoming { // otherwise its deadline has not started
			e.TimeLeft = e.heldRequest.deadline - g.now
		}
		g.handleRequest(e)
		if g.requests[e.ID] == e.heldRequest { // it was refused or admitted, and no attempt was sent
			delete(g.requests, e.ID)
		}
	}
}

// takeAnsweredCall removes the oldest call in flight for a name, and returns its customer; nil if there is
// none.
func (g *Gateway) takeAnsweredCall(name uint64) *customer {
	calls := g.callsInFlight[name]
	if len(calls) == 0 {
		return nil
	}
	if len(calls) == 1 {
		delete(g.callsInFlight, name)
	} else {
		g.callsInFlight[name] = calls[1:]
	}
	return calls[0]
}

// loadShare is the load that a server may get, relative to a warm one: coldShare of its warm share while it
// is cold.
func (s *server) loadShare(guarantees *Guarantees, now Seconds, coldShare float64) float64 {
	if !s.cold {
		return 1
	}
	return coldShare * guarantees.warmShare(now-s.coldSince)
}

// representative reports whether a late answer of s is a sign of overload of the whole pool. A cold server is
// slow in any case, and its load is bounded by its own budget, so while any server is warm only the warm ones
// indicate overload.
func (g *Gateway) representative(s *server) bool {
	warming := s.cold && g.settings.Guarantees.warmShare(g.now-s.coldSince) < 1
	return !warming || s.pool.countWarm(g.now) == 0
}

// warmShare is the least share of its capacity that a server has at this age, the time since its start.
func (guarantees *Guarantees) warmShare(age Seconds) float64 {
	if age >= guarantees.Ramp {
		return 1
	}
	return guarantees.ColdFrom + (1-guarantees.ColdFrom)*max(0, age/guarantees.Ramp)
}

// windowLength is the time in which the bucket refills, or the first multiple of it that is at least the
// minimum.
func (p *Plan) windowLength(minimum Seconds) Seconds {
	refill := p.refillTime()
	if p.Rate <= 0 || p.Burst <= 0 {
		return minimum
	}
	return refill * math.Ceil(minimum/refill)
}

// newPool is a pool without servers, with estimates that hold until more is known.
func newPool(site int, classes []classState, gateways, pooledLimit float64) *pool {
	longest := 0.0
	for _, c := range classes {
		longest = max(longest, c.workTime)
	}
	return &pool{site: site, classes: slices.Clone(classes), initialWorkTime: longest,
		gateways: gateways, pooledLimit: pooledLimit, lateShare: 1, inTimeShare: 1, warmServers: 1}
}

// newServer is a server about which nothing is known.
func newServer(id string, p *pool, limit float64) *server {
	return &server{id: id, ringPosition: ringPositionOf(id), pool: p, slowness: 1,
		limiter: limiter{limit: limit}, classSuccessAt: make([]Seconds, len(p.classes)),
		classRejectedAt: make([]Seconds, len(p.classes))}
}

// forgetRemoved drops the servers of a pool that were removed and have no attempt in flight whose request was
// sent in full, and those that moved to another pool.
func (g *Gateway) forgetRemoved(p *pool) {
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool {
		if s.member.State == Removed && s.limiter.inFlight == 0 && g.servers[s.id] == s {
			delete(g.servers, s.id)
		}
		return g.servers[s.id] != s
	})
}

// rejectsEverywhere reports whether every usable warm server rejected the last request of a class that it
// got. Cold ones don't count, since they may have no budget.
func (p *pool) rejectsEverywhere(class int, now Seconds) bool {
	return !slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.usable(now) && !s.cold && s.classRejectedAt[class] == 0
	})
}

// emit adds an action to the answer to the present event.
func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// usable reports whether s may be sent requests: ready, not ejected, and no trial in flight if it needs one.
func (s *server) usable(now Seconds) bool {
	return s.ready && now >= s.ejectedUntil && !((s.onTrial || s.suspectedRestart) && s.limiter.inFlight > 0)
}

// drawUnits draws units from both estimates of the level: those of an admitted request, and later the
// difference to its true units.
func (g *Gateway) drawUnits(c *customer, units float64) {
	c.level -= units
	c.splitLevel -= units / g.share(c)
	c.unflushed += units
	c.unitsSinceView += units
}

// clearFailures forgets a server's failures and ends its ejection.
func (s *server) clearFailures() {
	s.failures, s.ejectedUntil, s.ejectionTime, s.onTrial, s.suspectedRestart = 0, 0, 0, false, false
}

// clearFailures does the same for all servers of a pool, and resets the overload that their missing answers
// indicated.
func (p *pool) clearFailures() {
	p.lossShare, p.inTimeShare, p.fleetOverload = 0, 1, 0
	for _, s := range p.servers {
		s.clearFailures()
	}
}

// orderServers sorts the servers by a hash of their ids, an order that all gateways share, and rotates it to
// start at this gateway's offset (from 0 up to 1). The first few of each gateway's list are then spread
// evenly over the servers, and a server that comes or goes moves the others by about one place.
func (p *pool) orderServers(offset float64) {
	slices.SortFunc(p.servers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), cmp.Compare(a.id, b.id))
	})
	start := min(int(offset*float64(len(p.servers))), max(0, len(p.servers)-1))
	p.servers = append(slices.Clone(p.servers[start:]), p.servers[:start]...)
}

// ringPositionOf is the place of a server in the order that all gateways share.
func ringPositionOf(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return countName(h.Sum64(), 0, 0)
}

// countWarm is the number of usable warm servers.
func (p *pool) countWarm(now Seconds) (n int) {
	for _, s := range p.servers {
		if s.usable(now) && !s.cold {
			n++
		}
	}
	return n
}

// countCapacity returns the number of usable servers, and updates warmServers and effectiveServers.
func (p *pool) countCapacity(guarantees *Guarantees, now Seconds, coldShare float64) (usable int) {
	p.warmServers, p.effectiveServers = 0, 0
	for _, s := range p.servers {
		if !s.usable(now) {
			continue
		}
		usable++
		p.effectiveServers += s.loadShare(guarantees, now, coldShare)
		if !s.cold {
			p.warmServers++
		}
	}
	return usable
}

// gatewaysOf is the number of gateways whose first choice is a site, or of all gateways where that is not
// known.
func (s *Settings) gatewaysOf(site int) int {
	if site == s.Site && s.SiteGateways > 0 {
		return s.SiteGateways
	}
	return max(1, s.Gateways)
}

// key is a plan's number in the names of counts: its Key, or one derived from its index if it has none.
func (p *Plan) key(index int) uint64 {
	if p.Key != 0 {
		return p.Key
	}
	return uint64(index) + 1
}

// changePlan moves a customer to another plan. Used units stay used: its bucket keeps its level, or gets the
// new burst if that is less. Unflushed units are added under the name of the new plan's count.
func (c *customer) changePlan(now Seconds, p *Plan, index int) {
	c.refill(now, rateTimeConstant)
	c.plan, c.planIndex, c.planChanged = p, index, c.callInFlight
	c.level, c.splitLevel = min(c.level, p.Burst), min(c.splitLevel, p.Burst)
	c.ceilingLevel = min(c.ceilingLevel, p.CeilingBurst/c.gatewayCount)
	c.window = c.currentWindow(now)
	c.ownCounted, c.othersCounted, c.uncertainUnits = 0, 0, 0
}

// handleReconfigured applies new classes and plans. Requests in progress keep the class and plan numbers they
// came with.
func (g *Gateway) handleReconfigured(e Reconfigured) {
	settings := g.settings
	settings.Classes, settings.Plans = slices.Clone(e.Classes), slices.Clone(e.Plans)
	if e.Attempts > 0 {
		settings.Limits.MaxAttempts = e.Attempts
	}
	if settings.validate() != nil || len(e.From) != len(e.Classes) ||
		len(e.Classes) < len(g.settings.Classes) || len(e.Plans) < len(g.settings.Plans) {
		return // callers check the settings beforehand
	}
	for _, p := range g.pools {
		old := p.classes
		p.classes = make([]classState, len(e.Classes))
		for i := range p.classes {
			switch from := e.From[i]; {
			case i < len(old) && from == i:
				p.classes[i] = old[i]
			case from >= 0 && from < len(old):
				p.classes[i] = classState{typicalTime: old[from].typicalTime, workTime: old[from].workTime,
					rejectShare: old[from].rejectShare}
			default:
				p.classes[i] = initialClassState(&e.Classes[i])
			}
		}
		for _, s := range p.servers {
			s.classSuccessAt, s.classRejectedAt = grown(s.classSuccessAt, len(e.Classes)),
				grown(s.classRejectedAt, len(e.Classes))
		}
	}
	g.settings = settings
	g.hedger = g.hedger.Reconfigure(hedgeClasses(&settings), e.From)
}

// grown is s extended to n elements.
func grown(s []Seconds, n int) []Seconds {
	return append(s, make([]Seconds, n-len(s))...)
}

// CustomersByPlan is the number of customers in memory, by the number of their plan.
func (g *Gateway) CustomersByPlan() map[int]int {
	n := map[int]int{}
	for _, c := range g.customersByArrival {
		n[c.planIndex]++
	}
	return n
}

// Check returns an error if the settings are invalid.
func (s *Settings) Check() error { return s.validate() }

// Draining returns the number of attempts in flight at each server that gets no new ones; nil if there is
// no such server. Attempts whose body is still coming in are not counted. It is for operators, and no
// decision depends on it.
func (g *Gateway) Draining() *map[string]int {
	var out *map[string]int
	for id, s := range g.servers {
		if s.member.State != Ready {
			if out == nil {
				out = &map[string]int{}
			}
			(*out)[id] = s.limiter.inFlight
		}
	}
	return out
}

// Listed returns the number of servers on the list, and how many of those are avoided now because they are
// not ready or are ejected. It is for operators, and no decision depends on it.
func (g *Gateway) Listed() (listed, avoided int) {
	for _, s := range g.servers {
		if s.member.State == Removed {
			continue
		}
		listed++
		if !s.ready || g.now < s.ejectedUntil {
			avoided++
		}
	}
	return listed, avoided
}
