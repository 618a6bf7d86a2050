// Package core is the actor round the decision module. It deals in exchanges, attempts and outcomes and
// knows no wire: fronts hand it exchanges, egress carries attempts out, and a counter keeps the totals.
// It owns the table of held exchanges and the rule that each gets exactly one final answer.
package core

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"junctionring/control"
	"junctionring/internal/telemetry"
	"junctionring/sites"
)

// Exchange is one client request, as the core sees it.
type Exchange struct {
	Class, Plan   int
	Customer      uint64
	Units         float64
	Spread, First int
	Repeat        bool
	DecisionOnly  bool      // only the verdict is wanted; nothing is sent to a target
	Deadline      time.Time // the client has its answer by then or never
	Pinned        bool      // its key may have run at the site At, and is known nowhere else
	PinnedSite    int
	Payload       any // what egress sends on; the core never looks inside

	// Arriving: its body is still coming in, and is sent on as it comes. Wait is how long the client waits from the
	// last byte on; Deadline is when the body is given up. Spent tells that a part was sent on that cannot be
	// sent again.
	Arriving        bool
	ResponseTimeout time.Duration
	BodyConsumed    func() bool
}

// Kind tells how an exchange ended.
type Kind int

// The ends of an exchange.
const (
	Failed  Kind = iota // promises nothing
	Refused             // shed: trying again is harmless
	Served
	Allowed    // the verdict for one that only asks
	ClientGone // the client went away; nobody reads the answer
)

// Answer is the one final answer of an exchange.
type Answer struct {
	Kind        Kind
	RetryAfter  time.Duration // of Refused; 0: no advice
	OverQuota   bool          // of Refused: for want of quota
	MayHaveRun  bool          // some attempt reached a target, or may have
	AttemptsOut int           // as it was given
	RanAtSite   int           // the site of the first of those
	Reply       any           // of Served, as egress brought it
}

// Attempt is one send of an exchange to an egress target. Its context ends when the attempt is not wanted
// any more: by its deadline (a time-out) or earlier (called off).
type Attempt struct {
	Ctx          context.Context
	Target       string
	Payload      any
	Repeat       control.Repeat  // of the exchange's class
	SendBefore   time.Time       // not sent at all later than this, however late its connection comes up; zero: any time
	ExchangeDone <-chan struct{} // closed once nobody wants its answer: what has not gone out yet does not
	Report       func(Outcome)   // exactly once; may block, so never from the core's goroutine

	// Of a message that is still coming in: OnBodySent is called when its last byte went out, and its answer is waited
	// for as long as Wait from then on. OnBodySent may block as Report may.
	OnBodySent      func()
	ResponseTimeout time.Duration
}

// Outcome is how an attempt ended.
type Outcome struct {
	Status          control.Status
	Written         bool // the attempt's last byte went out
	Reply           any
	Load            []float64
	TimeToFirstByte time.Duration // from the request's last byte to the answer's first; 0: not known
}

// Target is an entry of the route table with the address to send to, opaque to the core.
type Target struct {
	control.Member
	Address string
}

// Table is a route table, or changes to it.
type Table struct {
	Kind    control.MembersKind
	Version int64
	Targets []Target
}

// Egress carries attempts out. The core calls it from its own goroutine only; no call may block.
type Egress interface {
	Update(Table)
	Start(Attempt) bool // false: there was no room, nothing was or will be sent
	// Probe asks a target how it is; within 0 leaves the time to egress.
	Probe(target string, within time.Duration, report func(control.Status, []float64)) bool
	CloseIdle(target string)
}

// Counter adds to named numbers. Add does not block; false says that nothing was added or will be.
// The report comes from another goroutine, for one name in the order of the calls.
type Counter interface {
	Add(name uint64, amount float64, ttl time.Duration, report func(control.Status, float64)) bool
}

const (
	mailboxSize      = 4096
	siteTickInterval = 50 * time.Millisecond  // between looks at what time alone tells of sites
	gaugeInterval    = 250 * time.Millisecond // between looks at the servers for the figures: they may be 0.5 s late
	shedRetryAfter   = 500 * time.Millisecond // told to a client where the core sheds by itself; at most what the settings allow
	overdueGrace     = 15 * time.Millisecond  // past the deadline at which the core answers by itself
)

