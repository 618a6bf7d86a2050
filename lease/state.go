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

var opWords = [...]string{"none", "lead", "unseal", "open", "close", "expire", "acquire", "release", "revoke", "free", "report"}

// String is the command in a word.
func (o Op) String() string {
	if int(o) < len(opWords) {
		return opWords[o]
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
	Life    time.Duration `msgpack:"l,omitempty"`
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
	Left   // it said so
	Silent // its life passed
)

// Change is one change of the membership. Seq has no gaps.
type Change struct {
	Seq     uint64     `msgpack:"q"`
	Kind    ChangeKind `msgpack:"k"`
	Session string     `msgpack:"s"`
	Member  Member     `msgpack:"m"`
}

// keptChanges is how many changes a watcher may have missed without being told a whole list.
const keptChanges = 1024

// Session is one process that is there.
type Session struct {
	Life    time.Duration `msgpack:"l"`
	Member  Member        `msgpack:"m"`
	Seq     uint64        `msgpack:"q"` // of its newest ask
	Last    Outcome       `msgpack:"o"` // of that one
	Waits   []string      `msgpack:"w"` // leases it waits for
	Holds   []string      `msgpack:"h"`
	Claimed uint64        `msgpack:"c"` // revision at which its leases last changed
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

	without guard
}

// guard names one of the guards, so that tests can take it out and see that their checks notice.
type guard int

const (
	nothing guard = iota
	termOfCommands
	seqOfAsks
	lifeAfterElection
	leaderConfirmed
	spanFromSending
	driftAndMargin
	revisionOfViews
	stopBeforeRelease
	epochAfterRestore
	sealAfterRestore
	revokedForLife
	endsWithPause
)

// NewState is a state before its first leader.
func NewState() *State {
	return &State{Sessions: map[string]*Session{}, Leases: map[string]*Lease{}}
}

// Given is a lease that a session got.
type Given struct {
	Grant
	Session string
}

// Effect is what a command led to.
type Effect struct {
	Outcome
	Touched []string // sessions whose leases changed
	Given   []Given  // leases that somebody got
	Changes []Change
}

// Apply takes one command of the log in.
func (s *State) Apply(c Command) (e Effect) {
	s.Rev++
	if (c.Op == Unseal || c.Op == Expire || c.Op == Free) && c.Term != s.Term && s.without != termOfCommands {
		e.Status = Stale // its leader counted lives that another one counts anew
		return e
	}
	e.Status = Done
	switch c.Op {
	case Lead:
		s.lead(c)
	case Unseal:
		s.Sealed = false
		for _, name := range sortedKeys(s.Leases) {
			s.give(name, &e)
		}
	case Open:
		s.open(c, &e)
	case Close, Expire:
		s.end(c, &e)
	case Acquire, Release, Report:
		s.ask(c, &e)
	case Revoke:
		l := s.Leases[c.Name]
		switch {
		case l == nil || l.Holder == "":
			e.Status = Unknown
		case c.Token != 0 && c.Token != l.Token:
			e.Status = Stale
		default:
			l.Revoked, e.Token = true, l.Token
			s.touch(l.Holder, &e)
		}
	case Free:
		l := s.Leases[c.Name]
		if l == nil || !l.Revoked || l.Token != c.Token {
			e.Status = Stale
			break
		}
		s.free(c.Name, &e)
	}
	return e
}

// lead begins a term. A group that never had a leader, or is out of a backup, takes an epoch above all before:
// whatever tokens were given that it doesn't know of are lower than its own.
func (s *State) lead(c Command) {
	s.Term = max(s.Term, c.Term)
	if s.Epoch != 0 && !s.Restored {
		return
	}
	if s.without != epochAfterRestore {
		s.Epoch = max(s.Epoch+1, c.Epoch)
		s.Token = max(s.Token, uint64(s.Epoch)<<32)
	}
	s.Restored, s.Sealed = false, s.without != sealAfterRestore
}

func (s *State) open(c Command, e *Effect) {
	if have := s.Sessions[c.Session]; have != nil {
		return // asked again, since the answer was lost
	}
	if c.Bounds.Sessions > 0 && len(s.Sessions) >= c.Bounds.Sessions {
		e.Status = Full
		return
	}
	s.Sessions[c.Session] = &Session{Life: c.Life, Member: c.Member}
	s.change(Joined, c.Session, c.Member, e)
}

// end frees all that a session holds and takes it out of every queue.
func (s *State) end(c Command, e *Effect) {
	who := s.Sessions[c.Session]
	if who == nil {
		e.Status = Unknown
		return
	}
	for _, name := range slices.Clone(who.Waits) {
		s.leave(name, c.Session)
	}
	for _, name := range slices.Clone(who.Holds) {
		s.free(name, e)
	}
	delete(s.Sessions, c.Session)
	kind := Silent
	if c.Op == Close {
		kind = Left
	}
	s.change(kind, c.Session, who.Member, e)
	e.Touched = append(e.Touched, c.Session)
}

// ask takes in what a session says in order. An ask that came before is answered as it was, without effect.
func (s *State) ask(c Command, e *Effect) {
	who := s.Sessions[c.Session]
	switch {
	case who == nil:
		e.Status = Unknown
		return
	case c.Seq == who.Seq && s.without != seqOfAsks:
		e.Outcome = who.Last
		return
	case c.Seq < who.Seq && s.without != seqOfAsks:
		e.Status = Stale
		return
	}
	switch c.Op {
	case Acquire:
		s.acquire(c, who, e)
	case Release:
		l := s.Leases[c.Name]
		switch {
		case l == nil:
			e.Status = Unknown
		case l.Holder == c.Session && l.Token == c.Token:
			s.free(c.Name, e)
		case slices.Contains(l.Waiters, c.Session):
			s.leave(c.Name, c.Session)
		default:
			e.Status = Stale
		}
	case Report:
		if who.Member != c.Member {
			who.Member = c.Member
			s.change(Changed, c.Session, c.Member, e)
		}
	}
	if e.Status != Full { // that one is asked again under its number
		who.Seq, who.Last = c.Seq, e.Outcome
	}
}

func (s *State) acquire(c Command, who *Session, e *Effect) {
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
		who.Waits = append(who.Waits, c.Name)
	}
	s.give(c.Name, e)
	if l.Holder == c.Session && !l.Revoked {
		e.Outcome = Outcome{Status: Held, Token: l.Token}
		return
	}
	e.Outcome = Outcome{Status: Waiting, Place: slices.Index(l.Waiters, c.Session)}
}

