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
	pulse        = 0.02  // s between looks at what is due; far below the shortest call interval
	shortWindow  = 3.0   // s; shorter windows would spend calls on rolling over
	nameLives    = 4     // windows a name is kept: past its closing read, and no longer
	slowFlush    = 1.0   // s, the source's periodic flush; nobody waits longer to be counted
	readPause    = 0.7   // of the time in which a unit comes in; reading more often shows nothing
	flushShare   = 0.3   // of the time in which the store could run dry may pass between calls
	pricedCall   = 0.02  // call price at which intervals are doubled
	blind        = 0.012 // s: a tick, a call and its way; use of others within it can't be seen
	askPrior     = 0.5   // units at the usual rate that weigh against own asks: customers differ much
	openSpike    = 0.7   // of what others likely ask is taken to be out, where attempts out are capped
	askSpike     = 0.4   // of what others likely ask is taken as drawn, at the least
	stale        = 1.5   // s after which a view tells little of what others ask
	unknownUse   = 0.5   // of its rate that a customer not yet looked up is taken to use
	rateMemory   = 2.0   // s over which rates of use are averaged
	shareLasts   = 1.5   // s that a share outlives the last view
	shareMemory  = 6.0   // s over which shares are: the busiest gateway changes every few seconds
	doze         = 3.0   // windows without a request after which a customer is forgotten
	maxCustomers = 20000 // held at once; one-off floods beyond this share no memory

	lookAfter  = 0.3    // s after which a view is too old to let in what the split does not
	lookTime   = 4.0    // times a call's time-out that a client must wait to be held for one
	callsFirst = 500.0  // counter calls a second of all gateways, before anything is learned
	callsLeast = 40.0   // of all gateways; fewer would be slow to see that the counter is back
	callsMost  = 2000.0 // of all gateways, where it stops growing
	callsOwn   = 13.0   // instead of callsFirst for each, if that is more: counters grow with fleets
	callGrow   = 0.5    // growth a second while answers are quick
	callShrink = 2.0    // fall a second while they are slow or missing
	callSpell  = 0.2    // s that one bad answer can tell of at the most
	waitMost   = 20.0   // s that a call may be put off for customers asked for again sooner
	callBurst  = 0.02   // s of calls that may go out at once
	callsSaved = 4.0    // and as many at least: a try that finds none left would be let in without a look
	lookCalls  = 3.0    // left for tries that wait to be looked up, by calls that only read
	slowCall   = 0.35   // of a call's time-out: later answers say that the counter is crowded

	peerAfter  = 0.3  // s without an answer of the counter before peers are told
	peerMisses = 2    // unanswered calls in a row: one alone is a crowd, no silence
	peerPause  = 0.15 // s between messages: a tenth of a second or so is what a total would lag
	peerIntake = 0.5  // of what a gateway can take in is used: customers crowd at some
	peerMost   = 14   // customers in a message, to fit 256 bytes

	hintLeast  = 0.2 // of the longest wait that clients heed, where nothing tells of a better time
	hintSpread = 0.3 // and as much more at the most, so that they do not come back in step

	retryEarn  = 0.1 // attempts beyond the first that each request earns: a retry storm stays at a tenth
	retryPurse = 8.0 // and how many may be saved up
	tryAim     = 0.8 // share of the aim after which a repeatable attempt is given up for another
	tryTypical = 5.0 // but never before this many typical times: long work is not a fault

	slotsFirst   = 6.0   // attempts at a server from all gateways, before anything is learned
	slotsPooled  = 4.0   // the same where they are pooled and averaged: an average has no peaks
	slotsFloor   = 0.2   // under 1, as many gateways share a server: then only some servers are in use at once
	lostAfter    = 3.0   // typical times after which an answer seems lost while others come quickly
	slotsMemory  = 1.0   // s over which attempts out are averaged where few are
	slotsLeast   = 0.3   // of the first guess; crowd does the rest
	growTo       = 1.010 // at each good sign
	cutTo        = 0.92  // at each bad one
	lateShare    = 0.6   // an answer later than this share of its aim says that there is a crowd
	busyShare    = 0.7   // of a limit in use: it may grow; of all own slots: they add to the crowd
	lateFew      = 0.07  // of the answers that come must be late for silence to tell of a crowd
	inTimeFew    = 0.4   // or this few of all attempts answered in time: no network that is of use loses more
	crowdUp      = 1.0   // a second, while answers come late
	crowdDown    = 0.125 // a second, while they are in time: they balance at one late answer in nine
	crowdSpell   = 0.5   // s that one answer can tell of at the most
	crowdMost    = 4.0   // where it stops rising: one request in fifty of middling worth
	crowdFew     = 0.05  // from here on no attempt is given up for another
	probeAfter   = 12    // requests refused since the last attempt, and
	probePause   = 3.0   // s since then, after which one is let in whatever the overload
	hopeLeast    = 0.5   // chance of an answer in time under which nothing is started
	hopeFades    = 0.01  // fall of the typical time for each that is refused for want of hope
	crowdFades   = 6.0   // s; where all is refused no answer would tell that the crowd is gone
	fullFor      = 8.0   // s that a server is passed over for the class it turned away
	fullForAll   = 2.0   // s, the same where all servers turned it away
	provenBy     = 4.0   // extra cost where the class was not lately served, times how often it is turned away
	learn        = 0.12  // weight of a new sample in averages over attempts
	learnFleet   = 0.03  // the same for what is learned of all servers
	lostFew      = 0.2   // share of attempts without an answer from which three in a row must fail
	forgetSlow   = 4.0   // s in which a server without answers is thought of as average again
	jitter       = 0.15  // random part of a server's cost, so that gateways do not pick alike
	abroad       = 0.01  // extra cost of a server in another zone: near ones win ties
	choices      = 3     // servers looked at, for each that a gateway has to itself
	choicesLeast = 4     // and at the least
	serverGates  = 12    // gateways that go to one server: each costs it a connection, and is to meet it often

	strikes    = 3   // failures in a row that put a server out; a refused connection counts double
	outFirst   = 0.4 // s a server is first left alone, doubled at each failed trial
	outMost    = 4.0
	trialShare = 1.0  // gateways, of all, that send a trial with their next request
	trialFor   = 10.0 // of the time left alone, in which only trials are sent
	coldPart   = 0.7  // of what a warm server gets times the warm share: chance and other gateways need room
	coldBurst  = 1.5  // attempts that one gateway may send a cold server at once
	coldCores  = 4.0  // as many cores' work is begun on each by all gateways where no server is warm
)

