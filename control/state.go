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
	set    Settings
	rng    *rand.Rand
	now    Seconds
	out    []Action
	opened Seconds // when this life began
	begun  bool
	ending bool

	customers           map[uint64]*customer
	order               []*customer        // the same, in order of arrival: maps have none
	waiting             []*customer        // those that want the counter called
	callRate, callPurse float64            // counter calls a second, and how many may be made now
	misses              int                // calls unanswered in a row
	quiet               Seconds            // time of the first of them
	heard               Seconds            // last message of a peer
	hearsay             map[uint64]float64 // units told of customers not held, by customer
	peerTold, peerGap   Seconds            // last messages to peers, and the time to the next
	callAt              Seconds
	callTold            Seconds                // last answer of the counter, of any kind
	callOut             map[uint64][]*customer // by name, in order of the calls

	requests map[uint64]*request
	purse    float64       // retries that may be spent
	hedges   *hedge.Hedger // of second copies; nil where there are none

	meanUnits float64 // of a try

	servers map[string]*server
	pools   []*pool // by site; one where there are no sites
	nextAsk Seconds // when to ask for the list again; 0: not
	swept   Seconds
	wakeAt  Seconds // when the next timer is due
}

// pool is the servers of one site and what was learned of them together. A crowd at one site says nothing of
// another, nor does the time of an answer that came over a link.
type pool struct {
	gates   float64 // gateways that send here as their first choice; all, where that is not told
	classes []classState
	lost    float64 // share of attempts that got no answer
	lateOK  float64 // share of the good answers that are late
	inTime  float64 // share of the attempts that are answered before they are late
	crowd   float64 // how crowded the whole fleet is, by attempts that are late; 0: not
	crowdAt Seconds // when it was last let fade
	felt    Seconds // last verdict that moved it
	slots   float64 // attempts that may be out at once at a server, of this gateway; pooled over all
	taken   float64 // attempts out, averaged
	takenAt Seconds
	inUse   bool    // most of the slots are taken
	press   float64 // crowd, with the own slots in use
	density float64 // mean worth in time per second of work, of what came in
	weighed float64 // requests in it
	refused int     // requests rejected for overload since the last attempt

	sendRate float64 // own attempts a second, at all servers
	sentAt   Seconds
	parts    float64 // warm servers, and cold ones by the part they get
	warm     int     // usable ones that are warm
	guess    Seconds // the longest work of any class, before anything is learned: what cold servers teach is too long

	list []*server // in an order of this gateway's own: arrange
}

// pool is that of a site, or the first where there is no such site.
func (g *Gateway) pool(site int) *pool {
	if site < 0 || site >= len(g.pools) {
		site = 0
	}
	return g.pools[site]
}

// classState is what was learned of a class.
type classState struct {
	typical Seconds    // a middling time to answer
	full    float64    // share of its attempts that are turned away
	work    Seconds    // a low quantile: the work without the waiting
	open    []*attempt // not yet known to be in time or late, oldest first
}

// customer is what is known of one customer; control.go, part 1.
type customer struct {
	id     uint64
	index  int
	plan   *Plan
	spread float64
	door   int // number of the first gateway it comes through
	gone   bool

	level, part float64
	filled      Seconds // when both were last filled up
	ceiling     float64 // own split of the hard ceiling
	open        int     // own attempts out

	ownRate, othersRate, askRate float64 // units a second
	ownShare, allShare           float64 // recent units, own and everyone's

	window  int64   // whose name is in use
	delta   float64 // units not yet added
	flying  float64 // units in the call that is out
	unsure  float64 // units of a call that was not answered
	said    float64 // units not surely added that peers were told
	told    float64 // units of others that peers told since the last view
	mine    float64 // own units surely added under this name
	others  float64 // most of others' units seen under this name
	since   float64 // units sent on since the last view
	first   bool    // the first read is still to come
	calling bool
	// previous tells that the call that is out reads the window before, and unknown that the level does not rest on it.
	previous, unknown bool
	moved             bool      // to another plan, while a call was out
	held              []Request // until the call that is out is answered
	queued            bool
	seen              Seconds // time of the last view
	due               Seconds
	lastAsk           Seconds
}

