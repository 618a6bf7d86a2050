// Package telemetry holds the figures that operators fetch: counts by class of the answers given and the
// attempts written, and gauges of what is held now. Each is an atomic written where its event happens, never
// estimated; all start at 0 with the process.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Counts are one class's.
type Counts struct {
	Success    atomic.Int64 // served: a target's 200
	Late       atomic.Int64 // of those, after the class's aim
	Overload   atomic.Int64 // refused: shed or beyond the quota
	Error      atomic.Int64 // failed
	Dispatches atomic.Int64 // attempts written whole to a target
}

// Figures are a gateway's.
type Figures struct {
	Concurrent    atomic.Int64 // requests taken and not yet ended
	Targets       atomic.Int64 // in the route table
	Disabled      atomic.Int64 // of those, avoided now
	ReloadSuccess atomic.Int64
	ReloadFailure atomic.Int64
	Unread        func() int64                   // answers cut since their clients did not read them; nil: none are counted
	Draining      atomic.Pointer[map[string]int] // attempts out at each target that takes nothing new; nil: none does so
	Prefix        string                         // of every name
	mu            sync.Mutex
	names         []string           // in the order written: each class once, dropped ones too
	byName        map[string]*Counts // never removed: a count runs from the start
	byIndex       atomic.Pointer[[]*Counts]
}

// New has no classes yet; prefix "svc" gives "svc.replies.C.success".
func New(prefix string) *Figures {
	f := &Figures{Prefix: prefix, byName: map[string]*Counts{}}
	f.byIndex.Store(&[]*Counts{})
	return f
}

// SetClasses names the classes by their number in the settings in force. A name seen before keeps its counts.
func (f *Figures) SetClasses(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	index := make([]*Counts, len(names))
	for i, name := range names {
		c := f.byName[name]
		if c == nil {
			c = &Counts{}
			f.byName[name] = c
			f.names = append(f.names, name)
		}
		index[i] = c
	}
	f.byIndex.Store(&index)
}

// Class is the counts of the class numbered so in the settings in force, or nil for a number out of range:
// counting into nothing is safe.
func (f *Figures) Class(i int) *Counts {
	if f == nil {
		return nil
	}
	index := *f.byIndex.Load()
	if i < 0 || i >= len(index) {
		return nil
	}
	return index[i]
}

// WriteTo writes the figures in statsd's form, a line each.
func (f *Figures) WriteTo(w io.Writer) (int64, error) {
	f.mu.Lock()
	names := append([]string(nil), f.names...)
	counts := make([]*Counts, len(names))
	for i, name := range names {
		counts[i] = f.byName[name]
	}
	f.mu.Unlock()
	var written int64
	line := func(name string, v int64, kind string) error {
		n, err := fmt.Fprintf(w, "%s.%s:%d|%s\n", f.Prefix, name, v, kind)
		written += int64(n)
		return err
	}
	for i, name := range names {
		c := counts[i]
		for _, x := range []struct {
			what string
			v    int64
		}{{"success", c.Success.Load()}, {"overload", c.Overload.Load()}, {"error", c.Error.Load()}, {"dispatches", c.Dispatches.Load()}, {"late", c.Late.Load()}} {
			if err := line("replies."+name+"."+x.what, x.v, "c"); err != nil {
				return written, err
			}
		}
	}
	for _, x := range []struct {
		name, kind string
		v          int64
	}{
		{"concurrent", "g", max(0, f.Concurrent.Load())}, {"targets", "g", f.Targets.Load()},
		{"targets_disabled", "g", f.Disabled.Load()},
		{"reload_success", "c", f.ReloadSuccess.Load()}, {"reload_failure", "c", f.ReloadFailure.Load()},
		{"answers_unread", "c", f.unread()},
	} {
		if err := line(x.name, x.v, x.kind); err != nil {
			return written, err
		}
	}
	return written, nil
}

func (f *Figures) unread() int64 {
	if f.Unread == nil {
		return 0
	}
	return f.Unread()
}
