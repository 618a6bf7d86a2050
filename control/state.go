package control

// What the decisions of control.go remember, and plain arithmetic on it: types and functions that
// hold no threshold, rate or table.

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"junctionring/hedge"
	"junctionring/quota"
)

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	settings     Settings
	rng          *rand.Rand
	now          Seconds
	actions      []Action
	startedAt    Seconds // when this life began
	initialized  bool
	shuttingDown bool

	customers                 map[uint64]*customer
	customersByArrival        []*customer        // the same, in order of arrival: maps have none
	callQueue                 []*customer        // those that want the counter called
	callRate, callTokens      float64            // counter calls a second, and how many may be made now
	missedCalls               int                // calls unanswered in a row
	firstMissAt               Seconds            // time of the first of them
	peerHeardAt               Seconds            // last message of a peer
	unclaimedPeerUnits        map[uint64]float64 // units told of customers not held, by customer
	peersToldAt, peerInterval Seconds            // last messages to peers, and the time to the next
	tokensRefilledAt          Seconds
	counterAnsweredAt         Seconds                // last answer of the counter, of any kind
	callsInFlight             map[uint64][]*customer // by name, in order of the calls

	requests    map[uint64]*request
	retryBudget float64       // retries that may be spent
	hedger      *hedge.Hedger // of second copies; nil where there are none

	meanUnits float64 // of a try

	servers       map[string]*server
	pools         []*pool // by site; one where there are no sites
	resubscribeAt Seconds // when to ask for the list again; 0: not
	sweptAt       Seconds
	wakeAt        Seconds // when the next timer is due
}

// pool is the servers of one site and what was learned of them together. A crowd at one site says nothing of
// another, nor does the time of an answer that came over a link.
type pool struct {
	gateways          float64 // gateways that send here as their first choice; all, where that is not told
	classes           []classState
	lossShare         float64 // share of attempts that got no answer
	lateShare         float64 // share of the good answers that are late
	inTimeShare       float64 // share of the attempts that are answered before they are late
	fleetOverload     float64 // how crowded the whole fleet is, by attempts that are late; 0: not
	overloadDecayedAt Seconds // when it was last let fade
	overloadUpdatedAt Seconds // last verdict that moved it
	pooledLimit       float64 // attempts that may be out at once at a server, of this gateway; pooled over all
	meanInFlight      float64 // attempts out, averaged
	meanInFlightAt    Seconds
	nearLimit         bool    // most of the slots are taken
	overload          float64 // crowd, with the own slots in use
	meanWorthRate     float64 // mean worth in time per second of work, of what came in
	worthSamples      float64 // requests in it
	shedSinceAttempt  int     // requests rejected for overload since the last attempt

	attemptRate      float64 // own attempts a second, at all servers
	lastAttemptAt    Seconds
	effectiveServers float64 // warm servers, and cold ones by the part they get
	warmServers      int     // usable ones that are warm
	initialWorkTime  Seconds // the longest work of any class, before anything is learned: what cold servers teach is too long

	servers []*server // in an order of this gateway's own: arrange
}

// pool is that of a site, or the first where there is no such site.
func (g *Gateway) poolOf(site int) *pool {
	if site < 0 || site >= len(g.pools) {
		site = 0
	}
	return g.pools[site]
}

// classState is what was learned of a class.
type classState struct {
	typicalTime Seconds    // a middling time to answer
	rejectShare float64    // share of its attempts that are turned away
	workTime    Seconds    // a low quantile: the work without the waiting
	undecided   []*attempt // not yet known to be in time or late, oldest first
}

// customer is what is known of one customer; control.go, part 1.
type customer struct {
	id           uint64
	planIndex    int
	plan         *Plan
	gatewayCount float64
	firstGateway int // number of the first gateway it comes through
	evicted      bool

	level, splitLevel float64
	refilledAt        Seconds // when both were last filled up
	ceilingLevel      float64 // own split of the hard ceiling
	openAttempts      int     // own attempts out

	ownRate, othersRate, ownDemandRate float64 // units a second
	ownRecentUnits, allRecentUnits     float64 // recent units, own and everyone's

	window         int64   // whose name is in use
	unflushed      float64 // units not yet added
	unitsInFlight  float64 // units in the call that is out
	uncertainUnits float64 // units of a call that was not answered
	unitsToldPeers float64 // units not surely added that peers were told
	unitsFromPeers float64 // units of others that peers told since the last view
	ownCounted     float64 // own units surely added under this name
	othersCounted  float64 // most of others' units seen under this name
	unitsSinceView float64 // units sent on since the last view
	neverViewed    bool    // the first read is still to come
	callInFlight   bool
	// previous tells that the call that is out reads the window before, and unknown that the level does not rest on it.
	readsPrevious, levelUnknown bool
	planChanged                 bool      // to another plan, while a call was out
	heldRequests                []Request // until the call that is out is answered
	queued                      bool
	viewedAt                    Seconds // time of the last view
	callDueAt                   Seconds
	lastRequestAt               Seconds
}

