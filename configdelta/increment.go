package configdelta

// Target describes the version that an increment leads to. It is the same in all pieces of an increment.
type Target struct {
	Number   int64
	Rollback bool // it may take the place of a version with a higher number
	Epoch    uint64
	Hash     Hash
	Base     Ref  // the state that the increment starts from
	Whole    bool // it starts from nothing; Base is not looked at
	Pieces   int  // that the increment consists of
}

// Piece is one message of an increment.
type Piece struct {
	Target
	Index  int // from 0
	Set    []Part
	Remove []string
}

// bytes is the size of what a piece carries.
func (p *Piece) payloadBytes() (n int) {
	for _, part := range p.Set {
		n += len(part.Name) + len(part.Content)
	}
	for _, name := range p.Remove {
		n += len(name)
	}
	return n
}

// Diff is the increment from one state to another, in pieces of no more than pieceBytes each (a larger part
// stands alone). A nil base stands for nothing: the pieces hold the whole state.
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

// difference merges two lists of parts that are sorted by name.
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
