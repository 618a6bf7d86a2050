package routetable

import (
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

const (
	keptGenerations = 4096 // generations: a list that is older still is no concern

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
	endpoints   map[string]endpointState
	highest     int64     // generation, in the present numbering
	latest      int64     // generation of the last list
	behindSince time.Time // since when lists are of lower generations; zero: they are not
}

// known is what is known of one endpoint.
type endpointState struct {
	generation int64
	since      control.Seconds // its last start
	ready      bool
	withheld   *core.Target // what a lower generation says of it, and is not believed yet; nil: nothing
}

// take takes a list in, and changes what an older one must not undo. An endpoint that has started since then is
// another matter.
func (h *history) apply(t *core.Table, now time.Time) {
	h.trackGeneration(t, now)
	next := h.endpoints
	if next == nil || t.Kind == control.Snapshot {
		next = map[string]endpointState{}
	}
	for i := range t.Targets {
		e := &t.Targets[i]
		previous := h.endpoints[e.Server]
		if t.Version >= previous.generation || e.Since > previous.since {
			next[e.Server] = endpointState{generation: t.Version, since: max(e.Since, previous.since), ready: e.State == control.Ready}
			continue
		}
		previous.withheld = nil
		if e.State == control.Ready && !previous.ready {
			kept := *e
			previous.withheld = &kept
			e.State = control.Draining
		}
		previous.ready = previous.ready && e.State == control.Ready
		next[e.Server] = previous
	}
	for id, was := range h.endpoints { // those that an older list does not name, or that a newer one removed
		switch _, named := next[id]; {
		case !named && !was.ready && was.generation > t.Version:
			was.withheld = nil
			next[id] = was
		case named && !was.ready && was.generation < t.Version-keptGenerations:
			delete(next, id)
		}
	}
	h.endpoints = next
}

// follow notes whether the lists are of lower generations than before.
func (h *history) trackGeneration(t *core.Table, now time.Time) {
	h.latest = t.Version
	switch {
	case t.Version >= h.highest:
		h.highest, h.behindSince = t.Version, time.Time{}
	case t.Kind == control.Snapshot && h.behindSince.IsZero():
		h.behindSince = now
	}
}

// restartDue tells how long it takes until the numbering counts as started again; false: it does not.
func (h *history) restartDue(now time.Time) (wait time.Duration, due bool) {
	return h.behindSince.Add(restartAfter).Sub(now), !h.behindSince.IsZero()
}

// restarted goes over to the new numbering, if that is due, and returns what was kept back.
func (h *history) acceptRestart(now time.Time) (t core.Table, ok bool) {
	if wait, due := h.restartDue(now); !due || wait > 0 {
		return core.Table{}, false
	}
	t = core.Table{Kind: control.Delta, Version: h.latest}
	for id, e := range h.endpoints {
		switch {
		case e.withheld != nil:
			t.Targets = append(t.Targets, *e.withheld)
			e.ready = true
		case e.generation > h.latest && !e.ready: // the new numbering does not know it
			delete(h.endpoints, id)
			continue
		}
		h.endpoints[id] = endpointState{generation: min(e.generation, h.latest), since: e.since, ready: e.ready}
	}
	h.highest, h.behindSince = h.latest, time.Time{}
	return t, true
}