type (
	exchangeOpened struct{ h *heldExchange }
	clientGone     struct{ h *heldExchange }
	bodySent       struct{ h *heldExchange }
	deadlinePassed struct{ h *heldExchange }
	attemptEnded   struct {
		h       *heldExchange
		attempt int
		target  string
		sentAt  time.Time
		elapsed control.Seconds
		Outcome
	}
	linkProbed struct { // over a link
		target  string
		status  control.Status
		elapsed control.Seconds
	}
	sitesReport  struct{ reply chan sites.Report }
	plansInUse   struct{ reply chan map[int]int }
	reconfigured struct {
		control.Reconfigured
		done chan struct{}
	}
	flush      struct{ done chan struct{} }
	shedAll    struct{}
	flushUnits struct{ done chan struct{} }
)

// heldExchange is an exchange in the table.
type heldExchange struct {
	Exchange
	id              uint64
	answered        bool
	answer          chan Answer   // of one place: a final answer never waits for its reader
	done            chan struct{} // closed with the final answer
	cancels         []context.CancelFunc
	flights         []sites.Flight // one for each attempt, where there are sites
	verdict         sites.Verdict  // the last
	receivedAt      time.Time
	inFlight        int
	mayHaveRun      bool
	ranAtSite       int
	mayHaveRunSince time.Time // when the first attempt that may have run was sent
	overdueTimer    *time.Timer
}

// Core is the actor. Run runs it; the other methods may be called from anywhere.
type Core struct {
	gateway      *control.Gateway
	egress       Egress
	counter      Counter
	classes      []control.Class
	secondCopies bool          // the settings allow two attempts of an exchange to be out at once
	retryAfter   time.Duration // of what the core sheds by itself; 0: no advice
	log          *slog.Logger
	sites        *sites.Router // nil: all targets are at one site
	siteActions  []sites.Action

	mailbox      chan any
	done         chan struct{} // closed when Run has ended
	startTime    time.Time     // wall time and a monotonic reading: a clock that gateways share and never steps
	startSeconds float64

	ctx          context.Context
	held         map[uint64]*heldExchange
	lastID       uint64
	selfMessages []any // messages to itself, which must not wait on its own mailbox
	actions      []control.Action
	metrics      *telemetry.Figures // nil: not counted
	flushWaiters []chan struct{}    // closed once the counter holds every unit
	shedding     bool               // all was shed, and what still comes is too
}

// New makes the actor of a gateway.
func New(s control.Settings, seed uint64, egress Egress, counter Counter, log *slog.Logger) (*Core, error) {
	g, err := control.New(s, seed)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	retryAfter := time.Duration(0)
	if s.Limits.RetryAfter {
		retryAfter = min(shedRetryAfter, duration(s.Limits.MaxRetryAfter))
	}
	return &Core{
		gateway: g, egress: egress, counter: counter, classes: s.Classes, retryAfter: retryAfter, log: log,
		secondCopies: s.Limits.SecondCopies,
		mailbox:      make(chan any, mailboxSize), done: make(chan struct{}),
		startTime: now, startSeconds: float64(now.UnixMicro()) / 1e6, held: map[uint64]*heldExchange{},
	}, nil
}

// SetMetrics has the core count its answers and attempts, and the servers it knows, into f. It must be called before
// Run.
func (c *Core) SetMetrics(m *telemetry.Figures) { c.metrics = m }

// countAnswer counts a final answer by its kind. One that nobody reads counts as nothing.
func (c *Core) countAnswer(class int, kind Kind, late bool) {
	counts := c.metrics.Class(class)
	if counts == nil {
		return
	}
	switch kind {
	case Served:
		counts.Success.Add(1)
		if late {
			counts.Late.Add(1)
		}
	case Refused:
		counts.Overload.Add(1)
	case Failed:
		counts.Error.Add(1)
	}
}

// Streamer is a reply that may have more to come.
type Streamer interface {
	Streaming() bool
	Close() error // nobody reads it
}

// CountStreamed counts a streamed answer at its end.
func (c *Core) CountStreamed(class int, complete bool) {
	kind := Served
	if !complete {
		kind = Failed
	}
	c.countAnswer(class, kind, false) // how long it took is for its reader to say
}

