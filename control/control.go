package control

// The interface (settings, events, actions) is types.go; state.go and peers.go hold no decision.
// Reading order: the tuned values; New and Handle; then 1. customers and their quotas: the batched-delta
// mechanism, the heart; 2. the counter: when to call it, and what its answers mean; 3. requests; 4. servers.
// docs/design.md tells what comes from the source and what was changed.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	timerInterval          = 0.02  // s between looks at what is due; far below the shortest call interval
	minWindow              = 3.0   // s; shorter windows would spend calls on rolling over
	countTTLWindows        = 4     // windows a name is kept: past its closing read, and no longer
	maxFlushDelay          = 1.0   // s, the source's periodic flush; nobody waits longer to be counted
	readIntervalUnits      = 0.7   // of the time in which a unit comes in; reading more often shows nothing
	flushDepletionShare    = 0.3   // of the time in which the store could run dry may pass between calls
	doublingCallPrice      = 0.02  // call price at which intervals are doubled
	counterLag             = 0.012 // s: a tick, a call and its way; use of others within it can't be seen
	demandPriorUnits       = 0.5   // units at the usual rate that weigh against own asks: customers differ much
	openSpikeShare         = 0.7   // of what others likely ask is taken to be out, where attempts out are capped
	drawnSpikeShare        = 0.4   // of what others likely ask is taken as drawn, at the least
	viewStaleAfter         = 1.5   // s after which a view tells little of what others ask
	unknownUseShare        = 0.5   // of its rate that a customer not yet looked up is taken to use
	rateTimeConstant       = 2.0   // s over which rates of use are averaged
	staleShareTimeConstant = 1.5   // s that a share outlives the last view
	shareTimeConstant      = 6.0   // s over which shares are: the busiest gateway changes every few seconds
	idleEvictionWindows    = 3.0   // windows without a request after which a customer is forgotten
	maxCustomers           = 20000 // held at once; one-off floods beyond this share no memory

	lookupViewAge          = 0.3    // s after which a view is too old to let in what the split does not
	minHoldTimeouts        = 4.0    // times a call's time-out that a client must wait to be held for one
	initialFleetCallRate   = 500.0  // counter calls a second of all gateways, before anything is learned
	minFleetCallRate       = 40.0   // of all gateways; fewer would be slow to see that the counter is back
	maxFleetCallRate       = 2000.0 // of all gateways, where it stops growing
	initialGatewayCallRate = 13.0   // instead of callsFirst for each, if that is more: counters grow with fleets
	callRateGrowth         = 0.5    // growth a second while answers are quick
	callRateDecay          = 2.0    // fall a second while they are slow or missing
	maxDecayStep           = 0.2    // s that one bad answer can tell of at the most
	maxCallDeferral        = 20.0   // s that a call may be put off for customers asked for again sooner
	callBurstTime          = 0.02   // s of calls that may go out at once
	minCallBurst           = 4.0    // and as many at least: a try that finds none left would be let in without a look
	lookupReserve          = 3.0    // left for tries that wait to be looked up, by calls that only read
	slowCallShare          = 0.35   // of a call's time-out: later answers say that the counter is crowded

	peerFallbackDelay  = 0.3  // s without an answer of the counter before peers are told
	peerFallbackMisses = 2    // unanswered calls in a row: one alone is a crowd, no silence
	minPeerInterval    = 0.15 // s between messages: a tenth of a second or so is what a total would lag
	peerIntakeShare    = 0.5  // of what a gateway can take in is used: customers crowd at some
	maxPeerEntries     = 14   // customers in a message, to fit 256 bytes

	minHintShare    = 0.2 // of the longest wait that clients heed, where nothing tells of a better time
	hintJitterShare = 0.3 // and as much more at the most, so that they do not come back in step

	retryBudgetRatio          = 0.1 // attempts beyond the first that each request earns: a retry storm stays at a tenth
	retryBudgetMax            = 8.0 // and how many may be saved up
	attemptTimeoutAimShare    = 0.8 // share of the aim after which a repeatable attempt is given up for another
	minAttemptTimeoutTypicals = 5.0 // but never before this many typical times: long work is not a fault

	initialServerLimit   = 6.0   // attempts at a server from all gateways, before anything is learned
	initialPooledLimit   = 4.0   // the same where they are pooled and averaged: an average has no peaks
	minLimit             = 0.2   // under 1, as many gateways share a server: then only some servers are in use at once
	lostAfterTypicals    = 3.0   // typical times after which an answer seems lost while others come quickly
	inFlightTimeConstant = 1.0   // s over which attempts out are averaged where few are
	minPooledLimitShare  = 0.3   // of the first guess; crowd does the rest
	limitGrowthFactor    = 1.010 // at each good sign
	limitCutFactor       = 0.92  // at each bad one
	lateAimShare         = 0.6   // an answer later than this share of its aim says that there is a crowd
	busyLimitShare       = 0.7   // of a limit in use: it may grow; of all own slots: they add to the crowd
	lossyMaxLateShare    = 0.07  // of the answers that come must be late for silence to tell of a crowd
	lossyMinInTimeShare  = 0.4   // or this few of all attempts answered in time: no network that is of use loses more
	overloadRise         = 1.0   // a second, while answers come late
	overloadFall         = 0.125 // a second, while they are in time: they balance at one late answer in nine
	maxOverloadStep      = 0.5   // s that one answer can tell of at the most
	maxFleetOverload     = 4.0   // where it stops rising: one request in fifty of middling worth
	maxRetryOverload     = 0.05  // from here on no attempt is given up for another
	shedProbeCount       = 12    // requests refused since the last attempt, and
	shedProbeInterval    = 3.0   // s since then, after which one is let in whatever the overload
	minInTimeChance      = 0.5   // chance of an answer in time under which nothing is started
	typicalTimeDecay     = 0.01  // fall of the typical time for each that is refused for want of hope
	overloadTimeConstant = 6.0   // s; where all is refused no answer would tell that the crowd is gone
	classRejectBackoff   = 8.0   // s that a server is passed over for the class it turned away
	allRejectBackoff     = 2.0   // s, the same where all servers turned it away
	unprovenCostFactor   = 4.0   // extra cost where the class was not lately served, times how often it is turned away
	sampleWeight         = 0.12  // weight of a new sample in averages over attempts
	poolSampleWeight     = 0.03  // the same for what is learned of all servers
	highLossShare        = 0.2   // share of attempts without an answer from which three in a row must fail
	slownessTimeConstant = 4.0   // s in which a server without answers is thought of as average again
	costJitter           = 0.15  // random part of a server's cost, so that gateways do not pick alike
	crossZoneCost        = 0.01  // extra cost of a server in another zone: near ones win ties
	choicesPerOwnServer  = 3     // servers looked at, for each that a gateway has to itself
	minChoices           = 4     // and at the least
	gatewaysPerServer    = 12    // gateways that go to one server: each costs it a connection, and is to meet it often

	ejectionFailures   = 3   // failures in a row that put a server out; a refused connection counts double
	minEjectionTime    = 0.4 // s a server is first left alone, doubled at each failed trial
	maxEjectionTime    = 4.0
	trialGateways      = 1.0  // gateways, of all, that send a trial with their next request
	trialEjectionTimes = 10.0 // of the time left alone, in which only trials are sent
	coldLoadShare      = 0.7  // of what a warm server gets times the warm share: chance and other gateways need room
	coldBurstAttempts  = 1.5  // attempts that one gateway may send a cold server at once
	coldStartCores     = 4.0  // as many cores' work is begun on each by all gateways where no server is warm
)