// request is a request that is held; control.go, part 3.
type request struct {
	id       uint64
	class    int
	customer *customer
	units    float64
	deadline Seconds
	wait     Seconds // from Arrived on
	attempts []*attempt
	out      int

	arriving  bool
	closed    bool // final answer given, or client gone
	streaming bool
	mayRan    bool    // some attempt may have run
	ranFirst  Seconds // when the first of those was sent
	ranAt     *server // and where to
}

// attempt is one Send of a request.
type attempt struct {
	server *server
	sent   Seconds
	ended  bool
	whole  bool // it is at the server, or on its way
}

// begin books a new attempt at s.
func (r *request) begin(s *server, now Seconds) *attempt {
	a := &attempt{server: s, sent: now}
	r.attempts = append(r.attempts, a)
	r.out++
	r.customer.open++
	return a
}

// end books the end of an attempt, and returns nil if the request is not known or no such attempt is out.
func (r *request) end(number int) *attempt {
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	a := r.attempts[number]
	a.ended = true
	r.out--
	r.customer.open--
	return a
}

// server is what is known of one server; control.go, part 4.
type server struct {
	id     string
	place  uint64 // in the order of all
	pool   *pool
	member Member
	listed bool // on the list and ready

	lim      limiter
	sentAt   []sentAt  // attempts out, oldest first
	slow     float64   // time to answer, as a multiple of what is typical
	heard    Seconds   // last answer
	answered Seconds   // last good answer
	served   []Seconds // by class: last good answer
	full     []Seconds // by class: when last turned away, if not served since; 0: not
	strikes  int
	until    Seconds // left alone until
	outFor   Seconds
	trial    bool
	suspect  bool // it may have restarted

	coldFrom Seconds // time of its last start, told or suspected
	cold     bool
	budget   float64 // attempts a cold server may be sent now
	budgeted Seconds
}

// sentAt names an attempt that is out.
type sentAt struct {
	id      uint64
	at      Seconds
	typical Seconds // time to answer, of its class
}

// limiter holds how much may be out at once.
type limiter struct {
	limit float64
	out   int
}

