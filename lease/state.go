// Package lease is the state machine of leases, which decides which process of a fleet may act alone: the holder of a
// lease. It does no I/O, reads no clock and starts no goroutine.
//
// State is what the coordinators build from their replicated log: sessions, leases, queues and membership.
// ExpiryTracker holds the leader's expiry times, which are not in the log. Holder is the side of the process that
// uses the leases: what it may do, and until when.
//
// Times are readings of a monotonic clock, as durations since an origin that its reader chooses. Readings of
// different clocks are never compared, only durations are, and the rate of each clock is assumed to be off by at
// most Timing.Drift.
package lease

import (
	"slices"
	"time"
)

// Op is the operation of a command.
type Op uint8

// The operations. Those marked (term) are proposed by the leader itself and take effect only during its term.
const (
	Lead    Op = iota + 1 // (term) a leader starts its term
	Unseal                // (term) leases are granted again: no earlier holder that the state does not know can still act
	Open                  // a session is opened
	Close                 // a session is closed by its process, which has stopped acting
	Expire                // (term) a session is ended, since its TTL has passed
	Acquire               // a session requests a lease
	Release               // a session gives up a lease or its place in the queue, and has stopped acting
	Revoke                // an operator withdraws a lease from its holder
	Free                  // (term) a revoked lease is taken from its holder, which can no longer act under it
	Report                // a session reports the current description of its member
)

var opNames = [...]string{"none", "lead", "unseal", "open", "close", "expire", "acquire",
	"release", "revoke", "free", "report"}

// String returns the name of the operation.
func (o Op) String() string {
	if int(o) < len(opNames) {
		return opNames[o]
	}
	return "unknown"
}

// Member describes the process that a session belongs to.
type Member struct {
	Kind    string `msgpack:"k"` // gateway, agent, task, ...
	Name    string `msgpack:"n"`
	Site    string `msgpack:"s"`
	Address string `msgpack:"a"`
	Version string `msgpack:"v"`
	State   string `msgpack:"t"`
}

// Command is one command in the replicated log.
type Command struct {
	Op      Op            `msgpack:"o"`
	Term    uint64        `msgpack:"t,omitempty"`
	Epoch   uint32        `msgpack:"e,omitempty"` // Lead: epoch of the tokens, where a new one is needed
	Session string        `msgpack:"s,omitempty"`
	Seq     uint64        `msgpack:"q,omitempty"` // number of the session's request; increases, to detect late and repeated ones
	TTL     time.Duration `msgpack:"l,omitempty"`
	Member  Member        `msgpack:"m,omitempty"`
	Name    string        `msgpack:"n,omitempty"`
	Token   uint64        `msgpack:"k,omitempty"`
	By      string        `msgpack:"b,omitempty"` // Revoke: who requested it, for the coordinators' log lines
	Bounds  Bounds        `msgpack:"x,omitempty"` // in force at the leader, so that every replica applies the same
}

// Bounds are the limits of a group of coordinators. A bound of 0 sets no limit.
type Bounds struct {
	Sessions int `msgpack:"s,omitempty"`
	Leases   int `msgpack:"l,omitempty"`
	Waiters  int `msgpack:"w,omitempty"` // per lease
}

// Status is the result of a request.
type Status uint8

// The results of a request.
const (
	Done    Status = iota + 1
	Held           // the session holds the lease, under Token
	Waiting        // Place other sessions are ahead in the queue
	Unknown        // there is no such session (any more), or no such lease
	Stale          // the request is out of date, or names a token that is not in force
	Full           // a limit is reached; retry later
)

// Outcome is the answer to a request.
type Outcome struct {
	Status Status `msgpack:"s"`
	Token  uint64 `msgpack:"k,omitempty"`
	Place  int    `msgpack:"p,omitempty"`
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	Joined ChangeKind = iota + 1
	Changed
	Left    // its process closed the session
	Expired // its session's TTL passed
)

// Change is one membership change. Seq increases by one from each change to the next.
type Change struct {
	Seq     uint64     `msgpack:"q"`
	Kind    ChangeKind `msgpack:"k"`
	Session string     `msgpack:"s"`
	Member  Member     `msgpack:"m"`
}

