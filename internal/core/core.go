// Package core runs the decision module control as an actor: it holds the exchanges in flight, reports their events to
// control, carries out the actions that control decides on, and gives each exchange exactly one final answer. It speaks
// no protocol itself: front ends submit exchanges, egress sends the attempts, and a counter keeps the shared totals.
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

const (
	mailboxSize      = 4096
	siteTickInterval = 50 * time.Millisecond  // between runs of the sites' timed actions
	gaugeInterval    = 250 * time.Millisecond // between updates of the server gauges, which may be up to 0.5 s old
	shedRetryAfter   = 500 * time.Millisecond // Retry-After of requests that the core itself sheds, limited by the settings
	overdueGrace     = 15 * time.Millisecond  // from an exchange's deadline until the core itself answers it

	uploadOverdueGrace = 100 * time.Millisecond // in addition, for an attempt that still forwards the body to report
)

// heldExchange is an exchange that lacks its final answer or still has attempts in flight.
type heldExchange struct {
	Exchange
	id              uint64
	answered        bool
	answer          chan Answer   // buffered, so that giving the final answer never blocks
	done            chan struct{} // closed when the final answer is given
	cancels         []context.CancelFunc
	flights         []sites.Attempt // one per attempt; none without sites
	verdict         sites.Verdict   // the latest
	receivedAt      time.Time
	inFlight        int
	mayHaveRun      bool
	ranAt           control.Placement // of the first attempt that may have run, or else of the latest
	mayHaveRunSince time.Time         // when the first attempt that may have run was sent
	overdueTimer    *time.Timer
	overdue         bool // the deadline has passed while the body was still being forwarded
}

// Core is the actor. Run handles its messages; the other methods may be called from any goroutine.
type Core struct {
	gateway      *control.Gateway
	egress       Egress
	counter      Counter
	classes      []control.Class
	secondCopies bool          // the settings allow two attempts of an exchange in flight at once
	retryAfter   time.Duration // of requests that the core itself sheds; 0: none
	log          *slog.Logger
	sites        *sites.Router // nil: all targets are at one site
	siteActions  []sites.Action

	mailbox      chan mail
	done         chan struct{} // closed when Run returns
	startTime    time.Time     // wall-clock and monotonic reading: together a clock that gateways share and that never steps
	startSeconds float64

	ctx          context.Context
	held         map[uint64]*heldExchange
	lastID       uint64
	selfMessages []any // messages to itself: posting them could block on its own mailbox
	actions      []control.Action
	metrics      *telemetry.Figures // nil: nothing is counted
	flushWaiters []chan struct{}    // closed once the counter holds all used units
	shedding     bool               // every held exchange was shed, and every new one is shed on arrival
}

// New returns the core of a gateway. It handles nothing until Run is called.
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
		mailbox:      make(chan mail, mailboxSize), done: make(chan struct{}),
		startTime: now, startSeconds: float64(now.UnixMicro()) / 1e6, held: map[uint64]*heldExchange{},
	}, nil
}

// SetMetrics makes the core count its answers, its attempts and the servers it knows in m. It must be called before
// Run.
func (c *Core) SetMetrics(m *telemetry.Figures) { c.metrics = m }

// countAnswer counts a final answer by its kind. Answers that nobody reads are not counted.
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

// Streamer is a reply whose body may still be streaming.
type Streamer interface {
	Streaming() bool
	Close() error // discards the rest of the body
}

// CountStreamed counts a streamed answer when its body has ended: served if complete, failed otherwise.
func (c *Core) CountStreamed(class int, complete bool) {
	kind := Served
	if !complete {
		kind = Failed
	}
	c.countAnswer(class, kind, false) // never late: its duration depends on the reader
}

// SetClassNames sets the names of the classes, indexed by class number, for the metrics.
func (c *Core) SetClassNames(names []string) {
	if c.metrics != nil {
		c.metrics.SetClasses(names)
	}
}

// SetSites sets the router for targets at several sites. It must be called before Run.
func (c *Core) SetSites(r *sites.Router) { c.sites = r }

// Sites returns the report on the sites, or false if there are none or Run has returned.
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

// Reconfigure installs new classes and plans, and returns once exchanges may use them. Numbers in use stay valid.
func (c *Core) Reconfigure(e control.Reconfigured) {
	m := reconfigured{e, make(chan struct{})}
	c.post(m)
	select {
	case <-m.done:
	case <-c.done:
	}
}

