// Package versions decides on the life of configuration versions: which offered one is checked, staged, saved
// and put in force, which is turned down and why, and which stays in force meanwhile. It owns the order of
// versions, the last good one, the pin and the history. It never reads a configuration, does no I/O, reads no
// clock and starts no goroutine: events in, actions out, like a raft node.
//
// One version at a time is on its way: Check, Stage, Save, Apply, Answer. It is saved before it is in force
// and answered after, so that a gateway that dies at any moment starts on the last one that it acknowledged,
// or a newer one. What can still fail fails before Apply, which can't.
package versions

import (
	"fmt"
	"strings"
)

// Seconds is a time, on a clock whose start means nothing.
type Seconds = float64

// Offer is one version as a source offers it.
type Offer struct {
	Source   int    // which control service, by its place in the bootstrap; FromOperator or FromDisk
	Nonce    string // returned with the answer
	Number   int64  // from 1, rising
	Digest   uint64 // of the content: a number stands for one content only
	Rollback bool   // it may take the place of a newer one
}

// Sources that are no control service.
const (
	FromOperator = -1 // an API call
	FromDisk     = -2 // the snapshot, or the file: version 0
)

// State is how far a version has come.
type State int

// The states of a version.
const (
	Offered State = iota
	Checking
	Staging
	Saving
	Applying
	InForce
	Rejected
	Superseded // a newer one came, or took its place
)

func (s State) String() string {
	return [...]string{"offered", "checking", "staging", "saving", "applying", "in force", "turned down", "superseded"}[s]
}

// Event is something that a Life is told.
type Event interface{ event() }

// The events. Each Check, Stage, Save and Apply gets one Done.
type (
	// Offer is one, too.

	// Done is the end of the step that is under way.
	Done struct {
		Number  int64
		Digest  uint64
		Faults  []string // none: it went well
		Waiting bool     // of Check: the faults may go away by themselves, with the roster
	}

	// Roster tells that the list of servers changed: what waited for it is looked at again.
	Roster struct{}

	// Pin keeps the version in force, whatever is offered; Unpin ends that.
	Pin   struct{}
	Unpin struct{}
)

// Action is something that a Life wants done.
type Action interface{ action() }

// The actions.
type (
	// Check reads a version's content and says all that is wrong with it.
	Check struct{ Offer }

	// Stage builds what the version needs, beside what is in force.
	Stage struct{ Offer }

	// Save writes the version where a start finds it.
	Save struct{ Offer }

	// Apply puts the staged version in force.
	Apply struct{ Offer }

	// Drop lets go of what was kept of a version's content.
	Drop struct{ Offer }

	// Answer acknowledges a version, or turns it down with a reason.
	Answer struct {
		Offer
		Reason string // empty: acknowledged
	}
)

func (Offer) event()  {}
func (Done) event()   {}
func (Roster) event() {}
func (Pin) event()    {}
func (Unpin) event()  {}

func (Check) action()  {}
func (Stage) action()  {}
func (Save) action()   {}
func (Apply) action()  {}
func (Drop) action()   {}
func (Answer) action() {}

// Entry is a line of the history.
type Entry struct {
	Offer
	State  State
	Reason string
	At     Seconds // of its last change
}

const (
	historyMost = 64
	reasonMost  = 2000 // bytes of a reason
)

// Lifecycle is the life of all versions at one gateway. It is not safe for concurrent use.
type Lifecycle struct {
	saves bool // versions are saved; without a disk they are not

	now     Seconds
	out     []Action
	force   Offer   // in force; Number 0: the file
	since   Seconds // from when
	highest int64   // ever in force: only a rollback goes below it
	pinned  bool

	step    State // of current: Checking to Applying; Offered: nothing is on its way
	current Offer
	next    *Offer // the newest that waits for current to end
	waiting *Offer // turned down for the roster's sake
	held    *Offer // the newest that was offered against the pin
	history []Entry
	down    Entry // the last that was turned down
}

