// Package retune decides how settings that come with SIGHUP take the place of those in force: which numbers
// classes and plans keep, which are new, and which are no longer named. It is pure: no I/O, no clock.
//
// A number once given keeps its meaning for as long as the process runs, since requests that are held were
// decided under it and end under it. A class whose rules change gets a new number, starting from what was
// learned under the old one; a class that is dropped keeps its number, but no new request may name it.
package retune

import "junctionring/control"

// Table is the classes and plans by number, and whether the settings in force still name each.
type Table struct {
	Classes   []Entry[control.Class]
	Plans     []Entry[control.Plan]
	Attempts  int // the settings' MaxAttempts in force
	Reconfigs int // how many settings were taken after the first
}

// Entry is one number's.
type Entry[T comparable] struct {
	Name   string
	Rules  T
	Active bool // by the settings in force: new requests may name it
}

// Start is the table of the settings at the start.
func Start(classNames []string, classes []control.Class, planNames []string, plans []control.Plan, attempts int) Table {
	var t Table
	for i, c := range classes {
		t.Classes = append(t.Classes, Entry[control.Class]{classNames[i], c, true})
	}
	for i, p := range plans {
		t.Plans = append(t.Plans, Entry[control.Plan]{planNames[i], p, true})
	}
	t.Attempts = attempts
	return t
}

// Next is the table once new settings are taken, and for each class number the one whose learned times it
// begins with (itself where it goes on, -1 for none), as control.Reconfigured wants it.
func (t Table) Next(classNames []string, classes []control.Class, planNames []string, plans []control.Plan, attempts int) (Table, []int) {
	next := Table{Attempts: attempts, Reconfigs: t.Reconfigs + 1}
	next.Classes, next.Plans = renumber(t.Classes, classNames, classes), renumber(t.Plans, planNames, plans)
	from := make([]int, len(next.Classes))
	for i := range from {
		from[i] = i
		if i >= len(t.Classes) {
			from[i] = lastIndex(t.Classes, next.Classes[i].Name)
		}
	}
	return next, from
}

// renumber keeps the number of each name whose rules stay, gives a new one where they change or the name is
// new, and marks every name that is not given as no longer named.
func renumber[T comparable](old []Entry[T], names []string, rules []T) []Entry[T] {
	out := append([]Entry[T](nil), old...)
	for i := range out {
		out[i].Active = false
	}
	for i, name := range names {
		if number := lastIndex(old, name); number >= 0 && old[number].Rules == rules[i] {
			out[number].Active = true
			continue
		}
		out = append(out, Entry[T]{name, rules[i], true})
	}
	return out
}

// latest is the highest number that bears the name, or -1.
func lastIndex[T comparable](entries []Entry[T], name string) int {
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Name == name {
			return i
		}
	}
	return -1
}

// Names are the names of the numbers that new requests may name, "" for the others, by number.
func Names[T comparable](entries []Entry[T]) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		if e.Active {
			out[i] = e.Name
		}
	}
	return out
}

// AllNames are the names of all numbers, named or not: figures count a dropped class's held requests under its name.
func AllNames[T comparable](entries []Entry[T]) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.Name
	}
	return out
}

// Rules are the rules by number.
func Rules[T comparable](entries []Entry[T]) []T {
	out := make([]T, len(entries))
	for i, e := range entries {
		out[i] = e.Rules
	}
	return out
}
