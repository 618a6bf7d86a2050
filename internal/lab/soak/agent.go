package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// instance is an entry of a list, in discovery's form.
type instance struct {
	ID       string  `json:"instanceId"`
	HostPort string  `json:"hostPort"`
	Zone     string  `json:"zone"`
	Cell     int     `json:"cell"`
	State    string  `json:"lifecycle"`
	Weight   float64 `json:"weight"`
	Started  int64   `json:"startedAtMs"`
}

// list is a list, whole or of changes.
type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

const (
	beat        = 2 * time.Second // between empty lines
	movedCounts = 4 * time.Second // after a SIGHUP, until what the agent has counts as told
)

// agent is one gateway's agent of discovery. It outlives the gateway's processes.
type agent struct {
	gateway int
	record  *Record
	http    *http.Server

	mu       sync.Mutex
	list     list
	pending  map[int]bool // servers whose drain was not told yet
	moved    time.Time    // last SIGHUP
	quiet    int          // faults in force
	down     int
	changed  chan struct{}
	listener net.Listener
}

func newAgent(gateway int, r *Record, all []instance) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("agent of gateway %d: %w", gateway, err)
	}
	a := &agent{gateway: gateway, record: r, listener: l, changed: make(chan struct{}),
		list: list{Generation: 1, Reset: true, Instances: all}, pending: map[int]bool{}}
	a.http = &http.Server{Handler: a}
	go a.http.Serve(l)
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

// known is the list as a new process has it.
func (a *agent) known() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list
}

// update changes the agent, and wakes its watches.
func (a *agent) update(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
}

// drain has the list say that a server drains.
func (a *agent) drain(server int) {
	a.update(func() {
		entries := make([]instance, len(a.list.Instances))
		copy(entries, a.list.Instances)
		entries[server].State = "DRAINING"
		a.list.Instances = entries
		a.list.Generation++
		a.pending[server] = true
		a.tell()
	})
}

// fail puts an outage in force, and returns what ends it.
func (a *agent) fail(k FaultKind) (end func()) {
	count := &a.quiet
	if k == DiscoveryDown {
		count = &a.down
	}
	a.update(func() { *count++ })
	return func() {
		a.update(func() {
			*count--
			a.tell()
		})
	}
}

// moves notes a SIGHUP: what the agent has counts later then, as a new configuration may move discovery.
func (a *agent) moves() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.moved = time.Now()
}

// tell records the drains that the agent has and that were not told yet: they count as told, whether or not a watch is
// open. a.mu is held.
func (a *agent) tell() {
	if a.quiet+a.down > 0 {
		return
	}
	for server := range a.pending {
		at := time.Now()
		if counts := a.moved.Add(movedCounts); counts.After(at) {
			at = counts
		}
		a.record.addTold(Told{a.gateway, server, at})
		delete(a.pending, server)
	}
}

// ServeHTTP implements http.Handler: each watch gets the whole list, again with each change.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sent := int64(0)
	for {
		a.mu.Lock()
		down, quiet, now, changed := a.down > 0, a.quiet > 0, a.list, a.changed
		a.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if !quiet && !write(w, now, sent) {
			return
		}
		if !quiet {
			sent = now.Generation
		}
		next := time.NewTimer(beat)
		select {
		case <-changed:
		case <-next.C:
		case <-r.Context().Done():
			next.Stop()
			return
		}
		next.Stop()
	}
}

// write writes the list if it is newer than what was sent, or an empty line.
func write(w http.ResponseWriter, now list, sent int64) bool {
	line := []byte{}
	if now.Generation > sent {
		line, _ = json.Marshal(now) // plain values: it does not fail
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	return true
}

func (a *agent) close() { a.http.Close() }