// New makes a gateway that knows its settings. The same seed and events give the same actions.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	s.Limits.MaxAttempts = max(1, s.Limits.MaxAttempts)
	g := &Gateway{
		set:       s,
		rng:       rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		customers: map[uint64]*customer{},
		callOut:   map[uint64][]*customer{},
		requests:  map[uint64]*request{},
		servers:   map[string]*server{},
		hearsay:   map[uint64]float64{},
		callRate:  max(callsOwn, callsFirst/float64(max(1, s.Gateways))),
		purse:     retryPurse,
		meanUnits: 1,
		hedges:    newHedger(&s),
	}
	classes := make([]classState, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = firstState(&c)
	}
	for site := range max(1, s.Sites) {
		gates := float64(s.gates(site))
		g.pools = append(g.pools, newPool(classes, gates, slotsPooled/gates))
	}
	return g, nil
}

// firstState is what a class is taken to be before anything is learned of it.
func firstState(c *Class) classState { return classState{typical: c.Aim / 5, work: c.Aim / 8} }

// Handle takes one event in and appends the actions it calls for.
func (g *Gateway) Handle(now Seconds, ev Event, actions []Action) []Action {
	g.now, g.out = now, actions
	if !g.begun {
		g.begun, g.opened, g.swept = true, now, now
		g.wake(now)
	}
	g.overdue()
	switch e := ev.(type) {
	case Members:
		g.members(e)
	case Request:
		g.request(e)
	case BodyReceived:
		g.arrived(e)
	case Started:
		g.started(e)
	case Outcome:
		g.outcome(e)
	case ClientGone:
		g.left(e)
	case Timer:
		if now > g.wakeAt-pulse/4 {
			g.sweep()
		}
	case Reconfigured:
		g.reconfigure(e)
	case ShuttingDown:
		// Units that are not added yet could be spent a second time at the gateways that stay.
		g.ending = true
		for _, c := range g.waiting {
			g.want(c)
		}
	case LinkRestored:
		g.pool(e.Site).forgive()
	case Counted:
		g.counted(e)
	case PeerMessage:
		g.hear(e)
	}
	g.call()
	return g.out
}

// wake asks for a timer by then. The random part keeps gateways that start together from calling in step.
func (g *Gateway) wake(at Seconds) {
	at = min(max(at, g.now+pulse*(0.5+g.rng.Float64())), g.now+slowFlush)
	if g.wakeAt <= g.now || at < g.wakeAt {
		g.wakeAt = at
		g.do(SetTimer{Delay: at - g.now})
	}
}

func (g *Gateway) sweep() {
	silent := g.misses >= peerMisses && g.now-g.quiet > peerAfter
	if g.set.Limits.Peers && silent && g.now-g.peerTold > g.peerGap {
		g.tell()
	}
	if g.wakeAt = 0; g.misses > 0 {
		g.wake(g.now + max(peerPause, g.peerGap))
	}
	g.wake(g.now + slowFlush)
	g.sendCopies()
	if g.nextAsk > 0 && g.now >= g.nextAsk {
		g.nextAsk = 0
		g.do(Watch{On: true})
	}
	if g.now-g.swept < slowFlush {
		return
	}
	g.swept = g.now
	// Customers that were quiet for long have a full bucket again and need not be kept.
	g.order = slices.DeleteFunc(g.order, func(c *customer) bool {
		quiet := g.now-c.lastAsk > max(doze*c.plan.window(shortWindow), c.plan.refillCeiling())
		if c.gone = quiet && !c.calling && c.unsure == 0 && c.open == 0; c.gone {
			delete(g.customers, c.id)
		}
		return c.gone
	})
}

// good lets a limit grow. Danger: one cut far down would take minutes: the further below first, the faster.
func (l *limiter) good(first float64) {
	if float64(l.out)+1 >= l.limit*busyShare {
		l.limit *= 1 + (growTo-1)*max(1, first/l.limit)
	}
}

func (l *limiter) bad() { l.limit = max(slotsFloor, l.limit*cutTo) }

