// Package lease decides which process of a fleet may act alone. It has three parts, all without I/O, clock or
// goroutine: State is what the coordinators' replicated log builds (sessions, leases, who waits, who is there);
// Watch is the leader's count of lives, which no log holds; Holder is the other side, what one process may do and
// until when.
//
// Times are readings of a monotonic clock, as durations since a moment of the reader's own choice. No two clocks
// are ever compared: only spans are, and the rates of two clocks are taken to differ by at most Drift.
package lease

import (
	"slices"
	"time"
)

// Op says what a command does.
type Op uint8

// The commands. Those marked with (term) are the leader's own, and count only while its term lasts.
const (
	Lead    Op = iota + 1 // (term) a leader takes office
	Unseal                // (term) nobody who was given a lease before the state was lost can still act
	Open                  // a session begins
	Close                 // it ends, told by its process, which has stopped acting
	Expire                // (term) it ends, since its life has passed
	Acquire               // a session wants a lease
	Release               // it wants it no more, and has stopped acting
	Revoke                // an operator takes a lease away
	Free                  // (term) whoever held a revoked lease can't act under it any more
	Report                // a session tells how its member is
)

var opNames = [...]string{"none", "lead", "unseal", "open", "close", "expire", "acquire", "release", "revoke", "free", "report"}

// String is the command in a word.
func (o Op) String() string {
	if int(o) < len(opNames) {
		return opNames[o]
	}
	return "unknown"
}

// Member is who a session stands for.
type Member struct {
	Kind    string `msgpack:"k"` // gateway, agent, task, ...
	Name    string `msgpack:"n"`
	Site    string `msgpack:"s"`
	Address string `msgpack:"a"`
	Version string `msgpack:"v"`
	State   string `msgpack:"t"`
}

// Command is one entry of the log.
type Command struct {
	Op      Op            `msgpack:"o"`
	Term    uint64        `msgpack:"t,omitempty"`
	Epoch   uint32        `msgpack:"e,omitempty"` // Lead: of tokens, where a new one is due
	Session string        `msgpack:"s,omitempty"`
	Seq     uint64        `msgpack:"q,omitempty"` // of the session's asks: rises, so that one that comes late or twice is known
	TTL     time.Duration `msgpack:"l,omitempty"`
	Member  Member        `msgpack:"m,omitempty"`
	Name    string        `msgpack:"n,omitempty"`
	Token   uint64        `msgpack:"k,omitempty"`
	By      string        `msgpack:"b,omitempty"` // Revoke: who asked, for the log
	Bounds  Bounds        `msgpack:"x,omitempty"` // in force at the leader, and so the same for all who apply this
}

// Bounds are the most that a group keeps.
type Bounds struct {
	Sessions int `msgpack:"s,omitempty"`
	Leases   int `msgpack:"l,omitempty"`
	Waiters  int `msgpack:"w,omitempty"` // for one lease
}

// Status is what became of an ask.
type Status uint8

// What may become of an ask.
const (
	Done    Status = iota + 1
	Held           // the lease is the session's, with Token
	Waiting        // Place others are before it
	Unknown        // there is no such session (any more), or no such lease
	Stale          // an ask out of the past, or for a token that is not in force
	Full           // a bound is reached: come back later
)

// Outcome is what an ask comes to.
type Outcome struct {
	Status Status `msgpack:"s"`
	Token  uint64 `msgpack:"k,omitempty"`
	Place  int    `msgpack:"p,omitempty"`
}

// ChangeKind says what happened to a member.
type ChangeKind uint8

// What may happen to a member.
const (
	Joined ChangeKind = iota + 1
	Changed
	Left    // it said so
	Expired // its life passed
)

// Change is one change of the membership. Seq has no gaps.
type Change struct {
	Seq     uint64     `msgpack:"q"`
	Kind    ChangeKind `msgpack:"k"`
	Session string     `msgpack:"s"`
	Member  Member     `msgpack:"m"`
}

// retainedChanges is how many changes a watcher may have missed without being told a whole list.
const retainedChanges = 1024

