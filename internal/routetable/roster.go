package routetable

import (
	"slices"
	"sync"

	"junctionring/control"
	"junctionring/internal/core"
)

// Roster stands between a list that is watched and the core: it keeps the list whole, tells which targets there
// are, and lets a configuration name those that may be used.
type Roster struct {
	Publish  func(core.Table)      // the core
	OnChange func(map[string]bool) // told of the targets on the roster, after each change; may be nil

	mu      sync.Mutex
	targets map[string]core.Target
	order   []string
	allowed map[string]bool // nil: all
	version int64
}

// Update takes a list in, or changes to it, and passes it on.
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

// Allow names the targets that may be used, nil for all, and passes the whole list on as it now stands.
func (r *Roster) Allow(ids map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(ids) == 0 {
		ids = nil
	}
	r.allowed = ids
	if r.targets == nil {
		return // it comes with the first list
	}
	t := core.Table{Kind: control.Snapshot, Version: r.version}
	for _, id := range r.order {
		t.Targets = append(t.Targets, r.effective(r.targets[id]))
	}
	r.Publish(t)
}

// judged is a target as the core is to see it: one that may not be used completes what it has.
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
