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
	maxHistory     = 64
	maxReasonBytes = 2000 // bytes of a reason
)

// Lifecycle is the life of all versions at one gateway. It is not safe for concurrent use.
type Lifecycle struct {
	saves bool // versions are saved; without a disk they are not

	now     Seconds
	actions []Action
	inForce Offer   // in force; Number 0: the file
	since   Seconds // from when
	highest int64   // ever in force: only a rollback goes below it
	pinned  bool

	step           State // of current: Checking to Applying; Offered: nothing is on its way
	current        Offer
	next           *Offer // the newest that waits for current to end
	awaitingRoster *Offer // turned down for the roster's sake
	heldByPin      *Offer // the newest that was offered against the pin
	history        []Entry
	lastRejected   Entry // the last that was turned down
}

// New makes a Life in which a version is in force already: the file's (number 0) or the snapshot's.
func New(now Seconds, inForce Offer, saves bool) *Lifecycle {
	l := &Lifecycle{saves: saves, inForce: inForce, since: now, highest: inForce.Number}
	l.record(now, inForce, InForce, "")
	return l
}

// Handle takes one event in and appends the actions it calls for.
func (l *Lifecycle) Handle(now Seconds, ev Event, actions []Action) []Action {
	l.now, l.actions = now, actions
	switch e := ev.(type) {
	case Offer:
		l.handleOffer(e)
	case Done:
		l.handleDone(e)
	case Roster:
		if w := l.awaitingRoster; w != nil {
			l.awaitingRoster = nil
			l.handleOffer(*w)
		}
	case Pin:
		l.pinned = true
	case Unpin:
		l.pinned = false
		if h := l.heldByPin; h != nil {
			l.heldByPin = nil
			l.handleOffer(*h)
		}
	}
	return l.actions
}

func (l *Lifecycle) emit(a Action) { l.actions = append(l.actions, a) }

// offered decides whether a version is looked at at all. Every offer gets an answer, now or when its turn ends.
func (l *Lifecycle) handleOffer(o Offer) {
	switch reason := l.objection(o); {
	case sameVersion(o, l.inForce):
		l.emit(Answer{o, ""}) // in force already: a source that asks again is told so
	case reason != "":
		l.reject(o, reason, false)
	case l.pinned:
		if l.heldByPin == nil || takesPrecedence(o, *l.heldByPin) {
			l.heldByPin = &o
		}
		l.reject(o, fmt.Sprintf("version %d is pinned by an operator", l.inForce.Number), true)
	case l.step == Offered:
		l.start(o)
	case sameVersion(o, l.current):
		// Danger: two control services, or one that lost the stream, with the same version. It is answered twice,
		// but looked at once.
		l.queue(o)
	case l.next != nil && !takesPrecedence(o, *l.next):
		l.reject(o, fmt.Sprintf("superseded by version %d", l.next.Number), false)
	default:
		l.queue(o)
	}
}

// against says what speaks against an offer by its number alone.
func (l *Lifecycle) objection(o Offer) string {
	conflicts := func(k Offer) bool { return k.Number == o.Number && k.Digest != o.Digest }
	switch {
	case o.Number <= 0:
		return fmt.Sprintf("version number %d: numbers start at 1", o.Number)
	case conflicts(l.inForce), l.step != Offered && conflicts(l.current), l.next != nil && conflicts(*l.next):
		return fmt.Sprintf("version %d was offered before with other content", o.Number)
	case o.Number <= l.highest && !o.Rollback:
		return fmt.Sprintf("version %d is no newer than %d, which was in force, and is not marked as a rollback", o.Number, l.highest)
	}
	return ""
}

func sameVersion(a, b Offer) bool {
	return a.Number == b.Number && a.Digest == b.Digest && a.Number > 0
}

// newer tells whether an offer goes before another that waits. A rollback is a decision of its own: the last counts.
func takesPrecedence(a, b Offer) bool { return a.Rollback || a.Number > b.Number }

// queue puts an offer behind the one that is on its way. What waited there is superseded.
func (l *Lifecycle) queue(o Offer) {
	if n := l.next; n != nil {
		if sameVersion(*n, o) {
			l.emit(Answer{*n, fmt.Sprintf("version %d was offered again", n.Number)})
		} else {
			l.supersede(*n, o)
		}
	}
	l.next = &o
	l.record(l.now, o, Offered, "")
}

