package config

import (
	"strings"
	"sync"

	"github.com/BurntSushi/toml"

	"junctionring/configdelta"
)

// VersionReader reads the documents of versions for a gateway that was started with a base. What it decoded of a
// document's parts (package configdelta) is kept for the next one, so that a version that changes one route does
// not cost the decoding of all. What is checked, and what is found, is as with ReadVersion.
type VersionReader struct {
	base *Operator

	mu      sync.Mutex
	decoded map[configdelta.Hash]partTables // parts of the last document
}

// tables are the tables of a part that holds nothing else.
type partTables struct {
	Routes  []Route          `toml:"route"`
	Targets []TargetSettings `toml:"target"`
}

// NewVersionReader makes a reader for a gateway that was started with base.
func NewVersionReader(base *Operator) *VersionReader { return &VersionReader{base: base} }

// Read reads a version's document. It returns all that is wrong.
func (r *VersionReader) Read(text []byte) (*Operator, []error) {
	rest, listed, ok := r.decodeParts(string(text))
	if !ok {
		return ReadVersion(text, r.base)
	}
	return readVersion(r.base, func(o *Operator) []error {
		before := *o
		meta, faults := decode([]byte(rest), o)
		if len(faults) > 0 || meta.IsDefined("route") || meta.IsDefined("target") {
			*o = before // all that is wrong is found by reading it as one
			return o.read(text)
		}
		o.Routes, o.Targets = listed.Routes, listed.Targets
		return o.check()
	})
}

// decodeParts decodes the parts that hold routes or targets alone, and returns the rest of the document. It is
// false where the document must be read as one: it has no parts, or one of them means nothing by itself.
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
				return "", listed, false // it goes on with the part before
			}
			remaining.WriteString(part.Content)
			continue
		}
		table, known := r.decoded[part.Digest()]
		if !known {
			meta, err := toml.Decode(part.Content, &table)
			if err != nil || len(meta.Undecoded()) > 0 {
				return "", listed, false // the faults are named with the lines of the whole
			}
		}
		used[part.Digest()] = table
		listed.Routes = append(listed.Routes, table.Routes...)
		listed.Targets = append(listed.Targets, table.Targets...)
	}
	r.decoded = used
	return remaining.String(), listed, true
}
