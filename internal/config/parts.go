package config

import (
	"strings"
	"sync"

	"github.com/BurntSushi/toml"

	"junctionring/configdelta"
)

// VersionReader reads the documents of versions for a gateway that was started with a base configuration. It caches the
// decoded parts of the last document (package configdelta), so that a version that changes one route does not require
// decoding all of them. Checks and results are the same as with ReadVersion.
type VersionReader struct {
	base *Operator

	mu      sync.Mutex
	decoded map[configdelta.Hash]partTables // decoded parts of the last document, by digest
}

// partTables holds the tables of a part that contains only routes or targets.
type partTables struct {
	Routes  []Route          `toml:"route"`
	Targets []TargetSettings `toml:"target"`
}

// NewVersionReader returns a reader for a gateway that was started with base.
func NewVersionReader(base *Operator) *VersionReader { return &VersionReader{base: base} }

// Read reads and checks a version's document. It returns all faults.
func (r *VersionReader) Read(text []byte) (*Operator, []error) {
	rest, listed, ok := r.decodeParts(string(text))
	if !ok {
		return ReadVersion(text, r.base)
	}
	return readVersion(r.base, func(o *Operator) []error {
		before := *o
		meta, faults := decode([]byte(rest), o)
		if len(faults) > 0 || meta.IsDefined("route") || meta.IsDefined("target") {
			*o = before // reading the document as a whole finds every fault
			return o.read(text)
		}
		o.Routes, o.Targets = listed.Routes, listed.Targets
		return o.check()
	})
}

// decodeParts decodes the parts that hold only routes or targets, and returns them with the rest of the document. ok is
// false if the document must be read as a whole: it has no parts, or a part can't be decoded on its own.
func (r *VersionReader) decodeParts(document string) (rest string, listed partTables, ok bool) {
	_, parts, err := configdelta.SplitDocument(document)
	if err != nil || strings.Contains(document, `"""`) || strings.Contains(document, "'''") {
		return "", listed, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	used := make(map[configdelta.Hash]partTables, len(parts))
	var remaining strings.Builder
	for i, part := range parts {
		if !strings.HasPrefix(part.Content, "[[route]]\n") && !strings.HasPrefix(part.Content, "[[target]]\n") {
			if i > 0 && !strings.HasPrefix(part.Content, "[[") {
				return "", listed, false // it continues a table of the previous part
			}
			remaining.WriteString(part.Content)
			continue
		}
		table, known := r.decoded[part.Digest()]
		if !known {
			meta, err := toml.Decode(part.Content, &table)
			if err != nil || len(meta.Undecoded()) > 0 {
				return "", listed, false // faults must carry line numbers of the whole document
			}
		}
		used[part.Digest()] = table
		listed.Routes = append(listed.Routes, table.Routes...)
		listed.Targets = append(listed.Targets, table.Targets...)
	}
	r.decoded = used
	return remaining.String(), listed, true
}
