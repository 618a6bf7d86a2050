package control

// This file makes the decisions. types.go declares the interface: settings, events and actions. state.go
// holds the state, arithmetic on it, and the handlers of events that only change the state. peers.go
// formats and handles messages to peers. copies.go carries out hedged requests and enforces the limit on
// attempts in flight (Plan.Open).
//
// Reading order: the constants; New and Handle; then 1. customers and their quotas, the core of the package:
// units are counted locally and added to the shared counter in batches; 2. the counter: when to call it, and
// how its answers are used; 3. requests; 4. servers.
//
// docs/design.md says which parts come from the original design, on which this one is based, and which were
// changed.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// ---- Customers: windows, flushes and estimates of use ----

	// timerInterval is the mean of the shortest time between two timers, in seconds. It is far below the
	// shortest interval between counter calls.
	timerInterval = 0.02

	// minWindow is the shortest window over which units are counted, in seconds. Shorter windows would spend
	// calls on moving from one window to the next.
	minWindow = 3.0

	// countTTLWindows is the time for which the counter keeps the name of a window's count, in windows: until
	// after the closing read of that window, and no longer.
	countTTLWindows = 4

	// maxFlushDelay is the longest time that units wait to be added to the counter, in seconds: the
	// periodic flush of the original design (see docs/design.md). It also bounds the time between two
	// timers and between two sweeps.
	maxFlushDelay = 1.0

	// readIntervalUnits is the shortest time before a call that adds nothing, as a multiple of the time in
	// which the plan's rate refills one unit. Reading more often shows nothing new.
	readIntervalUnits = 0.7

	// flushDepletionShare is the share of the time in which the bucket could run dry that may pass between
	// calls.
	flushDepletionShare = 0.3

	// doublingCallPrice is the price of a counter call (CounterInfo.Price) at which call intervals are
	// doubled.
	doublingCallPrice = 0.02

	// counterLag is about the time within which units used at other gateways cannot be seen, in seconds: the
	// wait for a timer or another event that lets a due call be made, the call and its transmission.
	counterLag = 0.012

	// demandPriorUnits is the weight of a customer's usual rate in an estimate of its demand, in units,
	// against the units asked of this gateway. Customers differ widely.
	demandPriorUnits = 0.5

	// openSpikeShare is the least share of the demand expected at other gateways that is assumed to be in
	// flight there: a sudden rise shows in the demand before it shows in any total. It matters to plans that
	// cap the attempts in flight.
	openSpikeShare = 0.7

	// drawnSpikeShare is the least share of the demand expected at other gateways that is assumed to be drawn
	// from the quota, for the same reason.
	drawnSpikeShare = 0.4

	// viewStaleAfter is the age after which a view says little about demand at other gateways, in seconds.
	viewStaleAfter = 1.5

	// unknownUseShare is the share of its rate that a customer is assumed to use before the first view.
	unknownUseShare = 0.5

	// rateTimeConstant is the time constant of the averages of rates, in seconds.
	rateTimeConstant = 2.0

	// staleShareTimeConstant is the time constant with which a gateway's share returns to the even split
	// after the last view, in seconds.
	staleShareTimeConstant = 1.5

	// shareTimeConstant is the time constant of the recent units that shares are computed from, in seconds.
	// The gateway that has most of a customer's traffic changes every few seconds.
	shareTimeConstant = 6.0

	// idleEvictionWindows is the time without a request after which a customer is evicted, in windows.
	idleEvictionWindows = 3.0

	// maxCustomers is the number of customers kept at once, which bounds the memory that a flood of customers
	// seen only once can take.
	maxCustomers = 20000

	// ---- Counter calls: lookups before admission, and the rate limit on calls ----

	// lookupViewAge is the age from which a view is too old to admit a request that the split alone does not
	// admit, in seconds. The request is held until the counter has answered.
	lookupViewAge = 0.3

	// minHoldTimeouts is the time that a client must have left for its request to be held for a counter call,
	// as a multiple of the call's time-out.
	minHoldTimeouts = 4.0

	// initialFleetCallRate is the initial rate of calls of all gateways together, in calls a second.
	initialFleetCallRate = 500.0

	// minFleetCallRate is the lowest rate of calls of all gateways together, in calls a second. A lower rate
	// would be slow to show that the counter is back.
	minFleetCallRate = 40.0

	// maxFleetCallRate is the rate of all gateways together at which growth stops, in calls a second.
	maxFleetCallRate = 2000.0

	// initialGatewayCallRate is the initial rate of one gateway, in calls a second, where that is more than
	// its part of initialFleetCallRate: counters grow with fleets.
	initialGatewayCallRate = 13.0

	// callRateGrowth is the relative growth a second of the call rate while answers are quick.
	callRateGrowth = 0.5

	// callRateDecay is the exponential decay a second of the call rate while answers are slow or missing.
	callRateDecay = 2.0

	// maxDecayStep is the longest time that one slow or missing answer accounts for, in seconds.
	maxDecayStep = 0.2

	// maxCallDeferral is the longest time that a call is put off in favor of customers whose next request is
	// expected sooner, in seconds.
	maxCallDeferral = 20.0

	// callBurstTime sets the burst of the limit on calls: the calls of this many seconds may go out at once.
	callBurstTime = 0.02

	// minCallBurst is the least burst, in calls. A request that finds no call left would be admitted without
	// a lookup.
	minCallBurst = 4.0

	// lookupReserve is the number of call tokens that read-only calls leave unused, for requests that need a
	// lookup.
	lookupReserve = 3.0

	// slowCallShare is the share of a call's time-out from which an answer shows that the counter is
	// overloaded.
	slowCallShare = 0.35

	// ---- Messages to peers while the counter does not answer ----

	// peerFallbackDelay is the time after the first of several consecutive failed calls from which use is
	// reported to peers, in seconds.
	peerFallbackDelay = 0.3

	// peerFallbackFailures is the number of consecutive failed calls (of any status but OK) before use is
	// reported to peers. A single one is a sign of overload, not of an outage.
	peerFallbackFailures = 2

	// minPeerInterval is the shortest time between rounds of messages, in seconds. A total read from the
	// counter would be about a tenth of a second old, too.
	minPeerInterval = 0.15

	// peerIntakeShare is the share of the messages a gateway can take in that is used. Customers are
	// concentrated at some gateways.
	peerIntakeShare = 0.5

	// maxPeerEntries is the number of customers in one message, to fit about 256 bytes: entries of about 18
	// bytes do. The longest possible entries have 24 bytes and would make a message of 335.
	maxPeerEntries = 14

	// ---- Retry-After hints ----

	// minHintShare is the least hint where nothing indicates a better time, as a share of
	// Limits.MaxRetryAfter.
	minHintShare = 0.2

	// hintJitterShare is the range of the random addition to that hint, as a share of Limits.MaxRetryAfter.
	// It keeps clients from coming back in step.
	hintJitterShare = 0.3

	// ---- Retries: the retry budget and the time-out of an attempt ----

	// retryBudgetRatio is the number of retries that each request adds to the budget. It keeps a storm of
	// retries of requests that may have run at a tenth of the load. Retries of requests that certainly did not
	// run take nothing from the budget, and are not limited by it.
	retryBudgetRatio = 0.1

	// retryBudgetMax is the most that the budget holds, in retries.
	retryBudgetMax = 8.0

	// attemptTimeoutAimShare is the time after which a repeatable attempt is given up for another, as a share
	// of the aim of its class.
	attemptTimeoutAimShare = 0.8

	// minAttemptTimeoutTypicals is the least time-out of an attempt, in typical answer times. Long work is
	// not a fault.
	minAttemptTimeoutTypicals = 5.0

	// ---- Concurrency limits: attempts in flight at a server. Each gateway adapts its own ----

	// initialServerLimit is the initial limit of a server, in attempts in flight from all gateways.
	initialServerLimit = 6.0

	// initialPooledLimit is the same where a gateway pools the limits of all servers and averages the
	// attempts in flight: an average has no peaks.
	initialPooledLimit = 4.0

	// minLimit is the least limit of one gateway at one server, in attempts. It is below 1 because many
	// gateways share a server. One attempt is always allowed there; a limit below 1 lowers the sum over all
	// servers, which shed compares with the attempts in flight where limits are not pooled. Then only some of
	// the servers are in use at once.
	minLimit = 0.2

	// lostAfterTypicals is the age in typical answer times from which an attempt counts as lost while other
	// answers come quickly.
	lostAfterTypicals = 3.0

	// inFlightTimeConstant is the time constant of the average of attempts in flight, in seconds. It is used
	// where a gateway has only few in flight.
	inFlightTimeConstant = 1.0

	// minPooledLimitShare is the least pooled limit, as a share of its initial value. What is still too much
	// load then is shed because of the estimate of overload.
	minPooledLimitShare = 0.3

	// limitGrowthFactor multiplies a limit after an answer in time.
	limitGrowthFactor = 1.010

	// limitCutFactor multiplies a limit after a late answer or another sign of overload.
	limitCutFactor = 0.92

	// ---- Load shedding: the estimate of overload, and what is admitted in spite of it ----

	// lateAimShare is the share of a class's aim after which an answer counts as late, a sign of overload.
	lateAimShare = 0.6

	// busyLimitShare is the share of a limit in use from which the limit may grow. Use beyond this
	// share of all of a gateway's limits together adds to the overload.
	busyLimitShare = 0.7

	// lossyMaxLateShare is the share of late answers, of those that come, up to which missing answers are
	// taken as loss. Above it they are a sign of overload.
	lossyMaxLateShare = 0.07

	// lossyMinInTimeShare is the share of all attempts that must be answered in time for missing answers to
	// be taken as loss. A network that loses more than the rest is of no use, so below this share overload is
	// assumed instead.
	lossyMinInTimeShare = 0.4

	// overloadRise is the change a second of the fleet's overload (see pool.overload for its scale) while
	// answers are late.
	overloadRise = 1.0

	// overloadFall is its fall a second while answers are in time. Rise and fall balance at one late answer
	// in nine.
	overloadFall = 0.125

	// maxOverloadStep is the longest time that one answer accounts for, in seconds.
	maxOverloadStep = 0.5

	// maxFleetOverload is where the fleet's overload stops rising. One request in fifty of average worth is
	// still admitted there.
	maxFleetOverload = 4.0

	// maxRetryOverload is the overload from which no attempt is given up for another.
	maxRetryOverload = 0.05

	// shedProbeCount is the number of requests shed since the last attempt after which one is admitted in
	// spite of the overload, if shedProbeInterval has passed as well.
	shedProbeCount = 12

	// shedProbeInterval is the time since the last attempt after which such a request may be admitted, in
	// seconds.
	shedProbeInterval = 3.0

	// minInTimeChance is the least chance of an answer in time for a request to be started.
	minInTimeChance = 0.5

	// typicalTimeDecay is the relative fall of a class's typical answer time for each request refused because
	// that chance is too low.
	typicalTimeDecay = 0.01

	// overloadTimeConstant is the time constant with which the fleet's overload decays on its own, in
	// seconds. Where all requests are shed, no answer would show that the overload is over.
	overloadTimeConstant = 6.0

	// ---- Servers that reject a class of requests as full ----

	// classRejectBackoff is the time for which a server gets no requests of a class that it rejected, in
	// seconds.
	classRejectBackoff = 8.0

	// allRejectBackoff is the same where all servers rejected the class.
	allRejectBackoff = 2.0

	// unprovenCostFactor sets the extra cost of a server that has not served the class within
	// classRejectBackoff. It is multiplied by the share of the class's attempts that are rejected.
	unprovenCostFactor = 4.0

	// ---- Averages over attempts ----

	// sampleWeight is the weight of a new sample in averages for one server or class.
	sampleWeight = 0.12

	// poolSampleWeight is the same for averages over all servers of a pool.
	poolSampleWeight = 0.03

	// highLossShare is the share of attempts without an answer from which a server is ejected only after
	// ejectionFailures consecutive time-outs. Below it fewer are enough.
	highLossShare = 0.2

	// slownessTimeConstant is the time constant with which a server that gives no answers is taken as average
	// again, in seconds.
	slownessTimeConstant = 4.0

	// ---- Choice of a server ----

	// costJitter is the random part of a server's cost. It keeps gateways from all choosing the same server.
	costJitter = 0.15

	// crossZoneCost is the extra cost of a server in another zone: servers in the own zone win ties. A gateway
	// whose own zone is unknown prefers none.
	crossZoneCost = 0.01

	// choicesPerOwnServer is the number of servers compared, for each server that a gateway has to itself.
	choicesPerOwnServer = 3

	// minChoices is the least number of servers compared.
	minChoices = 4

	// gatewaysPerServer is the number of gateways that send to one server. Each costs the server a
	// connection, and each has to send there often enough to learn about it.
	gatewaysPerServer = 12

	// ---- Outlier ejection, and slow start of cold servers ----

	// ejectionFailures is the number of consecutive failures after which a server is ejected. ConnectFailed,
	// such as a refused connection, counts twice.
	ejectionFailures = 3

	// minEjectionTime is the time for which a server is first ejected, in seconds. Each failed trial doubles
	// it.
	minEjectionTime = 0.4

	// maxEjectionTime is the longest time for which a server is ejected, in seconds.
	maxEjectionTime = 4.0

	// trialGateways is the number of gateways, of all, that send a trial with their next request after an
	// ejection.
	trialGateways = 1.0

	// trialEjectionTimes is the time after an ejection in which a server gets only trials, as a multiple of
	// the time for which it was ejected.
	trialEjectionTimes = 10.0

	// coldLoadShare is the load of a cold server, as a share of what a warm one gets times the cold one's
	// warm share. The rest is headroom for chance and for other gateways.
	coldLoadShare = 0.7

	// coldBurstAttempts is the number of attempts that one gateway may send to a cold server at once.
	coldBurstAttempts = 1.5

	// coldStartCores is the work that all gateways together start on each server where none is warm, in cores
	// kept busy.
	coldStartCores = 4.0
)