// PlansInUse returns the number of known customers by plan number.
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

// Do has an exchange decided and carried out, and returns its one final answer. If ctx ends first, the client
// has disconnected: all attempts in flight for the exchange are cancelled.
func (c *Core) Do(ctx context.Context, x Exchange) Answer {
	h := &heldExchange{Exchange: x, answer: make(chan Answer, 1), done: make(chan struct{})}
	select {
	case c.mailbox <- mail{exchangeOpened{h}, time.Now()}:
	default: // the mailbox is full: shed here, without waiting
		a := c.refusalBeforeSending(&x)
		c.countAnswer(x.Class, a.Kind, false)
		return a
	}
	select {
	case a := <-h.answer:
		return a
	case <-ctx.Done():
		c.post(clientGone{h})
		select {
		case a := <-h.answer: // a final answer given before the disconnect was handled stands
			return a
		case <-c.done:
			return Answer{Kind: ClientGone, MayHaveRun: true}
		}
	case <-c.done:
		return c.answerAfterEnd(h)
	}
}

// answerAfterEnd returns the answer to an exchange that the core did not answer before Run returned. Nothing writes to
// h any more.
func (c *Core) answerAfterEnd(h *heldExchange) Answer {
	select {
	case a := <-h.answer:
		return a
	default:
	}
	a := c.localAnswer(h)
	c.countAnswer(h.Class, a.Kind, false)
	return a
}

// RetryAfter is the wait advised to clients whose requests the core itself sheds; 0: none.
func (c *Core) RetryAfter() time.Duration { return c.retryAfter }

// Routes applies a new route table or changes to it. It returns once the table is in the core's mailbox.
func (c *Core) Routes(t Table) { c.post(t) }

// Settle returns once the core has handled all messages posted before.
func (c *Core) Settle() {
	f := flush{make(chan struct{})}
	c.post(f)
	select {
	case <-f.done:
	case <-c.done:
	}
}

// Shed gives every held exchange its final answer now and every later one on arrival: the process is about to exit.
func (c *Core) Shed() {
	c.post(shedAll{})
	c.Settle()
}

// FlushUnits has all used units added to the counter that it does not hold yet, and waits for that until ctx ends:
// units that the counter never receives could be spent a second time.
func (c *Core) FlushUnits(ctx context.Context) error {
	m := flushUnits{make(chan struct{})}
	c.post(m)
	select {
	case <-m.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("not all used units were added to the counter: %w", ctx.Err())
	case <-c.done:
		return nil
	}
}

// notifyFlushed wakes the callers of FlushUnits once the counter holds all used units.
func (c *Core) notifyFlushed() {
	if len(c.flushWaiters) == 0 || c.gateway.UnflushedCustomers() > 0 {
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

// answerLocally ends an exchange without a decision of control.
func (c *Core) answerLocally(h *heldExchange) {
	c.answer(h, c.localAnswer(h))
	c.handleEvent(control.ClientGone{ID: h.id})
	c.removeIfDone(h)
}

// localAnswer returns the answer to an exchange that the core itself ends.
func (c *Core) localAnswer(h *heldExchange) Answer {
	class := c.classes[h.Class]
	if !class.RepeatIsHarmless() && (h.mayHaveRun || h.inFlight > 0) { // a refusal would tell the client that a retry is harmless
		return Answer{Kind: Failed}
	}
	return c.refusalBeforeSending(&h.Exchange)
}

// refusalBeforeSending returns the answer to an exchange of which nothing was sent. One whose key may have run earlier
// fails: a refusal would say that a retry is harmless anywhere.
func (c *Core) refusalBeforeSending(x *Exchange) Answer {
	if x.EarlierRun != nil {
		return Answer{Kind: Failed}
	}
	return Answer{Kind: Refused, RetryAfter: c.retryAfter}
}

func (c *Core) post(m any) {
	select {
	case c.mailbox <- mail{m, time.Now()}:
	case <-c.done:
	}
}

func (c *Core) now() control.Seconds { return c.startSeconds + time.Since(c.startTime).Seconds() }

// countWait counts how long a message waited in the mailbox.
func (c *Core) countWait(postedAt time.Time) {
	if c.metrics != nil {
		c.metrics.CoreWaits.Add(time.Since(postedAt))
	}
}

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
			c.countWait(m.postedAt)
			c.handle(m.message)
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
		c.handleEvent(control.ClientGone{ID: m.h.id})
		c.removeIfDone(m.h)
	case bodySent:
		c.startResponseTimeout(m.h)
	case deadlinePassed:
		c.answerOverdue(m.h)
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
		c.tickSites() // a link that has recovered is used at once
	case plansInUse:
		m.reply <- c.gateway.CustomersByPlan()
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
		c.handleEvent(control.ShuttingDown{})
	case shedAll:
		c.shedHeld()
	case control.Event:
		c.handleEvent(m)
	default:
		panic(fmt.Sprintf("core: unknown message type %T", m))
	}
}