// New makes a gateway that knows its settings. The same seed and events give the same actions.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	s.Limits.MaxAttempts = max(1, s.Limits.MaxAttempts)
	g := &Gateway{
		settings:           s,
		rng:                rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		customers:          map[uint64]*customer{},
		callsInFlight:      map[uint64][]*customer{},
		requests:           map[uint64]*request{},
		servers:            map[string]*server{},
		unclaimedPeerUnits: map[uint64]float64{},
		callRate:           max(initialGatewayCallRate, initialFleetCallRate/float64(max(1, s.Gateways))),
		retryBudget:        retryBudgetMax,
		meanUnits:          1,
		hedger:             newHedger(&s),
	}
	classes := make([]classState, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = initialClassState(&c)
	}
	for site := range max(1, s.Sites) {
		gateways := float64(s.gatewaysOf(site))
		g.pools = append(g.pools, newPool(classes, gateways, initialPooledLimit/gateways))
	}
	return g, nil
}

// firstState is what a class is taken to be before anything is learned of it.
func initialClassState(c *Class) classState {
	return classState{typicalTime: c.Aim / 5, workTime: c.Aim / 8}
}

// Handle takes one event in and appends the actions it calls for.
func (g *Gateway) Handle(now Seconds, ev Event, actions []Action) []Action {
	g.now, g.actions = now, actions
	if !g.initialized {
		g.initialized, g.startedAt, g.sweptAt = true, now, now
		g.wakeBy(now)
	}
	g.checkOverdue()
	switch e := ev.(type) {
	case Members:
		g.handleMembers(e)
	case Request:
		g.handleRequest(e)
	case BodyReceived:
		g.handleBodyReceived(e)
	case Started:
		g.handleStarted(e)
	case Outcome:
		g.handleOutcome(e)
	case ClientGone:
		g.handleClientGone(e)
	case Timer:
		if now > g.wakeAt-timerInterval/4 {
			g.sweep()
		}
	case Reconfigured:
		g.handleReconfigured(e)
	case ShuttingDown:
		// Units that are not added yet could be spent a second time at the gateways that stay.
		g.shuttingDown = true
		for _, c := range g.callQueue {
			g.scheduleCall(c)
		}
	case LinkRestored:
		g.poolOf(e.Site).clearFailures()
	case Counted:
		g.handleCounted(e)
	case PeerMessage:
		g.handlePeerMessage(e)
	}
	g.makeDueCalls()
	return g.actions
}

// wake asks for a timer by then. The random part keeps gateways that start together from calling in step.
func (g *Gateway) wakeBy(at Seconds) {
	at = min(max(at, g.now+timerInterval*(0.5+g.rng.Float64())), g.now+maxFlushDelay)
	if g.wakeAt <= g.now || at < g.wakeAt {
		g.wakeAt = at
		g.emit(SetTimer{Delay: at - g.now})
	}
}

func (g *Gateway) sweep() {
	silent := g.missedCalls >= peerFallbackMisses && g.now-g.firstMissAt > peerFallbackDelay
	if g.settings.Limits.Peers && silent && g.now-g.peersToldAt > g.peerInterval {
		g.tellPeers()
	}
	if g.wakeAt = 0; g.missedCalls > 0 {
		g.wakeBy(g.now + max(minPeerInterval, g.peerInterval))
	}
	g.wakeBy(g.now + maxFlushDelay)
	g.sendDueHedges()
	if g.resubscribeAt > 0 && g.now >= g.resubscribeAt {
		g.resubscribeAt = 0
		g.emit(Watch{On: true})
	}
	if g.now-g.sweptAt < maxFlushDelay {
		return
	}
	g.sweptAt = g.now
	// Customers that were quiet for long have a full bucket again and need not be kept.
	g.customersByArrival = slices.DeleteFunc(g.customersByArrival, func(c *customer) bool {
		idle := g.now-c.lastRequestAt > max(idleEvictionWindows*c.plan.windowLength(minWindow),
			c.plan.ceilingRefillTime())
		if c.evicted = idle && !c.callInFlight && c.uncertainUnits == 0 && c.openAttempts == 0; c.evicted {
			delete(g.customers, c.id)
		}
		return c.evicted
	})
}

// good lets a limit grow. Danger: one cut far down would take minutes: the further below first, the faster.
func (l *limiter) grow(initial float64) {
	if float64(l.inFlight)+1 >= l.limit*busyLimitShare {
		l.limit *= 1 + (limitGrowthFactor-1)*max(1, initial/l.limit)
	}
}

func (l *limiter) cut() { l.limit = max(minLimit, l.limit*limitCutFactor) }

// ---- 1. Customers and their quotas ----
//
// The judge of a quota is a token bucket, of which a gateway keeps two views. level is what totals and own
// units leave of it; part what is left if others spend in proportion: own units leave it divided by the own
// share. A request is let in while part holds it (the design's split), or level very likely does.

