package configdelta

import (
	"fmt"
	"maps"
	"slices"
)

// Reader is the receiving side of a stream of increments. It holds the last accepted state, and keeps a version that
// is incomplete or waits for Accept or Reject separate from it. It is not safe for concurrent use.
type Reader struct {
	held      State
	epoch     uint64 // highest epoch of a writer whose version was received in full
	pending   *assembly
	candidate *State // complete, waits for Accept or Reject
}

// assembly is an increment of which some pieces have been received.
type assembly struct {
	target    Target
	nextIndex int             // index of the next expected piece
	parts     map[string]Part // the parts of the base with the received changes applied
	touched   map[string]bool // parts that the increment has set or removed
	bytes     int             // of all contents
}

// NewReader returns a reader that holds a state: the one in force when the reader starts, or the empty state.
func NewReader(held State) *Reader { return &Reader{held: held, epoch: held.Epoch} }

// Held returns the last accepted state.
func (r *Reader) Held() State { return r.held }

// Disconnected discards an incomplete or not yet accepted version after a stream has ended. The held state remains.
func (r *Reader) Disconnected() { r.pending, r.candidate = nil, nil }

// Receive processes one piece. With the last piece of an increment it returns the new version, which Accept makes the
// held state; before that it returns nil. An error is a *Refusal, and discards the pieces received so far. Each call
// discards a version that still waits for Accept or Reject.
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

// Accept makes the version that Receive returned the held state, because it is now in force.
func (r *Reader) Accept() {
	if r.candidate != nil {
		r.held, r.candidate = *r.candidate, nil
	}
}

// Reject discards the version that Receive returned, because its content was rejected.
func (r *Reader) Reject() { r.candidate = nil }

// checkTarget returns a refusal if a piece exceeds a limit or if the reader cannot accept the version it produces.
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

// startAssembly returns an assembly with the held parts, or with none if the increment contains the whole state.
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

// add applies the changes of a piece. An increment may name each part only once.
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
