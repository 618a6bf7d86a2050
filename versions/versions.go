// Package versions is the state machine of configuration versions: it decides which offered version is checked,
// staged, saved and put in force, which is rejected and why, and which stays in force meanwhile, and it holds the
// order of versions, the last good version, the pin and the history. It does not read configurations, does no I/O,
// reads no clock and starts no goroutine: the caller passes events in and carries out the returned actions, as with
// a raft node.
//
// One version is processed at a time, in the steps Check, Stage, Save, Apply and Answer. It is saved before it is in
// force and acknowledged afterwards, so that a gateway that crashes at any moment restarts with the last version
// that it acknowledged, or with a newer one. Every step that can fail comes before Apply, which cannot.
package versions

import (
	"fmt"
	"strings"
)

// Seconds is a time on a clock with an arbitrary origin.
type Seconds = float64

// Offer is a version as offered by a source.
type Offer struct {
	Source   int    // index of the control service in the bootstrap configuration; FromOperator or FromDisk
	Nonce    string // returned with the answer
	Number   int64  // starts at 1 and increases
	Digest   uint64 // of the content: a number stands for one content only
	Rollback bool   // it may replace a newer version
}

// Sources other than control services.
const (
	FromOperator = -1 // an API call
	FromDisk     = -2 // the snapshot, or the configuration file (version 0)
)

// State is the progress of a version.
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
	Superseded // a newer version was offered, or replaced it
)

func (s State) String() string {
	return [...]string{"offered", "checking", "staging", "saving", "applying", "in force", "turned down", "superseded"}[s]
}

// Event is an input of a Lifecycle.
type Event interface{ event() }

// The events. The caller answers each Check, Stage, Save and Apply with one Done.
type (
	// Offer is an event, too.

	// Done reports the end of the current step.
	Done struct {
		Number  int64
		Digest  uint64
		Faults  []string // empty: the step succeeded
		Waiting bool     // set by Check: the faults may disappear with a change of the roster
	}

	// Roster reports that the list of servers changed: a version that waits for such a change is checked again.
	Roster struct{}

	// Pin keeps the current version in force, whatever is offered; Unpin ends that.
	Pin   struct{}
	Unpin struct{}
)

// Action is an output of a Lifecycle, carried out by the caller.
type Action interface{ action() }

// The actions.
type (
	// Check validates a version's content and reports every fault in it.
	Check struct{ Offer }

	// Stage builds what the version needs, beside what the version in force uses.
	Stage struct{ Offer }

	// Save writes the version to where the next start of the gateway reads it.
	Save struct{ Offer }

	// Apply puts the staged version in force.
	Apply struct{ Offer }

	// Drop releases the stored content of a version.
	Drop struct{ Offer }

	// Answer acknowledges a version, or rejects it with a reason.
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

// Entry is the history entry of one version.
type Entry struct {
	Offer
	State  State
	Reason string
	At     Seconds // of its last change
}

const (
	maxHistory     = 64 // entries
	maxReasonBytes = 2000
)

// Lifecycle is the state of all versions at one gateway. It is not safe for concurrent use.
type Lifecycle struct {
	saves bool // versions are saved; false without a disk

	now     Seconds
	actions []Action
	inForce Offer   // Number 0: the configuration file
	since   Seconds // when inForce came into force
	highest int64   // highest number ever in force: only a rollback goes below it
	pinned  bool

	step           State // of current: Checking to Applying; Offered: no version is being processed
	current        Offer
	next           *Offer // the newest that waits for the end of current
	awaitingRoster *Offer // rejected with faults that a change of the roster may remove
	heldByPin      *Offer // the newest that was offered while the version in force is pinned
	history        []Entry
	lastRejected   Entry
}

// New returns a Lifecycle with a version already in force: the configuration file's (number 0) or the snapshot's.
func New(now Seconds, inForce Offer, saves bool) *Lifecycle {
	l := &Lifecycle{saves: saves, inForce: inForce, since: now, highest: inForce.Number}
	l.record(now, inForce, InForce, "")
	return l
}

// Handle processes one event and appends the resulting actions.
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

// handleOffer decides whether an offered version is processed at all. Every offer gets an answer, now or at the end of
// its processing.
func (l *Lifecycle) handleOffer(o Offer) {
	switch reason := l.objection(o); {
	case sameVersion(o, l.inForce):
		l.emit(Answer{o, ""}) // already in force: a repeated offer is acknowledged again
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
		// Two control services, or one that lost its stream, offer the same version: each offer is answered, but
		// the version is processed only once.
		l.queue(o)
	case l.next != nil && !takesPrecedence(o, *l.next):
		l.reject(o, fmt.Sprintf("superseded by version %d", l.next.Number), false)
	default:
		l.queue(o)
	}
}

// objection returns why the number alone rules an offer out; empty: it does not.
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

// takesPrecedence reports whether offer a replaces b, which waits. A rollback is an explicit decision, whatever its
// number: the last one counts.
func takesPrecedence(a, b Offer) bool { return a.Rollback || a.Number > b.Number }

// queue makes an offer wait for the end of the current one. An offer that already waited is superseded.
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

// handleDone proceeds to the next step. A Done for a step that was not requested, or for another version, is ignored.
func (l *Lifecycle) handleDone(e Done) {
	o := l.current
	if l.step == Offered || e.Number != o.Number || e.Digest != o.Digest {
		return
	}
	if l.step < Saving && (l.next != nil && !sameVersion(*l.next, o) || l.pinned) {
		// A newer version waits, or an operator set the pin: processing of this one ends here.
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

// Needs reports whether a version's content is still needed: the version is in force, being processed, or may still
// come into force.
func (l *Lifecycle) Needs(o Offer) bool {
	matches := func(k *Offer) bool { return k != nil && k.Number == o.Number && k.Digest == o.Digest }
	return matches(&l.inForce) || l.step != Offered && matches(&l.current) ||
		matches(l.next) || matches(l.awaitingRoster) || matches(l.heldByPin)
}

// startNext offers the waiting version again, if there is one.
func (l *Lifecycle) startNext() {
	if n := l.next; n != nil {
		l.next = nil
		l.handleOffer(*n)
	}
}

// reject answers an offer with a reason. A version whose content is kept may still come into force.
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

// record puts a version's state in the history, which has one entry for each version and source, the newest last.
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

// Status is the state that is reported to operators and control services.
type Status struct {
	InForce      Offer
	Since        Seconds
	Highest      int64
	Pinned       bool
	Step         State // of the version being processed; Offered: none
	InProgress   int64 // number of the version being processed; 0: none
	LastRejected Entry // Number 0: none
	History      []Entry
}

func (l *Lifecycle) Status() Status {
	s := Status{InForce: l.inForce, Since: l.since, Highest: l.highest, Pinned: l.pinned, Step: l.step,
		LastRejected: l.lastRejected, History: append([]Entry(nil), l.history...)}
	if l.step != Offered {
		s.InProgress = l.current.Number
	}
	return s
}
