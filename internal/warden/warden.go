// Package warden watches over the table servers of one registry: it tells the coordinators what it sees of them, and
// has the registry list them as draining, or as serving again, when the fleet's log says so. It acts under a lease, and
// any number of wardens may stand by. What it has the registry say follows from the log alone, looked at again and
// again: a server that restarts under its name in the middle of a drain is told to drain once more.
package warden

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"junctionring/internal/coordinator"
	"junctionring/internal/leaseholder"
	"junctionring/lease"
	"junctionring/rollout"
)

const (
	callTimeout         = 3 * time.Second
	attemptTimeout      = time.Second
	reportInterval      = 10 * time.Second // also where nothing changed
	maxConcurrentProbes = 16               // servers asked at once
	maxMisses           = 2                // looks in a row without an answer, and a server counts as out
)

// Warden is the actor. Run runs it.
type Warden struct {
	config   *Config
	registry Registry
	log      *slog.Logger
	group    *leaseholder.Group
	client   http.Client
	member   string

	servers map[string]*serverState
}

// seen is what this warden knows of one server.
type serverState struct {
	reported   rollout.Unit
	reportedAt time.Time
	misses     int
}

// New makes a warden over a registry.
func New(c *Config, r Registry, member string, log *slog.Logger) *Warden {
	return &Warden{config: c, registry: r, member: member, log: log.With("registry", c.Name), client: http.Client{Timeout: c.Look.Duration},
		group: &leaseholder.Group{Coordinators: c.Coordinators, Via: c.Via, Try: attemptTimeout}}
}

// LeaseName is the lease that the wardens of one registry act under.
func (c *Config) LeaseName() string { return "tables:" + c.Name }

// Run watches until ctx ends: it waits for the lease, acts while it has it, and waits again when it is lost.
func (w *Warden) Run(ctx context.Context) error {
	defer w.group.Close()
	session, err := leaseholder.Start(context.Background(), leaseholder.Options{Coordinators: w.config.Coordinators, Via: w.config.Via, Life: w.config.Life.Duration, Log: w.log,
		Member: lease.Member{Kind: coordinator.WardenKind, Name: w.member, Site: w.config.Site}})
	if err != nil {
		return err
	}
	defer func() {
		closeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		session.Close(closeCtx)
	}()
	for ctx.Err() == nil {
		l, err := session.Acquire(ctx, w.config.LeaseName())
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		w.log.Info("watches from now on")
		w.servers = map[string]*serverState{}
		w.reconcileLoop(ctx, l)
		releaseCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		l.Release(releaseCtx)
		cancel()
	}
	return nil
}

func (w *Warden) reconcileLoop(ctx context.Context, l *leaseholder.Lease) {
	ticker := time.NewTicker(w.config.Look.Duration)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.Lost():
			w.log.Warn("watches no more", "cause", string(l.Cause()))
			return
		case <-ticker.C:
		}
		if err := w.reconcile(ctx, l); err != nil && ctx.Err() == nil {
			w.log.Warn("a look failed", "err", err)
		}
	}
}

// look sees every server, tells what changed, and has the registry say what the log calls for.
func (w *Warden) reconcile(ctx context.Context, l *leaseholder.Lease) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	servers, err := w.registry.List(callCtx)
	if err != nil {
		return err
	}
	alive := make([]bool, len(servers))
	var probes sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for i, s := range servers {
		slots <- struct{}{}
		probes.Go(func() {
			alive[i] = w.probe(callCtx, s.Address)
			<-slots
		})
	}
	probes.Wait()
	fleet, err := coordinator.View(callCtx, w.group, 1<<62)
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for i, s := range servers {
		listed[s.ID] = true
		draining, err := w.applyDrain(callCtx, l, fleet, s)
		if err != nil {
			return err
		}
		if err := w.report(callCtx, l, s.ID, w.observe(s, alive[i], draining)); err != nil {
			return err
		}
	}
	for id, u := range fleet.Budget.Units { // one that the registry doesn't list any more is missed until somebody forgets it
		if u.Kind == rollout.KindTable && u.Site == w.config.Site && !listed[id] && w.ownsUnit(fleet, id) {
			missing := *u
			missing.Up, missing.Warm, missing.By = false, false, w.member
			if err := w.report(callCtx, l, id, missing); err != nil {
				return err
			}
		}
	}
	return nil
}