// SetClassNames names the classes by their number, for the figures.
func (c *Core) SetClassNames(names []string) {
	if c.metrics != nil {
		c.metrics.Classes(names)
	}
}

// SetSites tells the core of sites. It must be called before Run.
func (c *Core) SetSites(r *sites.Router) { c.sites = r }

// Sites reports on the sites; false without any, or when the core has ended.
func (c *Core) Sites() (sites.Report, bool) {
	if c.sites == nil {
		return sites.Report{}, false
	}
	m := sitesReport{make(chan sites.Report, 1)}
	c.post(m)
	select {
	case r := <-m.reply:
		return r, true
	case <-c.done:
		return sites.Report{}, false
	}
}

// Reconfigure takes new classes and plans in, and returns once exchanges may name them. Numbers in use stay.
func (c *Core) Reconfigure(e control.Reconfigured) {
	m := reconfigured{e, make(chan struct{})}
	c.post(m)
	select {
	case <-m.done:
	case <-c.done:
	}
}

// PlansInUse counts the customers that are known, by the number of their plan.
func (c *Core) PlansInUse() map[int]int {
	m := plansInUse{make(chan map[int]int, 1)}
	c.post(m)
	select {
	case n := <-m.reply:
		return n
	case <-c.done:
		return nil
	}
}

// Do has an exchange decided and carried out, and returns its one final answer. If ctx ends first the client
// has left: whatever is out for it is called off.
func (c *Core) Do(ctx context.Context, x Exchange) Answer {
	h := &heldExchange{Exchange: x, answer: make(chan Answer, 1), done: make(chan struct{})}
	select {
	case c.mailbox <- exchangeOpened{h}:
	default: // more than the core can take in: shed here, without waiting
		c.countAnswer(x.Class, Refused, false)
		return Answer{Kind: Refused, RetryAfter: c.retryAfter}
	}
	select {
	case a := <-h.answer:
		return a
	case <-ctx.Done():
		c.post(clientGone{h})
		select {
		case a := <-h.answer: // a final answer that crossed the client's leaving stands
			return a
		case <-c.done:
			return Answer{Kind: ClientGone, MayHaveRun: true}
		}
	case <-c.done:
		c.countAnswer(x.Class, Refused, false)
		return Answer{Kind: Refused, RetryAfter: c.retryAfter}
	}
}

// RetryAfter is what the core advises clients to wait whose requests it sheds by itself; 0: no advice.
func (c *Core) RetryAfter() time.Duration { return c.retryAfter }

// Routes takes a new route table in. It returns once the core has it in its mailbox.
func (c *Core) Routes(t Table) { c.post(t) }

// Settle returns once the core has handled all that was posted before.
func (c *Core) Settle() {
	f := flush{make(chan struct{})}
	c.post(f)
	select {
	case <-f.done:
	case <-c.done:
	}
}

// Shed gives every held exchange its final answer now, and every later one as it comes: the program is about to end.
func (c *Core) Shed() {
	c.post(shedAll{})
	c.Settle()
}

// FlushUnits has what was used and not added to the counter yet added now, and waits for that until ctx ends: units that
// nobody hears of could be spent a second time.
func (c *Core) FlushUnits(ctx context.Context) error {
	m := flushUnits{make(chan struct{})}
	c.post(m)
	select {
	case <-m.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("not all units were added to the counter: %w", ctx.Err())
	case <-c.done:
		return nil
	}
}

// notifyFlushed answers those that wait in Finish.
func (c *Core) notifyFlushed() {
	if len(c.flushWaiters) == 0 || c.gateway.Unadded() > 0 {
		return
	}
	for _, done := range c.flushWaiters {
		close(done)
	}
	c.flushWaiters = nil
}

func (c *Core) shedHeld() {
	c.shedding = true
	for _, h := range c.held {
		if !h.answered {
			c.answerLocally(h)
		}
	}
}

// answerLocally ends an exchange here, for a reason of the core's own.
func (c *Core) answerLocally(h *heldExchange) {
	c.answer(h, c.localAnswer(h))
	c.handleEvent(control.Gone{ID: h.id})
	c.removeIfDone(h)
}

