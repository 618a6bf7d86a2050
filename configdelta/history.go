package configdelta

import "fmt"

// History is the writer's side of a stream of increments: the versions that readers may have as their base. It is
// not safe for concurrent use.
type History struct {
	maxVersions      int     // kept as bases
	pieceBytes       int     // maximum size of a piece with more than one part
	states           []State // newest last
	newestIsRollback bool
	increments       map[Ref][]Piece // to the newest version, by base
	wholeState       []Piece         // the newest version as an increment without a base; nil until requested
}

// NewHistory returns a history that keeps up to maxVersions versions as bases and divides increments into pieces of up
// to pieceBytes bytes. It keeps at least one version, and limits pieceBytes to between 1 and MaxPieceBytes.
func NewHistory(maxVersions, pieceBytes int) *History {
	return &History{maxVersions: max(1, maxVersions), pieceBytes: min(max(1, pieceBytes), MaxPieceBytes),
		increments: map[Ref][]Piece{}}
}

// Newest returns the newest version, or the empty state if there is none yet.
func (h *History) Newest() State {
	if len(h.states) == 0 {
		return State{}
	}
	return h.states[len(h.states)-1]
}

// Publish divides a document into parts and adds it as the newest version.
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

// Add adds a state as the newest version. A relay uses it for the states that it receives from its own source.
func (h *History) Add(state State, rollback bool) {
	h.states = append(h.states, state)
	if len(h.states) > h.maxVersions {
		h.states = append([]State(nil), h.states[len(h.states)-h.maxVersions:]...)
	}
	h.newestIsRollback, h.increments, h.wholeState = rollback, map[Ref][]Piece{}, nil
}

// Forget removes all bases except the newest version.
func (h *History) Forget() {
	if len(h.states) > 0 {
		h.states = append([]State(nil), h.Newest())
		h.increments = map[Ref][]Piece{}
	}
}

// From returns one increment that contains all changes from a base to the newest version, or the whole state if the
// base is unknown. It returns nil if there is no version yet or if the base is the newest version.
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
		// The reader may hold a higher number than a rollback. Only the rollback flag lets it accept a lower one.
		pieces := Diff(&h.states[i], h.Newest(), h.newestIsRollback, h.pieceBytes)
		h.increments[base] = pieces
		return pieces
	}
	return h.Whole()
}

// Whole returns the newest version as an increment that needs no base.
func (h *History) Whole() []Piece {
	if h.wholeState == nil && len(h.states) > 0 {
		h.wholeState = Diff(nil, h.Newest(), h.newestIsRollback, h.pieceBytes)
	}
	return h.wholeState
}
