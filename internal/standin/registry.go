package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
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
	closed   bool
}

// NewRegistry starts an empty registry.
func NewRegistry(listen string) (*Registry, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Registry{listener: l}
	r.changed = sync.NewCond(&r.mu)
	r.server = serveHTTP(l, http.HandlerFunc(r.serve))
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