// New makes a Life in which a version is in force already: the file's (number 0) or the snapshot's.
func New(now Seconds, force Offer, saves bool) *Lifecycle {
	l := &Lifecycle{saves: saves, force: force, since: now, highest: force.Number}
	l.note(now, force, InForce, "")
	return l
}

// Handle takes one event in and appends the actions it calls for.
func (l *Lifecycle) Handle(now Seconds, ev Event, actions []Action) []Action {
	l.now, l.out = now, actions
	switch e := ev.(type) {
	case Offer:
		l.offered(e)
	case Done:
		l.done(e)
	case Roster:
		if w := l.waiting; w != nil {
			l.waiting = nil
			l.offered(*w)
		}
	case Pin:
		l.pinned = true
	case Unpin:
		l.pinned = false
		if h := l.held; h != nil {
			l.held = nil
			l.offered(*h)
		}
	}
	return l.out
}

func (l *Lifecycle) do(a Action) { l.out = append(l.out, a) }

// offered decides whether a version is looked at at all. Every offer gets an answer, now or when its turn ends.
func (l *Lifecycle) offered(o Offer) {
	switch reason := l.against(o); {
	case same(o, l.force):
		l.do(Answer{o, ""}) // in force already: a source that asks again is told so
	case reason != "":
		l.turnDown(o, reason, false)
	case l.pinned:
		if l.held == nil || newer(o, *l.held) {
			l.held = &o
		}
		l.turnDown(o, fmt.Sprintf("version %d is pinned by an operator", l.force.Number), true)
	case l.step == Offered:
		l.begin(o)
	case same(o, l.current):
		// Danger: two control services, or one that lost the stream, with the same version. It is answered twice,
		// but looked at once.
		l.queue(o)
	case l.next != nil && !newer(o, *l.next):
		l.turnDown(o, fmt.Sprintf("superseded by version %d", l.next.Number), false)
	default:
		l.queue(o)
	}
}

// against says what speaks against an offer by its number alone.
func (l *Lifecycle) against(o Offer) string {
	known := func(k Offer) bool { return k.Number == o.Number && k.Digest != o.Digest }
	switch {
	case o.Number <= 0:
		return fmt.Sprintf("version number %d: numbers start at 1", o.Number)
	case known(l.force), l.step != Offered && known(l.current), l.next != nil && known(*l.next):
		return fmt.Sprintf("version %d was offered before with other content", o.Number)
	case o.Number <= l.highest && !o.Rollback:
		return fmt.Sprintf("version %d is no newer than %d, which was in force, and is not marked as a rollback", o.Number, l.highest)
	}
	return ""
}

func same(a, b Offer) bool { return a.Number == b.Number && a.Digest == b.Digest && a.Number > 0 }

// newer tells whether an offer goes before another that waits. A rollback is a decision of its own: the last counts.
func newer(a, b Offer) bool { return a.Rollback || a.Number > b.Number }

// queue puts an offer behind the one that is on its way. What waited there is superseded.
func (l *Lifecycle) queue(o Offer) {
	if n := l.next; n != nil {
		if same(*n, o) {
			l.do(Answer{*n, fmt.Sprintf("version %d was offered again", n.Number)})
		} else {
			l.supersede(*n, o)
		}
	}
	l.next = &o
	l.note(l.now, o, Offered, "")
}

func (l *Lifecycle) supersede(o, by Offer) {
	reason := fmt.Sprintf("superseded by version %d", by.Number)
	l.note(l.now, o, Superseded, reason)
	l.do(Drop{o})
	l.do(Answer{o, reason})
}

func (l *Lifecycle) begin(o Offer) {
	l.current, l.waiting = o, nil
	l.to(Checking)
	l.do(Check{o})
}

func (l *Lifecycle) to(s State) {
	l.step = s
	l.note(l.now, l.current, s, "")
}

