package lease

import (
	"slices"
	"time"
)

// Timing holds the durations by which a holder decides when it must stop acting.
type Timing struct {
	TTL          time.Duration // with which the session was opened
	Drift        float64       // the largest error of a clock's rate, as a fraction: 0.01 is 1 %
	Margin       time.Duration // by which the holder stops earlier than it must
	MaxPause     time.Duration // a longer gap between two calls of Tick ends the session; 0: no limit
	MaxClockJump time.Duration // a larger step of the wall clock against the monotonic one ends it; 0: no limit
}

// Validity returns how long after sending a renewal a holder may act. The coordinators' clock may run fast by Drift,
// and the holder's own slow.
func (t Timing) Validity() time.Duration {
	return time.Duration(float64(t.TTL)*(1-t.Drift)/(1+t.Drift)) - t.Margin
}

// Cause is the reason why a holder stopped acting.
type Cause string

// The reasons why a holder stops acting.
const (
	CauseReleased       Cause = "released"
	CauseRenewalTimeout Cause = "no answer in time"
	CausePaused         Cause = "this process was paused"
	CauseClockJump      Cause = "the clock jumped"
	CauseSessionEnded   Cause = "the coordinators ended the session"
	CauseRevoked        Cause = "revoked"
)

// Phase is the state of one lease on the holder's side.
type Phase uint8

// The phases of a lease on the holder's side.
const (
	None      Phase = iota
	Requested       // a request is out: the session may be queued, or hold the lease already without knowing
	Queued          // the session waits in the lease's queue
	Holding         // the process may act
	Revoked         // the process may no longer act, and confirms with Release that it has stopped
	Releasing       // the process no longer acts; its release request is out
)

// Request is a request that a holder wants sent. One is sent at a time, and again until its outcome is known.
type Request struct {
	Op     Op
	Seq    uint64
	Name   string
	Token  uint64
	Member Member
}

// The actions that a holder returns to its process.
type (
	// Start: the process may act under the lease from now on.
	Start struct{ Grant }
	// Stop: the process may no longer act under the lease.
	Stop struct {
		Grant
		Cause Cause
	}
	// SessionEnded: the session can no longer be used; a new one is needed.
	SessionEnded struct{ Cause Cause }
)

type localLease struct {
	phase Phase
	token uint64
}

// Holder is a session as its own process sees it.
type Holder struct {
	timing        Timing
	sentAt        map[uint64]time.Duration // of the unanswered renewals, by number
	lastRenewal   uint64
	validUntil    time.Duration // the process acts only before this time
	renewedOnce   bool          // validUntil is set
	endCause      Cause
	rev           uint64
	leases        map[string]*localLease
	requests      []Request // the first one is out, or is to be sent next
	lastSeq       uint64
	ticked        bool
	lastMono      time.Duration
	lastWall      time.Duration
	disabledGuard guard
}

// NewHolder returns the holder of a session that has not been opened yet.
func NewHolder(timing Timing) *Holder {
	return &Holder{timing: timing, sentAt: map[uint64]time.Duration{}, leases: map[string]*localLease{}}
}

// Ended reports whether the session has ended, and why.
func (h *Holder) Ended() (Cause, bool) { return h.endCause, h.endCause != "" }

// Renew records that a renewal, or the request to open the session, is sent now. It returns the renewal's number, which
// the answer carries.
func (h *Holder) Renew(now time.Duration) uint64 {
	h.lastRenewal++
	h.sentAt[h.lastRenewal] = now
	if len(h.sentAt) > 64 { // unanswered ones: only the newer renewals can still extend the session
		delete(h.sentAt, h.lastRenewal-64)
	}
	return h.lastRenewal
}

// Renewed handles the answer to a renewal.
func (h *Holder) Renewed(now time.Duration, number uint64, v View, actions []any) []any {
	sentAt, ok := h.sentAt[number]
	if !ok || h.endCause != "" {
		return actions
	}
	delete(h.sentAt, number)
	if h.disabledGuard == guardValidityFromSend {
		sentAt = now
	}
	validity := h.timing.Validity()
	if h.disabledGuard == guardDriftAndMargin {
		validity = h.timing.TTL
	}
	if v.Rev >= h.rev || h.disabledGuard == guardViewRevision { // an older view could extend a revoked lease
		if !h.renewedOnce || sentAt+validity > h.validUntil {
			h.validUntil, h.renewedOnce = sentAt+validity, true
		}
	}
	return h.ViewReceived(now, v, actions)
}