func (g *Gateway) customerOf(e Request) *customer {
	if c := g.customers[e.Customer]; c != nil {
		if c.planIndex != e.Plan {
			c.changePlan(g.now, &g.settings.Plans[e.Plan], e.Plan)
		}
		return c
	}
	p := &g.settings.Plans[e.Plan]
	level := max(0, p.Burst-g.unclaimedPeerUnits[e.Customer])
	c := &customer{
		id: e.Customer, planIndex: e.Plan, plan: p,
		firstGateway: e.First, gatewayCount: float64(max(1, min(e.Spread, g.settings.Gateways))),
		level: level, splitLevel: level, refilledAt: g.now,
		window: p.windowAt(g.now), neverViewed: true, levelUnknown: true, viewedAt: g.now,
		othersRate: unknownUseShare * p.Rate,
	}
	// The process before this one may have spent this part of the ceiling: it refills from this one's start.
	split := p.CeilingBurst / c.gatewayCount
	c.ceilingLevel = min(split, p.CeilingRate/c.gatewayCount*(g.now-g.startedAt))
	if len(g.customers) < maxCustomers {
		g.customers[e.Customer] = c
		g.customersByArrival = append(g.customersByArrival, c)
	} else { // its units are forgotten at once: no ceiling could be kept
		c.ceilingLevel = 0
	}
	return c
}

// share is this gateway's part of the customer's recent units. Traffic moves between gateways, so
// without a new total it falls to the even split, at which all shares add up to one.
func (g *Gateway) share(c *customer) float64 {
	even := 1 / c.gatewayCount
	share := (c.ownRecentUnits + even) / (c.allRecentUnits + 1)
	return even + max(0, min(1, share)-even)*math.Exp(-(g.now-c.viewedAt)/staleShareTimeConstant)
}

// demand estimates the units a second asked of all gateways. The usual rate weighs against own asks:
// at a share of a hundredth, a single one would otherwise stand for a hundred.
func (g *Gateway) demand(c *customer, excluded float64) float64 {
	share := g.share(c)
	observed := max(0, c.ownDemandRate*rateTimeConstant-excluded)
	usual := max(c.ownRate+c.othersRate, unknownUseShare*c.plan.Rate)
	return (demandPriorUnits + observed) / (demandPriorUnits/usual + share*rateTimeConstant)
}

// allows tells what a try likely earns, per worth: at most 1, for one inside the quota; 0 or less refuses it.
func (g *Gateway) admissionValue(c *customer, class int, units float64) float64 {
	p := c.plan
	if p.CeilingRate > 0 && c.ceilingLevel < units {
		return 0 // the fifth rule comes before all gain
	}
	share := g.share(c)
	gain := p.OverWorth - p.OverCost // of a try beyond the quota, per worth
	atOpenLimit := g.atOpenLimit(c)
	if atOpenLimit && (p.Rate <= 0 || c.openAttempts >= p.Open) {
		return 0
	}
	if p.Rate <= 0 || gain > 0 {
		return 1
	}
	age, othersRate := c.viewAge(g.now), c.othersRate
	if g.missedCalls > 0 && g.now-g.peerHeardAt < viewStaleAfter {
		age = min(age, g.peerInterval) // peers speak: what they have not told is no older
	}
	othersDemand := g.demand(c, units) * (1 - share)
	if age > viewStaleAfter {
		othersRate = max(othersRate, othersDemand)
	}
	othersRate = max(othersRate, drawnSpikeShare*othersDemand) // a spike shows in asks before any total tells of it
	unseenUnits := othersDemand*min(age, counterLag) + othersRate*max(0, min(age, p.Burst/p.Rate)-counterLag)
	available := c.splitLevel
	if age <= viewStaleAfter {
		available = min(available, c.level-unseenUnits)
	}
	fits := available*share >= units
	if fits && !atOpenLimit {
		return 1
	}
	if c.level < units {
		return 0
	}
	// The split leaves room unused: admit where the chance that there is room makes it worth while.
	chance := 1.0
	if !fits {
		chance = poissonAtMost(int(c.level/units)-1, unseenUnits/units)
	}
	if atOpenLimit { // the same of attempts out. Others have out what they send in the time that an answer takes.
		answerTime := g.poolOf(g.settings.Site).classes[class].typicalTime
		chance *= poissonAtMost(p.Open-1-c.openAttempts,
			max(othersRate, openSpikeShare*othersDemand)/g.meanUnits*answerTime)
	}
	// A kept unit is not lost while asks exceed the rate.
	savedValue := min(1, g.demand(c, 0)/p.Rate) * (1 - c.level/p.Burst)
	return chance*(1-savedValue) + (1-chance)*gain
}

// hint tells a client when to come back: a random short time where the bucket seems to hold the units.
func (g *Gateway) retryAfter(wait Seconds) Seconds {
	if !g.settings.Limits.RetryAfter {
		return 0
	}
	if wait <= 0 {
		wait = (minHintShare + hintJitterShare*g.rng.Float64()) * g.settings.Limits.MaxRetryAfter
	}
	return min(wait, g.settings.Limits.MaxRetryAfter)
}

// ---- 2. The counter ----

func (g *Gateway) scheduleCall(c *customer) {
	if !g.settings.Counter.Allowed || c.plan.Rate <= 0 || c.evicted || g.customers[c.id] != c {
		return
	}
	use := max(g.demand(c, 0), c.ownRate+c.othersRate) // others see a spike as this gateway does
	wait := flushDepletionShare * max(0, c.level-1) / max(use, 1e-9)
	if c.unflushed == 0 {
		wait = max(wait, readIntervalUnits/c.plan.Rate) // only a read: nobody else waits for it
	}
	wait = min(maxFlushDelay, wait*(1+g.settings.Counter.Price/doublingCallPrice))
	if c.neverViewed && c.splitLevel < c.plan.Burst/2 || g.shuttingDown && c.unflushed != 0 {
		wait = 0
	}
	due := c.viewedAt + wait
	if c.neverViewed || g.shuttingDown {
		due = g.now + wait
	}
	if !c.queued {
		c.queued, c.callDueAt = true, due
		g.callQueue = append(g.callQueue, c)
	}
	c.callDueAt = min(c.callDueAt, due)
}