// due returns when the client's wait for its answer ends, as far as is known now.
func (h *heldExchange) due() time.Time {
	if h.BodyIncoming && h.AnswerDue != nil {
		if due := h.AnswerDue(); due.Before(h.Deadline) {
			return due
		}
	}
	return h.Deadline
}

// startResponseTimeout fixes the deadline of an exchange whose whole body was forwarded.
func (c *Core) startResponseTimeout(h *heldExchange) {
	if !h.BodyIncoming || h.answered {
		return
	}
	latest := time.Now().Add(h.ResponseTimeout)
	if h.AnswerDue != nil {
		latest = h.due()
	}
	h.BodyIncoming, h.Deadline = false, latest
	remaining := time.Until(latest)
	h.overdueTimer.Reset(max(0, remaining) + overdueGrace)
	c.handleEvent(control.BodyReceived{ID: h.id, TimeLeft: max(time.Nanosecond, remaining).Seconds()})
}

// answerOverdue answers an exchange whose deadline has passed. It guards against attempts that hang: the client always
// gets an answer.
func (c *Core) answerOverdue(h *heldExchange) {
	if h.answered {
		return
	}
	if remaining := time.Until(h.due()); remaining > 0 { // the client still had a part of the body to send
		h.overdueTimer.Reset(remaining + overdueGrace)
		return
	}
	if h.BodyIncoming && h.inFlight > 0 && !h.overdue { // its attempt ends by itself now, and tells that it never ran
		h.overdue = true
		h.overdueTimer.Reset(uploadOverdueGrace)
		return
	}
	c.log.Warn("exchange unanswered after its deadline; the core answers it", "id", h.id, "request_id", h.RequestID,
		"class", h.Class, "overdue", time.Since(h.due()), "attempts", len(h.cancels), "in_flight", h.inFlight)
	c.answerLocally(h)
}

func (c *Core) open(h *heldExchange) {
	c.lastID++
	h.id = c.lastID
	remaining := time.Until(h.due())
	if remaining <= 0 || c.shedding {
		c.answer(h, c.refusalBeforeSending(&h.Exchange))
		return
	}
	c.held[h.id] = h
	h.overdueTimer = time.AfterFunc(remaining+overdueGrace, func() { c.post(deadlinePassed{h}) })
	h.receivedAt = time.Now()
	if h.BodyIncoming && h.AnswerDue == nil {
		remaining = h.ResponseTimeout
	}
	var earlier *control.EarlierRun
	if h.EarlierRun != nil {
		earlier = &control.EarlierRun{Placement: h.EarlierRun.Placement, SentAt: c.now() - time.Since(h.EarlierRun.SentAt).Seconds()}
	}
	c.handleEvent(control.Request{
		EarlierRun: earlier, BodyIncoming: h.BodyIncoming, Reach: c.route(h, remaining),
		ID: h.id, Class: h.Class, Plan: h.Plan, Customer: h.Customer, TimeLeft: remaining.Seconds(),
		Units: h.Units, Spread: h.Spread, First: h.First, Repeat: h.Repeat, VerdictOnly: h.VerdictOnly,
	})
	c.removeIfDone(h)
}

// answer gives the final answer, unless one was given already.
func (c *Core) answer(h *heldExchange, a Answer) {
	if h.answered {
		return
	}
	h.answered = true
	close(h.done)
	if s, ok := a.Reply.(Streamer); !ok || !s.Streaming() { // a streaming answer is counted at its end, by CountStreamed
		c.countAnswer(h.Class, a.Kind, time.Since(h.receivedAt).Seconds() > c.classes[h.Class].Aim)
	}
	a.MayHaveRun, a.RanAt, a.AttemptsOut = h.mayHaveRun || h.inFlight > 0, h.ranAt, h.inFlight
	h.answer <- a
	c.logUnserved(h, a)
	if h.overdueTimer != nil {
		h.overdueTimer.Stop()
	}
}