// ViewReceived handles a view of the session that the coordinators sent.
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
				break // the holder has already released this grant
			}
			l.phase, l.token = Holding, v.Held[i].Token
			actions = append(actions, Start{v.Held[i]})
		case l.phase == Requested && slices.ContainsFunc(v.Places, func(p Place) bool { return p.Name == name }):
			l.phase = Queued
		}
	}
	return actions
}

// Acquire requests a lease.
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

// Release gives up a lease, or a place in its queue. From this call on the process must not act under it.
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

// requestRelease requests the release of a lease. It names the token only if that is known: a place in the queue has
// none, and a lease that was granted in the meantime, without the holder knowing yet, is released by Answered.
func (h *Holder) requestRelease(name string, l *localLease) {
	h.enqueue(Request{Op: Release, Name: name, Token: l.token})
	if h.disabledGuard != guardStopBeforeRelease {
		l.phase = Releasing
	}
}

// Report sends the coordinators the current description of this member.
func (h *Holder) Report(m Member) { h.enqueue(Request{Op: Report, Member: m}) }

func (h *Holder) enqueue(r Request) {
	h.lastSeq++
	r.Seq = h.lastSeq
	h.requests = append(h.requests, r)
}

// NextRequest returns the request that is to be sent, or sent again if its answer may have been lost.
func (h *Holder) NextRequest() (r Request, ok bool) {
	if len(h.requests) == 0 || h.endCause != "" {
		return r, false
	}
	return h.requests[0], true
}

// Answered handles the outcome of a request, with the session's view after it.
func (h *Holder) Answered(now time.Duration, seq uint64, o Outcome, v View, actions []any) []any {
	if len(h.requests) == 0 || h.requests[0].Seq != seq || h.endCause != "" {
		return actions
	}
	if o.Status == Full {
		return actions // the request stays first and is sent again later
	}
	r := h.requests[0]
	h.requests = h.requests[1:]
	l := h.leases[r.Name]
	if l == nil {
		return h.ViewReceived(now, v, actions)
	}
	moreQueued := slices.ContainsFunc(h.requests, func(b Request) bool { return b.Name == r.Name })
	switch {
	case r.Op == Release && l.phase == Releasing && !moreQueued:
		// A lease that was granted after the release was requested, and before it was applied, has a token that the
		// release did not name.
		if i := slices.IndexFunc(v.Held, func(g Grant) bool { return g.Name == r.Name }); i >= 0 {
			l.token = v.Held[i].Token
			h.requestRelease(r.Name, l)
			break
		}
		l.phase = None
	case r.Op == Acquire && o.Status == Waiting && l.phase == Requested && !moreQueued:
		l.phase = Queued
	}
	return h.ViewReceived(now, v, actions)
}

// SessionGone handles the answer that the coordinators have no such session (any more).
func (h *Holder) SessionGone(actions []any) []any { return h.end(CauseSessionEnded, actions) }

// Tick checks the clocks, and ends the session if its validity has passed, the process was paused or the clock
// jumped. mono is on the clock of all other times here; wall counts from any origin.
func (h *Holder) Tick(mono, wall time.Duration, actions []any) []any {
	gap, skew := mono-h.lastMono, (wall-h.lastWall)-(mono-h.lastMono)
	first := !h.ticked
	h.ticked, h.lastMono, h.lastWall = true, mono, wall
	if h.endCause != "" || !h.renewedOnce {
		return actions
	}
	if !first && h.disabledGuard != guardEndOnPause {
		if h.timing.MaxPause > 0 && gap > h.timing.MaxPause {
			return h.end(CausePaused, actions)
		}
		if h.timing.MaxClockJump > 0 && (skew > h.timing.MaxClockJump || skew < -h.timing.MaxClockJump) {
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

// MayAct reports whether this process may act under a lease now, with which token, and for how much longer.
func (h *Holder) MayAct(now time.Duration, name string) (token uint64, remaining time.Duration, ok bool) {
	l := h.leases[name]
	if l == nil || l.phase != Holding || !h.valid(now) {
		return 0, 0, false
	}
	return l.token, h.validUntil - now, true
}

// Phase returns the phase of a lease.
func (h *Holder) Phase(name string) Phase {
	if l := h.leases[name]; l != nil {
		return l.phase
	}
	return None
}

// ValidUntil returns the time by which the process must have stopped acting; the result is false before the first answer
// and after the end of the session.
func (h *Holder) ValidUntil() (time.Duration, bool) {
	return h.validUntil, h.renewedOnce && h.endCause == ""
}