// retainedChanges is how many changes a watcher may miss and still catch up without the complete list.
const retainedChanges = 1024

// Session is an open session of one process.
type Session struct {
	TTL       time.Duration `msgpack:"l"`
	Member    Member        `msgpack:"m"`
	Seq       uint64        `msgpack:"q"` // of its latest request
	Last      Outcome       `msgpack:"o"` // outcome of that request
	Waits     []string      `msgpack:"w"` // leases it is queued for
	Holds     []string      `msgpack:"h"`
	LeasesRev uint64        `msgpack:"c"` // revision at which its leases last changed
}

// Lease is a named lease that a session holds or waits for. A lease with neither holder nor waiters is deleted:
// tokens are numbered across the whole group, so nothing about it needs to be remembered.
type Lease struct {
	Holder  string   `msgpack:"h"` // session; empty: none yet
	Token   uint64   `msgpack:"k"`
	Revoked bool     `msgpack:"r"`
	Waiters []string `msgpack:"w"` // sessions, in queue order
}

// State is built from the replicated log. The same commands in the same order build the same state on every replica.
type State struct {
	Term     uint64              `msgpack:"t"`
	Epoch    uint32              `msgpack:"e"` // the high 32 bits of the tokens that are granted
	Token    uint64              `msgpack:"k"` // the highest granted fencing token; an epoch starts at Epoch<<32
	Sealed   bool                `msgpack:"x"` // no lease is granted: holders that this state does not know of may still act
	Restored bool                `msgpack:"r"` // restored from a backup, and no leader has started a term since
	Rev      uint64              `msgpack:"v"` // increases with each command
	Sessions map[string]*Session `msgpack:"s"`
	Leases   map[string]*Lease   `msgpack:"l"`
	Seq      uint64              `msgpack:"q"` // of the latest change
	Changes  []Change            `msgpack:"c"`

	disabledGuard guard
}

// guard identifies one of the safety rules, so that tests can disable it and verify that their checks notice.
type guard int

const (
	guardNone              guard = iota // no rule: nothing is disabled
	guardCommandTerm                    // a leader's own commands take effect only during its term
	guardRequestOrder                   // a late or repeated request of a session has no effect
	guardTTLAfterElection               // a new leader waits for each session's whole TTL, from the start of its term
	guardLeaderConfirmed                // a leader answers a renewal only once it has confirmed that it leads (in the coordinators)
	guardValidityFromSend               // validity counts from the sending of a renewal, not from its answer
	guardDriftAndMargin                 // validity is the TTL less clock drift and margin
	guardViewRevision                   // a view older than the latest one received has no effect
	guardStopBeforeRelease              // a holder stops acting before it requests the release
	guardEpochAfterRestore              // a group that is new or restored from a backup starts a new epoch
	guardSealAfterRestore               // such a group grants no lease until Unseal
	guardRevocationWait                 // a revoked lease is freed only after its holder's TTL
	guardEndOnPause                     // a pause of the process or a jump of the clock ends the session
)

// NewState returns the state of a group that has not had a leader yet.
func NewState() *State {
	return &State{Sessions: map[string]*Session{}, Leases: map[string]*Lease{}}
}

// SessionGrant is a lease granted to a session.
type SessionGrant struct {
	Grant
	Session string
}

// Effect is the result of applying a command.
type Effect struct {
	Outcome
	AffectedSessions []string       // sessions whose leases changed, or that ended
	Granted          []SessionGrant // leases that were granted
	Changes          []Change
}

// Apply applies one command of the log.
func (s *State) Apply(c Command) (e Effect) {
	s.Rev++
	if (c.Op == Unseal || c.Op == Expire || c.Op == Free) && c.Term != s.Term && s.disabledGuard != guardCommandTerm {
		e.Status = Stale // proposed in another term; each leader measures the TTLs anew
		return e
	}
	e.Status = Done
	switch c.Op {
	case Lead:
		s.startTerm(c)
	case Unseal:
		s.Sealed = false
		for _, name := range sortedKeys(s.Leases) {
			s.grant(name, &e)
		}
	case Open:
		s.openSession(c, &e)
	case Close, Expire:
		s.endSession(c, &e)
	case Acquire, Release, Report:
		s.handleRequest(c, &e)
	case Revoke:
		l := s.Leases[c.Name]
		switch {
		case l == nil || l.Holder == "":
			e.Status = Unknown
		case c.Token != 0 && c.Token != l.Token:
			e.Status = Stale
		default:
			l.Revoked, e.Token = true, l.Token
			s.markAffected(l.Holder, &e)
		}
	case Free:
		l := s.Leases[c.Name]
		if l == nil || !l.Revoked || l.Token != c.Token {
			e.Status = Stale
			break
		}
		s.freeLease(c.Name, &e)
	}
	return e
}