func (g *Gateway) makeDueCalls() {
	g.callTokens = min(max(minCallBurst, g.callRate*callBurstTime),
		g.callTokens+g.callRate*(g.now-g.tokensRefilledAt))
	if g.tokensRefilledAt = g.now; len(g.callQueue) == 0 {
		return
	}
	ready, next := 0.0, math.Inf(1)
	for _, c := range g.callQueue {
		switch {
		case c.callInFlight:
		case c.callDueAt > g.now:
			next = min(next, c.callDueAt)
		case g.mayCall(c):
			ready++
		default:
			next = min(next, g.now+1/g.callRate)
		}
	}
	if ready > g.callTokens {
		next = g.now + 1/g.callRate
	}
	g.wakeBy(next)
	if ready == 0 || g.callTokens < 1 {
		return
	}
	if ready > g.callTokens {
		// More calls are due than may be made: customers seen once wait behind those asked for again soon.
		urgency := func(c *customer) Seconds {
			return c.callDueAt + min(maxCallDeferral, 1/(g.share(c)*g.demand(c, 0)))
		}
		slices.SortStableFunc(g.callQueue, func(a, b *customer) int { return cmp.Compare(urgency(a), urgency(b)) })
	}
	kept := g.callQueue[:0]
	for _, c := range g.callQueue {
		switch {
		case c.evicted:
			c.queued = false
		case c.callInFlight || c.callDueAt > g.now || !g.mayCall(c):
			kept = append(kept, c)
		default:
			c.queued = false
			g.callCounter(c)
		}
	}
	g.callQueue = kept
}

// affords tells whether a call may be made for a customer for whom nobody waits. Tries that wait to be looked
// up go before calls that only read, or they would be let in without a look.
func (g *Gateway) mayCall(c *customer) bool {
	return g.callTokens >= 1 && (c.unflushed != 0 || g.callTokens >= 1+lookupReserve)
}

func (g *Gateway) callCounter(c *customer) {
	current := c.currentWindow(g.now)
	if c.window < current && (c.neverViewed || c.window < current-1) && c.uncertainUnits == 0 {
		c.window, c.ownCounted, c.othersCounted = current, 0, 0 // nothing to close: too long ago
		c.levelUnknown = true
	}
	name, amount := countName(c.id, c.plan.key(c.planIndex), c.window), 0.0
	if c.window == current && c.uncertainUnits == 0 {
		amount = c.unflushed
		c.unflushed = 0
	}
	g.sendCount(c, name, amount)
}

// pace adapts the rate of calls: up while answers are quick, down while they are slow or missing. The
// step follows the time since the last answer, so that calls turned away at once do not drive it.
func (g *Gateway) adaptCallRate(quick bool) {
	sinceAnswer := g.now - g.counterAnsweredAt
	g.counterAnsweredAt = g.now
	gateways := float64(g.settings.Gateways)
	if quick { // faster far below the first guess
		step := min(1, callRateGrowth*sinceAnswer*
			max(1, max(initialGatewayCallRate, initialFleetCallRate/gateways)/g.callRate))
		g.callRate = min(maxFleetCallRate*max(1/gateways, initialGatewayCallRate/initialFleetCallRate),
			g.callRate*(1+step))
	} else {
		g.callRate = max(minFleetCallRate/gateways,
			g.callRate*math.Exp(-callRateDecay*min(maxDecayStep, sinceAnswer)))
	}
}

func (g *Gateway) handleCounted(e Counted) {
	c := g.takeAnsweredCall(e.Name)
	if c == nil {
		return
	}
	amount, readsPrevious := c.unitsInFlight, c.readsPrevious
	c.unitsInFlight, c.callInFlight, c.readsPrevious = 0, false, false
	defer g.releaseHeld(c)
	if c.planChanged { // the total is that of a plan that the customer has left
		c.planChanged = false
		g.scheduleCall(c)
		return
	}
	if e.Status != OK {
		if g.missedCalls++; g.missedCalls == 1 {
			g.firstMissAt = g.now
		}
		g.wakeBy(g.now + peerFallbackDelay)
		g.adaptCallRate(false)
		if e.Status == Timeout {
			// The add may have been made. It is kept apart until a read tells.
			c.uncertainUnits += amount
		} else {
			c.unflushed += amount
		}
		g.scheduleCall(c)
		c.callDueAt = max(c.callDueAt, g.now+g.settings.Counter.Timeout*(1+g.rng.Float64()))
		return
	}
	g.missedCalls = 0
	clear(g.unclaimedPeerUnits)
	g.adaptCallRate(e.Elapsed <= slowCallShare*g.settings.Counter.Timeout)
	c.refill(g.now, rateTimeConstant)
	if readsPrevious {
		c.restoreLevel(g.now, e.Total)
		return
	}
	g.applyTotal(c, e.Total, amount)
	if current := c.currentWindow(g.now); c.window < current {
		c.window, c.ownCounted, c.othersCounted = current, 0, 0 // what is left is carried over in level
		if len(c.heldRequests) > 0 {                            // the window that is over tells nothing of the present one
			g.callCounter(c)
			return
		}
	}
	if c.unflushed > 0 {
		g.scheduleCall(c)
	}
	if c.needsPreviousTotal(g.now) {
		g.readPreviousWindow(c)
	}
}