// windowName names a customer's count in one window (splitmix64 steps).
func windowName(id, plan uint64, window int64) uint64 {
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
func (s *server) sent(a sentAt) {
	s.lim.out++
	s.sentAt = append(s.sentAt, a)
	if s.cold {
		s.budget--
	}
}

// younger counts the attempts out at s that are no older than some typical times.
func (s *server) younger(now, times float64) float64 {
	n := 0.0
	for _, a := range s.sentAt {
		if now-a.at <= times*a.typical {
			n++
		}
	}
	return n
}

// refill is how long an empty store takes to fill.
func (p *Plan) refill() Seconds { return p.Burst / max(p.Rate, 1e-9) }

// refillCeiling is the same for the ceiling's store.
func (p *Plan) refillCeiling() Seconds {
	if p.CeilingRate == 0 {
		return 0
	}
	return p.CeilingBurst / p.CeilingRate
}

// returned books the end of an attempt at s.
func (s *server) returned(id uint64, at Seconds) {
	s.lim.out--
	if i := slices.IndexFunc(s.sentAt, func(a sentAt) bool { return a.id == id && a.at == at }); i >= 0 {
		s.sentAt = slices.Delete(s.sentAt, i, i+1)
	}
}

// age is the time since the last view, without end before the first.
func (c *customer) age(now Seconds) Seconds {
	if c.first {
		return math.Inf(1)
	}
	return now - c.seen
}

// fill brings a customer's stores and rates up to now; rates fade by memory.
func (c *customer) fill(now, memory Seconds) {
	d := now - c.filled
	c.filled = now
	c.level = min(c.plan.Burst, c.level+c.plan.Rate*d)
	c.part = min(c.plan.Burst, c.part+c.plan.Rate*d)
	c.ceiling = min(c.plan.CeilingBurst/c.spread, c.ceiling+c.plan.CeilingRate/c.spread*d)
	k := math.Exp(-d / memory)
	c.ownRate *= k
	c.askRate *= k
}

// windowAt numbers the plan's window at a time.
func (p *Plan) windowAt(now Seconds) int64 { return int64(math.Floor(now / p.window(shortWindow))) }

// currentWindow numbers the window that a customer's units belong to now.
func (c *customer) currentWindow(now Seconds) int64 { return c.plan.windowAt(now) }

// intoWindow is the time since the window in use began.
func (c *customer) intoWindow(now Seconds) Seconds {
	return now - float64(c.window)*c.plan.window(shortWindow)
}

// unsettled tells that the verdict on a held try depends on the use in the previous window: a bucket that was full at
// its end would let it in, and one that was empty would not. The level is raised to what the present total proves.
func (c *customer) unsettled(now Seconds) bool {
	if !c.unknown || len(c.held) == 0 {
		return false
	}
	least, greatest := c.plan.bucket().Bounds(c.intoWindow(now), c.mine+c.others+c.delta)
	c.level, c.part = max(c.level, least), max(c.part, least)
	units := c.held[0].Units
	return least < units && units <= greatest
}

// restore sets the level of a customer of whom this gateway remembers nothing, from the totals of the previous window
// and of the present one.
func (c *customer) restore(now Seconds, previous float64) {
	b := c.plan.bucket()
	start := b.AtWindowStart(c.plan.window(shortWindow), previous)
	c.level = b.After(start, c.intoWindow(now), c.mine+c.others+c.delta)
	c.part = c.level
	c.unknown = false
}

// bucket is the token bucket by which a plan's quota is judged.
func (p *Plan) bucket() quota.Bucket { return quota.Bucket{Rate: p.Rate, Burst: p.Burst} }

// count calls the counter for a customer.
func (g *Gateway) count(c *customer, name uint64, amount float64) {
	c.flying, c.calling = amount, true
	g.callOut[name] = append(g.callOut[name], c)
	g.callPurse--
	g.do(Count{Name: name, Amount: amount, TTL: min(60, nameLives*c.plan.window(shortWindow))})
}

// countPrevious reads the total of a customer's previous window.
func (g *Gateway) countPrevious(c *customer) {
	c.previous = true
	g.count(c, windowName(c.id, c.plan.key(c.index), c.window-1), 0)
}

// Unadded counts the customers with units that the counter may not hold yet.
func (g *Gateway) UnflushedCustomers() (n int) {
	for _, c := range g.customers {
		if g.set.Counter.Allowed && c.plan.Rate > 0 && (c.delta != 0 || c.flying != 0) {
			n++
		}
	}
	return n
}

// arrived begins the time of a request that has come in whole.
func (g *Gateway) arrived(e BodyReceived) {
	r := g.requests[e.ID]
	if r == nil || !r.arriving {
		return
	}
	r.arriving, r.deadline = false, g.now+r.wait
	if a := r.attempts[len(r.attempts)-1]; !a.ended {
		g.depart(r, a)
	}
}

// started notes that the answer of a request has begun to be passed on: it can't be sent again.
func (g *Gateway) started(e Started) {
	if r := g.requests[e.ID]; r != nil {
		r.streaming = true
	}
}

// left ends a request whose client has left.
func (g *Gateway) left(e ClientGone) {
	if r := g.requests[e.ID]; r != nil {
		g.finish(r)
	}
}

// weigh takes the worth of a request into the mean of what came in, and returns how many times its worth that is. The
// first few count alike, the last fifty later.
func (p *pool) weigh(worth float64) (rarer float64) {
	p.density += (worth - p.density) * max(0.02, 1/(1+p.weighed))
	p.weighed++
	return p.density / max(worth, 1e-9)
}

// occupancy is how many attempts may be out at the usable servers, how many are that are no older than some typical
// times, and the number of those servers.
func (p *pool) occupancy(now, oldest float64) (slots, taken, servers float64) {
	for _, s := range p.list {
		if s.usable(now) {
			servers++
			slots += s.lim.limit
			taken += s.younger(now, oldest)
		}
	}
	return slots, taken, servers
}

// hold keeps a request until the customer's call is answered; the client may leave meanwhile.
func (g *Gateway) hold(c *customer, e Request) {
	e.held = &request{id: e.ID, class: e.Class, customer: c, deadline: g.now + e.TimeLeft}
	g.requests[e.ID] = e.held
	c.held = append(c.held, e)
}

// looked has what was held for a call taken up again, in the order in which it came.
func (g *Gateway) looked(c *customer) {
	if c.calling { // a further call is out for them
		return
	}
	held := c.held
	c.held = nil
	for _, e := range held {
		if g.requests[e.ID] != e.held { // its client has left
			continue
		}
		if !e.BodyIncoming { // else its time has not begun
			e.TimeLeft = e.held.deadline - g.now
		}
		g.request(e)
		if g.requests[e.ID] == e.held { // it was turned away or admitted
			delete(g.requests, e.ID)
		}
	}
}

// answeredCall books the answer to the oldest call out for a name, and
// returns whose it was.
func (g *Gateway) answeredCall(name uint64) *customer {
	q := g.callOut[name]
	if len(q) == 0 {
		return nil
	}
	if len(q) == 1 {
		delete(g.callOut, name)
	} else {
		g.callOut[name] = q[1:]
	}
	return q[0]
}

// part is what a server may get of what a warm one gets: some of its warmth while it is cold.
func (s *server) part(r *Guarantees, now Seconds, some float64) float64 {
	if !s.cold {
		return 1
	}
	return some * r.warmth(now-s.coldFrom)
}

// representative tells whether a late answer of s says something of its whole pool. A cold server is slow by nature
// and its load is bounded by its own budget, so while any server is warm only the warm ones tell of an overload.
func (g *Gateway) representative(s *server) bool {
	warming := s.cold && g.set.Guarantees.warmth(g.now-s.coldFrom) < 1
	return !warming || s.pool.warmNow(g.now) == 0
}

// warmth is the share of its capacity that a server has at the least, some time after its start.
func (r *Guarantees) warmth(age Seconds) float64 {
	if age >= r.Ramp {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*max(0, age/r.Ramp)
}

// window is about burst/rate, a whole number of times where that is short of the least.
func (p *Plan) window(least Seconds) Seconds {
	w := p.refill()
	if p.Rate <= 0 || p.Burst <= 0 {
		return least
	}
	return w * math.Ceil(least/w)
}

// holds tells whether two servers drop each other's repeats of a key.
func (g Group) holds(a, b *server) bool {
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

func newPool(classes []classState, gates, slots float64) *pool {
	longest := 0.0
	for _, c := range classes {
		longest = max(longest, c.work)
	}
	return &pool{classes: slices.Clone(classes), guess: longest, gates: gates, slots: slots, lateOK: 1, inTime: 1, warm: 1} // until more is known
}

// newServer is a server of which nothing is known.
func newServer(id string, p *pool, slots float64) *server {
	return &server{id: id, place: placeOf(id), pool: p, slow: 1, lim: limiter{limit: slots},
		served: make([]Seconds, len(p.classes)), full: make([]Seconds, len(p.classes))}
}

// forgetRemoved drops the servers of a pool that were removed and have nothing out, and those that moved elsewhere.
func (g *Gateway) forgetRemoved(p *pool) {
	p.list = slices.DeleteFunc(p.list, func(s *server) bool {
		if s.member.State == Removed && s.lim.out == 0 && g.servers[s.id] == s {
			delete(g.servers, s.id)
		}
		return g.servers[s.id] != s
	})
}

// turnsAway tells whether each usable warm server turned a class away when it was last asked. Cold ones may have no budget.
func (p *pool) turnsAway(class int, now Seconds) bool {
	return !slices.ContainsFunc(p.list, func(s *server) bool { return s.usable(now) && !s.cold && s.full[class] == 0 })
}

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

func (s *server) usable(now Seconds) bool {
	return s.listed && now >= s.until && !((s.trial || s.suspect) && s.lim.out > 0)
}

// settle takes units from both views: those sent on, then what the true ones are more.
func (g *Gateway) settle(c *customer, units float64) {
	c.level -= units
	c.part -= units / g.share(c)
	c.delta += units
	c.since += units
}

// forgive drops what was held against a server.
func (s *server) forgive() { s.strikes, s.until, s.outFor, s.trial, s.suspect = 0, 0, 0, false, false }

// forgive drops what was held against the servers of a pool, and the crowd that their silence looked like.
func (p *pool) forgive() {
	p.lost, p.inTime, p.crowd = 0, 1, 0
	for _, s := range p.list {
		s.forgive()
	}
}

// arrange puts the servers into an order that all gateways share, by a hash of their ids, and has this gateway begin
// it at its own part, from 0 up to 1: the first few of each gateway's list are then spread evenly over the servers,
// and one that comes or goes moves the others by a place or so.
func (p *pool) arrange(part float64) {
	slices.SortFunc(p.list, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.id, b.id))
	})
	at := min(int(part*float64(len(p.list))), max(0, len(p.list)-1))
	p.list = append(slices.Clone(p.list[at:]), p.list[:at]...)
}

