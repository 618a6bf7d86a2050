package configdelta

import "fmt"

// History is the writing end: the versions that readers may have as their base, the newest last. It is not safe
// for concurrent use.
type History struct {
	maxVersions      int // versions
	pieceBytes       int
	states           []State
	newestIsRollback bool            // of the newest
	increments       map[Ref][]Piece // to the newest, by base
	wholeState       []Piece         // of the newest
}

// NewHistory makes a history that keeps so many versions as bases and sends pieces of so many bytes.
func NewHistory(maxVersions, pieceBytes int) *History {
	return &History{maxVersions: max(1, maxVersions), pieceBytes: min(max(1, pieceBytes), MaxPieceBytes), increments: map[Ref][]Piece{}}
}

// Newest is the newest version; the empty state before the first.
func (h *History) Newest() State {
	if len(h.states) == 0 {
		return State{}
	}
	return h.states[len(h.states)-1]
}

// Publish adds a document as the newest version.
func (h *History) Publish(number int64, epoch uint64, rollback bool, document string) error {
	parts, err := Partition(document, h.Newest())
	if err != nil {
		return fmt.Errorf("version %d: %w", number, err)
	}
	state, err := NewState(number, epoch, parts)
	if err != nil {
		return fmt.Errorf("version %d: %w", number, err)
	}
	h.Add(state, rollback)
	return nil
}

// Add adds a state as the newest version, as a relay has it from its own source.
func (h *History) Add(state State, rollback bool) {
	h.states = append(h.states, state)
	if len(h.states) > h.maxVersions {
		h.states = append([]State(nil), h.states[len(h.states)-h.maxVersions:]...)
	}
	h.newestIsRollback, h.increments, h.wholeState = rollback, map[Ref][]Piece{}, nil
}

// Forget drops all bases but the newest version.
func (h *History) Forget() {
	if len(h.states) > 0 {
		h.states = append([]State(nil), h.Newest())
		h.increments = map[Ref][]Piece{}
	}
}

// From is the increment from a base to the newest version, several changes in one; from a base that is not known,
// the whole state. None is due (nil) before the first version and to a reader that holds the newest.
func (h *History) From(base Ref) []Piece {
	if len(h.states) == 0 || base == h.Newest().Ref() {
		return nil
	}
	if pieces, ok := h.increments[base]; ok {
		return pieces
	}
	for i := range h.states {
		if h.states[i].Ref() != base {
			continue
		}
		// The reader is ahead of a rollback: it may go below its number by that alone.
		pieces := Diff(&h.states[i], h.Newest(), h.newestIsRollback, h.pieceBytes)
		h.increments[base] = pieces
		return pieces
	}
	return h.Whole()
}

// Whole is the newest version from nothing.
func (h *History) Whole() []Piece {
	if h.wholeState == nil && len(h.states) > 0 {
		h.wholeState = Diff(nil, h.Newest(), h.newestIsRollback, h.pieceBytes)
	}
	return h.wholeState
}