// removeIfDone drops an exchange that has its final answer and no attempt in flight.
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
	c.logFailedAttempt(e)
	e.h.inFlight--
	e.h.cancels[e.attempt]()
	if e.Status != control.Full && e.Status != control.ConnectFailed && e.Status != control.NotSent {
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
	if !e.h.answered && e.h.BodyConsumed != nil && e.h.BodyConsumed() { // the body cannot be sent to another target
		c.answer(e.h, c.localAnswer(e.h))
	}
	c.handleEvent(control.Outcome{
		ID: e.h.id, Server: e.target, Attempt: e.attempt, Status: e.Status,
		Closed: e.h.answered, Elapsed: e.elapsed, Load: e.Load, Reach: reach,
	})
	c.removeIfDone(e.h)
}

// handleEvent passes an event to control and carries out the resulting actions.
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
			if c.sites != nil && !a.Over && !h.VerdictOnly && !h.answered {
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
	case control.MessagePeer, control.Watch, control.Fetch:
		// no supported protocol reaches peers, and the route table follows discovery by itself
	default:
		panic(fmt.Sprintf("core: unknown action type %T", a))
	}
}

func (c *Core) send(a control.Send) {
	h := c.held[a.ID]
	if h == nil || h.answered {
		return
	}
	deadline := h.Deadline
	if a.Timeout > 0 && !h.BodyIncoming { // while the body arrives, the time has not begun: it runs from the last byte
		if t := time.Now().Add(duration(a.Timeout)); t.Before(deadline) {
			deadline = t
		}
	}
	// An answer that has begun may take as long as the client waits: no further attempt could be sooner.
	answerCtx, cancelAnswer := context.WithDeadline(c.ctx, h.Deadline)
	ctx, cancelAttempt := context.WithDeadline(answerCtx, deadline)
	cancel := func() {
		cancelAttempt()
		cancelAnswer()
	}
	attempt, sentAt := len(h.cancels), time.Now()
	h.cancels = append(h.cancels, cancel)
	noneInFlight := h.inFlight == 0
	h.inFlight++
	if c.sites != nil {
		f, _ := c.sites.Sent(c.now(), a.Server, h.Class, h.verdict)
		h.flights = append(h.flights, f)
	}
	if !h.mayHaveRun {
		h.ranAt = a.Placement
	}
	ended := func(o Outcome) attemptEnded {
		return attemptEnded{h, attempt, a.Server, sentAt, time.Since(sentAt).Seconds(), o}
	}
	if !noneInFlight && !c.secondCopyAllowed(h) {
		c.log.Error("second attempt suppressed: not allowed beside the first", "id", h.id, "class", h.Class)
		c.selfMessages = append(c.selfMessages, ended(Outcome{Status: control.NotSent}))
		return
	}
	if !c.egress.Start(Attempt{
		Ctx: ctx, AnswerCtx: answerCtx, Target: a.Server, Payload: h.Payload, Repeat: c.classes[h.Class].Repeat,
		SendBefore: c.windowEnd(h), ExchangeDone: h.done,
		Report:     func(o Outcome) { c.post(ended(o)) },
		OnBodySent: func() { c.post(bodySent{h}) }, ResponseTimeout: h.ResponseTimeout,
	}) {
		c.selfMessages = append(c.selfMessages, ended(Outcome{Status: control.Full}))
	}
}

// windowEnd is the time until which targets know the key of an exchange that may have run; zero if it has none, or
// nothing may have run.
func (c *Core) windowEnd(h *heldExchange) time.Time {
	class := c.classes[h.Class]
	switch {
	case class.Repeat != control.Keyed:
		return time.Time{}
	case h.EarlierRun != nil:
		return h.EarlierRun.SentAt.Add(duration(class.Window))
	case h.mayHaveRun:
		return h.mayHaveRunSince.Add(duration(class.Window))
	default:
		return time.Time{}
	}
}

// secondCopyAllowed reports whether a second attempt of an exchange may be in flight beside the first. It is the last
// guard against running a request twice, independent of what control decided.
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
