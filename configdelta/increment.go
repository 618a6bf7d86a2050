package configdelta

// Target describes the version that an increment produces. It is the same in all pieces of an increment.
type Target struct {
	Number   int64
	Rollback bool // the version may replace one with a higher number
	Epoch    uint64
	Hash     Hash
	Base     Ref  // the state that the increment applies to
	Whole    bool // the increment contains the whole state; Base is ignored
	Pieces   int  // number of pieces in the increment
}

// Piece is one message of an increment.
type Piece struct {
	Target
	Index  int // from 0
	Set    []Part
	Remove []string
}

// payloadBytes returns the total size of the names and contents in a piece.
func (p *Piece) payloadBytes() (n int) {
	for _, part := range p.Set {
		n += len(part.Name) + len(part.Content)
	}
	for _, name := range p.Remove {
		n += len(name)
	}
	return n
}

// Diff returns the increment from one state to another, in pieces of at most pieceBytes each (a larger part gets a
// piece of its own). With a nil base, the pieces contain the whole state.
func Diff(base *State, to State, rollback bool, pieceBytes int) []Piece {
	target := Target{Number: to.Number, Rollback: rollback, Epoch: to.Epoch, Hash: to.hash, Whole: base == nil}
	var from []Part
	if base != nil {
		target.Base, from = base.Ref(), base.parts
	}
	set, remove := diffParts(from, to.parts)
	pieces := []Piece{{}}
	remaining := pieceBytes
	pieceFor := func(size int) *Piece {
		if size > remaining && remaining < pieceBytes {
			pieces = append(pieces, Piece{Index: len(pieces)})
			remaining = pieceBytes
		}
		remaining -= size
		return &pieces[len(pieces)-1]
	}
	for _, name := range remove {
		p := pieceFor(len(name))
		p.Remove = append(p.Remove, name)
	}
	for _, part := range set {
		p := pieceFor(len(part.Name) + len(part.Content))
		p.Set = append(p.Set, part)
	}
	target.Pieces = len(pieces)
	for i := range pieces {
		pieces[i].Target = target
	}
	return pieces
}

// diffParts compares two lists of parts, both sorted by name, in one pass.
func diffParts(from, to []Part) (set []Part, remove []string) {
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && from[0].Name < to[0].Name:
			remove, from = append(remove, from[0].Name), from[1:]
		case len(from) == 0 || to[0].Name < from[0].Name:
			set, to = append(set, to[0]), to[1:]
		default:
			if from[0].digest != to[0].digest {
				set = append(set, to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
	return set, remove
}
