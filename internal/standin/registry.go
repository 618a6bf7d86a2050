package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"junctionring/fence"
)

// Instance is an entry of the registry, in its own words.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Lifecycle string  `json:"lifecycle"` // SERVING, DRAINING or DELETED
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

type registryList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Registry serves a list of table servers and its changes, in discovery's form.
type Registry struct {
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	changed  chan struct{} // closed with the next change, or at the end
	list     []Instance
	places   map[string]int // in the list, by ID
	log      [][]Instance   // changes by generation, from 1
	told     []Told
	gate     *fence.Gate
	closed   bool
}

// beatEvery is the time between two empty lines of a watch on which nothing changes.
const beatEvery = 2 * time.Second

// NewRegistry starts an empty registry.
func NewRegistry(listen string) (*Registry, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	gate, err := fence.Open("")
	if err != nil {
		return nil, err
	}
	r := &Registry{listener: l, gate: gate, changed: make(chan struct{}), places: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/", r.serve)
	mux.Handle("PUT /registry/instances/{id}/lifecycle", gate.Guard(http.HandlerFunc(r.change)))
	r.server = serveHTTP(l, mux)
	return r, nil
}

// Addr is where the registry listens.
func (r *Registry) Addr() string { return r.listener.Addr().String() }

// Put enters or changes instances as one version.
func (r *Registry) Put(entries ...Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.enter(e)
	}
	r.log = append(r.log, entries)
	r.announce()
}

// enter puts one entry into the list, or takes it out. The caller holds the lock.
func (r *Registry) enter(e Instance) {
	at, listed := r.places[e.ID]
	switch {
	case e.Lifecycle == "DELETED" && listed:
		r.list = slices.Delete(r.list, at, at+1)
		delete(r.places, e.ID)
		for i, later := range r.list[at:] {
			r.places[later.ID] = at + i
		}
	case e.Lifecycle == "DELETED":
	case listed:
		r.list[at] = e
	default:
		r.places[e.ID] = len(r.list)
		r.list = append(r.list, e)
	}
}

// announce wakes every watch. The caller holds the lock.
func (r *Registry) announce() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Drain marks instances as draining, as one version.
func (r *Registry) Drain(ids ...string) {
	r.mu.Lock()
	var entries []Instance
	for _, e := range r.list {
		if slices.Contains(ids, e.ID) {
			e.Lifecycle = "DRAINING"
			entries = append(entries, e)
		}
	}
	r.mu.Unlock()
	r.Put(entries...)
}

// Told is one change of a lifecycle that somebody asked for.
type Told struct {
	At        time.Time
	ID        string
	Lifecycle string
}

// Told is every change that was asked for over the wire, in order.
func (r *Registry) Told() []Told {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.told)
}

// change is a call that changes one instance's lifecycle. Callers with an overtaken token don't come so far.
func (r *Registry) change(w http.ResponseWriter, req *http.Request) {
	text, err := io.ReadAll(io.LimitReader(req.Body, 100))
	to := string(text)
	if err != nil || to != "SERVING" && to != "DRAINING" {
		http.Error(w, "SERVING or DRAINING is due", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	i := slices.IndexFunc(r.list, func(e Instance) bool { return e.ID == req.PathValue("id") })
	if i < 0 {
		r.mu.Unlock()
		http.NotFound(w, req)
		return
	}
	e := r.list[i]
	r.told = append(r.told, Told{time.Now(), e.ID, to})
	r.mu.Unlock()
	e.Lifecycle = to
	r.Put(e)
}

// Close ends the registry.
func (r *Registry) Close() {
	r.mu.Lock()
	r.closed = true
	r.announce()
	r.mu.Unlock()
	r.server.Close()
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/registry/instances" {
		http.NotFound(w, req)
		return
	}
	out, from := json.NewEncoder(w), int64(-1)
	if req.FormValue("watch") == "1" {
		from, _ = strconv.ParseInt(req.FormValue("from"), 10, 64)
	} else {
		r.mu.Lock()
		list := registryList{int64(len(r.log)), true, slices.Clone(r.list)}
		r.mu.Unlock()
		out.Encode(list)
		return
	}
	r.watch(req.Context(), w, out, from)
}

// watch sends what has changed since a generation, and then each change, or an empty line where there is none for a
// time. Only the watch whose time has come is woken by it: with one wake-up for all, each of N watches would send N
// empty lines.
func (r *Registry) watch(ctx context.Context, w http.ResponseWriter, out *json.Encoder, from int64) {
	beat := time.NewTimer(beatEvery)
	defer beat.Stop()
	for first := true; ; first = false {
		list, changed, ended := r.since(from)
		if ended {
			return
		}
		if first || list.Generation != from {
			out.Encode(list)
		} else {
			w.Write([]byte("\n"))
		}
		from = list.Generation
		w.(http.Flusher).Flush()
		beat.Reset(beatEvery)
		select {
		case <-changed:
		case <-beat.C:
		case <-ctx.Done():
			return
		}
	}
}

// since is what has changed since a generation, or the whole list, and what is closed with the next change.
func (r *Registry) since(from int64) (list registryList, changed <-chan struct{}, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list = registryList{Generation: int64(len(r.log)), Instances: []Instance{}}
	if from <= 0 || from > list.Generation {
		list.Reset, list.Instances = true, slices.Clone(r.list)
	} else {
		for _, entries := range r.log[from:] {
			list.Instances = append(list.Instances, entries...)
		}
	}
	return list, r.changed, r.closed
}
