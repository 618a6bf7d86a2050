package lease

import (
	"slices"
	"time"
)

// Timing are what a holder goes by.
type Timing struct {
	TTL          time.Duration // that its session was opened with
	Drift        float64       // the most by which a clock's rate is off, as a share: 0.01 is 1 %
	Margin       time.Duration // by which it stops before it must
	MaxPause     time.Duration // a gap between two looks at the clock that ends the session
	MaxClockJump time.Duration // by which the wall clock may run away from the monotonic one between two looks
}

// Validity is how long after a renewal was sent a holder may act: the keeper's clock may be fast and its own slow.
func (r Timing) Validity() time.Duration {
	return time.Duration(float64(r.TTL)*(1-r.Drift)/(1+r.Drift)) - r.Margin
}

// Cause is why a holder stopped.
type Cause string

// Why a holder may stop.
const (
	CauseReleased       Cause = "released"
	CauseRenewalTimeout Cause = "no answer in time"
	CausePaused         Cause = "this process was paused"
	CauseClockJump      Cause = "the clock jumped"
	CauseSessionEnded   Cause = "the coordinators ended the session"
	CauseRevoked        Cause = "revoked"
)

// Phase is how far a holder is with a lease.
type Phase uint8

// How far a holder may be.
const (
	None      Phase = iota
	Requested       // an ask is out: it may wait, or hold already without knowing
	Queued          // it waits
	Holding         // it may act
	Revoked         // revoked: it may act no more, and says with Drop that it has stopped
	Releasing       // it acts no more; its release is out
)

// Request is what a holder wants to be sent: one at a time, again until its outcome is known.
type Request struct {
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
	// SessionEnded: the session is of no use any more; a new one is needed.
	SessionEnded struct{ Cause Cause }
)

type localLease struct {
	phase Phase
	token uint64
}

// Holder is one session as its process sees it.
type Holder struct {
	rules         Timing
	sentAt        map[uint64]time.Duration // renewals out
	lastRenewal   uint64
	validUntil    time.Duration // it acts before this only
	renewedOnce   bool          // until means something
	endCause      Cause
	rev           uint64
	leases        map[string]*localLease
	requests      []Request // the first is out, or is to be sent
	lastSeq       uint64
	ticked        bool
	lastMono      time.Duration
	lastWall      time.Duration
	disabledGuard guard
}

// NewHolder is a session that is not opened yet.
func NewHolder(r Timing) *Holder {
	return &Holder{rules: r, sentAt: map[uint64]time.Duration{}, leases: map[string]*localLease{}}
}

// Ended tells whether the session has ended, and why.
func (h *Holder) Ended() (Cause, bool) { return h.endCause, h.endCause != "" }

// Renew notes that a renewal, or the ask to open the session, goes out now. Its number comes back with the answer.
func (h *Holder) Renew(now time.Duration) uint64 {
	h.lastRenewal++
	h.sentAt[h.lastRenewal] = now
	if len(h.sentAt) > 64 { // answers that never came: only the newer ones can still help
		delete(h.sentAt, h.lastRenewal-64)
	}
	return h.lastRenewal
}

// Renewed takes in the answer to a renewal.
func (h *Holder) Renewed(now time.Duration, number uint64, v View, actions []any) []any {
	sentAt, ok := h.sentAt[number]
	if !ok || h.endCause != "" {
		return actions
	}
	delete(h.sentAt, number)
	if h.disabledGuard == guardValidityFromSend {
		sentAt = now
	}
	validity := h.rules.Validity()
	if h.disabledGuard == guardDriftAndMargin {
		validity = h.rules.TTL
	}
	if v.Rev >= h.rev || h.disabledGuard == guardViewRevision { // an older view could renew what was revoked since
		if !h.renewedOnce || sentAt+validity > h.validUntil {
			h.validUntil, h.renewedOnce = sentAt+validity, true
		}
	}
	return h.ViewReceived(now, v, actions)
}

// ViewReceived takes in what the keeper says the session holds.
func (h *Holder) ViewReceived(now time.Duration, v View, actions []any) []any {
	if h.endCause != "" || v.Rev < h.rev && h.disabledGuard != guardViewRevision {
		return actions
	}
	h.rev = v.Rev
	for _, name := range sortedKeys(h.leases) {
		l := h.leases[name]
		i := slices.IndexFunc(v.Held, func(g Grant) bool { return g.Name == name })
		switch {
		case l.phase == Holding && (i < 0 || v.Held[i].Token != l.token):
			l.phase = Revoked
			actions = append(actions, Stop{Grant{name, l.token}, CauseRevoked})
		case (l.phase == Queued || l.phase == Requested) && i >= 0 && h.valid(now):
			if l.token == v.Held[i].Token {
				break // it gave this very one back
			}
			l.phase, l.token = Holding, v.Held[i].Token
			actions = append(actions, Start{v.Held[i]})
		case l.phase == Requested && slices.ContainsFunc(v.Places, func(p Place) bool { return p.Name == name }):
			l.phase = Queued
		}
	}
	return actions
}