// ---- 1. Customers and their quotas ----
//
// The judge of a quota is a token bucket, of which a gateway keeps two views. level is what totals and own
// units leave of it; part what is left if others spend in proportion: own units leave it divided by the own
// share. A request is let in while part holds it (the design's split), or level very likely does.

func (g *Gateway) customer(e Request) *customer {
	if c := g.customers[e.Customer]; c != nil {
		if c.index != e.Plan {
			c.replan(g.now, &g.set.Plans[e.Plan], e.Plan)
		}
		return c
	}
	p := &g.set.Plans[e.Plan]
	room := max(0, p.Burst-g.hearsay[e.Customer])
	c := &customer{
		id: e.Customer, index: e.Plan, plan: p,
		door: e.First, spread: float64(max(1, min(e.Spread, g.set.Gateways))),
		level: room, part: room, filled: g.now,
		window: p.windowAt(g.now), first: true, unknown: true, seen: g.now,
		othersRate: unknownUse * p.Rate,
	}
	// The process before this one may have spent this part of the ceiling: it refills from this one's start.
	split := p.CeilingBurst / c.spread
	c.ceiling = min(split, p.CeilingRate/c.spread*(g.now-g.opened))
	if len(g.customers) < maxCustomers {
		g.customers[e.Customer] = c
		g.order = append(g.order, c)
	} else { // its units are forgotten at once: no ceiling could be kept
		c.ceiling = 0
	}
	return c
}

// share is this gateway's part of the customer's recent units. Traffic moves between gateways, so
// without a new total it falls to the even split, at which all shares add up to one.
func (g *Gateway) share(c *customer) float64 {
	even := 1 / c.spread
	share := (c.ownShare + even) / (c.allShare + 1)
	return even + max(0, min(1, share)-even)*math.Exp(-(g.now-c.seen)/shareLasts)
}

// demand estimates the units a second asked of all gateways. The usual rate weighs against own asks:
// at a share of a hundredth, a single one would otherwise stand for a hundred.
func (g *Gateway) demand(c *customer, less float64) float64 {
	share := g.share(c)
	seen := max(0, c.askRate*rateMemory-less)
	usual := max(c.ownRate+c.othersRate, unknownUse*c.plan.Rate)
	return (askPrior + seen) / (askPrior/usual + share*rateMemory)
}

// allows tells what a try likely earns, per worth: at most 1, for one inside the quota; 0 or less refuses it.
func (g *Gateway) allows(c *customer, class int, units float64) float64 {
	p := c.plan
	if p.CeilingRate > 0 && c.ceiling < units {
		return 0 // the fifth rule comes before all gain
	}
	share := g.share(c)
	gain := p.OverWorth - p.OverCost // of a try beyond the quota, per worth
	capped := g.capped(c)
	if capped && (p.Rate <= 0 || c.open >= p.Open) {
		return 0
	}
	if p.Rate <= 0 || gain > 0 {
		return 1
	}
	age, rate := c.age(g.now), c.othersRate
	if g.misses > 0 && g.now-g.heard < stale {
		age = min(age, g.peerGap) // peers speak: what they have not told is no older
	}
	asks := g.demand(c, units) * (1 - share)
	if age > stale {
		rate = max(rate, asks)
	}
	rate = max(rate, askSpike*asks) // a spike shows in asks before any total tells of it
	unseen := asks*min(age, blind) + rate*max(0, min(age, p.Burst/p.Rate)-blind)
	room := c.part
	if age <= stale {
		room = min(room, c.level-unseen)
	}
	fits := room*share >= units
	if fits && !capped {
		return 1
	}
	if c.level < units {
		return 0
	}
	// The split leaves room unused: admit where the chance that there is room makes it worth while.
	chance := 1.0
	if !fits {
		chance = poissonAtMost(int(c.level/units)-1, unseen/units)
	}
	if capped { // the same of attempts out. Others have out what they send in the time that an answer takes.
		lasts := g.pool(g.set.Site).classes[class].typical
		chance *= poissonAtMost(p.Open-1-c.open, max(rate, openSpike*asks)/g.meanUnits*lasts)
	}
	// A kept unit is not lost while asks exceed the rate.
	kept := min(1, g.demand(c, 0)/p.Rate) * (1 - c.level/p.Burst)
	return chance*(1-kept) + (1-chance)*gain
}

// hint tells a client when to come back: a random short time where the bucket seems to hold the units.
func (g *Gateway) hint(wait Seconds) Seconds {
	if !g.set.Limits.RetryAfter {
		return 0
	}
	if wait <= 0 {
		wait = (hintLeast + hintSpread*g.rng.Float64()) * g.set.Limits.MaxRetryAfter
	}
	return min(wait, g.set.Limits.MaxRetryAfter)
}

// ---- 2. The counter ----

func (g *Gateway) want(c *customer) {
	if !g.set.Counter.Allowed || c.plan.Rate <= 0 || c.gone || g.customers[c.id] != c {
		return
	}
	use := max(g.demand(c, 0), c.ownRate+c.othersRate) // others see a spike as this gateway does
	wait := flushShare * max(0, c.level-1) / max(use, 1e-9)
	if c.delta == 0 {
		wait = max(wait, readPause/c.plan.Rate) // only a read: nobody else waits for it
	}
	wait = min(slowFlush, wait*(1+g.set.Counter.Price/pricedCall))
	if c.first && c.part < c.plan.Burst/2 || g.ending && c.delta != 0 {
		wait = 0
	}
	due := c.seen + wait
	if c.first || g.ending {
		due = g.now + wait
	}
	if !c.queued {
		c.queued, c.due = true, due
		g.waiting = append(g.waiting, c)
	}
	c.due = min(c.due, due)
}