// New returns a gateway with these settings, or an error if they are invalid. The same seed and events give
// the same actions.
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
		g.pools = append(g.pools, newPool(site, classes, gateways, initialPooledLimit/gateways))
	}
	return g, nil
}

// initialClassState is the estimate for a class before any answer is known.
func initialClassState(c *Class) classState {
	return classState{typicalTime: c.Aim / 5, workTime: c.Aim / 8}
}

// Handle processes one event and returns actions with those appended that the event calls for.
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
		// Units that the counter does not hold yet could be spent again at the remaining gateways.
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

// wakeBy requests a timer that fires at the given time, or a little later if that is too soon. The random
// part keeps gateways that start together from calling the counter in step.
func (g *Gateway) wakeBy(at Seconds) {
	at = min(max(at, g.now+timerInterval*(0.5+g.rng.Float64())), g.now+maxFlushDelay)
	if g.wakeAt <= g.now || at < g.wakeAt {
		g.wakeAt = at
		g.emit(SetTimer{Delay: at - g.now})
	}
}

// sweep does the periodic work of a timer: messages to peers, hedges, a new subscription and the eviction of
// idle customers.
func (g *Gateway) sweep() {
	silent := g.failedCalls >= peerFallbackFailures && g.now-g.firstFailureAt > peerFallbackDelay
	if g.settings.Limits.Peers && silent && g.now-g.peersReportedAt > g.peerInterval {
		g.reportToPeers()
	}
	if g.wakeAt = 0; g.failedCalls > 0 {
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
	// A customer that has been idle for long has a full bucket again and need not be kept.
	g.customersByArrival = slices.DeleteFunc(g.customersByArrival, func(c *customer) bool {
		idle := g.now-c.lastRequestAt > max(idleEvictionWindows*c.plan.windowLength(minWindow),
			c.plan.ceilingRefillTime())
		if c.evicted = idle && !c.callInFlight && c.uncertainUnits == 0 && c.attemptsInFlight == 0; c.evicted {
			delete(g.customers, c.id)
		}
		return c.evicted
	})
}

// grow raises the limit after a good answer if the limit is nearly used up. It grows faster the further it is
// below its initial value: otherwise a limit that was cut far down would take minutes to recover.
func (l *limiter) grow(initial float64) {
	if float64(l.inFlight)+1 >= l.limit*busyLimitShare {
		l.limit *= 1 + (limitGrowthFactor-1)*max(1, initial/l.limit)
	}
}

// cut lowers the limit after a sign of overload.
func (l *limiter) cut() { l.limit = max(minLimit, l.limit*limitCutFactor) }

// ---- 1. Customers and their quotas ----
//
// A quota is a token bucket that all gateways share, and each gateway keeps two estimates of its level. level
// is what the counter's totals and this gateway's units leave in it. splitLevel assumes that the other
// gateways spend in proportion: own units are divided by this gateway's share before they are drawn from it.
// A request is admitted while splitLevel holds its units (the split of the original design), or while level
// very likely does.
//
// Terms:
//   - window: the period over which the units of a customer are summed up under one name, its count.
//   - call: a counter call (Count), which adds an amount to a count and returns the total of all gateways.
//   - flush: a call that adds units. Units that no call has been made for yet are unflushed.
//   - read: a call that adds nothing. The closing read is that of a window that is over, to learn the units
//     that other gateways have added to it.
//   - lookup: a call for whose answer a request is held.
//   - view: the last total that was applied to a customer, at viewedAt.

// customerOf returns the customer of a request, and creates it if this gateway does not know it.
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
	// The previous process may have spent this part of the ceiling: it starts empty when this process starts.
	split := p.CeilingBurst / c.gatewayCount
	c.ceilingLevel = min(split, p.CeilingRate/c.gatewayCount*(g.now-g.startedAt))
	if len(g.customers) < maxCustomers {
		g.customers[e.Customer] = c
		g.customersByArrival = append(g.customersByArrival, c)
	} else { // the customer is not kept, so its ceiling could not be enforced
		c.ceilingLevel = 0
	}
	return c
}

