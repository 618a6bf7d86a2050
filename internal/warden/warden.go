// Package warden is the drain controller for the table servers of one registry: it reports their state to the
// coordinators, and sets them to draining or serving in the registry as the fleet's log requires. It does not decide
// which servers drain.
//
// It acts under a lease, and any number of wardens may stand by. It repeatedly compares the registry with the log and
// corrects the registry, so that a server that restarts under its name during a drain is set to draining again.
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
	reportInterval      = 10 * time.Second // even if nothing has changed
	maxConcurrentProbes = 16               // health checks at once
	maxMisses           = 2                // consecutive failed health checks after which a server counts as out
)

// Warden reports and drains the table servers of one registry. Run runs it.
type Warden struct {
	config   *Config
	registry Registry
	log      *slog.Logger
	group    *leaseholder.Group
	client   http.Client
	member   string // name of this process as a member of the fleet

	servers map[string]*serverState
}

// serverState is what this warden has last reported about a server, and the number of its failed health checks.
type serverState struct {
	reported   rollout.Unit
	reportedAt time.Time
	misses     int // consecutive failed health checks
}

// New returns a warden for a registry. Its name as a member of the fleet is member.
func New(c *Config, r Registry, member string, log *slog.Logger) *Warden {
	return &Warden{config: c, registry: r, member: member, log: log.With("registry", c.Name), client: http.Client{Timeout: c.Look.Duration},
		group: &leaseholder.Group{Coordinators: c.Coordinators, Via: c.Via, Try: attemptTimeout}}
}

// LeaseName returns the name of the lease that a warden of this registry must hold to act.
func (c *Config) LeaseName() string { return "tables:" + c.Name }

// Run acquires the lease, reports and drains servers while it holds it, and waits for it again after losing it. It
// returns when ctx ends.
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
		w.log.Info("drain controller active: lease acquired")
		w.servers = map[string]*serverState{}
		w.reconcileLoop(ctx, l)
		releaseCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		l.Release(releaseCtx)
		cancel()
	}
	return nil
}

// reconcileLoop calls reconcile at each interval until ctx ends or the lease is lost.
func (w *Warden) reconcileLoop(ctx context.Context, l *leaseholder.Lease) {
	ticker := time.NewTicker(w.config.Look.Duration)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.Lost():
			w.log.Warn("drain controller inactive: lease lost", "cause", string(l.Cause()))
			return
		case <-ticker.C:
		}
		if err := w.reconcile(ctx, l); err != nil && ctx.Err() == nil {
			w.log.Warn("reconciling the registry with the fleet's log failed", "err", err)
		}
	}
}

// reconcile checks the health of every server, sets its state in the registry as the log requires, and reports what
// changed to the coordinators.
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
	// A unit that the registry no longer lists counts as out until an operator removes it with Forget.
	for id, u := range fleet.Budget.Units {
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

// ownsUnit reports whether a unit belongs to this registry: this warden has seen it, or no member observes it as up.
func (w *Warden) ownsUnit(fleet *rollout.Fleet, id string) bool {
	return w.servers[id] != nil || !fleet.Budget.Units[id].Up
}

// applyDrain sets the state of a server in the registry as the log requires. It returns whether the server is draining
// afterwards.
func (w *Warden) applyDrain(ctx context.Context, l *leaseholder.Lease, fleet *rollout.Fleet, s Server) (draining bool, err error) {
	permit := fleet.Budget.Permits[s.ID]
	if permit == nil {
		return s.Draining, nil // if an operator drains it by hand, it counts as out
	}
	drain := fleet.Drains[permit.Change]
	if drain == nil {
		return s.Draining, nil
	}
	setDraining := func(draining bool) error {
		token, _, held := l.Token()
		if !held {
			return fmt.Errorf("server %s: not drained or restored: the warden has lost its lease", s.ID)
		}
		w.log.Info("setting the server's state in the registry", "server", s.ID, "draining", draining, "change", permit.Change, "permit", permit.Token)
		return w.registry.Drain(ctx, s.ID, draining, w.config.LeaseName(), token)
	}
	command := rollout.Command{By: w.config.LeaseName(), Unit: s.ID, Token: permit.Token}
	switch {
	case !drain.Back && !permit.Left:
		command.Op = rollout.Leave
		r, err := coordinator.Change(ctx, w.group, command)
		if err != nil || r.Error != "" { // units that failed since the grant count against the budget; tried again at the next interval
			return s.Draining, err
		}
		return true, setDraining(true)
	case !drain.Back && !s.Draining: // the registry was not told yet, or the server restarted under its name
		return true, setDraining(true)
	case drain.Back && s.Draining:
		return false, setDraining(false)
	case drain.Back && !permit.Returned:
		command.Op = rollout.Return
		if state := w.servers[s.ID]; state != nil {
			// The permit ends with the next report that the server serves, so that report is due even if nothing changes.
			state.reportedAt = time.Time{}
		}
		_, err := coordinator.Change(ctx, w.group, command)
		return false, err
	}
	return s.Draining, nil
}

// observe counts the outcome of a health check and returns the server's state as a unit of the fleet.
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

// stateOf returns what is known about a server. A new one counts as out until it passes a health check.
func (w *Warden) stateOf(id string) *serverState {
	state := w.servers[id]
	if state == nil {
		state = &serverState{misses: maxMisses}
		w.servers[id] = state
	}
	return state
}

// probe reports whether a server passes its health check.
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

// report sends the state of a unit to the coordinators if it has changed or reportInterval has passed.
func (w *Warden) report(ctx context.Context, l *leaseholder.Lease, id string, u rollout.Unit) error {
	state := w.stateOf(id)
	if state.reported == u && time.Since(state.reportedAt) < reportInterval {
		return nil
	}
	token, _, held := l.Token()
	if !held {
		return fmt.Errorf("server %s: not reported: the warden has lost its lease", id)
	}
	r, err := coordinator.Change(ctx, w.group, rollout.Command{Op: rollout.Observe, By: w.config.LeaseName(), Token: token, Unit: id, Observed: &u})
	if err == nil && r.Error != "" {
		err = fmt.Errorf("server %s: report rejected: %s", id, r.Error)
	}
	if err == nil {
		state.reported, state.reportedAt = u, time.Now()
	}
	return err
}
