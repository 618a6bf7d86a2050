package routetable

import (
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

const (
	keptGenerations = 4096 // generations for which a drain or removal is remembered: older lists do not occur

	// restartAfter is how long an agent may deliver lists of lower generations without catching up before its numbering
	// is taken as restarted. An agent that is merely behind receives the changes within about 15 s at most.
	restartAfter = 30 * time.Second
)

// history records what the lists received so far say of each endpoint, and keeps an older list from undoing a drain or
// a removal: an agent that the gateway was moved to, or that has restarted, may be behind. It reads no clock: callers
// pass the time.
//
// A discovery whose numbering restarts looks like an agent that is behind: both deliver a snapshot of a lower
// generation. Only the agent that is behind catches up. So entries that would make a drained endpoint ready again are
// withheld from the first such list on, and are accepted when the agent has not caught up within restartAfter.
type history struct {
	endpoints   map[string]endpointState
	highest     int64     // highest generation in the current numbering
	latest      int64     // generation of the last list
	behindSince time.Time // since when lists have lower generations; zero: they do not
}

// endpointState is the latest known state of one endpoint.
type endpointState struct {
	generation int64
	since      control.Seconds // time of its last start
	ready      bool
	withheld   *core.Target // ready state from a lower generation that is not accepted yet; nil: none
}

// apply records a list and changes in it the entries with which an older list would undo a drain. Entries of an
// endpoint that has restarted since then are accepted as they are.
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
			next[e.Server] = endpointState{
				generation: t.Version, since: max(e.Since, previous.since), ready: e.State == control.Ready,
			}
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
	// Keep the drained and removed endpoints that an older list omits, and forget those older than keptGenerations.
	for id, state := range h.endpoints {
		switch _, named := next[id]; {
		case !named && !state.ready && state.generation > t.Version:
			state.withheld = nil
			next[id] = state
		case named && !state.ready && state.generation < t.Version-keptGenerations:
			delete(next, id)
		}
	}
	h.endpoints = next
}

// trackGeneration records whether the lists have lower generations than before.
func (h *history) trackGeneration(t *core.Table, now time.Time) {
	h.latest = t.Version
	switch {
	case t.Version >= h.highest:
		h.highest, h.behindSince = t.Version, time.Time{}
	case t.Kind == control.Snapshot && h.behindSince.IsZero():
		h.behindSince = now
	}
}

// restartDue returns the time left until the numbering is taken as restarted. It returns false if lists do not have
// lower generations.
func (h *history) restartDue(now time.Time) (wait time.Duration, due bool) {
	return h.behindSince.Add(restartAfter).Sub(now), !h.behindSince.IsZero()
}

// acceptRestart switches to the new numbering, if that is due, and returns the withheld entries.
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
		case e.generation > h.latest && !e.ready: // not listed under the new numbering
			delete(h.endpoints, id)
			continue
		}
		h.endpoints[id] = endpointState{generation: min(e.generation, h.latest), since: e.since, ready: e.ready}
	}
	h.highest, h.behindSince = h.latest, time.Time{}
	return t, true
}
