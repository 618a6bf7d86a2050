// Package telemetry holds the metrics that operators fetch: counters by class of the answers given and the
// attempts written, and gauges of the current state. It estimates nothing and stores nothing: each metric is an
// atomic that is updated where its event happens, and all of them start at 0 with the process.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Counts are the counters of one class.
type Counts struct {
	Success    atomic.Int64 // requests served: a target answered 200
	Late       atomic.Int64 // of those, the ones that took longer than the class's aim
	Overload   atomic.Int64 // requests refused: shed, or above the customer's quota
	Error      atomic.Int64 // requests that failed
	Dispatches atomic.Int64 // attempts written completely to a target
}

// Figures are the metrics of one gateway.
type Figures struct {
	Concurrent    atomic.Int64 // requests accepted and not yet finished
	Targets       atomic.Int64 // targets in the route table
	Disabled      atomic.Int64 // of those, the ones that are avoided at present
	ReloadSuccess atomic.Int64
	ReloadFailure atomic.Int64
	Unread        func() int64                   // answers cut off because their clients did not read them; nil: not counted
	Draining      atomic.Pointer[map[string]int] // attempts in flight at each draining target; nil: no target is draining
	CoreWaits     Waits                          // of messages in the core's mailbox
	Prefix        string                         // of every metric name
	mu            sync.Mutex
	names         []string                  // of the classes in output order, each once, including removed classes
	byName        map[string]*Counts        // entries are never removed, since a counter runs from the start of the process
	byIndex       atomic.Pointer[[]*Counts] // by class number in the settings in force
}

// New returns metrics without classes. With the prefix "svc", a counter of class C is "svc.replies.C.success".
func New(prefix string) *Figures {
	f := &Figures{Prefix: prefix, byName: map[string]*Counts{}}
	f.byIndex.Store(&[]*Counts{})
	return f
}

// SetClasses sets the names of the classes by their number in the settings in force. A name that was set before keeps
// its counters.
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

// Class returns the counters of class number i in the settings in force, or nil if i is out of range or f is nil.
// Callers check for nil before they count.
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

// WriteTo writes the metrics in the statsd format, one a line.
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