// mine tells whether a unit is this registry's: this warden has told of it, or nobody who is there does.
func (w *Warden) ownsUnit(fleet *rollout.Fleet, id string) bool {
	return w.servers[id] != nil || !fleet.Budget.Units[id].Up
}

// carryOut has the registry say of a server what the log calls for, and returns whether it drains by that.
func (w *Warden) applyDrain(ctx context.Context, l *leaseholder.Lease, fleet *rollout.Fleet, s Server) (draining bool, err error) {
	permit := fleet.Budget.Permits[s.ID]
	if permit == nil {
		return s.Draining, nil // also where somebody drains it by hand: it is out
	}
	drain := fleet.Drains[permit.Change]
	if drain == nil {
		return s.Draining, nil
	}
	setDraining := func(draining bool) error {
		token, _, held := l.Token()
		if !held {
			return fmt.Errorf("%s: the lease is lost", s.ID)
		}
		w.log.Info("tells the registry", "server", s.ID, "draining", draining, "change", permit.Change, "permit", permit.Token)
		return w.registry.Drain(ctx, s.ID, draining, w.config.LeaseName(), token)
	}
	command := rollout.Command{By: w.config.LeaseName(), Unit: s.ID, Token: permit.Token}
	switch {
	case !drain.Back && !permit.Left:
		command.Op = rollout.Leave
		r, err := coordinator.Change(ctx, w.group, command)
		if err != nil || r.Error != "" { // what crashed since counts: it is asked again with the next look
			return s.Draining, err
		}
		return true, setDraining(true)
	case !drain.Back && !s.Draining: // told late, or it came back under its name
		return true, setDraining(true)
	case drain.Back && s.Draining:
		return false, setDraining(false)
	case drain.Back && !permit.Returned:
		command.Op = rollout.Return
		if state := w.servers[s.ID]; state != nil {
			state.reportedAt = time.Time{} // the permit ends with the next word that it serves, though nothing changes by then
		}
		_, err := coordinator.Change(ctx, w.group, command)
		return false, err
	}
	return s.Draining, nil
}

// unit is a server as it is seen now.
func (w *Warden) observe(s Server, alive, draining bool) rollout.Unit {
	state := w.stateOf(s.ID)
	if state.misses++; alive {
		state.misses = 0
	}
	u := rollout.Unit{Kind: rollout.KindTable, Site: w.config.Site, Zone: s.Zone, Capacity: w.config.Capacity * s.Weight, By: w.member, Up: !draining && state.misses < maxMisses}
	u.Warm = u.Up
	if !s.Started.IsZero() {
		u.Instance = s.Started.UTC().Format(time.RFC3339Nano)
		u.Warm = u.Up && time.Since(s.Started) >= w.config.Warm.Duration
	}
	return u
}

// know is what is known of a server; one that was not seen yet counts as out until it answers.
func (w *Warden) stateOf(id string) *serverState {
	state := w.servers[id]
	if state == nil {
		state = &serverState{misses: maxMisses}
		w.servers[id] = state
	}
	return state
}

func (w *Warden) probe(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+w.config.Health, nil)
	if err != nil {
		return false
	}
	response, err := w.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *Warden) report(ctx context.Context, l *leaseholder.Lease, id string, u rollout.Unit) error {
	state := w.stateOf(id)
	if state.reported == u && time.Since(state.reportedAt) < reportInterval {
		return nil
	}
	token, _, held := l.Token()
	if !held {
		return fmt.Errorf("%s: the lease is lost", id)
	}
	r, err := coordinator.Change(ctx, w.group, rollout.Command{Op: rollout.Observe, By: w.config.LeaseName(), Token: token, Unit: id, Observed: &u})
	if err == nil && r.Error != "" {
		err = fmt.Errorf("%s: %s", id, r.Error)
	}
	if err == nil {
		state.reported, state.reportedAt = u, time.Now()
	}
	return err
}