func (g *Gateway) call() {
	g.callPurse = min(max(callsSaved, g.callRate*callBurst), g.callPurse+g.callRate*(g.now-g.callAt))
	if g.callAt = g.now; len(g.waiting) == 0 {
		return
	}
	ready, next := 0.0, math.Inf(1)
	for _, c := range g.waiting {
		switch {
		case c.calling:
		case c.due > g.now:
			next = min(next, c.due)
		case g.affords(c):
			ready++
		default:
			next = min(next, g.now+1/g.callRate)
		}
	}
	if ready > g.callPurse {
		next = g.now + 1/g.callRate
	}
	g.wake(next)
	if ready == 0 || g.callPurse < 1 {
		return
	}
	if ready > g.callPurse {
		// More calls are due than may be made: customers seen once wait behind those asked for again soon.
		urgent := func(c *customer) Seconds { return c.due + min(waitMost, 1/(g.share(c)*g.demand(c, 0))) }
		slices.SortStableFunc(g.waiting, func(a, b *customer) int { return cmp.Compare(urgent(a), urgent(b)) })
	}
	kept := g.waiting[:0]
	for _, c := range g.waiting {
		switch {
		case c.gone:
			c.queued = false
		case c.calling || c.due > g.now || !g.affords(c):
			kept = append(kept, c)
		default:
			c.queued = false
			g.callFor(c)
		}
	}
	g.waiting = kept
}

// affords tells whether a call may be made for a customer for whom nobody waits. Tries that wait to be looked
// up go before calls that only read, or they would be let in without a look.
func (g *Gateway) affords(c *customer) bool {
	return g.callPurse >= 1 && (c.delta != 0 || g.callPurse >= 1+lookCalls)
}

func (g *Gateway) callFor(c *customer) {
	current := c.currentWindow(g.now)
	if c.window < current && (c.first || c.window < current-1) && c.unsure == 0 {
		c.window, c.mine, c.others = current, 0, 0 // nothing to close: too long ago
		c.unknown = true
	}
	name, amount := windowName(c.id, c.plan.key(c.index), c.window), 0.0
	if c.window == current && c.unsure == 0 {
		amount = c.delta
		c.delta = 0
	}
	g.count(c, name, amount)
}

// pace adapts the rate of calls: up while answers are quick, down while they are slow or missing. The
// step follows the time since the last answer, so that calls turned away at once do not drive it.
func (g *Gateway) pace(quick bool) {
	spell := g.now - g.callTold
	g.callTold = g.now
	all := float64(g.set.Gateways)
	if quick { // faster far below the first guess
		step := min(1, callGrow*spell*max(1, max(callsOwn, callsFirst/all)/g.callRate))
		g.callRate = min(callsMost*max(1/all, callsOwn/callsFirst), g.callRate*(1+step))
	} else {
		g.callRate = max(callsLeast/all, g.callRate*math.Exp(-callShrink*min(callSpell, spell)))
	}
}

func (g *Gateway) counted(e Counted) {
	c := g.answeredCall(e.Name)
	if c == nil {
		return
	}
	amount, previous := c.flying, c.previous
	c.flying, c.calling, c.previous = 0, false, false
	defer g.looked(c)
	if c.moved { // the total is that of a plan that the customer has left
		c.moved = false
		g.want(c)
		return
	}
	if e.Status != OK {
		if g.misses++; g.misses == 1 {
			g.quiet = g.now
		}
		g.wake(g.now + peerAfter)
		g.pace(false)
		if e.Status == Timeout {
			// The add may have been made. It is kept apart until a read tells.
			c.unsure += amount
		} else {
			c.delta += amount
		}
		g.want(c)
		c.due = max(c.due, g.now+g.set.Counter.Timeout*(1+g.rng.Float64()))
		return
	}
	g.misses = 0
	clear(g.hearsay)
	g.pace(e.Elapsed <= slowCall*g.set.Counter.Timeout)
	c.fill(g.now, rateMemory)
	if previous {
		c.restore(g.now, e.Total)
		return
	}
	g.view(c, e.Total, amount)
	if current := c.currentWindow(g.now); c.window < current {
		c.window, c.mine, c.others = current, 0, 0 // what is left is carried over in level
		if len(c.held) > 0 {                       // the window that is over tells nothing of the present one
			g.callFor(c)
			return
		}
	}
	if c.delta > 0 {
		g.want(c)
	}
	if c.unsettled(g.now) {
		g.countPrevious(c)
	}
}

