// Package retune assigns numbers to classes and plans when SIGHUP replaces the settings in force: it decides which
// numbers stay, which are new and which are no longer active. It does no I/O and reads no clock.
//
// A number keeps its meaning for as long as the process runs, because requests in progress were admitted under it
// and finish under it. A class whose rules change gets a new number, which starts with the times learned under the
// old one. A class that is removed keeps its number, but new requests may not name it.
package retune

import "junctionring/control"

// Table holds the classes and plans by number, and whether the settings in force still contain each.
type Table struct {
	Classes   []Entry[control.Class]
	Plans     []Entry[control.Plan]
	Attempts  int // MaxAttempts of the settings in force
	Reconfigs int // number of times that settings were replaced
}

// Entry is the class or plan of one number.
type Entry[T comparable] struct {
	Name   string
	Rules  T
	Active bool // contained in the settings in force, so that new requests may name it
}

// Start returns the table for the settings that the process starts with.
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

// Next returns the table for new settings and, for each class number, the class number whose learned times it
// starts with: itself if it stays, -1 for none, as control.Reconfigured.From expects.
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

// renumber keeps the number of each name whose rules are unchanged, adds a number for each name that is new or
// whose rules changed, and marks all other numbers as inactive.
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

// lastIndex returns the highest number with the given name, or -1.
func lastIndex[T comparable](entries []Entry[T], name string) int {
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Name == name {
			return i
		}
	}
	return -1
}

// Names returns by number the names that new requests may use; an inactive number has "".
func Names[T comparable](entries []Entry[T]) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		if e.Active {
			out[i] = e.Name
		}
	}
	return out
}

// AllNames returns the names of all numbers, also the inactive ones: the metrics count the requests that a removed
// class still has in progress under its name.
func AllNames[T comparable](entries []Entry[T]) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.Name
	}
	return out
}

// Rules returns the rules by number.
func Rules[T comparable](entries []Entry[T]) []T {
	out := make([]T, len(entries))
	for i, e := range entries {
		out[i] = e.Rules
	}
	return out
}