// give gives a lease that nobody holds to the first who waits, under a new token; one that nobody wants either
// is forgotten.
func (s *State) give(name string, e *Effect) {
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
	s.leave(name, next)
	s.Sessions[next].Holds = append(s.Sessions[next].Holds, name)
	e.Given = append(e.Given, Given{Grant{name, s.Token}, next})
	s.touch(next, e)
}

func (s *State) free(name string, e *Effect) {
	l := s.Leases[name]
	if who := s.Sessions[l.Holder]; who != nil {
		who.Holds = without(who.Holds, name)
		s.touch(l.Holder, e)
	}
	l.Holder, l.Revoked = "", false
	s.give(name, e)
}

// leave takes a session out of a lease's queue.
func (s *State) leave(name, session string) {
	l := s.Leases[name]
	l.Waiters = without(l.Waiters, session)
	s.Sessions[session].Waits = without(s.Sessions[session].Waits, name)
	if l.Holder == "" && len(l.Waiters) == 0 {
		delete(s.Leases, name)
	}
}

func (s *State) touch(session string, e *Effect) {
	s.Sessions[session].Claimed = s.Rev
	e.Touched = append(e.Touched, session)
}

func (s *State) change(kind ChangeKind, session string, m Member, e *Effect) {
	s.Seq++
	c := Change{Seq: s.Seq, Kind: kind, Session: session, Member: m}
	e.Changes = append(e.Changes, c)
	if s.Changes = append(s.Changes, c); len(s.Changes) > keptChanges {
		s.Changes = append(s.Changes[:0], s.Changes[len(s.Changes)-keptChanges:]...)
	}
}

// Missed are the changes after one; ok is false where they are not kept any more, or were never made, and the
// watcher has to be told a whole list.
func (s *State) Missed(after uint64) (missed []Change, ok bool) {
	if after > s.Seq || s.Seq-after > uint64(len(s.Changes)) {
		return nil, false
	}
	return slices.Clone(s.Changes[len(s.Changes)-int(s.Seq-after):]), true
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
func (s *State) View(session string) (v View, ok bool) {
	who := s.Sessions[session]
	v.Rev = s.Rev
	if who == nil {
		return v, false
	}
	for _, name := range who.Holds {
		if l := s.Leases[name]; !l.Revoked {
			v.Held = append(v.Held, Grant{name, l.Token})
		}
	}
	for _, name := range who.Waits {
		v.Places = append(v.Places, Place{name, slices.Index(s.Leases[name].Waiters, session)})
	}
	return v, true
}

func without(list []string, one string) []string {
	i := slices.Index(list, one)
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
