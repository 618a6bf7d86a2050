package configdelta

import "fmt"

// Reason is why a reader refused a piece of an increment.
type Reason int

// The reasons.
const (
	WrongBase   Reason = iota + 1 // it starts from another state than the one held
	WrongHash                     // what it leads to is not what was announced
	OutOfOrder                    // its number is not above the one held, and it is no rollback
	Duplicate                     // it leads to the state that is held already
	PieceOrder                    // a piece that does not continue the one before
	UnknownPart                   // it removes a part that the base does not have
	Malformed                     // it can't be read: truncated, or with a part that is none
	Oversized                     // it is beyond a bound
	OldEpoch                      // its writer was replaced by a later one
)

func (r Reason) String() string {
	names := [...]string{"unknown", "wrong base", "wrong hash", "out of order", "duplicate", "piece out of order",
		"unknown part", "malformed", "oversized", "old epoch"}
	if r < 0 || int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// Refusal is the error of a piece that was refused. The state held is as it was before.
type Refusal struct {
	Reason Reason
	Number int64 // of the version that was refused
	Detail string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("increment to version %d refused, %v: %s", r.Number, r.Reason, r.Detail)
}

// NeedsWholeState tells whether only a whole state can mend the refusal: reader and writer do not mean the same
// base. After any other one the reader waits for the next version.
func (r *Refusal) NeedsWholeState() bool {
	switch r.Reason {
	case WrongBase, WrongHash, PieceOrder, UnknownPart, Malformed:
		return true
	}
	return false
}
