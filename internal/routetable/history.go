package routetable

import (
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

const (
	historyKept = 4096 // generations: a list that is older still is no concern

	// restartAfter is how long an agent may bring lists of lower generations without having caught up, until its
	// numbering counts as started again. An agent that is behind is told within some 15 s at the longest.
	restartAfter = 30 * time.Second
)

// history is what the lists so far said of each endpoint, and keeps an older list from undoing a drain or a removal: an
// agent that was moved to, or has restarted, may be behind. It is pure: the time is handed in.
//
// A discovery whose numbering starts again looks like an agent that is behind: both bring a whole list of a lower
// generation. Only the one that is behind catches up. So endpoints that drained are kept back from the first such list
// on, and are believed to be in use again when nothing has caught up within restartAfter.
type history struct {
	endpoints map[string]known
	newest    int64     // generation, in the present numbering
	latest    int64     // generation of the last list
	behind    time.Time // since when lists are of lower generations; zero: they are not
}

// known is what is known of one endpoint.
type known struct {
	generation int64
	since      control.Seconds // its last start
	ready      bool
	held       *core.Target // what a lower generation says of it, and is not believed yet; nil: nothing
}

// take takes a list in, and changes what an older one must not undo. An endpoint that has started since then is
// another matter.
func (h *history) take(t *core.Table, now time.Time) {
	h.follow(t, now)
	next := h.endpoints
	if next == nil || t.Kind == control.Snapshot {
		next = map[string]known{}
	}
	for i := range t.Targets {
		e := &t.Targets[i]
		was := h.endpoints[e.Server]
		if t.Version >= was.generation || e.Since > was.since {
			next[e.Server] = known{generation: t.Version, since: max(e.Since, was.since), ready: e.State == control.Ready}
			continue
		}
		was.held = nil
		if e.State == control.Ready && !was.ready {
			kept := *e
			was.held = &kept
			e.State = control.Draining
		}
		was.ready = was.ready && e.State == control.Ready
		next[e.Server] = was
	}
	for id, was := range h.endpoints { // those that an older list does not name, or that a newer one removed
		switch _, named := next[id]; {
		case !named && !was.ready && was.generation > t.Version:
			was.held = nil
			next[id] = was
		case named && !was.ready && was.generation < t.Version-historyKept:
			delete(next, id)
		}
	}
	h.endpoints = next
}

// follow notes whether the lists are of lower generations than before.
func (h *history) follow(t *core.Table, now time.Time) {
	h.latest = t.Version
	switch {
	case t.Version >= h.newest:
		h.newest, h.behind = t.Version, time.Time{}
	case t.Kind == control.Snapshot && h.behind.IsZero():
		h.behind = now
	}
}

// restartDue tells how long it takes until the numbering counts as started again; false: it does not.
func (h *history) restartDue(now time.Time) (wait time.Duration, due bool) {
	return h.behind.Add(restartAfter).Sub(now), !h.behind.IsZero()
}

// restarted goes over to the new numbering, if that is due, and returns what was kept back.
func (h *history) restarted(now time.Time) (t core.Table, ok bool) {
	if wait, due := h.restartDue(now); !due || wait > 0 {
		return core.Table{}, false
	}
	t = core.Table{Kind: control.Delta, Version: h.latest}
	for id, e := range h.endpoints {
		switch {
		case e.held != nil:
			t.Targets = append(t.Targets, *e.held)
			e.ready = true
		case e.generation > h.latest && !e.ready: // the new numbering does not know it
			delete(h.endpoints, id)
			continue
		}
		h.endpoints[id] = known{generation: min(e.generation, h.latest), since: e.since, ready: e.ready}
	}
	h.newest, h.behind = h.latest, time.Time{}
	return t, true
}
