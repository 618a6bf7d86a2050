// Package configdelta describes configuration versions as increments: a document is a list of named parts, an
// increment names its base state and the parts that it sets and removes, and a reader accepts a version only if it is
// complete, applies to the state that the reader holds, and has the announced hash. It does no I/O, reads no clock,
// starts no goroutine, and does not validate the configuration, which is left to the recipient of the document.
package configdelta

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Limits for states and messages, in bytes unless stated otherwise.
const (
	MaxStateBytes = 8 << 20   // size of a document
	MaxPartBytes  = 256 << 10 // content of one part
	MaxPieceBytes = 512 << 10 // size of one piece that a reader accepts
	MaxPieces     = 1024      // pieces of one increment
	MaxNameBytes  = 64        // length of a part's name
)

// Comment lines that mark the parts of a document, so that a reader can restore its state from a document on disk. A
// TOML parser ignores them.
const (
	headerPrefix = "#increments 1 epoch="
	partPrefix   = "#part "
)

// Hash identifies the content of a state: the names and contents of all its parts.
type Hash [sha256.Size]byte

func (h Hash) String() string { return hex.EncodeToString(h[:8]) }

// Ref identifies the state that an increment applies to.
type Ref struct {
	Number int64
	Hash   Hash
}

func (r Ref) String() string { return fmt.Sprintf("version %d (%v)", r.Number, r.Hash) }

// Part is a named section of a document. The parts of a document are sorted by name.
type Part struct {
	Name    string
	Content string // complete lines
	digest  Hash   // SHA-256 of Content
}

// NewPart returns a part, or an error if the name or the content is not allowed.
func NewPart(name, content string) (Part, error) {
	switch {
	case name == "" || len(name) > MaxNameBytes || strings.Trim(name, "0123456789abcdefghijklmnopqrstuvwxyz.-") != "":
		return Part{}, fmt.Errorf("%q is no name of a part", name)
	case len(content) > MaxPartBytes:
		return Part{}, fmt.Errorf("part %s holds %d bytes, %d are allowed", name, len(content), MaxPartBytes)
	case !strings.HasSuffix(content, "\n"):
		return Part{}, fmt.Errorf("part %s does not end with a whole line", name)
	case strings.HasPrefix(content, partPrefix) || strings.Contains(content, "\n"+partPrefix):
		return Part{}, fmt.Errorf("part %s holds a line that begins with %q", name, partPrefix)
	}
	return Part{Name: name, Content: content, digest: sha256.Sum256([]byte(content))}, nil
}

// Digest returns the SHA-256 of the part's content.
func (p Part) Digest() Hash { return p.digest }

// State is a complete version. It is immutable; its zero value is the empty state.
type State struct {
	Number int64
	Epoch  uint64 // of the writer that published it
	parts  []Part // sorted by name
	hash   Hash
	bytes  int // of all contents
}

// NewState returns a state with the given parts, which may be in any order.
func NewState(number int64, epoch uint64, parts []Part) (State, error) {
	sorted := slices.SortedFunc(slices.Values(parts), func(a, b Part) int { return cmp.Compare(a.Name, b.Name) })
	s := State{Number: number, Epoch: epoch, parts: sorted}
	for i, p := range sorted {
		if i > 0 && sorted[i-1].Name == p.Name {
			return State{}, fmt.Errorf("part %s is there twice", p.Name)
		}
		s.bytes += len(p.Content)
	}
	if s.bytes > MaxStateBytes {
		return State{}, fmt.Errorf("a document of %d bytes, %d are allowed", s.bytes, MaxStateBytes)
	}
	s.hash = hashOf(sorted)
	return s, nil
}

// hashOf returns the hash of a list of parts. It is zero for no parts, as in the zero value of State.
func hashOf(parts []Part) (sum Hash) {
	if len(parts) == 0 {
		return sum
	}
	h := sha256.New()
	for _, p := range parts {
		h.Write([]byte(p.Name))
		h.Write([]byte{0})
		h.Write(p.digest[:])
	}
	h.Sum(sum[:0])
	return sum
}

// Ref identifies the state as the base of an increment.
func (s State) Ref() Ref { return Ref{s.Number, s.hash} }

// Hash returns the hash of the state's parts.
func (s State) Hash() Hash { return s.hash }

// Bytes returns the total size of the parts' contents.
func (s State) Bytes() int { return s.bytes }

// Parts returns the state's parts, sorted by name. The caller must not modify them.
func (s State) Parts() []Part { return s.parts }

// Document returns the state as one document, with the lines that mark its parts.
func (s State) Document() []byte {
	var b bytes.Buffer
	b.Grow(s.bytes + len(s.parts)*(len(partPrefix)+MaxNameBytes/2) + 64)
	fmt.Fprintf(&b, "%s%d\n", headerPrefix, s.Epoch)
	for _, p := range s.parts {
		b.WriteString(partPrefix)
		b.WriteString(p.Name)
		b.WriteByte('\n')
		b.WriteString(p.Content)
	}
	return b.Bytes()
}

// ErrNoPartMarkers reports a document without lines that mark its parts: it was not built from increments.
var ErrNoPartMarkers = errors.New("the document does not tell its parts")

// ParseDocument restores a state from its document.
func ParseDocument(number int64, document []byte) (State, error) {
	epoch, parts, err := SplitDocument(string(document))
	if err != nil {
		return State{}, err
	}
	return NewState(number, epoch, parts)
}

// SplitDocument returns the writer's epoch and the parts that are marked in a document, in order.
func SplitDocument(document string) (epoch uint64, parts []Part, err error) {
	head, rest, _ := strings.Cut(document, "\n")
	text, ok := strings.CutPrefix(head, headerPrefix)
	if !ok {
		return 0, nil, ErrNoPartMarkers
	}
	if epoch, err = strconv.ParseUint(text, 10, 64); err != nil {
		return 0, nil, fmt.Errorf("epoch: %w", err)
	}
	for rest != "" {
		line, after, _ := strings.Cut(rest, "\n")
		name, ok := strings.CutPrefix(line, partPrefix)
		if !ok {
			return 0, nil, fmt.Errorf("a line that belongs to no part: %.40q", line)
		}
		content := after
		if strings.HasPrefix(after, partPrefix) {
			content = ""
		} else if end := strings.Index(after, "\n"+partPrefix); end >= 0 {
			content = after[:end+1]
		}
		part, err := NewPart(name, content)
		if err != nil {
			return 0, nil, err
		}
		if len(parts) > 0 && part.Name <= parts[len(parts)-1].Name {
			return 0, nil, fmt.Errorf("part %s is out of order", part.Name)
		}
		parts, rest = append(parts, part), after[len(content):]
	}
	return epoch, parts, nil
}
