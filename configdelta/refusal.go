package configdelta

import "fmt"

// Reason is the reason for which a reader refused a piece of an increment.
type Reason int

// Reasons for a refusal.
const (
	WrongBase   Reason = iota + 1 // the increment applies to a state other than the held one
	WrongHash                     // the resulting state does not have the announced hash
	OutOfOrder                    // the version is neither above the held one nor a rollback
	Duplicate                     // the reader already holds the version
	PieceOrder                    // the piece does not continue the previous one
	UnknownPart                   // the increment removes a part that the base does not have
	Malformed                     // the piece cannot be decoded: it is truncated or has an invalid part
	Oversized                     // the piece or the resulting state exceeds a limit
	OldEpoch                      // a later writer has replaced the one that sent the piece
)

func (r Reason) String() string {
	names := [...]string{"unknown", "wrong base", "wrong hash", "out of order", "duplicate", "piece out of order",
		"unknown part", "malformed", "oversized", "old epoch"}
	if r < 0 || int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// Refusal is the error for a refused piece. A refusal does not change the held state.
type Refusal struct {
	Reason Reason
	Number int64 // of the version that was refused
	Detail string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("increment to version %d refused, %v: %s", r.Number, r.Reason, r.Detail)
}

// NeedsWholeState reports whether only a whole state can resolve the refusal, because reader and writer disagree about
// the base. After any other refusal the reader waits for the next version.
func (r *Refusal) NeedsWholeState() bool {
	switch r.Reason {
	case WrongBase, WrongHash, PieceOrder, UnknownPart, Malformed:
		return true
	}
	return false
}