// request is a request that is held; control.go, part 3.
type request struct {
	id       uint64
	class    int
	customer *customer
	units    float64
	deadline Seconds
	timeLeft Seconds // from Arrived on
	attempts []*attempt
	inFlight int

	bodyIncoming   bool
	closed         bool // final answer given, or client gone
	streaming      bool
	mayHaveRun     bool    // some attempt may have run
	firstRunSentAt Seconds // when the first of those was sent
	firstRunServer *server // and where to
}

// attempt is one Send of a request.
type attempt struct {
	server   *server
	sentAt   Seconds
	ended    bool
	bodySent bool // it is at the server, or on its way
}

// begin books a new attempt at s.
func (r *request) startAttempt(s *server, now Seconds) *attempt {
	a := &attempt{server: s, sentAt: now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	r.customer.openAttempts++
	return a
}

// end books the end of an attempt, and returns nil if the request is not known or no such attempt is out.
func (r *request) endAttempt(number int) *attempt {
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	a := r.attempts[number]
	a.ended = true
	r.inFlight--
	r.customer.openAttempts--
	return a
}

// server is what is known of one server; control.go, part 4.
type server struct {
	id           string
	ringPosition uint64 // in the order of all
	pool         *pool
	member       Member
	listed       bool // on the list and ready

	limiter          limiter
	openAttempts     []openAttempt // attempts out, oldest first
	slowness         float64       // time to answer, as a multiple of what is typical
	lastOutcomeAt    Seconds       // last answer
	lastSuccessAt    Seconds       // last good answer
	classSuccessAt   []Seconds     // by class: last good answer
	classRejectedAt  []Seconds     // by class: when last turned away, if not served since; 0: not
	failures         int
	ejectedUntil     Seconds // left alone until
	ejectionTime     Seconds
	onTrial          bool
	suspectedRestart bool // it may have restarted

	coldSince        Seconds // time of its last start, told or suspected
	cold             bool
	coldBudget       float64 // attempts a cold server may be sent now
	budgetRefilledAt Seconds
}

// sentAt names an attempt that is out.
type openAttempt struct {
	requestID   uint64
	sentAt      Seconds
	typicalTime Seconds // time to answer, of its class
}

// limiter holds how much may be out at once.
type limiter struct {
	limit    float64
	inFlight int
}

// windowName names a customer's count in one window (splitmix64 steps).
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

// poissonAtMost is the chance of at most n events where mean are expected.
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

// sign is -1 below 0 and 1 from there on.
func sign(x float64) float64 {
	if x < 0 {
		return -1
	}
	return 1
}

// sent books an attempt at s.
func (s *server) addAttempt(a openAttempt) {
	s.limiter.inFlight++
	s.openAttempts = append(s.openAttempts, a)
	if s.cold {
		s.coldBudget--
	}
}

// younger counts the attempts out at s that are no older than some typical times.
func (s *server) recentAttempts(now, typicals float64) float64 {
	n := 0.0
	for _, a := range s.openAttempts {
		if now-a.sentAt <= typicals*a.typicalTime {
			n++
		}
	}
	return n
}

// refill is how long an empty store takes to fill.
func (p *Plan) refillTime() Seconds { return p.Burst / max(p.Rate, 1e-9) }

// refillCeiling is the same for the ceiling's store.
func (p *Plan) ceilingRefillTime() Seconds {
	if p.CeilingRate == 0 {
		return 0
	}
	return p.CeilingBurst / p.CeilingRate
}

// returned books the end of an attempt at s.
func (s *server) removeAttempt(id uint64, at Seconds) {
	s.limiter.inFlight--
	if i := slices.IndexFunc(s.openAttempts, func(a openAttempt) bool {
		return a.requestID == id && a.sentAt == at
	}); i >= 0 {
		s.openAttempts = slices.Delete(s.openAttempts, i, i+1)
	}
}

// age is the time since the last view, without end before the first.
func (c *customer) viewAge(now Seconds) Seconds {
	if c.neverViewed {
		return math.Inf(1)
	}
	return now - c.viewedAt
}

// fill brings a customer's stores and rates up to now; rates fade by memory.
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

// windowAt numbers the plan's window at a time.
func (p *Plan) windowAt(now Seconds) int64 { return int64(math.Floor(now / p.windowLength(minWindow))) }

// currentWindow numbers the window that a customer's units belong to now.
func (c *customer) currentWindow(now Seconds) int64 { return c.plan.windowAt(now) }

// intoWindow is the time since the window in use began.
func (c *customer) timeIntoWindow(now Seconds) Seconds {
	return now - float64(c.window)*c.plan.windowLength(minWindow)
}

// unsettled tells that the verdict on a held try depends on the use in the previous window: a bucket that was full at
// its end would let it in, and one that was empty would not. The level is raised to what the present total proves.
func (c *customer) needsPreviousTotal(now Seconds) bool {
	if !c.levelUnknown || len(c.heldRequests) == 0 {
		return false
	}
	lowest, highest := c.plan.bucket().Bounds(c.timeIntoWindow(now), c.ownCounted+c.othersCounted+c.unflushed)
	c.level, c.splitLevel = max(c.level, lowest), max(c.splitLevel, lowest)
	units := c.heldRequests[0].Units
	return lowest < units && units <= highest
}

// restore sets the level of a customer of whom this gateway remembers nothing, from the totals of the previous window
// and of the present one.
func (c *customer) restoreLevel(now Seconds, previous float64) {
	b := c.plan.bucket()
	start := b.AtWindowStart(c.plan.windowLength(minWindow), previous)
	c.level = b.After(start, c.timeIntoWindow(now), c.ownCounted+c.othersCounted+c.unflushed)
	c.splitLevel = c.level
	c.levelUnknown = false
}

// bucket is the token bucket by which a plan's quota is judged.
func (p *Plan) bucket() quota.Bucket { return quota.Bucket{Rate: p.Rate, Burst: p.Burst} }

// count calls the counter for a customer.
func (g *Gateway) sendCount(c *customer, name uint64, amount float64) {
	c.unitsInFlight, c.callInFlight = amount, true
	g.callsInFlight[name] = append(g.callsInFlight[name], c)
	g.callTokens--
	g.emit(Count{Name: name, Amount: amount, TTL: min(60, countTTLWindows*c.plan.windowLength(minWindow))})
}

// countPrevious reads the total of a customer's previous window.
func (g *Gateway) readPreviousWindow(c *customer) {
	c.readsPrevious = true
	g.sendCount(c, countName(c.id, c.plan.key(c.planIndex), c.window-1), 0)
}

// UnflushedCustomers counts the customers with units that the counter may not hold yet.
func (g *Gateway) UnflushedCustomers() (n int) {
	for _, c := range g.customers {
		if g.settings.Counter.Allowed && c.plan.Rate > 0 && (c.unflushed != 0 || c.unitsInFlight != 0) {
			n++
		}
	}
	return n
}

// arrived begins the time of a request that has come in whole.
func (g *Gateway) handleBodyReceived(e BodyReceived) {
	r := g.requests[e.ID]
	if r == nil || !r.bodyIncoming {
		return
	}
	r.bodyIncoming, r.deadline = false, g.now+r.timeLeft
	if a := r.attempts[len(r.attempts)-1]; !a.ended {
		g.bookAtServer(r, a)
	}
}

// started notes that the answer of a request has begun to be passed on: it can't be sent again.
func (g *Gateway) handleStarted(e Started) {
	if r := g.requests[e.ID]; r != nil {
		r.streaming = true
	}
}

// left ends a request whose client has left.
func (g *Gateway) handleClientGone(e ClientGone) {
	if r := g.requests[e.ID]; r != nil {
		g.finish(r)
	}
}

// weigh takes the worth of a request into the mean of what came in, and returns how many times its worth that is. The
// first few count alike, the last fifty later.
func (p *pool) recordWorth(worth float64) (meanRatio float64) {
	p.meanWorthRate += (worth - p.meanWorthRate) * max(0.02, 1/(1+p.worthSamples))
	p.worthSamples++
	return p.meanWorthRate / max(worth, 1e-9)
}

// occupancy is how many attempts may be out at the usable servers, how many are that are no older than some typical
// times, and the number of those servers.
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

// hold keeps a request until the customer's call is answered; the client may leave meanwhile.
func (g *Gateway) holdRequest(c *customer, e Request) {
	e.heldRequest = &request{id: e.ID, class: e.Class, customer: c, deadline: g.now + e.TimeLeft}
	g.requests[e.ID] = e.heldRequest
	c.heldRequests = append(c.heldRequests, e)
}

// looked has what was held for a call taken up again, in the order in which it came.
func (g *Gateway) releaseHeld(c *customer) {
	if c.callInFlight { // a further call is out for them
		return
	}
	held := c.heldRequests
	c.heldRequests = nil
	for _, e := range held {
		if g.requests[e.ID] != e.heldRequest { // its client has left
			continue
		}
		if !e.BodyIncoming { // else its time has not begun
			e.TimeLeft = e.heldRequest.deadline - g.now
		}
		g.handleRequest(e)
		if g.requests[e.ID] == e.heldRequest { // it was turned away or admitted
			delete(g.requests, e.ID)
		}
	}
}

// answeredCall books the answer to the oldest call out for a name, and
// returns whose it was.
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

// part is what a server may get of what a warm one gets: some of its warmth while it is cold.
func (s *server) loadShare(guarantees *Guarantees, now Seconds, coldShare float64) float64 {
	if !s.cold {
		return 1
	}
	return coldShare * guarantees.warmShare(now-s.coldSince)
}

// representative tells whether a late answer of s says something of its whole pool. A cold server is slow by nature
// and its load is bounded by its own budget, so while any server is warm only the warm ones tell of an overload.
func (g *Gateway) representative(s *server) bool {
	warming := s.cold && g.settings.Guarantees.warmShare(g.now-s.coldSince) < 1
	return !warming || s.pool.countWarm(g.now) == 0
}

// warmth is the share of its capacity that a server has at the least, some time after its start.
func (r *Guarantees) warmShare(age Seconds) float64 {
	if age >= r.Ramp {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*max(0, age/r.Ramp)
}

// window is about burst/rate, a whole number of times where that is short of the least.
func (p *Plan) windowLength(minimum Seconds) Seconds {
	refill := p.refillTime()
	if p.Rate <= 0 || p.Burst <= 0 {
		return minimum
	}
	return refill * math.Ceil(minimum/refill)
}

// holds tells whether two servers drop each other's repeats of a key.
func (g Group) dropsRepeats(a, b *server) bool {
	switch site, zone := a.pool == b.pool, a.member.Zone == b.member.Zone; g {
	case GroupAll:
		return true
	case GroupSite:
		return site
	case GroupZone:
		return site && zone
	default:
		return site && zone && a.member.Cell == b.member.Cell
	}
}

func newPool(classes []classState, gateways, pooledLimit float64) *pool {
	longest := 0.0
	for _, c := range classes {
		longest = max(longest, c.workTime)
	}
	return &pool{classes: slices.Clone(classes), initialWorkTime: longest,
		gateways: gateways, pooledLimit: pooledLimit, lateShare: 1, inTimeShare: 1, warmServers: 1} // until more is known
}

// newServer is a server of which nothing is known.
func newServer(id string, p *pool, limit float64) *server {
	return &server{id: id, ringPosition: ringPositionOf(id), pool: p, slowness: 1,
		limiter: limiter{limit: limit}, classSuccessAt: make([]Seconds, len(p.classes)),
		classRejectedAt: make([]Seconds, len(p.classes))}
}

// forgetRemoved drops the servers of a pool that were removed and have nothing out, and those that moved elsewhere.
func (g *Gateway) forgetRemoved(p *pool) {
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool {
		if s.member.State == Removed && s.limiter.inFlight == 0 && g.servers[s.id] == s {
			delete(g.servers, s.id)
		}
		return g.servers[s.id] != s
	})
}

// turnsAway tells whether each usable warm server turned a class away when it was last asked. Cold ones may have no budget.
func (p *pool) rejectsEverywhere(class int, now Seconds) bool {
	return !slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.usable(now) && !s.cold && s.classRejectedAt[class] == 0
	})
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

