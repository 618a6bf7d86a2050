package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// programBeside is a program that stands beside this one.
func programBeside(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), name), nil
}

// builtGateway is the gateway at a path, or beside this program where that is empty. It must have been built.
func builtGateway(path string) (string, error) {
	if path == "" {
		var err error
		if path, err = programBeside("junctionring"); err != nil {
			return "", err
		}
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the gateway is not built (go build -o bin/ ./cmd/...): %w", err)
	}
	return path, nil
}