func (g *Gateway) applyTotal(c *customer, total, added float64) {
	if c.uncertainUnits > 0 {
		if total-c.ownCounted-c.othersCounted >= c.uncertainUnits-1e-6 {
			c.ownCounted += c.uncertainUnits
		} else {
			c.unflushed += c.uncertainUnits
		}
		c.uncertainUnits = 0
	}
	c.ownCounted += added
	if total < c.ownCounted-1e-4*max(1, c.ownCounted) {
		// The counter was emptied. Add the own units again; the most seen of others stays known.
		c.unflushed += c.ownCounted - added
		c.ownCounted = added
	}
	others := total - c.ownCounted
	newUnits := max(0, others-c.othersCounted-c.unitsFromPeers)
	c.unitsFromPeers, c.unitsToldPeers = 0, 0
	c.othersCounted = max(c.othersCounted, others)
	age := c.viewAge(g.now)
	// A total tells of its window only; before that others are taken to have drawn at their rate.
	span := max(counterLag, min(age, g.now-float64(c.window)*c.plan.windowLength(minWindow)))
	decay := math.Exp(-span / rateTimeConstant)
	c.othersRate = c.othersRate*decay + newUnits/span*(1-decay)
	if unseenTime := min(age-span, c.plan.refillTime()); unseenTime > 0 && c.plan.Rate > 0 {
		c.level = max(0, c.level-unseenTime*max(0, c.othersRate-c.plan.Rate))
	}
	c.neverViewed = false
	// Own units without news of others would look like the whole: shares move only with a total.
	decay = math.Exp(-age / shareTimeConstant)
	c.ownRecentUnits = c.ownRecentUnits*decay + c.unitsSinceView
	c.allRecentUnits = c.allRecentUnits*decay + c.unitsSinceView + newUnits
	c.level -= newUnits
	// Tries beyond the quota take nothing from the judge's store.
	for c.level < 0 {
		c.level += max(1, -c.level)
	}
	c.splitLevel = c.level - c.unflushed*(1/g.share(c)-1)
	c.unitsSinceView = 0
	c.viewedAt = g.now
}

// tell sends units not surely added to the customer's other gateways while the counter is silent,
// in no more messages than each receiver takes in.
func (g *Gateway) tellPeers() {
	var uses []peerUse
	for _, c := range g.customersByArrival {
		if untold := c.unflushed + c.unitsInFlight + c.uncertainUnits - c.unitsToldPeers; untold > 0 {
			uses = append(uses, peerUse{c.id, untold, c.firstGateway, int(c.gatewayCount)})
			c.unitsToldPeers += untold
		}
	}
	sent := 0
	for peer, entries := range groupByGateway(uses, g.settings.Gateways, g.settings.Ordinal, maxPeerEntries) {
		if len(entries) > 0 {
			sent++
			g.emit(MessagePeer{Peer: peer, Data: encodeUse(entries)})
		}
	}
	g.peersToldAt, g.peerInterval = g.now, max(minPeerInterval,
		float64(sent)/(peerIntakeShare*max(1, g.settings.Limits.PeerIntake)))
}

// ---- 3. Requests ----

func (g *Gateway) handleRequest(e Request) {
	if g.requests[e.ID] != e.heldRequest {
		return
	}
	if e.Class < 0 || e.Class >= len(g.settings.Classes) || e.Plan < 0 || e.Plan >= len(g.settings.Plans) {
		g.emit(Refuse{ID: e.ID})
		return
	}
	units := max(e.Units, 1e-9)
	c := g.customerOf(e)
	c.refill(g.now, rateTimeConstant)
	c.lastRequestAt = g.now
	if e.heldRequest == nil {
		c.ownDemandRate += units / rateTimeConstant
		g.retryBudget = min(retryBudgetMax, g.retryBudget+retryBudgetRatio)
		g.meanUnits += (units - g.meanUnits) * poolSampleWeight
	}
	gain := g.admissionValue(c, e.Class, units)
	if gain > 0 && e.heldRequest == nil && g.holdForLookup(c, e, units) {
		return
	}
	if gain <= 0 {
		g.emit(Refuse{ID: e.ID, RetryAfter: g.retryAfter((units - c.level) / max(c.plan.Rate, 1e-9)), Over: true})
		g.scheduleCall(c)
		return
	}
	if e.VerdictOnly { // whoever asks sends it on: its units count from now
		g.chargeUnits(c, units)
		g.emit(Admit{ID: e.ID})
		return
	}
	r := &request{id: e.ID, class: e.Class, customer: c, units: units, deadline: g.now + e.TimeLeft}
	s := g.selectServer(r, e.Reach, gain)
	if s == nil {
		g.emit(Refuse{ID: e.ID, RetryAfter: g.retryAfter(0)})
		return
	}
	if g.requests[r.id] = r; e.BodyIncoming {
		r.bodyIncoming, r.timeLeft, r.deadline = true, e.TimeLeft, math.Inf(1)
	}
	g.chargeUnits(c, units)
	g.send(r, s)
}

// look holds a try that an old view lets in until the counter has answered: of many gateways each
// sees little of a customer. A counter in trouble is not waited for.
func (g *Gateway) holdForLookup(c *customer, e Request, units float64) bool {
	canCall := g.settings.Counter.Allowed && c.plan.Rate > 0 && g.missedCalls == 0 &&
		(c.callInFlight || g.callTokens >= 1)
	known := c.viewAge(g.now) < lookupViewAge || c.splitLevel*g.share(c) >= units
	if !canCall || known || g.customers[c.id] != c || e.TimeLeft < minHoldTimeouts*g.settings.Counter.Timeout {
		return false
	}
	if g.holdRequest(c, e); !c.callInFlight {
		g.callCounter(c)
	}
	return true
}

// take books the units of a try that is let in.
func (g *Gateway) chargeUnits(c *customer, units float64) {
	c.ceilingLevel -= units
	c.ownRate += units / rateTimeConstant
	g.drawUnits(c, units)
	g.scheduleCall(c)
}

// place finds a server within reach: at the first site or, where that has none or sheds it, at the second.
// A retry (gain 0) is not shed, nor what has room by the measure of sites; shed learns from it all the same.
func (g *Gateway) selectServer(r *request, reach Reach, gain float64) *server {
	for i, site := range [...]int{reach.First, reach.Then} {
		lastSite := i > 0 || reach.Then == reach.First
		s := g.chooseServer(r, g.poolOf(site), lastSite)
		if s != nil && (gain <= 0 || !reach.Full && (!g.shed(r, gain, s.pool) || i == 0 && reach.Room)) {
			return s
		}
		if lastSite {
			break
		}
	}
	return nil
}