func (l *Lifecycle) supersede(o, by Offer) {
	reason := fmt.Sprintf("superseded by version %d", by.Number)
	l.record(l.now, o, Superseded, reason)
	l.emit(Drop{o})
	l.emit(Answer{o, reason})
}

func (l *Lifecycle) start(o Offer) {
	l.current, l.awaitingRoster = o, nil
	l.enter(Checking)
	l.emit(Check{o})
}

func (l *Lifecycle) enter(s State) {
	l.step = s
	l.record(l.now, l.current, s, "")
}

// done goes on to the next step. A step that was not asked for, or of another version, is passed over.
func (l *Lifecycle) handleDone(e Done) {
	o := l.current
	if l.step == Offered || e.Number != o.Number || e.Digest != o.Digest {
		return
	}
	if l.step < Saving && (l.next != nil && !sameVersion(*l.next, o) || l.pinned) {
		// A newer one waits, or the operator stepped in: this one need not be finished.
		l.step = Offered
		if l.pinned {
			l.heldByPin = &o
			l.reject(o, fmt.Sprintf("version %d is pinned by an operator", l.inForce.Number), true)
		} else {
			l.supersede(o, *l.next)
		}
		l.startNext()
		return
	}
	if len(e.Faults) > 0 {
		if l.step == Checking && e.Waiting {
			l.awaitingRoster = &o
		}
		keepContent := l.awaitingRoster != nil
		l.step = Offered
		l.reject(o, strings.Join(e.Faults, "; "), keepContent)
		l.startNext()
		return
	}
	switch l.step {
	case Checking:
		l.enter(Staging)
		l.emit(Stage{o})
	case Staging:
		if l.saves {
			l.enter(Saving)
			l.emit(Save{o})
			return
		}
		l.apply()
	case Saving:
		l.apply()
	case Applying:
		l.step = Offered
		if l.inForce.Number > 0 {
			l.record(l.now, l.inForce, Superseded, fmt.Sprintf("version %d took its place", o.Number))
			l.emit(Drop{l.inForce})
		}
		l.inForce, l.since, l.highest = o, l.now, max(l.highest, o.Number)
		l.record(l.now, o, InForce, "")
		l.emit(Answer{o, ""})
		l.startNext()
	}
}

func (l *Lifecycle) apply() {
	l.enter(Applying)
	l.emit(Apply{l.current})
}

// Needs tells whether a version's content is still needed: it is in force, on its way, or may yet come.
func (l *Lifecycle) Needs(o Offer) bool {
	matches := func(k *Offer) bool { return k != nil && k.Number == o.Number && k.Digest == o.Digest }
	return matches(&l.inForce) || l.step != Offered && matches(&l.current) || matches(l.next) || matches(l.awaitingRoster) || matches(l.heldByPin)
}

// follow begins the version that waited.
func (l *Lifecycle) startNext() {
	if n := l.next; n != nil {
		l.next = nil
		l.handleOffer(*n)
	}
}

// turnDown answers an offer with a reason. What is kept may still come into force.
func (l *Lifecycle) reject(o Offer, reason string, keepContent bool) {
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes] + " ..."
	}
	l.record(l.now, o, Rejected, reason)
	l.lastRejected = Entry{o, Rejected, reason, l.now}
	if !keepContent {
		l.emit(Drop{o})
	}
	l.emit(Answer{o, reason})
}

// note books a version's state in the history: one line for each, the newest last.
func (l *Lifecycle) record(now Seconds, o Offer, s State, reason string) {
	e := Entry{o, s, reason, now}
	for i := len(l.history) - 1; i >= 0; i-- {
		if h := &l.history[i]; h.Number == o.Number && h.Digest == o.Digest && h.Source == o.Source {
			l.history = append(l.history[:i], l.history[i+1:]...)
			break
		}
	}
	if l.history = append(l.history, e); len(l.history) > maxHistory {
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
	s := Status{InForce: l.inForce, Since: l.since, Highest: l.highest, Pinned: l.pinned, Step: l.step, LastRejected: l.lastRejected,
		History: append([]Entry(nil), l.history...)}
	if l.step != Offered {
		s.InProgress = l.current.Number
	}
	return s
}
