package main

import "strings"

func splitLines(text string) []string { return strings.Split(strings.TrimSpace(text), "\n") }
