package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// ReadFile decodes a TOML file over what into holds, and has it checked. The error names the file and each key that is
// unknown or wrong.
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

// read decodes a document over what into holds, and returns all that is wrong with the outcome.
func read(text []byte, into any, check func() []error) []error {
	meta, faults := decode(text, into)
	if meta == nil {
		return faults
	}
	return append(faults, check()...)
}

// decode decodes a document over what into holds. meta is nil where it is no TOML.
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
