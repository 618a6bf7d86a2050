package routetable

import (
	"slices"
	"sync"

	"junctionring/control"
	"junctionring/internal/core"
)

// Roster passes a watched list on to the core. It keeps the complete list, reports which targets exist, and restricts
// requests to the targets that the configuration allows.
type Roster struct {
	Publish  func(core.Table)      // receives the filtered list; the core's Routes
	OnChange func(map[string]bool) // receives the IDs of all targets after each change; may be nil

	mu      sync.Mutex
	targets map[string]core.Target
	order   []string
	allowed map[string]bool // nil: all
	version int64
}

// Update applies a list, or changes to it, and publishes it with the states that the configuration allows.
func (r *Roster) Update(t core.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets == nil || t.Kind != control.Delta {
		r.targets, r.order = map[string]core.Target{}, nil
	}
	for _, e := range t.Targets {
		if _, known := r.targets[e.Server]; !known {
			r.order = append(r.order, e.Server)
		}
		if r.targets[e.Server] = e; e.State == control.Removed {
			delete(r.targets, e.Server)
			r.order = slices.DeleteFunc(r.order, func(id string) bool { return id == e.Server })
		}
	}
	r.version = t.Version
	filtered := t
	filtered.Targets = make([]core.Target, len(t.Targets))
	for i, e := range t.Targets {
		filtered.Targets[i] = r.effective(e)
	}
	r.Publish(filtered)
	r.notifyKnown()
}

// Allow sets the IDs of the targets that may be used, an empty set for all, and publishes the complete current list.
func (r *Roster) Allow(ids map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(ids) == 0 {
		ids = nil
	}
	r.allowed = ids
	if r.targets == nil {
		return // the first Update applies it
	}
	t := core.Table{Kind: control.Snapshot, Version: r.version}
	for _, id := range r.order {
		t.Targets = append(t.Targets, r.effective(r.targets[id]))
	}
	r.Publish(t)
}

// effective returns a target as the core sees it: a ready target that may not be used is draining, so that it
// completes the requests that it has.
func (r *Roster) effective(e core.Target) core.Target {
	if r.allowed != nil && !r.allowed[e.Server] && e.State == control.Ready {
		e.State = control.Draining
	}
	return e
}

func (r *Roster) notifyKnown() {
	if r.OnChange == nil {
		return
	}
	ids := map[string]bool{}
	for id := range r.targets {
		ids[id] = true
	}
	r.OnChange(ids)
}