// done goes on to the next step. A step that was not asked for, or of another version, is passed over.
func (l *Lifecycle) done(e Done) {
	o := l.current
	if l.step == Offered || e.Number != o.Number || e.Digest != o.Digest {
		return
	}
	if l.step < Saving && (l.next != nil && !same(*l.next, o) || l.pinned) {
		// A newer one waits, or the operator stepped in: this one need not be finished.
		l.step = Offered
		if l.pinned {
			l.held = &o
			l.turnDown(o, fmt.Sprintf("version %d is pinned by an operator", l.force.Number), true)
		} else {
			l.supersede(o, *l.next)
		}
		l.follow()
		return
	}
	if len(e.Faults) > 0 {
		if l.step == Checking && e.Waiting {
			l.waiting = &o
		}
		keep := l.waiting != nil
		l.step = Offered
		l.turnDown(o, strings.Join(e.Faults, "; "), keep)
		l.follow()
		return
	}
	switch l.step {
	case Checking:
		l.to(Staging)
		l.do(Stage{o})
	case Staging:
		if l.saves {
			l.to(Saving)
			l.do(Save{o})
			return
		}
		l.apply()
	case Saving:
		l.apply()
	case Applying:
		l.step = Offered
		if l.force.Number > 0 {
			l.note(l.now, l.force, Superseded, fmt.Sprintf("version %d took its place", o.Number))
			l.do(Drop{l.force})
		}
		l.force, l.since, l.highest = o, l.now, max(l.highest, o.Number)
		l.note(l.now, o, InForce, "")
		l.do(Answer{o, ""})
		l.follow()
	}
}

func (l *Lifecycle) apply() {
	l.to(Applying)
	l.do(Apply{l.current})
}

// Needs tells whether a version's content is still needed: it is in force, on its way, or may yet come.
func (l *Lifecycle) Needs(o Offer) bool {
	is := func(k *Offer) bool { return k != nil && k.Number == o.Number && k.Digest == o.Digest }
	return is(&l.force) || l.step != Offered && is(&l.current) || is(l.next) || is(l.waiting) || is(l.held)
}

// follow begins the version that waited.
func (l *Lifecycle) follow() {
	if n := l.next; n != nil {
		l.next = nil
		l.offered(*n)
	}
}

// turnDown answers an offer with a reason. What is kept may still come into force.
func (l *Lifecycle) turnDown(o Offer, reason string, keep bool) {
	if len(reason) > reasonMost {
		reason = reason[:reasonMost] + " ..."
	}
	l.note(l.now, o, Rejected, reason)
	l.down = Entry{o, Rejected, reason, l.now}
	if !keep {
		l.do(Drop{o})
	}
	l.do(Answer{o, reason})
}

// note books a version's state in the history: one line for each, the newest last.
func (l *Lifecycle) note(now Seconds, o Offer, s State, reason string) {
	e := Entry{o, s, reason, now}
	for i := len(l.history) - 1; i >= 0; i-- {
		if h := &l.history[i]; h.Number == o.Number && h.Digest == o.Digest && h.Source == o.Source {
			l.history = append(l.history[:i], l.history[i+1:]...)
			break
		}
	}
	if l.history = append(l.history, e); len(l.history) > historyMost {
		l.history = l.history[1:]
	}
}

// Status is what operators and control services are told.
type Status struct {
	InForce      Offer
	Since        Seconds
	Highest      int64
	Pinned       bool
	Step         State // of the one on its way; Offered: none
	InProgress   int64
	LastRejected Entry // the last that was turned down; Number 0: none
	History      []Entry
}

// Status tells how things stand.
func (l *Lifecycle) Status() Status {
	s := Status{InForce: l.force, Since: l.since, Highest: l.highest, Pinned: l.pinned, Step: l.step, LastRejected: l.down,
		History: append([]Entry(nil), l.history...)}
	if l.step != Offered {
		s.InProgress = l.current.Number
	}
	return s
}
