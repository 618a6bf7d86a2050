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

// programAndFolder returns the path of this program and the absolute path of an output folder.
func programAndFolder(out string) (program, folder string, err error) {
	if program, err = os.Executable(); err != nil {
		return "", "", err
	}
	if folder, err = filepath.Abs(out); err != nil {
		return "", "", err
	}
	return program, folder, nil
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