func (s *server) usable(now Seconds) bool {
	return s.listed && now >= s.ejectedUntil && !((s.onTrial || s.suspectedRestart) && s.limiter.inFlight > 0)
}

// settle takes units from both views: those sent on, then what the true ones are more.
func (g *Gateway) drawUnits(c *customer, units float64) {
	c.level -= units
	c.splitLevel -= units / g.share(c)
	c.unflushed += units
	c.unitsSinceView += units
}

// forgive drops what was held against a server.
func (s *server) clearFailures() {
	s.failures, s.ejectedUntil, s.ejectionTime, s.onTrial, s.suspectedRestart = 0, 0, 0, false, false
}

// forgive drops what was held against the servers of a pool, and the crowd that their silence looked like.
func (p *pool) clearFailures() {
	p.lossShare, p.inTimeShare, p.fleetOverload = 0, 1, 0
	for _, s := range p.servers {
		s.clearFailures()
	}
}

// arrange puts the servers into an order that all gateways share, by a hash of their ids, and has this gateway begin
// it at its own part, from 0 up to 1: the first few of each gateway's list are then spread evenly over the servers,
// and one that comes or goes moves the others by a place or so.
func (p *pool) orderServers(offset float64) {
	slices.SortFunc(p.servers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), cmp.Compare(a.id, b.id))
	})
	start := min(int(offset*float64(len(p.servers))), max(0, len(p.servers)-1))
	p.servers = append(slices.Clone(p.servers[start:]), p.servers[:start]...)
}