func (g *Gateway) view(c *customer, total, added float64) {
	if c.unsure > 0 {
		if total-c.mine-c.others >= c.unsure-1e-6 {
			c.mine += c.unsure
		} else {
			c.delta += c.unsure
		}
		c.unsure = 0
	}
	c.mine += added
	if total < c.mine-1e-4*max(1, c.mine) {
		// The counter was emptied. Add the own units again; the most seen of others stays known.
		c.delta += c.mine - added
		c.mine = added
	}
	others := total - c.mine
	news := max(0, others-c.others-c.told)
	c.told, c.said = 0, 0
	c.others = max(c.others, others)
	age := c.age(g.now)
	// A total tells of its window only; before that others are taken to have drawn at their rate.
	span := max(blind, min(age, g.now-float64(c.window)*c.plan.window(shortWindow)))
	k := math.Exp(-span / rateMemory)
	c.othersRate = c.othersRate*k + news/span*(1-k)
	if before := min(age-span, c.plan.refill()); before > 0 && c.plan.Rate > 0 {
		c.level = max(0, c.level-before*max(0, c.othersRate-c.plan.Rate))
	}
	c.first = false
	// Own units without news of others would look like the whole: shares move only with a total.
	k = math.Exp(-age / shareMemory)
	c.ownShare = c.ownShare*k + c.since
	c.allShare = c.allShare*k + c.since + news
	c.level -= news
	// Tries beyond the quota take nothing from the judge's store.
	for c.level < 0 {
		c.level += max(1, -c.level)
	}
	c.part = c.level - c.delta*(1/g.share(c)-1)
	c.since = 0
	c.seen = g.now
}

// tell sends units not surely added to the customer's other gateways while the counter is silent,
// in no more messages than each receiver takes in.
func (g *Gateway) tell() {
	var told []use
	for _, c := range g.order {
		if open := c.delta + c.flying + c.unsure - c.said; open > 0 {
			told = append(told, use{c.id, open, c.door, int(c.spread)})
			c.said += open
		}
	}
	sent := 0
	for peer, uses := range addressed(told, g.set.Gateways, g.set.Ordinal, peerMost) {
		if len(uses) > 0 {
			sent++
			g.do(MessagePeer{Peer: peer, Data: encodeUse(uses)})
		}
	}
	g.peerTold, g.peerGap = g.now, max(peerPause, float64(sent)/(peerIntake*max(1, g.set.Limits.PeerIntake)))
}

// ---- 3. Requests ----

func (g *Gateway) request(e Request) {
	if g.requests[e.ID] != e.held {
		return
	}
	if e.Class < 0 || e.Class >= len(g.set.Classes) || e.Plan < 0 || e.Plan >= len(g.set.Plans) {
		g.do(Refuse{ID: e.ID})
		return
	}
	units := max(e.Units, 1e-9)
	c := g.customer(e)
	c.fill(g.now, rateMemory)
	c.lastAsk = g.now
	if e.held == nil {
		c.askRate += units / rateMemory
		g.purse = min(retryPurse, g.purse+retryEarn)
		g.meanUnits += (units - g.meanUnits) * learnFleet
	}
	gain := g.allows(c, e.Class, units)
	if gain > 0 && e.held == nil && g.look(c, e, units) {
		return
	}
	if gain <= 0 {
		g.do(Refuse{ID: e.ID, RetryAfter: g.hint((units - c.level) / max(c.plan.Rate, 1e-9)), Over: true})
		g.want(c)
		return
	}
	if e.VerdictOnly { // whoever asks sends it on: its units count from now
		g.take(c, units)
		g.do(Admit{ID: e.ID})
		return
	}
	r := &request{id: e.ID, class: e.Class, customer: c, units: units, deadline: g.now + e.TimeLeft}
	s := g.place(r, e.Reach, gain)
	if s == nil {
		g.do(Refuse{ID: e.ID, RetryAfter: g.hint(0)})
		return
	}
	if g.requests[r.id] = r; e.BodyIncoming {
		r.arriving, r.wait, r.deadline = true, e.TimeLeft, math.Inf(1)
	}
	g.take(c, units)
	g.send(r, s)
}

// look holds a try that an old view lets in until the counter has answered: of many gateways each
// sees little of a customer. A counter in trouble is not waited for.
func (g *Gateway) look(c *customer, e Request, units float64) bool {
	counts := g.set.Counter.Allowed && c.plan.Rate > 0 && g.misses == 0 && (c.calling || g.callPurse >= 1)
	known := c.age(g.now) < lookAfter || c.part*g.share(c) >= units
	if !counts || known || g.customers[c.id] != c || e.TimeLeft < lookTime*g.set.Counter.Timeout {
		return false
	}
	if g.hold(c, e); !c.calling {
		g.callFor(c)
	}
	return true
}

// take books the units of a try that is let in.
func (g *Gateway) take(c *customer, units float64) {
	c.ceiling -= units
	c.ownRate += units / rateMemory
	g.settle(c, units)
	g.want(c)
}

// place finds a server within reach: at the first site or, where that has none or sheds it, at the second.
// A retry (gain 0) is not shed, nor what has room by the measure of sites; shed learns from it all the same.
func (g *Gateway) place(r *request, reach Reach, gain float64) *server {
	for i, site := range [...]int{reach.First, reach.Then} {
		last := i > 0 || reach.Then == reach.First
		s := g.choose(r, g.pool(site), last)
		if s != nil && (gain <= 0 || !reach.Full && (!g.shed(r, gain, s.pool) || i == 0 && reach.Room)) {
			return s
		}
		if last {
			break
		}
	}
	return nil
}

