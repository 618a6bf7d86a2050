package lease

import (
	"slices"
	"time"
)

// Rules are what a holder goes by.
type Rules struct {
	Life   time.Duration // that its session was opened with
	Drift  float64       // the most by which a clock's rate is off, as a share: 0.01 is 1 %
	Margin time.Duration // by which it stops before it must
	Pause  time.Duration // a gap between two looks at the clock that ends the session
	Jump   time.Duration // by which the wall clock may run away from the monotonic one between two looks
}

// Span is how long after a renewal was sent a holder may act: the keeper's clock may be fast and its own slow.
func (r Rules) Span() time.Duration {
	return time.Duration(float64(r.Life)*(1-r.Drift)/(1+r.Drift)) - r.Margin
}

// Cause is why a holder stopped.
type Cause string

// Why a holder may stop.
const (
	Asked    Cause = "released"
	Ran      Cause = "no answer in time"
	Paused   Cause = "this process was paused"
	Jumped   Cause = "the clock jumped"
	Ended    Cause = "the coordinators ended the session"
	Withdrew Cause = "revoked"
)

// Phase is how far a holder is with a lease.
type Phase uint8

// How far a holder may be.
const (
	None      Phase = iota
	Unsure          // an ask is out: it may wait, or hold already without knowing
	Queued          // it waits
	Holding         // it may act
	Withdrawn       // revoked: it may act no more, and says with Drop that it has stopped
	Leaving         // it acts no more; its release is out
)

// Ask is what a holder wants to be sent: one at a time, again until its outcome is known.
type Ask struct {
	Op     Op
	Seq    uint64
	Name   string
	Token  uint64
	Member Member
}

// What a holder tells its process.
type (
	// Start: it may act, from now on.
	Start struct{ Grant }
	// Stop: it may act no more.
	Stop struct {
		Grant
		Cause Cause
	}
	// Over: the session is of no use any more; a new one is needed.
	Over struct{ Cause Cause }
)

type want struct {
	phase Phase
	token uint64
}

// Holder is one session as its process sees it.
type Holder struct {
	rules   Rules
	sent    map[uint64]time.Duration // renewals out
	number  uint64
	until   time.Duration // it acts before this only
	alive   bool          // until means something
	over    Cause
	rev     uint64
	wants   map[string]*want
	asks    []Ask // the first is out, or is to be sent
	seq     uint64
	looked  bool
	mono    time.Duration
	wall    time.Duration
	without guard
}

// NewHolder is a session that is not opened yet.
func NewHolder(r Rules) *Holder {
	return &Holder{rules: r, sent: map[uint64]time.Duration{}, wants: map[string]*want{}}
}

// Over tells whether the session has ended, and why.
func (h *Holder) Over() (Cause, bool) { return h.over, h.over != "" }

// Renew notes that a renewal, or the ask to open the session, goes out now. Its number comes back with the answer.
func (h *Holder) Renew(now time.Duration) uint64 {
	h.number++
	h.sent[h.number] = now
	if len(h.sent) > 64 { // answers that never came: only the newer ones can still help
		delete(h.sent, h.number-64)
	}
	return h.number
}

// Renewed takes in the answer to a renewal.
func (h *Holder) Renewed(now time.Duration, number uint64, v View, do []any) []any {
	sent, ok := h.sent[number]
	if !ok || h.over != "" {
		return do
	}
	delete(h.sent, number)
	if h.without == spanFromSending {
		sent = now
	}
	span := h.rules.Span()
	if h.without == driftAndMargin {
		span = h.rules.Life
	}
	if v.Rev >= h.rev || h.without == revisionOfViews { // an older view could renew what was revoked since
		if !h.alive || sent+span > h.until {
			h.until, h.alive = sent+span, true
		}
	}
	return h.Told(now, v, do)
}

// Told takes in what the keeper says the session holds.
func (h *Holder) Told(now time.Duration, v View, do []any) []any {
	if h.over != "" || v.Rev < h.rev && h.without != revisionOfViews {
		return do
	}
	h.rev = v.Rev
	for _, name := range sortedKeys(h.wants) {
		w := h.wants[name]
		i := slices.IndexFunc(v.Held, func(g Grant) bool { return g.Name == name })
		switch {
		case w.phase == Holding && (i < 0 || v.Held[i].Token != w.token):
			w.phase = Withdrawn
			do = append(do, Stop{Grant{name, w.token}, Withdrew})
		case (w.phase == Queued || w.phase == Unsure) && i >= 0 && h.lives(now):
			if w.token == v.Held[i].Token {
				break // it gave this very one back
			}
			w.phase, w.token = Holding, v.Held[i].Token
			do = append(do, Start{v.Held[i]})
		case w.phase == Unsure && slices.ContainsFunc(v.Places, func(p Place) bool { return p.Name == name }):
			w.phase = Queued
		}
	}
	return do
}

