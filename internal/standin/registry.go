package standin

import (
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
	changed  *sync.Cond
	list     []Instance
	log      [][]Instance // changes by generation, from 1
	told     []Told
	gate     *fence.Gate
	closed   bool
}

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
	r := &Registry{listener: l, gate: gate}
	r.changed = sync.NewCond(&r.mu)
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
		r.list = slices.DeleteFunc(r.list, func(o Instance) bool { return o.ID == e.ID })
		if e.Lifecycle != "DELETED" {
			r.list = append(r.list, e)
		}
	}
	r.log = append(r.log, entries)
	r.changed.Broadcast()
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
	r.changed.Broadcast()
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
	beat := time.AfterFunc(2*time.Second, r.wake)
	defer beat.Stop()
	go func() { <-req.Context().Done(); r.wake() }()
	for first := true; ; first = false {
		r.mu.Lock()
		if now := int64(len(r.log)); !first && now == from && !r.closed && req.Context().Err() == nil {
			beat.Reset(2 * time.Second)
			r.changed.Wait()
		}
		list := registryList{Generation: int64(len(r.log)), Instances: []Instance{}}
		if from <= 0 || from > list.Generation {
			list.Reset, list.Instances = true, slices.Clone(r.list)
		} else {
			for _, entries := range r.log[from:] {
				list.Instances = append(list.Instances, entries...)
			}
		}
		ended := r.closed
		r.mu.Unlock()
		if ended || req.Context().Err() != nil {
			return
		}
		if first || list.Generation != from {
			out.Encode(list)
		} else {
			w.Write([]byte("\n"))
		}
		from = list.Generation
		w.(http.Flusher).Flush()
	}
}

func (r *Registry) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed.Broadcast()
}