func (g *Gateway) shed(r *request, gain float64, p *pool) bool {
	class := &g.set.Classes[r.class]
	// Danger: little time left. What is likely answered too late is worth less.
	cs := &p.classes[r.class]
	hope := 1 - math.Exp2(-min(class.Aim, r.deadline-g.now)/cs.typical)
	if hope < hopeLeast { // Danger: where all are refused for it no answer would ever lower it again.
		cs.typical -= cs.typical * hopeFades
	}
	worth := hope * gain * class.Worth * r.customer.plan.Worth * r.units / max(cs.work, 1e-4)
	rarer := p.weigh(worth)
	// Danger: a large fleet. With one attempt out, own slots show no crowd; late answers of any server do.
	p.crowd *= math.Exp(-(g.now - p.crowdAt) / crowdFades)
	p.crowdAt = g.now
	// Danger: lost answers. What is out long while answers are quick is no work.
	few, oldest, work := slotsFirst < p.gates, math.Inf(1), 1.0
	if few && p.lossy() {
		oldest, work = lostAfter, p.inTime
	}
	slots, taken, servers := p.occupancy(g.now, oldest)
	slots, taken = slots+slotsFloor, taken*work
	if few { // of a server met seldom nothing is known: as of all. Danger: chance, where few are out
		k := math.Exp(-(g.now - p.takenAt) / slotsMemory)
		p.taken, p.takenAt = p.taken*k+taken*(1-k), g.now
		slots, taken = slotsFloor+p.slots*servers, p.taken
	}
	p.inUse = taken >= slots*busyShare
	p.press = p.crowd + max(0, taken-slots*busyShare)/(slots*(1-busyShare))
	if hope < hopeLeast || p.press <= 0 || g.rng.Float64() <= math.Exp(-p.press*rarer*rarer) {
		return hope < hopeLeast
	}
	// A gateway that refuses all it gets would not see the overload end: now and then one is let in.
	p.refused++
	return p.refused < probeAfter || g.now-p.sentAt < probePause
}

// overdue takes an attempt that is out too long as a sign of overload, whatever becomes of it: overloaded
// servers may work only on what nobody waits for, and then no answer ever tells of it.
func (g *Gateway) overdue() {
	for _, p := range g.pools {
		for i := range p.classes {
			cs, limit := &p.classes[i], lateShare*g.set.Classes[i].Aim
			for len(cs.open) > 0 && (cs.open[0].ended || g.now-cs.open[0].sent > limit) {
				a := cs.open[0]
				cs.open = cs.open[1:]
				if a.ended || !g.representative(a.server) {
					continue
				}
				if p.inTime -= p.inTime * learn; !p.lossy() {
					p.slots = max(slotsLeast*slotsPooled/p.gates, p.slots*cutTo)
					g.feel(p, true)
				}
			}
		}
	}
}

// lossy tells that silence is loss. Danger: lost answers are no crowd: most come, and quickly.
func (p *pool) lossy() bool { return p.lateOK <= lateFew && p.inTime >= inTimeFew }

func (g *Gateway) feel(p *pool, late bool) {
	spell := min(crowdSpell, g.now-p.felt)
	p.felt = g.now
	// A high one must come down as fast as it rose. Danger: lasting overload; it would let a third be late.
	clean := max(0, 1-(1-p.inTime)*(1+crowdUp/crowdDown))
	step := -crowdDown * (1 + clean*p.crowd*p.crowd)
	if late {
		step = crowdUp
	}
	p.crowd = max(0, min(crowdMost, p.crowd+step*spell))
}

func (g *Gateway) send(r *request, s *server) {
	class, p := &g.set.Classes[r.class], s.pool
	timeout := 0.0
	// Danger: while servers are pressed, a second attempt doubles the work of the first.
	again := class.Repeat != Unsafe && !class.Stream && len(r.attempts)+1 < g.set.Limits.MaxAttempts
	if p.press < crowdFew && again && !r.arriving {
		timeout = max(tryAim*class.Aim, tryTypical*p.classes[r.class].typical)
		if g.now+timeout > r.deadline-p.classes[r.class].typical {
			timeout = 0
		}
	}
	a := r.begin(s, g.now)
	if !r.arriving {
		g.depart(r, a)
	}
	p.sendRate = p.sendRate*math.Exp(-(g.now-p.sentAt)/rateMemory) + 1/rateMemory
	p.sentAt, p.refused = g.now, 0
	g.do(Send{ID: r.id, Server: s.id, Timeout: timeout})
	g.awaitCopy(r)
}

// depart books an attempt that a server is about to have whole. Danger: slow bodies. Booked from their
// first byte they would look like work out too long.
func (g *Gateway) depart(r *request, a *attempt) {
	cs := &a.server.pool.classes[r.class]
	a.sent, a.whole, cs.open = g.now, true, append(cs.open, a)
	a.server.sent(sentAt{r.id, g.now, cs.typical})
}

func (g *Gateway) outcome(e Outcome) {
	r := g.requests[e.ID]
	a := r.end(e.Attempt)
	if a == nil {
		return
	}
	g.judge(r, a, e)
	g.timeCopies(r, a, e.Status)
	if e.Status == OK && e.Units > 0 && g.set.Counter.Settles {
		r.customer.fill(g.now, rateMemory)
		g.settle(r.customer, e.Units-r.units)
		g.want(r.customer)
		r.units = e.Units
	}
	if r.closed || e.Closed {
		g.finish(r)
		return
	}
	if e.Status != Full && e.Status != ConnectFailed && e.Status != NotSent && !r.mayRan {
		r.mayRan, r.ranFirst, r.ranAt = true, a.sent, a.server
	}
	if r.out > 0 {
		return
	}
	var s *server
	if g.mayRetry(r, a.server.pool, e.Status) {
		s = g.place(r, e.Reach, 0)
	}
	if s == nil {
		g.end(r)
		return
	}
	if r.mayRan {
		g.purse--
	}
	g.send(r, s)
}