// Want asks for a lease.
func (h *Holder) Want(name string) {
	w := h.wants[name]
	if w == nil {
		w = &want{}
		h.wants[name] = w
	}
	if h.over == "" && (w.phase == None || w.phase == Leaving || w.phase == Withdrawn) {
		if w.phase == Withdrawn {
			h.leave(name, w)
		}
		w.phase = Unsure
		h.ask(Ask{Op: Acquire, Name: name})
	}
}

// Drop gives a lease back, or a place in its queue. From here on nothing may be done under it.
func (h *Holder) Drop(name string, do []any) []any {
	w := h.wants[name]
	if w == nil || w.phase == None || w.phase == Leaving || h.over != "" {
		return do
	}
	if w.phase == Holding && h.without != stopBeforeRelease {
		do = append(do, Stop{Grant{name, w.token}, Asked})
	}
	h.leave(name, w)
	return do
}

// leave asks for a release. Its token is told only when it is known: a place in the queue has none, and a lease
// that was given meanwhile and not told yet is released by the answer's handling.
func (h *Holder) leave(name string, w *want) {
	h.ask(Ask{Op: Release, Name: name, Token: w.token})
	if h.without != stopBeforeRelease {
		w.phase = Leaving
	}
}

// Say tells the keeper how this member is.
func (h *Holder) Say(m Member) { h.ask(Ask{Op: Report, Member: m}) }

func (h *Holder) ask(a Ask) {
	h.seq++
	a.Seq = h.seq
	h.asks = append(h.asks, a)
}

// Next is the ask that is to be sent, or sent again where an answer may have been lost.
func (h *Holder) Next() (a Ask, ok bool) {
	if len(h.asks) == 0 || h.over != "" {
		return a, false
	}
	return h.asks[0], true
}

// Answered takes in the outcome of an ask, with the view after it.
func (h *Holder) Answered(now time.Duration, seq uint64, o Outcome, v View, do []any) []any {
	if len(h.asks) == 0 || h.asks[0].Seq != seq || h.over != "" {
		return do
	}
	if o.Status == Full {
		return do // it stays first, and is sent again later
	}
	a := h.asks[0]
	h.asks = h.asks[1:]
	w := h.wants[a.Name]
	if w == nil {
		return h.Told(now, v, do)
	}
	later := slices.ContainsFunc(h.asks, func(b Ask) bool { return b.Name == a.Name })
	switch {
	case a.Op == Release && w.phase == Leaving && !later:
		// What was given between the wish to leave and its telling has a token that the release did not name.
		if i := slices.IndexFunc(v.Held, func(g Grant) bool { return g.Name == a.Name }); i >= 0 {
			w.token = v.Held[i].Token
			h.leave(a.Name, w)
			break
		}
		w.phase = None
	case a.Op == Acquire && o.Status == Waiting && w.phase == Unsure && !later:
		w.phase = Queued
	}
	return h.Told(now, v, do)
}

// Gone takes in that the keeper has no such session (any more).
func (h *Holder) Gone(do []any) []any { return h.end(Ended, do) }

// Tick looks at the clocks: mono as everywhere, wall since any moment.
func (h *Holder) Tick(mono, wall time.Duration, do []any) []any {
	gap, skew := mono-h.mono, (wall-h.wall)-(mono-h.mono)
	first := !h.looked
	h.looked, h.mono, h.wall = true, mono, wall
	if h.over != "" || !h.alive {
		return do
	}
	if !first && h.without != endsWithPause {
		if h.rules.Pause > 0 && gap > h.rules.Pause {
			return h.end(Paused, do)
		}
		if h.rules.Jump > 0 && (skew > h.rules.Jump || skew < -h.rules.Jump) {
			return h.end(Jumped, do)
		}
	}
	if mono >= h.until {
		return h.end(Ran, do)
	}
	return do
}

func (h *Holder) end(why Cause, do []any) []any {
	if h.over != "" {
		return do
	}
	h.over = why
	for _, name := range sortedKeys(h.wants) {
		if w := h.wants[name]; w.phase == Holding {
			do = append(do, Stop{Grant{name, w.token}, why})
		}
	}
	return append(do, Over{why})
}

func (h *Holder) lives(now time.Duration) bool { return h.alive && h.over == "" && now < h.until }

// May tells whether this process may act under a lease now, with which token, and for how long.
func (h *Holder) May(now time.Duration, name string) (token uint64, left time.Duration, ok bool) {
	w := h.wants[name]
	if w == nil || w.phase != Holding || !h.lives(now) {
		return 0, 0, false
	}
	return w.token, h.until - now, true
}

// Phase tells how far it is with a lease.
func (h *Holder) Phase(name string) Phase {
	if w := h.wants[name]; w != nil {
		return w.phase
	}
	return None
}

// Until is when it must have stopped; ok is false before the first answer.
func (h *Holder) Until() (time.Duration, bool) { return h.until, h.alive && h.over == "" }
