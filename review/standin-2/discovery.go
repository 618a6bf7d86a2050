package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is an entry of discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// list is one version of the list, or the changes that lead to it.
type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// agent is discovery's agent on a gateway's machine. It answers with what it has been sent: the changes after the
// version that a watch names if it has them all, else the whole list.
type agent struct {
	name    string
	address string
	play    *play
	server  *http.Server

	mu      sync.Mutex
	whole   map[string]instance
	order   []string
	gen     int64
	oldest  int64 // the changes after this version are kept
	changes []list
	changed chan struct{}
	cut     chan struct{}       // closed when open watches end
	told    map[int64]time.Time // when each version was first written
}

func (p *play) newAgent(name string, gen int64, entries ...instance) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{name: name, address: l.Addr().String(), play: p, whole: map[string]instance{}, gen: gen, oldest: gen,
		changed: make(chan struct{}), cut: make(chan struct{}), told: map[int64]time.Time{}}
	for _, e := range entries {
		a.whole[e.ID] = e
		a.order = append(a.order, e.ID)
	}
	a.server = &http.Server{Handler: a}
	go a.server.Serve(l)
	p.onEnd(func() { a.server.Close() })
	return a, nil
}

// tell has the agent learn a change, which it writes to all open watches.
func (a *agent) tell(entries ...instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learn(entries)
	close(a.changed)
	a.changed = make(chan struct{})
}

// endWatchesAndForget has the agent learn a change and end its open watches instead of telling it; it has the whole
// list only from then on, without the entries that drain.
func (a *agent) endWatchesAndForget(entries ...instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learn(entries)
	a.changes, a.oldest = nil, a.gen
	for id, e := range a.whole {
		if e.Lifecycle != "SERVING" {
			delete(a.whole, id)
		}
	}
	close(a.cut)
	a.cut = make(chan struct{})
}

func (a *agent) learn(entries []instance) {
	a.gen++
	for _, e := range entries {
		if _, known := a.whole[e.ID]; !known {
			a.order = append(a.order, e.ID)
		}
		a.whole[e.ID] = e
		if e.Lifecycle == "DELETED" {
			delete(a.whole, e.ID)
		}
	}
	a.changes = append(a.changes, list{a.gen, false, entries})
}

// full is the whole list. a.mu is held.
func (a *agent) full() list {
	l := list{a.gen, true, []instance{}}
	for _, id := range a.order {
		if e, ok := a.whole[id]; ok {
			l.Instances = append(l.Instances, e)
		}
	}
	return l
}

// known is the whole list as JSON.
func (a *agent) known() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	text, _ := json.Marshal(a.full())
	return text
}

// ServeHTTP answers calls and watches.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") != "1" {
		w.Write(a.known())
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	a.play.note("agent %s: a watch from %d", a.name, from)
	flush := http.NewResponseController(w).Flush
	a.mu.Lock()
	cut := a.cut
	a.mu.Unlock()
	for {
		a.mu.Lock()
		var send []list
		switch {
		case from < a.oldest || from > a.gen:
			send = []list{a.full()}
		default:
			for _, c := range a.changes {
				if c.Generation > from {
					send = append(send, c)
				}
			}
		}
		changed := a.changed
		a.mu.Unlock()
		for _, l := range send {
			text, _ := json.Marshal(l)
			if _, err := w.Write(append(text, '\n')); err != nil {
				return
			}
			flush()
			from = l.Generation
			a.mu.Lock()
			if a.told[from].IsZero() {
				a.told[from] = time.Now()
			}
			a.mu.Unlock()
			a.play.note("agent %s tells %s", a.name, text)
		}
		if flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-cut:
			a.play.note("agent %s: a watch ends", a.name)
			return
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// toldAt is when a version was first written to the gateway, for which it waits for some time; zero: it was not.
func (a *agent) toldAt(gen int64, within time.Duration) time.Time {
	for by := time.Now().Add(within); time.Now().Before(by); time.Sleep(10 * time.Millisecond) {
		a.mu.Lock()
		at := a.told[gen]
		a.mu.Unlock()
		if !at.IsZero() {
			return at
		}
	}
	return time.Time{}
}