// placeOf is where a server stands in the order of all.
func ringPositionOf(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return countName(h.Sum64(), 0, 0)
}

// warmNow counts the usable servers that are warm.
func (p *pool) countWarm(now Seconds) (n int) {
	for _, s := range p.servers {
		if s.usable(now) && !s.cold {
			n++
		}
	}
	return n
}

// survey counts the usable servers, the warm ones of them, and what all may get, a cold one counting by its part.
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

// gates is how many gateways have a site for their first choice, as far as that is told.
func (s *Settings) gatewaysOf(site int) int {
	if site == s.Site && s.SiteGateways > 0 {
		return s.SiteGateways
	}
	return max(1, s.Gateways)
}

// key is a plan's number in the names of counts: its own, or its place where it has none.
func (p *Plan) key(index int) uint64 {
	if p.Key != 0 {
		return p.Key
	}
	return uint64(index) + 1
}

// replan moves a customer to another plan. What it has used stays used: its store holds what it held, or the new
// burst where that is less; units not yet added are added under the plan's new name.
func (c *customer) changePlan(now Seconds, p *Plan, index int) {
	c.refill(now, rateTimeConstant)
	c.plan, c.planIndex, c.planChanged = p, index, c.callInFlight
	c.level, c.splitLevel = min(c.level, p.Burst), min(c.splitLevel, p.Burst)
	c.ceilingLevel = min(c.ceilingLevel, p.CeilingBurst/c.gatewayCount)
	c.window = c.currentWindow(now)
	c.ownCounted, c.othersCounted, c.uncertainUnits = 0, 0, 0
}