func (g *Gateway) shed(r *request, gain float64, p *pool) bool {
	class := &g.settings.Classes[r.class]
	// Danger: little time left. What is likely answered too late is worth less.
	cs := &p.classes[r.class]
	inTimeChance := 1 - math.Exp2(-min(class.Aim, r.deadline-g.now)/cs.typicalTime)
	if inTimeChance < minInTimeChance { // Danger: where all are refused for it no answer would ever lower it again.
		cs.typicalTime -= cs.typicalTime * typicalTimeDecay
	}
	worth := inTimeChance * gain * class.Worth * r.customer.plan.Worth * r.units / max(cs.workTime, 1e-4)
	meanRatio := p.recordWorth(worth)
	// Danger: a large fleet. With one attempt out, own slots show no crowd; late answers of any server do.
	p.fleetOverload *= math.Exp(-(g.now - p.overloadDecayedAt) / overloadTimeConstant)
	p.overloadDecayedAt = g.now
	// Danger: lost answers. What is out long while answers are quick is no work.
	sparse, maxAge, workShare := initialServerLimit < p.gateways, math.Inf(1), 1.0
	if sparse && p.lossy() {
		maxAge, workShare = lostAfterTypicals, p.inTimeShare
	}
	limit, inFlight, servers := p.occupancy(g.now, maxAge)
	limit, inFlight = limit+minLimit, inFlight*workShare
	if sparse { // of a server met seldom nothing is known: as of all. Danger: chance, where few are out
		decay := math.Exp(-(g.now - p.meanInFlightAt) / inFlightTimeConstant)
		p.meanInFlight, p.meanInFlightAt = p.meanInFlight*decay+inFlight*(1-decay), g.now
		limit, inFlight = minLimit+p.pooledLimit*servers, p.meanInFlight
	}
	p.nearLimit = inFlight >= limit*busyLimitShare
	p.overload = p.fleetOverload + max(0, inFlight-limit*busyLimitShare)/(limit*(1-busyLimitShare))
	if inTimeChance < minInTimeChance || p.overload <= 0 ||
		g.rng.Float64() <= math.Exp(-p.overload*meanRatio*meanRatio) {
		return inTimeChance < minInTimeChance
	}
	// A gateway that refuses all it gets would not see the overload end: now and then one is let in.
	p.shedSinceAttempt++
	return p.shedSinceAttempt < shedProbeCount || g.now-p.lastAttemptAt < shedProbeInterval
}

// overdue takes an attempt that is out too long as a sign of overload, whatever becomes of it: overloaded
// servers may work only on what nobody waits for, and then no answer ever tells of it.
func (g *Gateway) checkOverdue() {
	for _, p := range g.pools {
		for i := range p.classes {
			cs, limit := &p.classes[i], lateAimShare*g.settings.Classes[i].Aim
			for len(cs.undecided) > 0 && (cs.undecided[0].ended || g.now-cs.undecided[0].sentAt > limit) {
				a := cs.undecided[0]
				cs.undecided = cs.undecided[1:]
				if a.ended || !g.representative(a.server) {
					continue
				}
				if p.inTimeShare -= p.inTimeShare * sampleWeight; !p.lossy() {
					p.pooledLimit = max(minPooledLimitShare*initialPooledLimit/p.gateways, p.pooledLimit*limitCutFactor)
					g.updateOverload(p, true)
				}
			}
		}
	}
}

// lossy tells that silence is loss. Danger: lost answers are no crowd: most come, and quickly.
func (p *pool) lossy() bool {
	return p.lateShare <= lossyMaxLateShare && p.inTimeShare >= lossyMinInTimeShare
}

func (g *Gateway) updateOverload(p *pool, late bool) {
	sinceUpdate := min(maxOverloadStep, g.now-p.overloadUpdatedAt)
	p.overloadUpdatedAt = g.now
	// A high one must come down as fast as it rose. Danger: lasting overload; it would let a third be late.
	calmWeight := max(0, 1-(1-p.inTimeShare)*(1+overloadRise/overloadFall))
	step := -overloadFall * (1 + calmWeight*p.fleetOverload*p.fleetOverload)
	if late {
		step = overloadRise
	}
	p.fleetOverload = max(0, min(maxFleetOverload, p.fleetOverload+step*sinceUpdate))
}

func (g *Gateway) send(r *request, s *server) {
	class, p := &g.settings.Classes[r.class], s.pool
	timeout := 0.0
	// Danger: while servers are pressed, a second attempt doubles the work of the first.
	mayRepeat := class.Repeat != Unsafe && !class.Stream && len(r.attempts)+1 < g.settings.Limits.MaxAttempts
	if p.overload < maxRetryOverload && mayRepeat && !r.bodyIncoming {
		timeout = max(attemptTimeoutAimShare*class.Aim, minAttemptTimeoutTypicals*p.classes[r.class].typicalTime)
		if g.now+timeout > r.deadline-p.classes[r.class].typicalTime {
			timeout = 0
		}
	}
	a := r.startAttempt(s, g.now)
	if !r.bodyIncoming {
		g.bookAtServer(r, a)
	}
	p.attemptRate = p.attemptRate*math.Exp(-(g.now-p.lastAttemptAt)/rateTimeConstant) + 1/rateTimeConstant
	p.lastAttemptAt, p.shedSinceAttempt = g.now, 0
	g.emit(Send{ID: r.id, Server: s.id, Timeout: timeout})
	g.scheduleHedge(r)
}

// depart books an attempt that a server is about to have whole. Danger: slow bodies. Booked from their
// first byte they would look like work out too long.
func (g *Gateway) bookAtServer(r *request, a *attempt) {
	cs := &a.server.pool.classes[r.class]
	a.sentAt, a.bodySent, cs.undecided = g.now, true, append(cs.undecided, a)
	a.server.addAttempt(openAttempt{r.id, g.now, cs.typicalTime})
}

func (g *Gateway) handleOutcome(e Outcome) {
	r := g.requests[e.ID]
	a := r.endAttempt(e.Attempt)
	if a == nil {
		return
	}
	g.recordOutcome(r, a, e)
	g.recordHedgeTimes(r, a, e.Status)
	if e.Status == OK && e.Units > 0 && g.settings.Counter.Settles {
		r.customer.refill(g.now, rateTimeConstant)
		g.drawUnits(r.customer, e.Units-r.units)
		g.scheduleCall(r.customer)
		r.units = e.Units
	}
	if r.closed || e.Closed {
		g.finish(r)
		return
	}
	if e.Status != Full && e.Status != ConnectFailed && e.Status != NotSent && !r.mayHaveRun {
		r.mayHaveRun, r.firstRunSentAt, r.firstRunServer = true, a.sentAt, a.server
	}
	if r.inFlight > 0 {
		return
	}
	var s *server
	if g.mayRetry(r, a.server.pool, e.Status) {
		s = g.selectServer(r, e.Reach, 0)
	}
	if s == nil {
		g.giveUp(r)
		return
	}
	if r.mayHaveRun {
		g.retryBudget--
	}
	g.send(r, s)
}