// placeOf is where a server stands in the order of all.
func placeOf(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return windowName(h.Sum64(), 0, 0)
}

// warmNow counts the usable servers that are warm.
func (p *pool) warmNow(now Seconds) (n int) {
	for _, s := range p.list {
		if s.usable(now) && !s.cold {
			n++
		}
	}
	return n
}

// survey counts the usable servers, the warm ones of them, and what all may get, a cold one counting by its part.
func (p *pool) survey(r *Guarantees, now Seconds, some float64) (usable int) {
	p.warm, p.parts = 0, 0
	for _, s := range p.list {
		if !s.usable(now) {
			continue
		}
		usable++
		p.parts += s.part(r, now, some)
		if !s.cold {
			p.warm++
		}
	}
	return usable
}

// gates is how many gateways have a site for their first choice, as far as that is told.
func (s *Settings) gates(site int) int {
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
func (c *customer) replan(now Seconds, p *Plan, index int) {
	c.fill(now, rateMemory)
	c.plan, c.index, c.moved = p, index, c.calling
	c.level, c.part = min(c.level, p.Burst), min(c.part, p.Burst)
	c.ceiling = min(c.ceiling, p.CeilingBurst/c.spread)
	c.window = c.currentWindow(now)
	c.mine, c.others, c.unsure = 0, 0, 0
}

// reconfigure takes new classes and plans in. What is held goes on by the numbers it came in with.
func (g *Gateway) reconfigure(e Reconfigured) {
	set := g.set
	set.Classes, set.Plans = slices.Clone(e.Classes), slices.Clone(e.Plans)
	if e.Attempts > 0 {
		set.Limits.MaxAttempts = e.Attempts
	}
	if set.validate() != nil || len(e.From) != len(e.Classes) || len(e.Classes) < len(g.set.Classes) || len(e.Plans) < len(g.set.Plans) {
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
				p.classes[i] = classState{typical: old[from].typical, work: old[from].work, full: old[from].full}
			default:
				p.classes[i] = firstState(&e.Classes[i])
			}
		}
		for _, s := range p.list {
			s.served, s.full = resized(s.served, len(e.Classes)), resized(s.full, len(e.Classes))
		}
	}
	g.set = set
	g.hedges = g.hedges.Reconfigure(hedgeClasses(&set), e.From)
}

func resized(s []Seconds, n int) []Seconds {
	return append(s, make([]Seconds, n-len(s))...)
}

// InUse counts the customers held by their plan's number.
func (g *Gateway) CustomersByPlan() map[int]int {
	n := map[int]int{}
	for _, c := range g.order {
		n[c.index]++
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
			(*out)[id] = s.lim.out
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
		if !s.listed || g.now < s.until {
			avoided++
		}
	}
	return listed, avoided
}
