package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// ReadFile decodes a TOML file into a value, which keeps its defaults for absent keys, and calls check. The error names
// the file and every key that is unknown or invalid.
func ReadFile(path string, into any, check func() []error) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := errors.Join(read(text, into, check)...); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// read decodes a document into a value, which keeps its defaults for absent keys, and returns all faults.
func read(text []byte, into any, check func() []error) []error {
	meta, faults := decode(text, into)
	if meta == nil {
		return faults
	}
	return append(faults, check()...)
}

// decode decodes a document into a value, which keeps its defaults for absent keys. meta is nil if decoding fails.
func decode(text []byte, into any) (meta *toml.MetaData, faults []error) {
	found, err := toml.Decode(string(text), into)
	if err != nil {
		return nil, []error{err}
	}
	for _, key := range found.Undecoded() {
		faults = append(faults, fmt.Errorf("unknown key %s", key))
	}
	return &found, faults
}