func (g *Gateway) mayRetry(r *request, p *pool, lastStatus Status) bool {
	class := &g.settings.Classes[r.class]
	switch {
	case len(r.attempts) >= g.settings.Limits.MaxAttempts, lastStatus == NotSent, r.streaming,
		g.now+p.classes[r.class].workTime > r.deadline:
		return false
	case !r.mayHaveRun:
		return lastStatus != Full || p.overload < maxRetryOverload // turned away in a crowd: no storm
	case g.retryBudget < 1, class.Repeat == Unsafe:
		return false
	}
	return class.Repeat == Safe || g.now < r.firstRunSentAt+class.Window
}

func (g *Gateway) giveUp(r *request) {
	class := &g.settings.Classes[r.class]
	if !r.mayHaveRun || class.Repeat == Safe || (class.Repeat == Keyed && class.Group == GroupAll) {
		g.emit(Refuse{ID: r.id, RetryAfter: g.retryAfter(0)})
	} else {
		g.emit(Fail{ID: r.id})
	}
	g.finish(r)
}

// finish closes a request that has its answer or whose client has left, and calls off what is out.
func (g *Gateway) finish(r *request) {
	r.closed = true
	g.hedger.Ended(r.id, r.class)
	if r.inFlight == 0 {
		delete(g.requests, r.id)
		return
	}
	for i, a := range r.attempts {
		if !a.ended && g.settings.Limits.Cancel {
			g.emit(Cancel{ID: r.id, Attempt: i})
		}
	}
}

// ---- 4. Servers ----

func (g *Gateway) handleMembers(e Members) {
	if e.Kind == Failed {
		g.resubscribeAt = g.now + 1 + g.rng.Float64()
		g.wakeBy(g.resubscribeAt)
		return
	}
	if e.Kind == Cached && g.settings.Subscribe {
		g.emit(Watch{On: true})
	}
	if e.Kind != Delta { // what a whole list does not name is gone, and is not kept
		for _, s := range g.servers {
			s.listed, s.member.State = false, Removed
		}
	}
	for _, m := range e.Entries {
		s, p := g.servers[m.Server], g.poolOf(m.Site)
		if s != nil && s.pool != p { // it moved: what is out at it ends where it was begun
			s.listed, s.member.State = false, Removed
			s = nil
		}
		if s == nil {
			s = newServer(m.Server, p, max(1, initialServerLimit/p.gateways))
			g.servers[m.Server] = s
			p.servers = append(p.servers, s)
			if m.Since > 0 {
				g.markCold(s, m.Since)
			}
		} else if m.Since > s.member.Since {
			g.markCold(s, m.Since)
			s.clearFailures()
		}
		s.member = m
		s.listed = m.State == Ready
	}
	for _, p := range g.pools {
		g.forgetRemoved(p)
		p.orderServers(float64(g.settings.Ordinal) / float64(g.settings.Gateways))
	}
}

func (g *Gateway) markCold(s *server, since Seconds) {
	if g.now-since < g.settings.Guarantees.Ramp {
		if !s.cold {
			// Each gateway starts with another part of an attempt, so that they don't all send at once.
			s.coldBudget, s.budgetRefilledAt = g.rng.Float64(), g.now
		}
		s.cold, s.coldSince = true, since
	}
}

func (g *Gateway) refillColdBudget(s *server) (warmShare float64) {
	p := s.pool
	warmShare = g.settings.Guarantees.warmShare(g.now - s.coldSince)
	if s.cold = s.cold && warmShare < 1; !s.cold {
		return 1
	}
	// A cold server gets its part of what a warm one gets, not of the mean: a release of most lowers that.
	rate := p.attemptRate * math.Exp(-(g.now-p.lastAttemptAt)/rateTimeConstant) / max(1, p.effectiveServers)
	if p.warmServers == 0 { // a part of what warm servers get would be nothing for ever
		rate = max(rate, coldStartCores/p.initialWorkTime/p.gateways)
	}
	s.coldBudget = min(coldBurstAttempts, s.coldBudget+coldLoadShare*warmShare*rate*(g.now-s.budgetRefilledAt))
	s.budgetRefilledAt = g.now
	return warmShare
}