// localAnswer is the answer of an exchange that ends here for a reason of its own.
func (c *Core) localAnswer(h *heldExchange) Answer {
	class := c.classes[h.Class]
	repeatable := class.Repeat == control.Safe || class.Repeat == control.Keyed && class.Group == control.GroupAll
	if !repeatable && (h.mayHaveRun || h.inFlight > 0) { // a refusal would say that trying again is harmless
		return Answer{Kind: Failed}
	}
	return Answer{Kind: Refused, RetryAfter: c.retryAfter}
}

func (c *Core) post(m any) {
	select {
	case c.mailbox <- m:
	case <-c.done:
	}
}

func (c *Core) now() control.Seconds { return c.startSeconds + time.Since(c.startTime).Seconds() }

// Run handles messages until ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.done)
	c.ctx = ctx
	var siteTick, gaugeTick <-chan time.Time
	if c.sites != nil {
		t := time.NewTicker(siteTickInterval)
		defer t.Stop()
		siteTick = t.C
	}
	if c.metrics != nil {
		t := time.NewTicker(gaugeInterval)
		defer t.Stop()
		gaugeTick = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-siteTick:
			c.tickSites()
		case <-gaugeTick:
			listed, avoided := c.gateway.Listed()
			c.metrics.Targets.Store(int64(listed))
			c.metrics.Disabled.Store(int64(avoided))
			c.metrics.Draining.Store(c.gateway.Draining())
		case m := <-c.mailbox:
			c.handle(m)
		}
		for len(c.selfMessages) > 0 {
			next := c.selfMessages[0]
			c.selfMessages = c.selfMessages[1:]
			c.handle(next)
		}
		c.notifyFlushed()
	}
}

func (c *Core) handle(m any) {
	switch m := m.(type) {
	case exchangeOpened:
		c.open(m.h)
	case clientGone:
		c.answer(m.h, Answer{Kind: ClientGone})
		c.handleEvent(control.Gone{ID: m.h.id})
		c.removeIfDone(m.h)
	case bodySent:
		if h := m.h; h.Arriving && !h.answered {
			h.Arriving, h.Deadline = false, time.Now().Add(h.ResponseTimeout)
			h.overdueTimer.Reset(h.ResponseTimeout + overdueGrace)
			c.handleEvent(control.Arrived{ID: h.id})
		}
	case deadlinePassed:
		if !m.h.answered { // guards against an attempt that hangs: the client is never left without an answer
			c.log.Warn("exchange overdue", "id", m.h.id)
			c.answerLocally(m.h)
		}
	case attemptEnded:
		c.endAttempt(m)
	case Table:
		c.egress.Update(m)
		members := control.Members{Kind: m.Kind, Version: m.Version}
		for _, t := range m.Targets {
			members.Entries = append(members.Entries, t.Member)
		}
		if c.sites != nil {
			c.sites.Members(c.now(), members)
		}
		c.handleEvent(members)
	case linkProbed:
		c.sites.Probed(c.now(), m.target, m.status, m.elapsed)
		c.tickSites() // a link that is up again is used at once
	case plansInUse:
		m.reply <- c.gateway.InUse()
	case reconfigured:
		c.classes = m.Classes
		if c.sites != nil {
			c.sites.Reconfigure(c.now(), m.Classes, m.From)
		}
		c.handleEvent(m.Reconfigured)
		close(m.done)
	case sitesReport:
		m.reply <- c.sites.Report()
	case flush:
		close(m.done)
	case flushUnits:
		c.flushWaiters = append(c.flushWaiters, m.done)
		c.handleEvent(control.Ending{})
	case shedAll:
		c.shedHeld()
	case control.Event:
		c.handleEvent(m)
	default:
		panic(fmt.Sprintf("core: no such message: %T", m))
	}
}

