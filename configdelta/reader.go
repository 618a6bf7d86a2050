package configdelta

import (
	"fmt"
	"maps"
	"slices"
)

// Reader is the reading end of a stream of increments. It holds the last good state; a version that is being
// received, or that waits for its verdict, stands beside it. It is not safe for concurrent use.
type Reader struct {
	held      State
	epoch     uint64 // the highest of a writer that was heard of
	pending   *assembly
	candidate *State
}

// assembly is an increment of which some pieces have come.
type assembly struct {
	target    Target
	nextIndex int             // index of the piece that is due
	parts     map[string]Part // the base's, changed by what has come
	touched   map[string]bool // parts that the increment has set or removed
	bytes     int             // of all contents
}

// NewReader makes a reader that holds a state: what was in force when it started, or the empty state.
func NewReader(held State) *Reader { return &Reader{held: held, epoch: held.Epoch} }

// Held is the last state that was accepted.
func (r *Reader) Held() State { return r.held }

// Disconnected forgets what was under way when a stream ended. The state held stays.
func (r *Reader) Disconnected() { r.pending, r.candidate = nil, nil }

// Receive takes one piece in. Once all pieces of a version have come it returns the version, which is held after
// Accept; before, it returns nil. An error is a *Refusal, and what had come of the increment is forgotten.
func (r *Reader) Receive(p Piece) (*State, error) {
	pending := r.pending
	r.pending, r.candidate = nil, nil
	if refusal := r.checkTarget(p); refusal != nil {
		return nil, refusal
	}
	if p.Index == 0 {
		pending = r.startAssembly(p.Target)
	}
	if pending == nil || pending.target != p.Target || pending.nextIndex != p.Index {
		return nil, refuse(p, PieceOrder, "piece %d of %d does not continue what came before", p.Index+1, p.Pieces)
	}
	if refusal := pending.add(p); refusal != nil {
		return nil, refusal
	}
	if pending.nextIndex < p.Pieces {
		r.pending = pending
		return nil, nil
	}
	state, err := NewState(p.Number, p.Epoch, slices.Collect(maps.Values(pending.parts)))
	if err != nil {
		return nil, refuse(p, Oversized, "%v", err)
	}
	if state.hash != p.Hash {
		return nil, refuse(p, WrongHash, "the outcome has hash %v, %v was announced", state.hash, p.Hash)
	}
	r.epoch = p.Epoch
	r.candidate = &state
	return &state, nil
}

// Accept makes the version that Receive returned the one held: it is in force.
func (r *Reader) Accept() {
	if r.candidate != nil {
		r.held, r.candidate = *r.candidate, nil
	}
}

// Reject drops the version that Receive returned: it was turned down.
func (r *Reader) Reject() { r.candidate = nil }

// checkTarget refuses a piece by its own size and by the version that it leads to.
func (r *Reader) checkTarget(p Piece) error {
	if p.Pieces < 1 || p.Index < 0 || p.Index >= p.Pieces {
		return refuse(p, Malformed, "piece %d of %d", p.Index+1, p.Pieces)
	}
	if p.Pieces > MaxPieces {
		return refuse(p, Oversized, "%d pieces, %d are allowed", p.Pieces, MaxPieces)
	}
	if n := p.payloadBytes(); n > MaxPieceBytes {
		return refuse(p, Oversized, "a piece of %d bytes, %d are allowed", n, MaxPieceBytes)
	}
	if p.Epoch < r.epoch {
		return refuse(p, OldEpoch, "the writer's epoch is %d, one of %d was heard of", p.Epoch, r.epoch)
	}
	held := r.held.Ref()
	switch {
	case p.Number == held.Number && p.Hash == held.Hash:
		return refuse(p, Duplicate, "it is held already")
	case !p.Whole && p.Base != held:
		return refuse(p, WrongBase, "it starts from %v, %v is held", p.Base, held)
	case p.Number <= held.Number && !p.Rollback:
		return refuse(p, OutOfOrder, "version %d is held, and it is no rollback", held.Number)
	}
	return nil
}

func (r *Reader) startAssembly(t Target) *assembly {
	a := &assembly{target: t, parts: map[string]Part{}, touched: map[string]bool{}}
	if t.Whole {
		return a
	}
	a.bytes = r.held.bytes
	for _, part := range r.held.parts {
		a.parts[part.Name] = part
	}
	return a
}

// add takes the parts of a piece in. A part may be named once in an increment.
func (a *assembly) add(p Piece) error {
	for _, name := range p.Remove {
		old, known := a.parts[name]
		if !known || a.touched[name] {
			return refuse(p, UnknownPart, "part %s is to be removed, and is not there", name)
		}
		a.touched[name] = true
		a.bytes -= len(old.Content)
		delete(a.parts, name)
	}
	for _, part := range p.Set {
		if a.touched[part.Name] {
			return refuse(p, Malformed, "part %s is named twice", part.Name)
		}
		if part.digest == (Hash{}) {
			return refuse(p, Malformed, "part %s was not made by NewPart", part.Name)
		}
		a.touched[part.Name] = true
		a.bytes += len(part.Content) - len(a.parts[part.Name].Content)
		a.parts[part.Name] = part
	}
	if a.bytes > MaxStateBytes {
		return refuse(p, Oversized, "a document of %d bytes, %d are allowed", a.bytes, MaxStateBytes)
	}
	a.nextIndex++
	return nil
}

func refuse(p Piece, reason Reason, format string, args ...any) error {
	return &Refusal{Reason: reason, Number: p.Number, Detail: fmt.Sprintf(format, args...)}
}