// share is this gateway's part of the customer's recent units, from 0 to 1. Traffic moves between gateways,
// so without a new total a larger share falls to the even split, at which all shares add up to one.
func (g *Gateway) share(c *customer) float64 {
	even := 1 / c.gatewayCount
	share := (c.ownRecentUnits + even) / (c.allRecentUnits + 1)
	return even + max(0, min(1, share)-even)*math.Exp(-(g.now-c.viewedAt)/staleShareTimeConstant)
}

// demand estimates the units a second that the customer asks of all gateways. excluded is the number of
// units recently asked of this one that do not count, such as those of the request being decided. The usual
// rate is a prior: at a share of 1%, a single request would otherwise count as a hundred.
func (g *Gateway) demand(c *customer, excluded float64) float64 {
	share := g.share(c)
	observed := max(0, c.ownDemandRate*rateTimeConstant-excluded)
	usual := max(c.ownRate+c.othersRate, unknownUseShare*c.plan.Rate)
	return (demandPriorUnits + observed) / (demandPriorUnits/usual + share*rateTimeConstant)
}

// admissionValue is the expected gain of admitting a request, per unit of its worth. It is 0 or less for
// one to refuse, and at most 1: for one inside the quota, and for any where the plan has no such quota or a
// request beyond it still earns more than it costs. The hard ceiling and the limit on attempts in flight
// come first.
func (g *Gateway) admissionValue(c *customer, class int, units float64) float64 {
	p := c.plan
	if p.CeilingRate > 0 && c.ceilingLevel < units {
		return 0 // the hard ceiling holds whatever a request would gain
	}
	share := g.share(c)
	overQuotaGain := p.OverWorth - p.OverCost // of a request beyond the quota, per unit of worth
	atOpenLimit := g.atOpenLimit(c)
	if atOpenLimit && (p.Rate <= 0 || c.attemptsInFlight >= p.Open) {
		return 0
	}
	if p.Rate <= 0 || overQuotaGain > 0 {
		return 1
	}
	age, othersRate := c.viewAge(g.now), c.othersRate
	if g.failedCalls > 0 && g.now-g.peerHeardAt < viewStaleAfter {
		age = min(age, g.peerInterval) // peers report at this interval: what they have not reported is no older
	}
	othersDemand := g.demand(c, units) * (1 - share)
	if age > viewStaleAfter {
		othersRate = max(othersRate, othersDemand)
	}
	othersRate = max(othersRate, drawnSpikeShare*othersDemand) // requests show a spike before any total does
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
	// The split leaves units unused: admit the request where the bucket holds its units with a sufficient
	// chance.
	chance := 1.0
	if !fits {
		chance = poissonAtMost(int(c.level/units)-1, unseenUnits/units)
	}
	if atOpenLimit { // the same for attempts in flight: others have as many as they send during one answer time
		answerTime := g.poolOf(g.settings.Site).classes[class].typicalTime
		chance *= poissonAtMost(p.Open-1-c.attemptsInFlight,
			max(othersRate, openSpikeShare*othersDemand)/g.meanUnits*answerTime)
	}
	// A unit that is not spent now is spent later while demand exceeds the rate.
	savedValue := min(1, g.demand(c, 0)/p.Rate) * (1 - c.level/p.Burst)
	return chance*(1-savedValue) + (1-chance)*overQuotaGain
}