func (c *Core) open(h *heldExchange) {
	c.lastID++
	h.id = c.lastID
	remaining := time.Until(h.Deadline)
	if remaining <= 0 || c.shedding {
		c.answer(h, Answer{Kind: Refused, RetryAfter: c.retryAfter})
		return
	}
	c.held[h.id] = h
	h.overdueTimer = time.AfterFunc(remaining+overdueGrace, func() { c.post(deadlinePassed{h}) })
	h.receivedAt = time.Now()
	if h.Arriving {
		remaining = h.ResponseTimeout
	}
	c.handleEvent(control.Request{
		Arriving: h.Arriving, Reach: c.route(h, remaining),
		ID: h.id, Class: h.Class, Plan: h.Plan, Customer: h.Customer, TimeLeft: remaining.Seconds(),
		Units: h.Units, Spread: h.Spread, First: h.First, Repeat: h.Repeat, Ask: h.DecisionOnly,
	})
	c.removeIfDone(h)
}

// answer gives the final answer, unless there is one already.
func (c *Core) answer(h *heldExchange, a Answer) {
	if h.answered {
		return
	}
	h.answered = true
	close(h.done)
	if s, ok := a.Reply.(Streamer); !ok || !s.Streaming() { // else it is counted when it has ended: Streamed
		c.countAnswer(h.Class, a.Kind, time.Since(h.receivedAt).Seconds() > c.classes[h.Class].Aim)
	}
	a.MayHaveRun, a.RanAtSite, a.AttemptsOut = h.mayHaveRun || h.inFlight > 0, h.ranAtSite, h.inFlight
	h.answer <- a
	if h.overdueTimer != nil {
		h.overdueTimer.Stop()
	}
}

// removeIfDone drops an exchange that has its answer and nothing out.
func (c *Core) removeIfDone(h *heldExchange) {
	if h.answered && h.inFlight == 0 {
		delete(c.held, h.id)
	}
}

func (c *Core) endAttempt(e attemptEnded) {
	if e.Written {
		if n := c.metrics.Class(e.h.Class); n != nil {
			n.Dispatches.Add(1)
		}
	}
	e.h.inFlight--
	e.h.cancels[e.attempt]()
	if e.Status != control.Full && e.Status != control.ConnectFailed && e.Status != control.Moot {
		if !e.h.mayHaveRun {
			e.h.mayHaveRunSince = e.sentAt
		}
		e.h.mayHaveRun = true
	}
	var reach control.Reach
	if c.sites != nil {
		c.sites.Ended(c.now(), e.h.flights[e.attempt], e.Status, e.TimeToFirstByte.Seconds())
		if e.Status != control.OK && !e.h.answered {
			reach = c.route(e.h, time.Until(e.h.Deadline))
		}
	}
	switch s, streams := e.Reply.(Streamer); {
	case e.Status == control.OK && !e.h.answered:
		c.answer(e.h, Answer{Kind: Served, Reply: e.Reply})
	case streams:
		s.Close()
	}
	if !e.h.answered && e.h.BodyConsumed != nil && e.h.BodyConsumed() { // there is nothing left to send to another
		c.answer(e.h, c.localAnswer(e.h))
	}
	c.handleEvent(control.Outcome{
		ID: e.h.id, Server: e.target, Attempt: e.attempt, Status: e.Status,
		Closed: e.h.answered, Elapsed: e.elapsed, Load: e.Load, Reach: reach,
	})
	c.removeIfDone(e.h)
}

// handleEvent hands one event to the module and carries its actions out.
func (c *Core) handleEvent(ev control.Event) {
	actions := c.gateway.Handle(c.now(), ev, c.actions[:0])
	c.actions = actions
	for _, a := range actions {
		c.perform(a)
	}
}

func (c *Core) perform(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		c.send(a)
	case control.Cancel:
		if h := c.held[a.ID]; h != nil && a.Attempt < len(h.cancels) {
			h.cancels[a.Attempt]()
		}
	case control.Refuse:
		if h := c.held[a.ID]; h != nil {
			if c.sites != nil && !a.Over && !h.DecisionOnly && !h.answered {
				c.sites.Refused(h.Class, h.verdict)
			}
			c.answer(h, Answer{Kind: Refused, RetryAfter: duration(a.RetryAfter), OverQuota: a.Over})
			c.removeIfDone(h)
		}
	case control.Admit:
		if h := c.held[a.ID]; h != nil {
			c.answer(h, Answer{Kind: Allowed})
			c.removeIfDone(h)
		}
	case control.Fail:
		if h := c.held[a.ID]; h != nil {
			c.answer(h, Answer{Kind: Failed})
			c.removeIfDone(h)
		}
	case control.SetTimer:
		time.AfterFunc(duration(a.Delay), func() { c.post(control.Timer{Token: a.Token}) })
	case control.Count:
		c.addToCounter(a)
	case control.Probe:
		c.probeServer(a)
	case control.CloseIdle:
		c.egress.CloseIdle(a.Server)
	case control.Log:
		c.log.Info(a.Text)
	case control.Tell, control.Watch, control.Fetch:
		// no peers on the wires that there are, and the route table follows discovery by itself
	default:
		panic(fmt.Sprintf("core: no such action: %T", a))
	}
}