// Session is one process that is there.
type Session struct {
	TTL       time.Duration `msgpack:"l"`
	Member    Member        `msgpack:"m"`
	Seq       uint64        `msgpack:"q"` // of its newest ask
	Last      Outcome       `msgpack:"o"` // of that one
	Waits     []string      `msgpack:"w"` // leases it waits for
	Holds     []string      `msgpack:"h"`
	LeasesRev uint64        `msgpack:"c"` // revision at which its leases last changed
}

// Lease is one name that a session holds or waits for. One that nobody does is not kept: tokens are of the whole
// group, so nothing of it needs to be remembered.
type Lease struct {
	Holder  string   `msgpack:"h"` // session; empty: nobody yet
	Token   uint64   `msgpack:"k"`
	Revoked bool     `msgpack:"r"`
	Waiters []string `msgpack:"w"` // sessions, the next one first
}

// State is what the log builds. The same commands in the same order build the same state everywhere.
type State struct {
	Term     uint64              `msgpack:"t"`
	Epoch    uint32              `msgpack:"e"`
	Token    uint64              `msgpack:"k"` // the highest given
	Sealed   bool                `msgpack:"x"` // nothing is given: holders that this state never knew may be at work
	Restored bool                `msgpack:"r"` // out of a backup, and no leader has been in office since
	Rev      uint64              `msgpack:"v"` // rises with each command
	Sessions map[string]*Session `msgpack:"s"`
	Leases   map[string]*Lease   `msgpack:"l"`
	Seq      uint64              `msgpack:"q"` // of the newest change
	Changes  []Change            `msgpack:"c"`

	disabledGuard guard
}

// guard names one of the guards, so that tests can take it out and see that their checks notice.
type guard int

const (
	guardNone guard = iota
	guardCommandTerm
	guardRequestOrder
	guardTTLAfterElection
	guardLeaderConfirmed
	guardValidityFromSend
	guardDriftAndMargin
	guardViewRevision
	guardStopBeforeRelease
	guardEpochAfterRestore
	guardSealAfterRestore
	guardRevocationWait
	guardEndOnPause
)

// NewState is a state before its first leader.
func NewState() *State {
	return &State{Sessions: map[string]*Session{}, Leases: map[string]*Lease{}}
}

// SessionGrant is a lease that a session got.
type SessionGrant struct {
	Grant
	Session string
}

// Effect is what a command led to.
type Effect struct {
	Outcome
	AffectedSessions []string       // sessions whose leases changed
	Granted          []SessionGrant // leases that somebody got
	Changes          []Change
}

// Apply takes one command of the log in.
func (s *State) Apply(c Command) (e Effect) {
	s.Rev++
	if (c.Op == Unseal || c.Op == Expire || c.Op == Free) && c.Term != s.Term && s.disabledGuard != guardCommandTerm {
		e.Status = Stale // its leader counted lives that another one counts anew
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

// startTerm begins a term. A group that never had a leader, or is out of a backup, takes an epoch above all before:
// whatever tokens were given that it doesn't know of are lower than its own.
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
		return // asked again, since the answer was lost
	}
	if c.Bounds.Sessions > 0 && len(s.Sessions) >= c.Bounds.Sessions {
		e.Status = Full
		return
	}
	s.Sessions[c.Session] = &Session{TTL: c.TTL, Member: c.Member}
	s.recordChange(Joined, c.Session, c.Member, e)
}

// endSession frees all that a session holds and takes it out of every queue.
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

// handleRequest takes in what a session says in order. An handleRequest that came before is answered as it was, without effect.
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
	if e.Status != Full { // that one is asked again under its number
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

// grant gives a lease that nobody holds to the first who waits, under a new token; one that nobody wants either
// is forgotten.
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

// dequeue takes a session out of a lease's queue.
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

// ChangesSince are the changes after one; ok is false where they are not kept any more, or were never made, and the
// watcher has to be told a whole list.
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

// View is what a session is told of itself. Of two the one with the higher revision is the newer.
type View struct {
	Rev    uint64
	Held   []Grant // revoked ones are left out
	Places []Place
}

// Place is where a session stands in a queue.
type Place struct {
	Name   string
	Before int // others, the holder not counted
}

// View tells a session what it holds. ok is false when there is no such session.
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
