package core

import (
	"context"
	"fmt"
	"time"

	"junctionring/control"
)

// Exchange is one client request as submitted to the core.
type Exchange struct {
	RequestID     string // for the log; may be empty
	Class, Plan   int
	Customer      uint64
	Units         float64
	Spread, First int
	Repeat        bool
	VerdictOnly   bool        // only the decision is wanted; nothing is sent to a target
	Deadline      time.Time   // the client waits for an answer until then
	EarlierRun    *EarlierRun // an earlier request with its key may have run; nil: none, or all targets drop repeats
	Payload       any         // the request for egress to send; opaque to the core

	// BodyIncoming: the body is still being received and is forwarded as it arrives. ResponseTimeout is how long the
	// client waits for an answer after the last byte of the body, and Deadline is the time until which the body may
	// arrive.
	// AnswerDue returns when that wait ends if the client may have sent its last byte already, which can lie unread in
	// socket buffers; it advances while the client certainly has more to send. nil: the wait starts once the whole body
	// was forwarded.
	// BodyConsumed reports whether a part of the body was forwarded, which cannot be sent again.
	BodyIncoming    bool
	ResponseTimeout time.Duration
	AnswerDue       func() time.Time
	BodyConsumed    func() bool
}

// EarlierRun says where an earlier exchange with the same key may have run. Only targets of that one's group drop a
// repeat, and only for the class's window from SentAt on.
type EarlierRun struct {
	Placement control.Placement
	SentAt    time.Time // no later than the earlier exchange was sent
}

// Kind is the way in which an exchange ended.
type Kind int

// The kinds of final answers.
const (
	Failed  Kind = iota // no statement on whether the request ran
	Refused             // shed or over quota: a retry is harmless
	Served
	Allowed    // the decision to admit an exchange with VerdictOnly
	ClientGone // the client disconnected; nobody reads the answer
)

// String returns the kind's name for the log.
func (k Kind) String() string {
	names := [...]string{Failed: "failed", Refused: "refused", Served: "served", Allowed: "allowed", ClientGone: "client gone"}
	if k < 0 || int(k) >= len(names) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return names[k]
}

// Answer is the one final answer of an exchange.
type Answer struct {
	Kind        Kind
	RetryAfter  time.Duration     // of Refused: the wait advised to the client; 0: none
	OverQuota   bool              // of Refused: the customer has no quota left
	MayHaveRun  bool              // some attempt reached a target, or may have
	AttemptsOut int               // in flight when the answer was given
	RanAt       control.Placement // of the target of the first attempt that may have run, when it was sent
	Reply       any               // of Served: the reply from egress
}

// Attempt is one send of an exchange to an egress target. Its context ends when the attempt is no longer
// wanted: at its deadline (a timeout) or earlier (a cancellation).
type Attempt struct {
	Ctx          context.Context
	AnswerCtx    context.Context // applies instead of Ctx once an answer has begun; ends no earlier. nil: Ctx
	Target       string
	Payload      any
	Repeat       control.Repeat  // the rule of the exchange's class
	SendBefore   time.Time       // not sent after this time, even if its connection takes longer; zero: no limit
	ExchangeDone <-chan struct{} // closed when the exchange has its final answer: an attempt not sent by then is dropped
	Report       func(Outcome)   // called exactly once; may block, so never on the core's goroutine

	// For a request whose body is still being received: OnBodySent is called when its last byte has been sent, and the
	// answer may take ResponseTimeout from then on. OnBodySent may block, as Report may.
	OnBodySent      func()
	ResponseTimeout time.Duration
}

// Outcome is the result of an attempt.
type Outcome struct {
	Status          control.Status
	Written         bool // the last byte of the request was sent
	Reply           any
	Load            []float64
	TimeToFirstByte time.Duration // from the last byte of the request to the first of the answer; 0: unknown
}

// Target is an entry of the route table with the target's address, which is opaque to the core.
type Target struct {
	control.Member
	Address string
}

// Table is a whole route table or a set of changes to it.
type Table struct {
	Kind    control.MembersKind
	Version int64
	Targets []Target
}

// Egress sends attempts to targets. The core calls it from its own goroutine only; no call may block.
type Egress interface {
	Update(Table)
	Start(Attempt) bool // false: no capacity; nothing was or will be sent
	// Probe checks the health of a target; if within is 0, egress sets the timeout.
	Probe(target string, within time.Duration, report func(control.Status, []float64)) bool
	CloseIdle(target string)
}

// Counter adds to named totals. Add does not block; it returns false if nothing was added or will be.
// report is called on another goroutine; for one name, reports come in the order of the calls.
type Counter interface {
	Add(name uint64, amount float64, ttl time.Duration, report func(control.Status, float64)) bool
}