func (g *Gateway) mayRetry(r *request, p *pool, last Status) bool {
	class := &g.set.Classes[r.class]
	switch {
	case len(r.attempts) >= g.set.Limits.MaxAttempts, last == NotSent, r.streaming,
		g.now+p.classes[r.class].work > r.deadline:
		return false
	case !r.mayRan:
		return last != Full || p.press < crowdFew // turned away in a crowd: no storm
	case g.purse < 1, class.Repeat == Unsafe:
		return false
	}
	return class.Repeat == Safe || g.now < r.ranFirst+class.Window
}

func (g *Gateway) end(r *request) {
	class := &g.set.Classes[r.class]
	if !r.mayRan || class.Repeat == Safe || (class.Repeat == Keyed && class.Group == GroupAll) {
		g.do(Refuse{ID: r.id, RetryAfter: g.hint(0)})
	} else {
		g.do(Fail{ID: r.id})
	}
	g.finish(r)
}

// finish closes a request that has its answer or whose client has left, and calls off what is out.
func (g *Gateway) finish(r *request) {
	r.closed = true
	g.hedges.Ended(r.id, r.class)
	if r.out == 0 {
		delete(g.requests, r.id)
		return
	}
	for i, a := range r.attempts {
		if !a.ended && g.set.Limits.Cancel {
			g.do(Cancel{ID: r.id, Attempt: i})
		}
	}
}

// ---- 4. Servers ----

func (g *Gateway) members(e Members) {
	if e.Kind == Failed {
		g.nextAsk = g.now + 1 + g.rng.Float64()
		g.wake(g.nextAsk)
		return
	}
	if e.Kind == Cached && g.set.Subscribe {
		g.do(Watch{On: true})
	}
	if e.Kind != Delta { // what a whole list does not name is gone, and is not kept
		for _, s := range g.servers {
			s.listed, s.member.State = false, Removed
		}
	}
	for _, m := range e.Entries {
		s, p := g.servers[m.Server], g.pool(m.Site)
		if s != nil && s.pool != p { // it moved: what is out at it ends where it was begun
			s.listed, s.member.State = false, Removed
			s = nil
		}
		if s == nil {
			s = newServer(m.Server, p, max(1, slotsFirst/p.gates))
			g.servers[m.Server] = s
			p.list = append(p.list, s)
			if m.Since > 0 {
				g.chill(s, m.Since)
			}
		} else if m.Since > s.member.Since {
			g.chill(s, m.Since)
			s.forgive()
		}
		s.member = m
		s.listed = m.State == Ready
	}
	for _, p := range g.pools {
		g.forgetRemoved(p)
		p.arrange(float64(g.set.Ordinal) / float64(g.set.Gateways))
	}
}

func (g *Gateway) chill(s *server, since Seconds) {
	if g.now-since < g.set.Guarantees.Ramp {
		if !s.cold {
			// Each gateway starts with another part of an attempt, so that they don't all send at once.
			s.budget, s.budgeted = g.rng.Float64(), g.now
		}
		s.cold, s.coldFrom = true, since
	}
}

func (g *Gateway) refillBudget(s *server) (warm float64) {
	p := s.pool
	warm = g.set.Guarantees.warmth(g.now - s.coldFrom)
	if s.cold = s.cold && warm < 1; !s.cold {
		return 1
	}
	// A cold server gets its part of what a warm one gets, not of the mean: a release of most lowers that.
	rate := p.sendRate * math.Exp(-(g.now-p.sentAt)/rateMemory) / max(1, p.parts)
	if p.warm == 0 { // a part of what warm servers get would be nothing for ever
		rate = max(rate, coldCores/p.guess/p.gates)
	}
	s.budget = min(coldBurst, s.budget+coldPart*warm*rate*(g.now-s.budgeted))
	s.budgeted = g.now
	return warm
}