// retryAfter is the hint when a client should try again, in seconds: the wait for the units, or a short
// random time if the bucket seems to hold them already. 0 is no hint.
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

// scheduleCall queues a counter call for a customer, due before its bucket is expected to run dry.
func (g *Gateway) scheduleCall(c *customer) {
	if !g.settings.Counter.Allowed || c.plan.Rate <= 0 || c.evicted || g.customers[c.id] != c {
		return
	}
	use := max(g.demand(c, 0), c.ownRate+c.othersRate) // a spike is taken to reach the other gateways as well
	wait := flushDepletionShare * max(0, c.level-1) / max(use, 1e-9)
	if c.unflushed == 0 {
		wait = max(wait, readIntervalUnits/c.plan.Rate) // it adds nothing, so no other gateway waits for it
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

// makeDueCalls makes the queued counter calls that are due, as far as the rate limit on calls permits.
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
		// More calls are due than the limit permits: customers whose next request is expected soon go first,
		// before those seen only once.
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

// mayCall reports whether the rate limit permits a call for a customer of whom no request is held. Calls that
// only read leave a reserve to requests that need a lookup, which would otherwise be admitted without one.
func (g *Gateway) mayCall(c *customer) bool {
	return g.callTokens >= 1 && (c.unflushed != 0 || g.callTokens >= 1+lookupReserve)
}

// callCounter adds the customer's unflushed units to the count of its window, or only reads that count if
// the window is over or a previous add is uncertain.
func (g *Gateway) callCounter(c *customer) {
	current := c.currentWindow(g.now)
	if c.window < current && (c.neverViewed || c.window < current-1) && c.uncertainUnits == 0 {
		c.window, c.ownCounted, c.othersCounted = current, 0, 0 // too long ago: no use in closing it
		c.levelUnknown = true
	}
	name, amount := countName(c.id, c.plan.key(c.planIndex), c.window), 0.0
	if c.window == current && c.uncertainUnits == 0 {
		amount = c.unflushed
		c.unflushed = 0
	}
	g.sendCount(c, name, amount)
}

// adaptCallRate raises the rate of calls while answers are quick, and lowers it while they are slow or
// missing. The step is proportional to the time since the last answer, so that calls rejected at once do not
// dominate it.
func (g *Gateway) adaptCallRate(quick bool) {
	sinceAnswer := g.now - g.lastResultAt
	g.lastResultAt = g.now
	gateways := float64(g.settings.Gateways)
	if quick { // it grows faster far below the initial rate
		step := min(1, callRateGrowth*sinceAnswer*
			max(1, max(initialGatewayCallRate, initialFleetCallRate/gateways)/g.callRate))
		g.callRate = min(maxFleetCallRate*max(1/gateways, initialGatewayCallRate/initialFleetCallRate),
			g.callRate*(1+step))
	} else {
		g.callRate = max(minFleetCallRate/gateways,
			g.callRate*math.Exp(-callRateDecay*min(maxDecayStep, sinceAnswer)))
	}
}

// handleCounted processes the answer to a counter call. The requests held for it are decided at the end.
func (g *Gateway) handleCounted(e Counted) {
	c := g.takeAnsweredCall(e.Name)
	if c == nil {
		return
	}
	amount, readsPrevious := c.unitsInFlight, c.readsPrevious
	c.unitsInFlight, c.callInFlight, c.readsPrevious = 0, false, false
	defer g.releaseHeld(c)
	if c.planChanged { // the total belongs to the customer's previous plan
		c.planChanged = false
		g.scheduleCall(c)
		return
	}
	if e.Status != OK {
		if g.failedCalls++; g.failedCalls == 1 {
			g.firstFailureAt = g.now
		}
		g.wakeBy(g.now + peerFallbackDelay)
		g.adaptCallRate(false)
		if e.Status == Timeout {
			// The units may have been added. They are kept apart until a read shows it.
			c.uncertainUnits += amount
		} else {
			c.unflushed += amount
		}
		g.scheduleCall(c)
		c.callDueAt = max(c.callDueAt, g.now+g.settings.Counter.Timeout*(1+g.rng.Float64()))
		return
	}
	g.failedCalls = 0
	clear(g.unclaimedPeerUnits)
	g.adaptCallRate(e.Elapsed <= slowCallShare*g.settings.Counter.Timeout)
	c.refill(g.now, rateTimeConstant)
	if readsPrevious {
		c.restoreLevel(g.now, e.Total)
		return
	}
	g.applyTotal(c, e.Total, amount)
	if current := c.currentWindow(g.now); c.window < current {
		c.window, c.ownCounted, c.othersCounted = current, 0, 0 // level carries over what is left
		// The total of a past window does not answer for the present one.
		if len(c.heldRequests) > 0 {
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

// applyTotal updates the estimates of a customer from a total, which includes added units of this gateway's
// call.
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
		// The counter lost its data. Add the own units again; the highest count of others' units is kept.
		c.unflushed += c.ownCounted - added
		c.ownCounted = added
	}
	others := total - c.ownCounted
	newUnits := max(0, others-c.othersCounted-c.unitsFromPeers)
	c.unitsFromPeers, c.unitsReported = 0, 0
	c.othersCounted = max(c.othersCounted, others)
	age := c.viewAge(g.now)
	// A total covers its window only; before that, others are assumed to have drawn at their rate.
	span := max(counterLag, min(age, g.now-float64(c.window)*c.plan.windowLength(minWindow)))
	decay := math.Exp(-span / rateTimeConstant)
	c.othersRate = c.othersRate*decay + newUnits/span*(1-decay)
	if unseenTime := min(age-span, c.plan.refillTime()); unseenTime > 0 && c.plan.Rate > 0 {
		c.level = max(0, c.level-unseenTime*max(0, c.othersRate-c.plan.Rate))
	}
	c.neverViewed = false
	// Shares change only with a total: without others' units, the own ones would seem to be all there are.
	decay = math.Exp(-age / shareTimeConstant)
	c.ownRecentUnits = c.ownRecentUnits*decay + c.unitsSinceView
	c.allRecentUnits = c.allRecentUnits*decay + c.unitsSinceView + newUnits
	c.level -= newUnits
	// Requests beyond the quota draw nothing from the bucket that decides whether a request is inside it. Units
	// that were drawn beyond an empty bucket are put back, and at least one, taken as a whole request.
	for c.level < 0 {
		c.level += max(1, -c.level)
	}
	c.splitLevel = c.level - c.unflushed*(1/g.share(c)-1)
	c.unitsSinceView = 0
	c.viewedAt = g.now
}

// reportToPeers is used while calls to the counter fail. For each customer, it reports the units that the
// counter may not hold yet to the other gateways of that customer. Each of them gets the first
// maxPeerEntries reports that concern it; the others are not sent, but count as reported. The interval
// grows with the number of messages, to keep within what a receiver takes in.
func (g *Gateway) reportToPeers() {
	var uses []peerUse
	for _, c := range g.customersByArrival {
		if unreported := c.unflushed + c.unitsInFlight + c.uncertainUnits -
			c.unitsReported; unreported > 0 {
			uses = append(uses, peerUse{c.id, unreported, c.firstGateway, int(c.gatewayCount)})
			c.unitsReported += unreported
		}
	}
	sent := 0
	for peer, entries := range groupByGateway(uses, g.settings.Gateways, g.settings.Ordinal, maxPeerEntries) {
		if len(entries) > 0 {
			sent++
			g.emit(MessagePeer{Peer: peer, Data: encodeUse(entries)})
		}
	}
	g.peersReportedAt, g.peerInterval = g.now, max(minPeerInterval,
		float64(sent)/(peerIntakeShare*max(1, g.settings.Limits.PeerIntake)))
}

// ---- 3. Requests ----

// handleRequest decides about a new request, or again about one that was held for a counter call.
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
	value := g.admissionValue(c, e.Class, units)
	if value > 0 && e.heldRequest == nil && g.holdForLookup(c, e, units) {
		return
	}
	if value <= 0 {
		retryAfter := g.retryAfter((units - c.level) / max(c.plan.Rate, 1e-9))
		g.refuseNew(e, Refuse{ID: e.ID, RetryAfter: retryAfter, Over: true})
		g.scheduleCall(c)
		return
	}
	if e.VerdictOnly { // the caller forwards the request itself: its units count from now
		g.chargeUnits(c, units)
		g.emit(Admit{ID: e.ID})
		return
	}
	r := &request{id: e.ID, class: e.Class, customer: c, units: units, deadline: g.now + e.TimeLeft}
	r.continueEarlierRun(e.EarlierRun)
	var s *server
	if g.inRepeatWindow(r) {
		s = g.selectServer(r, e.Reach, value)
	}
	if s == nil {
		g.refuseNew(e, Refuse{ID: e.ID, RetryAfter: g.retryAfter(0)})
		return
	}
	if g.requests[r.id] = r; e.BodyIncoming {
		r.bodyIncoming, r.timeLeft, r.deadline = true, e.TimeLeft, math.Inf(1)
	}
	g.chargeUnits(c, units)
	g.send(r, s)
}

// holdForLookup holds a request until the counter has answered if nothing but an old view admits it, and
// reports whether it did. An old view says little of the present use: of many gateways, each sees little of
// a customer. No request is held if the last call failed, if no call may be made now, or if it has too
// little time left.
func (g *Gateway) holdForLookup(c *customer, e Request, units float64) bool {
	canCall := g.settings.Counter.Allowed && c.plan.Rate > 0 && g.failedCalls == 0 &&
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

// chargeUnits charges a customer for an admitted request.
func (g *Gateway) chargeUnits(c *customer, units float64) {
	c.ceilingLevel -= units
	c.ownRate += units / rateTimeConstant
	g.drawUnits(c, units)
	g.scheduleCall(c)
}

// selectServer returns a server at the first site within reach or, if there is none or the request is shed
// there, at the second; nil if there is none. value is the request's admissionValue, or 0 for a retry. A
// retry is not shed, nor a request at the first site if package sites reports room there; shed still
// updates its estimates from the latter.
func (g *Gateway) selectServer(r *request, reach Reach, value float64) *server {
	for i, site := range [...]int{reach.First, reach.Then} {
		lastSite := i > 0 || reach.Then == reach.First
		s := g.chooseServer(r, g.poolOf(site), lastSite)
		if s != nil && (value <= 0 || !reach.Full && (!g.shed(r, value, s.pool) || i == 0 && reach.Room)) {
			return s
		}
		if lastSite {
			break
		}
	}
	return nil
}

// shed reports whether a request is refused because of overload, and updates the pool's estimates of it. The
// less a request is worth compared with others, the more likely it is shed.
func (g *Gateway) shed(r *request, value float64, p *pool) bool {
	class := &g.settings.Classes[r.class]
	// With little time left, the answer is likely too late, and the request is worth less.
	cs := &p.classes[r.class]
	inTimeChance := 1 - math.Exp2(-min(class.Aim, r.deadline-g.now)/cs.typicalTime)
	// The typical time decays with each refusal: if all are refused, no answer would lower it again.
	if inTimeChance < minInTimeChance {
		cs.typicalTime -= cs.typicalTime * typicalTimeDecay
	}
	worth := inTimeChance * value * class.Worth * r.customer.plan.Worth * r.units / max(cs.workTime, 1e-4)
	meanRatio := p.recordWorth(worth)
	// In a large fleet, a gateway with one attempt in flight can't see overload in its own limits; late
	// answers of any server show it.
	p.fleetOverload *= math.Exp(-(g.now - p.overloadDecayedAt) / overloadTimeConstant)
	p.overloadDecayedAt = g.now
	// With more gateways than attempts that a server's initial limit allows, each has few attempts at a server.
	fewPerServer, maxAge, workShare := initialServerLimit < p.gateways, math.Inf(1), 1.0
	// If answers get lost, attempts in flight for long while others are answered quickly keep no server busy.
	if fewPerServer && p.lossy() {
		maxAge, workShare = lostAfterTypicals, p.inTimeShare
	}
	limit, inFlight, servers := p.occupancy(g.now, maxAge)
	limit, inFlight = limit+minLimit, inFlight*workShare
	// A gateway that seldom sends to a server knows nothing about it, so one limit is pooled over all. With
	// few attempts in flight their number is mostly chance, and is averaged.
	if fewPerServer {
		decay := math.Exp(-(g.now - p.meanInFlightAt) / inFlightTimeConstant)
		p.meanInFlight, p.meanInFlightAt = p.meanInFlight*decay+inFlight*(1-decay), g.now
		limit, inFlight = minLimit+p.pooledLimit*servers, p.meanInFlight
	}
	p.nearLimit = inFlight >= limit*busyLimitShare
	p.overload = p.fleetOverload + max(0, inFlight-limit*busyLimitShare)/(limit*(1-busyLimitShare))
	if inTimeChance < minInTimeChance || p.overload <= 0 ||
		g.rng.Float64() <= math.Exp(-p.overload*meanRatio*meanRatio) {
		return inTimeChance < minInTimeChance // if the chance is too low it is shed, otherwise it is admitted
	}
	// A gateway that sheds every request would not see the overload end: from time to time one is admitted.
	p.shedSinceAttempt++
	return p.shedSinceAttempt < shedProbeCount || g.now-p.lastAttemptAt < shedProbeInterval
}

// checkOverdue takes each attempt that is in flight for too long as a sign of overload, however it ends:
// overloaded servers may be busy only with requests whose clients have given up, and then no answer ever
// shows it.
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

// lossy reports whether missing answers are lost rather than delayed by overload: then most answers do come,
// and quickly.
func (p *pool) lossy() bool {
	return p.lateShare <= lossyMaxLateShare && p.inTimeShare >= lossyMinInTimeShare
}

// updateOverload raises or lowers the fleet's overload after an answer that was late or in time.
func (g *Gateway) updateOverload(p *pool, late bool) {
	sinceUpdate := min(maxOverloadStep, g.now-p.overloadUpdatedAt)
	p.overloadUpdatedAt = g.now
	// A high overload must fall as fast as it rose, but only while nearly all answers are in time: in a
	// lasting overload, the faster fall would let a third of the answers be late.
	calmWeight := max(0, 1-(1-p.inTimeShare)*(1+overloadRise/overloadFall))
	step := -overloadFall * (1 + calmWeight*p.fleetOverload*p.fleetOverload)
	if late {
		step = overloadRise
	}
	p.fleetOverload = max(0, min(maxFleetOverload, p.fleetOverload+step*sinceUpdate))
}

// send starts an attempt of a request at a server.
func (g *Gateway) send(r *request, s *server) {
	class, p := &g.settings.Classes[r.class], s.pool
	timeout := 0.0
	// Under overload there is no early time-out: a second attempt would double the work of the first.
	mayRepeat := class.Repeat != Unsafe && !class.Stream && len(r.attempts)+1 < g.settings.Limits.MaxAttempts
	if p.overload < maxRetryOverload && mayRepeat && !r.bodyIncoming {
		timeout = max(attemptTimeoutAimShare*class.Aim, minAttemptTimeoutTypicals*p.classes[r.class].typicalTime)
		if g.now+timeout > r.deadline-p.classes[r.class].typicalTime {
			timeout = 0
		}
	}
	a := r.startAttempt(s, g.now)
	if !r.bodyIncoming {
		g.countAsSent(r, a)
	}
	p.attemptRate = p.attemptRate*math.Exp(-(g.now-p.lastAttemptAt)/rateTimeConstant) + 1/rateTimeConstant
	p.lastAttemptAt, p.shedSinceAttempt = g.now, 0
	g.emit(Send{ID: r.id, Server: s.id, Timeout: timeout, Placement: a.placement})
	g.scheduleHedge(r)
}

// countAsSent counts an attempt as work of its server from now on, as the server is about to have the whole
// request. Counted from the first byte, a slow upload would look like overdue work.
func (g *Gateway) countAsSent(r *request, a *attempt) {
	cs := &a.server.pool.classes[r.class]
	a.sentAt, a.bodySent, cs.undecided = g.now, true, append(cs.undecided, a)
	a.server.addAttempt(sentAttempt{r.id, g.now, cs.typicalTime})
}

// handleOutcome processes the end of an attempt, and retries or finishes the request.
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
		r.mayHaveRun, r.firstRunSentAt, r.firstRunAt = true, a.sentAt, a.placement
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

// finish closes a request that has its answer or whose client has left, and cancels its attempts in flight.
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

// handleMembers applies a server list, or changes to it.
func (g *Gateway) handleMembers(e Members) {
	if e.Kind == Failed {
		g.resubscribeAt = g.now + 1 + g.rng.Float64()
		g.wakeBy(g.resubscribeAt)
		return
	}
	if e.Kind == Cached && g.settings.Subscribe {
		g.emit(Watch{On: true})
	}
	if e.Kind != Delta { // a server that a full list does not name is removed
		for _, s := range g.servers {
			s.ready, s.member.State = false, Removed
		}
	}
	for _, m := range e.Entries {
		s, p := g.servers[m.Server], g.poolOf(m.Site)
		if s != nil && s.pool != p { // it moved: its attempts in flight end in the old pool
			s.ready, s.member.State = false, Removed
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
		s.ready = m.State == Ready
	}
	for _, p := range g.pools {
		g.forgetRemoved(p)
		p.orderServers(float64(g.settings.Ordinal) / float64(g.settings.Gateways))
	}
}

// markCold starts the slow start of a server that was started at the given time, unless its ramp is over.
func (g *Gateway) markCold(s *server, since Seconds) {
	if g.now-since < g.settings.Guarantees.Ramp {
		if !s.cold {
			// Each gateway starts with a random part of an attempt, so that they don't all send at once.
			s.coldBudget, s.budgetRefilledAt = g.rng.Float64(), g.now
		}
		s.cold, s.coldSince = true, since
	}
}

// refillColdBudget refills the budget of a cold server up to now, and returns its warm share (1 if it is
// warm).
func (g *Gateway) refillColdBudget(s *server) (warmShare float64) {
	p := s.pool
	warmShare = g.settings.Guarantees.warmShare(g.now - s.coldSince)
	if s.cold = s.cold && warmShare < 1; !s.cold {
		return 1
	}
	// A cold server gets a share of what a warm server gets, not of the mean, which is low while a release
	// restarts most servers.
	rate := p.attemptRate * math.Exp(-(g.now-p.lastAttemptAt)/rateTimeConstant) / max(1, p.effectiveServers)
	if p.warmServers == 0 { // a share of what no warm server gets would stay 0
		rate = max(rate, coldStartCores/p.initialWorkTime/p.gateways)
	}
	s.coldBudget = min(coldBurstAttempts, s.coldBudget+coldLoadShare*warmShare*rate*(g.now-s.budgetRefilledAt))
	s.budgetRefilledAt = g.now
	return warmShare
}

// chooseServer returns the cheapest of a few random servers. If all were compared, gateways with similar
// information would all choose the same one. Only if none of the few can take the request are all compared.
// nil: there is none.
func (g *Gateway) chooseServer(r *request, p *pool, lastSite bool) *server {
	var best *server
	bestCost, sampleSize := math.Inf(1), max(minChoices, choicesPerOwnServer*len(p.servers)/int(p.gateways))
	rejectBackoff := classRejectBackoff
	consider := func(s *server, sampled bool) {
		if cost := g.eligibleCost(r, s, sampled, rejectBackoff); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	// In a large fleet, a gateway uses only the first servers of its list: it sends to each often enough to
	// learn about it, and a server has few connections. The lists are ordered so that each server has equally
	// many gateways.
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
	if p.rejectsEverywhere(r.class, g.now) { // otherwise no server would show that it has room again
		rejectBackoff = allRejectBackoff
	}
	for _, s := range p.servers {
		consider(s, false)
	}
	if best != nil || usable > 0 || !lastSite {
		return best
	}
	for _, s := range p.servers { // never eject all servers: use the least bad one
		if cost := g.cost(r, s); s.ready && !s.cold && g.mayServe(r, s) && cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// eligibleCost is the cost of s for r, or infinite if s must not get it. A cold server is limited by its
// budget, or by chance where servers are sampled at random.
func (g *Gateway) eligibleCost(r *request, s *server, sampled bool, rejectBackoff Seconds) float64 {
	if !s.usable(g.now) || !g.mayServe(r, s) || float64(s.limiter.inFlight) >= max(1, s.limiter.limit) {
		return math.Inf(1)
	}
	warmShare := g.refillColdBudget(s)
	unsafe := g.settings.Classes[r.class].Repeat == Unsafe
	// After the trial phase, the server is chosen like any other.
	onTrial := s.onTrial && g.now < s.ejectedUntil+trialEjectionTimes*s.ejectionTime
	switch {
	case s.cold && !sampled && s.coldBudget < 1, s.cold && sampled && g.rng.Float64() > coldLoadShare*warmShare,
		s.classRejectedAt[r.class] > 0 && g.now-s.classRejectedAt[r.class] < rejectBackoff,
		// Other gateways try an ejected server, too: the more there are, the rarer the trials of each.
		onTrial && (unsafe || g.rng.Float64()*s.pool.gateways > trialGateways):
		return math.Inf(1)
	}
	if onTrial {
		return 0 // a trial has to find out whether the server has recovered
	}
	cost := g.cost(r, s)
	if g.now-s.classSuccessAt[r.class] > classRejectBackoff {
		cost *= 1 + unprovenCostFactor*s.pool.classes[r.class].rejectShare
	}
	return cost
}

// cost is the relative cost of sending r to s: its slowness times its attempts, with penalties and a random
// part.
func (g *Gateway) cost(r *request, s *server) float64 {
	slowness := s.slowness
	if idle := g.now - s.lastOutcomeAt; s.limiter.inFlight == 0 {
		slowness = 1 + (slowness-1)*math.Exp(-idle/slownessTimeConstant)
	}
	cost := slowness * (1 + float64(s.limiter.inFlight))
	if len(s.sentAttempts) > 0 {
		// A server that hangs gives no answers to learn from; the age of its oldest attempt shows it.
		cost += max(0, (g.now-s.sentAttempts[0].sentAt)/s.sentAttempts[0].typicalTime-2)
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			cost *= 4 // prefer a server on which the request has not just failed
		}
	}
	if g.settings.Zone != "" && s.member.Zone != g.settings.Zone {
		cost *= 1 + crossZoneCost
	}
	return cost * (1 + costJitter*g.rng.Float64())
}

// recordOutcome updates the estimates for a server, its pool and a class from the end of an attempt.
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
		// It may have room for other classes: the pair is recorded. It counts as full if it serves no class.
		s.classRejectedAt[r.class] = g.now
		cs.rejectShare += (1 - cs.rejectShare) * sampleWeight
		if g.now-s.lastSuccessAt > rateTimeConstant {
			s.limiter.cut()
		}
	case ConnectFailed:
		// The server may have crashed before the list shows it. When it answers again, it is treated as cold.
		s.suspectedRestart = true
		g.recordFailure(s, 2)
	case Reset, Error: // no suspected restart: answers may be lost on most of the fleet
		g.recordFailure(s, 1)
	case Timeout: // if it is not late, the client gave up early, which says nothing about the server
		if cs.typicalTime = min(class.Aim, cs.typicalTime+cs.typicalTime*poolSampleWeight*
			max(0, sign(elapsed-cs.typicalTime))); !late {
			return
		}
		s.slowness += (min(elapsed/cs.typicalTime, 20) - s.slowness) * sampleWeight
		s.limiter.cut()
		// One time-out of a seldom used server that drops all requests suffices for ejection. While many
		// answers are lost everywhere, more are needed, to keep the fleet in use.
		p.lossShare += (1 - p.lossShare) * poolSampleWeight
		g.recordFailure(s, int(1+(ejectionFailures-1)*max(0, 1-p.lossShare/highLossShare)))
	}
}

// recordFailure adds to the consecutive failures of a server, and ejects it after enough of them or a failed
// trial.
func (g *Gateway) recordFailure(s *server, weight int) {
	s.failures += weight
	if s.failures < ejectionFailures && !s.onTrial {
		return
	}
	s.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*s.ejectionTime))
	s.ejectedUntil = g.now + s.ejectionTime*(0.8+0.4*g.rng.Float64())
	s.onTrial = true
}