// startTerm starts a leader's term. A group that never had a leader, or was restored from a backup, starts an epoch
// above all earlier ones: any granted token that this state does not know of is then lower than those it grants.
func (s *State) startTerm(c Command) {
	s.Term = max(s.Term, c.Term)
	if s.Epoch != 0 && !s.Restored {
		return
	}
	if s.disabledGuard != guardEpochAfterRestore {
		s.Epoch = max(s.Epoch+1, c.Epoch)
		s.Token = max(s.Token, uint64(s.Epoch)<<32)
	}
	s.Restored, s.Sealed = false, s.disabledGuard != guardSealAfterRestore
}

func (s *State) openSession(c Command, e *Effect) {
	if existing := s.Sessions[c.Session]; existing != nil {
		return // repeated because the answer was lost
	}
	if c.Bounds.Sessions > 0 && len(s.Sessions) >= c.Bounds.Sessions {
		e.Status = Full
		return
	}
	s.Sessions[c.Session] = &Session{TTL: c.TTL, Member: c.Member}
	s.recordChange(Joined, c.Session, c.Member, e)
}

// endSession frees the leases that a session holds and removes it from every queue.
func (s *State) endSession(c Command, e *Effect) {
	session := s.Sessions[c.Session]
	if session == nil {
		e.Status = Unknown
		return
	}
	for _, name := range slices.Clone(session.Waits) {
		s.dequeue(name, c.Session)
	}
	for _, name := range slices.Clone(session.Holds) {
		s.freeLease(name, e)
	}
	delete(s.Sessions, c.Session)
	kind := Expired
	if c.Op == Close {
		kind = Left
	}
	s.recordChange(kind, c.Session, session.Member, e)
	e.AffectedSessions = append(e.AffectedSessions, c.Session)
}

// handleRequest handles a numbered request of a session. A repetition of the latest request gets the same outcome
// again, without effect.
func (s *State) handleRequest(c Command, e *Effect) {
	session := s.Sessions[c.Session]
	switch {
	case session == nil:
		e.Status = Unknown
		return
	case c.Seq == session.Seq && s.disabledGuard != guardRequestOrder:
		e.Outcome = session.Last
		return
	case c.Seq < session.Seq && s.disabledGuard != guardRequestOrder:
		e.Status = Stale
		return
	}
	switch c.Op {
	case Acquire:
		s.acquire(c, session, e)
	case Release:
		l := s.Leases[c.Name]
		switch {
		case l == nil:
			e.Status = Unknown
		case l.Holder == c.Session && l.Token == c.Token:
			s.freeLease(c.Name, e)
		case slices.Contains(l.Waiters, c.Session):
			s.dequeue(c.Name, c.Session)
		default:
			e.Status = Stale
		}
	case Report:
		if session.Member != c.Member {
			session.Member = c.Member
			s.recordChange(Changed, c.Session, c.Member, e)
		}
	}
	if e.Status != Full { // that request is retried under the same number
		session.Seq, session.Last = c.Seq, e.Outcome
	}
}

func (s *State) acquire(c Command, session *Session, e *Effect) {
	l := s.Leases[c.Name]
	switch {
	case l == nil && c.Bounds.Leases > 0 && len(s.Leases) >= c.Bounds.Leases:
		e.Status = Full
		return
	case l == nil:
		l = &Lease{}
		s.Leases[c.Name] = l
	}
	if l.Holder == c.Session && !l.Revoked {
		e.Outcome = Outcome{Status: Held, Token: l.Token}
		return
	}
	if !slices.Contains(l.Waiters, c.Session) {
		if c.Bounds.Waiters > 0 && len(l.Waiters) >= c.Bounds.Waiters {
			e.Status = Full
			return
		}
		l.Waiters = append(l.Waiters, c.Session)
		session.Waits = append(session.Waits, c.Name)
	}
	s.grant(c.Name, e)
	if l.Holder == c.Session && !l.Revoked {
		e.Outcome = Outcome{Status: Held, Token: l.Token}
		return
	}
	e.Outcome = Outcome{Status: Waiting, Place: slices.Index(l.Waiters, c.Session)}
}