// choose picks the cheapest of a few random servers: with all compared, gateways that share an old view would
// all pick the same one. Only where none of the few takes the request are all looked at.
func (g *Gateway) choose(r *request, p *pool, last bool) *server {
	var best *server
	bestCost, few := math.Inf(1), max(choicesLeast, choices*len(p.list)/int(p.gates))
	passedOver := fullFor
	look := func(s *server, picked bool) {
		if cost := g.fitness(r, s, picked, passedOver); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	// In a large fleet a gateway keeps to the first of its list: it meets each often enough to learn of it, and
	// a server has few connections. All arrange their lists so that each server has as many.
	reach := min(len(p.list), max(2*few, serverGates*len(p.list)/int(p.gates)))
	for range few {
		if 2*few < len(p.list) {
			look(p.list[g.rng.IntN(reach)], true)
		}
	}
	if best != nil {
		return best
	}
	usable := p.survey(&g.set.Guarantees, g.now, coldPart)
	if p.turnsAway(r.class, g.now) { // no server would tell that there is room again
		passedOver = fullForAll
	}
	for _, s := range p.list {
		look(s, false)
	}
	if best != nil || usable > 0 || !last {
		return best
	}
	for _, s := range p.list { // never all of them out: the least bad is tried
		if cost := g.cost(r, s); s.listed && !s.cold && g.fits(r, s) && cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// fitness is the cost of s for r, or infinite. Cold servers go by budget, or by chance where picked alike.
func (g *Gateway) fitness(r *request, s *server, picked bool, passedOver Seconds) float64 {
	if !s.usable(g.now) || !g.fits(r, s) || float64(s.lim.out) >= max(1, s.lim.limit) {
		return math.Inf(1)
	}
	warm := g.refillBudget(s)
	unsafe := g.set.Classes[r.class].Repeat == Unsafe
	trial := s.trial && g.now < s.until+trialFor*s.outFor // later it is like any other
	switch {
	case s.cold && !picked && s.budget < 1, s.cold && picked && g.rng.Float64() > coldPart*warm,
		s.full[r.class] > 0 && g.now-s.full[r.class] < passedOver,
		// Others try a server that is out, too: the more they are, the rarer the trials of each.
		trial && (unsafe || g.rng.Float64()*s.pool.gates > trialShare):
		return math.Inf(1)
	}
	if trial {
		return 0 // somebody must find out
	}
	cost := g.cost(r, s)
	if g.now-s.served[r.class] > fullFor {
		cost *= 1 + provenBy*s.pool.classes[r.class].full
	}
	return cost
}

func (g *Gateway) cost(r *request, s *server) float64 {
	slow := s.slow
	if idle := g.now - s.heard; s.lim.out == 0 {
		slow = 1 + (slow-1)*math.Exp(-idle/forgetSlow)
	}
	cost := slow * (1 + float64(s.lim.out))
	if len(s.sentAt) > 0 {
		// Danger: a server that stands still tells nothing; its oldest attempt does.
		cost += max(0, (g.now-s.sentAt[0].at)/s.sentAt[0].typical-2)
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			cost *= 4 // elsewhere rather than where it just failed
		}
	}
	if s.member.Zone != g.set.Zone {
		cost *= 1 + abroad
	}
	return cost * (1 + jitter*g.rng.Float64())
}

// fits tells whether r may go to s: a copy to no server that has it, a keyed one that may have run only
// to those that drop its repeats.
func (g *Gateway) fits(r *request, s *server) bool {
	class := &g.set.Classes[r.class]
	return !r.isOutAt(s) && (!r.mayRan || class.Repeat != Keyed || class.Group.holds(s, r.ranAt))
}

func (g *Gateway) judge(r *request, a *attempt, e Outcome) {
	s, p := a.server, a.server.pool
	if a.whole {
		s.returned(r.id, a.sent)
	}
	s.slow = 1 + (s.slow-1)*math.Exp(-(g.now-s.heard)/forgetSlow)
	s.heard = g.now
	class, cs := &g.set.Classes[r.class], &p.classes[r.class]
	took := g.now - a.sent
	late := took > lateShare*class.Aim
	switch e.Status {
	case OK:
		if s.suspect {
			s.suspect = false
			g.chill(s, g.now)
		}
		s.answered, s.served[r.class], s.full[r.class] = g.now, g.now, 0
		cs.full -= cs.full * learn
		s.strikes, s.until, s.outFor, s.trial = 0, 0, 0, false
		p.lost -= p.lost * learnFleet
		s.slow += (min(took/cs.typical, 20) - s.slow) * learn
		cs.typical = min(class.Aim, cs.typical+cs.typical*learnFleet*sign(took-cs.typical))
		cs.work += cs.work * learnFleet * (sign(took-cs.work) - 0.6)
		if g.representative(s) {
			p.lateOK += ((sign(took-lateShare*class.Aim)+1)/2 - p.lateOK) * learn
		}
		if late {
			s.lim.bad()
			break
		}
		s.lim.good(slotsFirst / p.gates)
		p.inTime += (1 - p.inTime) * learn
		g.feel(p, false)
		if p.inUse {
			p.slots *= growTo
		}
	case Full:
		// Danger: room for others. The pair is remembered; full is who serves nobody.
		s.full[r.class] = g.now
		cs.full += (1 - cs.full) * learn
		if g.now-s.answered > rateMemory {
			s.lim.bad()
		}
	case ConnectFailed:
		// Danger: a crash the list has not told. What answers there next is cold from then on.
		s.suspect = true
		g.strike(s, 2)
	case Reset, Error: // a reset alone is no restart: answers may be lost on most of the fleet
		g.strike(s, 1)
	case Timeout:
		// What the client did not wait for tells nothing, least of all of the server.
		if cs.typical = min(class.Aim, cs.typical+cs.typical*learnFleet*max(0, sign(took-cs.typical))); !late {
			return
		}
		s.slow += (min(took/cs.typical, 20) - s.slow) * learn
		s.lim.bad()
		// Danger: a black hole met seldom: one loss is enough. While many are lost the fleet is needed.
		p.lost += (1 - p.lost) * learnFleet
		g.strike(s, int(1+(strikes-1)*max(0, 1-p.lost/lostFew)))
	}
}

func (g *Gateway) strike(s *server, n int) {
	s.strikes += n
	if s.strikes < strikes && !s.trial {
		return
	}
	s.outFor = min(outMost, max(outFirst, 2*s.outFor))
	s.until = g.now + s.outFor*(0.8+0.4*g.rng.Float64())
	s.trial = true
}