// reconfigure takes new classes and plans in. What is held goes on by the numbers it came in with.
func (g *Gateway) handleReconfigured(e Reconfigured) {
	settings := g.settings
	settings.Classes, settings.Plans = slices.Clone(e.Classes), slices.Clone(e.Plans)
	if e.Attempts > 0 {
		settings.Limits.MaxAttempts = e.Attempts
	}
	if settings.validate() != nil || len(e.From) != len(e.Classes) ||
		len(e.Classes) < len(g.settings.Classes) || len(e.Plans) < len(g.settings.Plans) {
		return // whoever offers it has it checked before
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

func grown(s []Seconds, n int) []Seconds {
	return append(s, make([]Seconds, n-len(s))...)
}

// CustomersByPlan counts the customers held by their plan's number.
func (g *Gateway) CustomersByPlan() map[int]int {
	n := map[int]int{}
	for _, c := range g.customersByArrival {
		n[c.planIndex]++
	}
	return n
}

// Check says what cannot be right in settings.
func (s *Settings) Check() error { return s.validate() }

// Draining tells how many attempts are out at each server that takes nothing new; nil: there is none. It is a view for
// operators and decides nothing.
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

// Listed tells how many servers are on the list, and how many of those are avoided now: not ready, or left
// alone for a while. It is a view for operators and decides nothing.
func (g *Gateway) Listed() (listed, avoided int) {
	for _, s := range g.servers {
		if s.member.State == Removed {
			continue
		}
		listed++
		if !s.listed || g.now < s.ejectedUntil {
			avoided++
		}
	}
	return listed, avoided
}