// choose picks the cheapest of a few random servers: with all compared, gateways that share an old view would
// all pick the same one. Only where none of the few takes the request are all looked at.
func (g *Gateway) chooseServer(r *request, p *pool, lastSite bool) *server {
	var best *server
	bestCost, sampleSize := math.Inf(1), max(minChoices, choicesPerOwnServer*len(p.servers)/int(p.gateways))
	rejectBackoff := classRejectBackoff
	consider := func(s *server, sampled bool) {
		if cost := g.eligibleCost(r, s, sampled, rejectBackoff); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	// In a large fleet a gateway keeps to the first of its list: it meets each often enough to learn of it, and
	// a server has few connections. All arrange their lists so that each server has as many.
	reach := min(len(p.servers), max(2*sampleSize, gatewaysPerServer*len(p.servers)/int(p.gateways)))
	for range sampleSize {
		if 2*sampleSize < len(p.servers) {
			consider(p.servers[g.rng.IntN(reach)], true)
		}
	}
	if best != nil {
		return best
	}
	usable := p.countCapacity(&g.settings.Guarantees, g.now, coldLoadShare)
	if p.rejectsEverywhere(r.class, g.now) { // no server would tell that there is room again
		rejectBackoff = allRejectBackoff
	}
	for _, s := range p.servers {
		consider(s, false)
	}
	if best != nil || usable > 0 || !lastSite {
		return best
	}
	for _, s := range p.servers { // never all of them out: the least bad is tried
		if cost := g.cost(r, s); s.listed && !s.cold && g.mayServe(r, s) && cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// fitness is the cost of s for r, or infinite. Cold servers go by budget, or by chance where picked alike.
func (g *Gateway) eligibleCost(r *request, s *server, sampled bool, rejectBackoff Seconds) float64 {
	if !s.usable(g.now) || !g.mayServe(r, s) || float64(s.limiter.inFlight) >= max(1, s.limiter.limit) {
		return math.Inf(1)
	}
	warmShare := g.refillColdBudget(s)
	unsafe := g.settings.Classes[r.class].Repeat == Unsafe
	onTrial := s.onTrial && g.now < s.ejectedUntil+trialEjectionTimes*s.ejectionTime // later it is like any other
	switch {
	case s.cold && !sampled && s.coldBudget < 1, s.cold && sampled && g.rng.Float64() > coldLoadShare*warmShare,
		s.classRejectedAt[r.class] > 0 && g.now-s.classRejectedAt[r.class] < rejectBackoff,
		// Others try a server that is out, too: the more they are, the rarer the trials of each.
		onTrial && (unsafe || g.rng.Float64()*s.pool.gateways > trialGateways):
		return math.Inf(1)
	}
	if onTrial {
		return 0 // somebody must find out
	}
	cost := g.cost(r, s)
	if g.now-s.classSuccessAt[r.class] > classRejectBackoff {
		cost *= 1 + unprovenCostFactor*s.pool.classes[r.class].rejectShare
	}
	return cost
}

func (g *Gateway) cost(r *request, s *server) float64 {
	slowness := s.slowness
	if idle := g.now - s.lastOutcomeAt; s.limiter.inFlight == 0 {
		slowness = 1 + (slowness-1)*math.Exp(-idle/slownessTimeConstant)
	}
	cost := slowness * (1 + float64(s.limiter.inFlight))
	if len(s.openAttempts) > 0 {
		// Danger: a server that stands still tells nothing; its oldest attempt does.
		cost += max(0, (g.now-s.openAttempts[0].sentAt)/s.openAttempts[0].typicalTime-2)
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			cost *= 4 // elsewhere rather than where it just failed
		}
	}
	if s.member.Zone != g.settings.Zone {
		cost *= 1 + crossZoneCost
	}
	return cost * (1 + costJitter*g.rng.Float64())
}

// fits tells whether r may go to s: a copy to no server that has it, a keyed one that may have run only
// to those that drop its repeats.
func (g *Gateway) mayServe(r *request, s *server) bool {
	class := &g.settings.Classes[r.class]
	return !r.isInFlightAt(s) &&
		(!r.mayHaveRun || class.Repeat != Keyed || class.Group.dropsRepeats(s, r.firstRunServer))
}

func (g *Gateway) recordOutcome(r *request, a *attempt, e Outcome) {
	s, p := a.server, a.server.pool
	if a.bodySent {
		s.removeAttempt(r.id, a.sentAt)
	}
	s.slowness = 1 + (s.slowness-1)*math.Exp(-(g.now-s.lastOutcomeAt)/slownessTimeConstant)
	s.lastOutcomeAt = g.now
	class, cs := &g.settings.Classes[r.class], &p.classes[r.class]
	elapsed := g.now - a.sentAt
	late := elapsed > lateAimShare*class.Aim
	switch e.Status {
	case OK:
		if s.suspectedRestart {
			s.suspectedRestart = false
			g.markCold(s, g.now)
		}
		s.lastSuccessAt, s.classSuccessAt[r.class], s.classRejectedAt[r.class] = g.now, g.now, 0
		cs.rejectShare -= cs.rejectShare * sampleWeight
		s.failures, s.ejectedUntil, s.ejectionTime, s.onTrial = 0, 0, 0, false
		p.lossShare -= p.lossShare * poolSampleWeight
		s.slowness += (min(elapsed/cs.typicalTime, 20) - s.slowness) * sampleWeight
		cs.typicalTime = min(class.Aim, cs.typicalTime+cs.typicalTime*poolSampleWeight*sign(elapsed-cs.typicalTime))
		cs.workTime += cs.workTime * poolSampleWeight * (sign(elapsed-cs.workTime) - 0.6)
		if g.representative(s) {
			p.lateShare += ((sign(elapsed-lateAimShare*class.Aim)+1)/2 - p.lateShare) * sampleWeight
		}
		if late {
			s.limiter.cut()
			break
		}
		s.limiter.grow(initialServerLimit / p.gateways)
		p.inTimeShare += (1 - p.inTimeShare) * sampleWeight
		g.updateOverload(p, false)
		if p.nearLimit {
			p.pooledLimit *= limitGrowthFactor
		}
	case Full:
		// Danger: room for others. The pair is remembered; full is who serves nobody.
		s.classRejectedAt[r.class] = g.now
		cs.rejectShare += (1 - cs.rejectShare) * sampleWeight
		if g.now-s.lastSuccessAt > rateTimeConstant {
			s.limiter.cut()
		}
	case ConnectFailed:
		// Danger: a crash the list has not told. What answers there next is cold from then on.
		s.suspectedRestart = true
		g.recordFailure(s, 2)
	case Reset, Error: // a reset alone is no restart: answers may be lost on most of the fleet
		g.recordFailure(s, 1)
	case Timeout:
		// What the client did not wait for tells nothing, least of all of the server.
		if cs.typicalTime = min(class.Aim, cs.typicalTime+cs.typicalTime*poolSampleWeight*
			max(0, sign(elapsed-cs.typicalTime))); !late {
			return
		}
		s.slowness += (min(elapsed/cs.typicalTime, 20) - s.slowness) * sampleWeight
		s.limiter.cut()
		// Danger: a black hole met seldom: one loss is enough. While many are lost the fleet is needed.
		p.lossShare += (1 - p.lossShare) * poolSampleWeight
		g.recordFailure(s, int(1+(ejectionFailures-1)*max(0, 1-p.lossShare/highLossShare)))
	}
}

func (g *Gateway) recordFailure(s *server, weight int) {
	s.failures += weight
	if s.failures < ejectionFailures && !s.onTrial {
		return
	}
	s.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*s.ejectionTime))
	s.ejectedUntil = g.now + s.ejectionTime*(0.8+0.4*g.rng.Float64())
	s.onTrial = true
}