func (c *Core) send(a control.Send) {
	h := c.held[a.ID]
	if h == nil || h.answered {
		return
	}
	deadline := h.Deadline
	if a.Timeout > 0 && !h.Arriving { // the time of one that arrives begins with its last byte
		if t := time.Now().Add(duration(a.Timeout)); t.Before(deadline) {
			deadline = t
		}
	}
	ctx, cancel := context.WithDeadline(c.ctx, deadline)
	attempt, sentAt := len(h.cancels), time.Now()
	h.cancels = append(h.cancels, cancel)
	noneInFlight := h.inFlight == 0
	h.inFlight++
	if c.sites != nil {
		f, _ := c.sites.Sent(c.now(), a.Server, h.Class, h.verdict)
		h.flights = append(h.flights, f)
		if !h.mayHaveRun {
			h.ranAtSite = max(0, f.Site)
		}
	}
	var sendBefore time.Time
	if class := c.classes[h.Class]; h.mayHaveRun && class.Repeat == control.Keyed { // its key is known for so long
		sendBefore = h.mayHaveRunSince.Add(duration(class.Window))
	}
	ended := func(o Outcome) attemptEnded {
		return attemptEnded{h, attempt, a.Server, sentAt, time.Since(sentAt).Seconds(), o}
	}
	if !noneInFlight && !c.secondCopyAllowed(h) {
		c.log.Error("a second copy that is not allowed was not sent", "id", h.id, "class", h.Class)
		c.selfMessages = append(c.selfMessages, ended(Outcome{Status: control.Moot}))
		return
	}
	if !c.egress.Start(Attempt{
		Ctx: ctx, Target: a.Server, Payload: h.Payload, Repeat: c.classes[h.Class].Repeat, SendBefore: sendBefore, ExchangeDone: h.done,
		Report:     func(o Outcome) { c.post(ended(o)) },
		OnBodySent: func() { c.post(bodySent{h}) }, ResponseTimeout: h.ResponseTimeout,
	}) {
		c.selfMessages = append(c.selfMessages, ended(Outcome{Status: control.Full}))
	}
}

// secondCopyAllowed tells whether a second attempt of an exchange may be out beside the first: the last guard of what must not
// run twice, whatever was decided.
func (c *Core) secondCopyAllowed(h *heldExchange) bool {
	return c.secondCopies && c.classes[h.Class].Repeat == control.Safe && h.BodyConsumed == nil
}

func (c *Core) addToCounter(a control.Count) {
	start := time.Now()
	report := func(s control.Status, total float64) control.Counted {
		return control.Counted{Name: a.Name, Status: s, Total: total, Elapsed: time.Since(start).Seconds()}
	}
	if !c.counter.Add(a.Name, a.Amount, duration(a.TTL), func(s control.Status, total float64) {
		c.post(report(s, total))
	}) {
		c.selfMessages = append(c.selfMessages, report(control.Full, 0))
	}
}

func (c *Core) probeServer(a control.Probe) {
	start := time.Now()
	report := func(s control.Status, load []float64) control.Probed {
		return control.Probed{Server: a.Server, Status: s, Elapsed: time.Since(start).Seconds(), Load: load}
	}
	if !c.egress.Probe(a.Server, 0, func(s control.Status, load []float64) { c.post(report(s, load)) }) {
		c.selfMessages = append(c.selfMessages, report(control.ConnectFailed, nil))
	}
}

func duration(s control.Seconds) time.Duration { return time.Duration(s * float64(time.Second)) }