// Acquire asks for a lease.
func (h *Holder) Acquire(name string) {
	l := h.leases[name]
	if l == nil {
		l = &localLease{}
		h.leases[name] = l
	}
	if h.endCause == "" && (l.phase == None || l.phase == Releasing || l.phase == Revoked) {
		if l.phase == Revoked {
			h.requestRelease(name, l)
		}
		l.phase = Requested
		h.enqueue(Request{Op: Acquire, Name: name})
	}
}

// Release gives a lease back, or a place in its queue. From here on nothing may be done under it.
func (h *Holder) Release(name string, actions []any) []any {
	l := h.leases[name]
	if l == nil || l.phase == None || l.phase == Releasing || h.endCause != "" {
		return actions
	}
	if l.phase == Holding && h.disabledGuard != guardStopBeforeRelease {
		actions = append(actions, Stop{Grant{name, l.token}, CauseReleased})
	}
	h.requestRelease(name, l)
	return actions
}

// requestRelease asks for a release. Its token is told only when it is known: a place in the queue has none, and a lease
// that was given meanwhile and not told yet is released by the answer's handling.
func (h *Holder) requestRelease(name string, l *localLease) {
	h.enqueue(Request{Op: Release, Name: name, Token: l.token})
	if h.disabledGuard != guardStopBeforeRelease {
		l.phase = Releasing
	}
}

// Report tells the keeper how this member is.
func (h *Holder) Report(m Member) { h.enqueue(Request{Op: Report, Member: m}) }

func (h *Holder) enqueue(a Request) {
	h.lastSeq++
	a.Seq = h.lastSeq
	h.requests = append(h.requests, a)
}

// NextRequest is the ask that is to be sent, or sent again where an answer may have been lost.
func (h *Holder) NextRequest() (a Request, ok bool) {
	if len(h.requests) == 0 || h.endCause != "" {
		return a, false
	}
	return h.requests[0], true
}

// Answered takes in the outcome of an ask, with the view after it.
func (h *Holder) Answered(now time.Duration, seq uint64, o Outcome, v View, actions []any) []any {
	if len(h.requests) == 0 || h.requests[0].Seq != seq || h.endCause != "" {
		return actions
	}
	if o.Status == Full {
		return actions // it stays first, and is sent again later
	}
	a := h.requests[0]
	h.requests = h.requests[1:]
	l := h.leases[a.Name]
	if l == nil {
		return h.ViewReceived(now, v, actions)
	}
	moreQueued := slices.ContainsFunc(h.requests, func(b Request) bool { return b.Name == a.Name })
	switch {
	case a.Op == Release && l.phase == Releasing && !moreQueued:
		// What was given between the wish to leave and its telling has a token that the release did not name.
		if i := slices.IndexFunc(v.Held, func(g Grant) bool { return g.Name == a.Name }); i >= 0 {
			l.token = v.Held[i].Token
			h.requestRelease(a.Name, l)
			break
		}
		l.phase = None
	case a.Op == Acquire && o.Status == Waiting && l.phase == Requested && !moreQueued:
		l.phase = Queued
	}
	return h.ViewReceived(now, v, actions)
}

// SessionGone takes in that the keeper has no such session (any more).
func (h *Holder) SessionGone(actions []any) []any { return h.end(CauseSessionEnded, actions) }

// Tick looks at the clocks: mono as everywhere, wall since any moment.
func (h *Holder) Tick(mono, wall time.Duration, actions []any) []any {
	gap, skew := mono-h.lastMono, (wall-h.lastWall)-(mono-h.lastMono)
	first := !h.ticked
	h.ticked, h.lastMono, h.lastWall = true, mono, wall
	if h.endCause != "" || !h.renewedOnce {
		return actions
	}
	if !first && h.disabledGuard != guardEndOnPause {
		if h.rules.MaxPause > 0 && gap > h.rules.MaxPause {
			return h.end(CausePaused, actions)
		}
		if h.rules.MaxClockJump > 0 && (skew > h.rules.MaxClockJump || skew < -h.rules.MaxClockJump) {
			return h.end(CauseClockJump, actions)
		}
	}
	if mono >= h.validUntil {
		return h.end(CauseRenewalTimeout, actions)
	}
	return actions
}

func (h *Holder) end(cause Cause, actions []any) []any {
	if h.endCause != "" {
		return actions
	}
	h.endCause = cause
	for _, name := range sortedKeys(h.leases) {
		if l := h.leases[name]; l.phase == Holding {
			actions = append(actions, Stop{Grant{name, l.token}, cause})
		}
	}
	return append(actions, SessionEnded{cause})
}

func (h *Holder) valid(now time.Duration) bool {
	return h.renewedOnce && h.endCause == "" && now < h.validUntil
}

// MayAct tells whether this process may act under a lease now, with which token, and for how long.
func (h *Holder) MayAct(now time.Duration, name string) (token uint64, remaining time.Duration, ok bool) {
	l := h.leases[name]
	if l == nil || l.phase != Holding || !h.valid(now) {
		return 0, 0, false
	}
	return l.token, h.validUntil - now, true
}

// Phase tells how far it is with a lease.
func (h *Holder) Phase(name string) Phase {
	if l := h.leases[name]; l != nil {
		return l.phase
	}
	return None
}

// ValidUntil is when it must have stopped; ok is false before the first answer.
func (h *Holder) ValidUntil() (time.Duration, bool) {
	return h.validUntil, h.renewedOnce && h.endCause == ""
}