// grant grants a lease that has no holder to the first waiter, under a new token. A lease that has no waiters either
// is deleted.
func (s *State) grant(name string, e *Effect) {
	l := s.Leases[name]
	if l == nil || l.Holder != "" {
		return
	}
	if len(l.Waiters) == 0 {
		delete(s.Leases, name)
		return
	}
	if s.Sealed {
		return
	}
	next := l.Waiters[0]
	s.Token++
	l.Holder, l.Token, l.Revoked = next, s.Token, false
	s.dequeue(name, next)
	s.Sessions[next].Holds = append(s.Sessions[next].Holds, name)
	e.Granted = append(e.Granted, SessionGrant{Grant{name, s.Token}, next})
	s.markAffected(next, e)
}

func (s *State) freeLease(name string, e *Effect) {
	l := s.Leases[name]
	if holder := s.Sessions[l.Holder]; holder != nil {
		holder.Holds = remove(holder.Holds, name)
		s.markAffected(l.Holder, e)
	}
	l.Holder, l.Revoked = "", false
	s.grant(name, e)
}

// dequeue removes a session from a lease's queue, and deletes the lease if it then has neither holder nor waiters.
func (s *State) dequeue(name, session string) {
	l := s.Leases[name]
	l.Waiters = remove(l.Waiters, session)
	s.Sessions[session].Waits = remove(s.Sessions[session].Waits, name)
	if l.Holder == "" && len(l.Waiters) == 0 {
		delete(s.Leases, name)
	}
}

func (s *State) markAffected(session string, e *Effect) {
	s.Sessions[session].LeasesRev = s.Rev
	e.AffectedSessions = append(e.AffectedSessions, session)
}

func (s *State) recordChange(kind ChangeKind, session string, m Member, e *Effect) {
	s.Seq++
	c := Change{Seq: s.Seq, Kind: kind, Session: session, Member: m}
	e.Changes = append(e.Changes, c)
	if s.Changes = append(s.Changes, c); len(s.Changes) > retainedChanges {
		s.Changes = append(s.Changes[:0], s.Changes[len(s.Changes)-retainedChanges:]...)
	}
}

// ChangesSince returns the changes after the one numbered seq. ok is false if some of them are no longer retained, or
// if seq is higher than the latest change; the watcher then needs the complete list.
func (s *State) ChangesSince(seq uint64) (changes []Change, ok bool) {
	if seq > s.Seq || s.Seq-seq > uint64(len(s.Changes)) {
		return nil, false
	}
	return slices.Clone(s.Changes[len(s.Changes)-int(s.Seq-seq):]), true
}

// Grant is a lease that a session holds.
type Grant struct {
	Name  string
	Token uint64
}

// View lists the leases and queue positions of a session. Of two views, the one with the higher revision is newer.
type View struct {
	Rev    uint64
	Held   []Grant // without revoked ones
	Places []Place
}

// Place is the position of a session in a lease's queue.
type Place struct {
	Name   string
	Before int // sessions ahead of it, not counting the holder
}

// View returns the view of a session. ok is false if there is no such session.
func (s *State) View(id string) (v View, ok bool) {
	session := s.Sessions[id]
	v.Rev = s.Rev
	if session == nil {
		return v, false
	}
	for _, name := range session.Holds {
		if l := s.Leases[name]; !l.Revoked {
			v.Held = append(v.Held, Grant{name, l.Token})
		}
	}
	for _, name := range session.Waits {
		v.Places = append(v.Places, Place{name, slices.Index(s.Leases[name].Waiters, id)})
	}
	return v, true
}

func remove(list []string, item string) []string {
	i := slices.Index(list, item)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
