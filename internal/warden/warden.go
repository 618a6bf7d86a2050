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
	callWait  = 3 * time.Second
	tryWait   = time.Second
	tellEvery = 10 * time.Second // also where nothing changed
	asksMost  = 16               // servers asked at once
	missesOut = 2                // looks in a row without an answer, and a server counts as out
)

// Warden is the actor. Run runs it.
type Warden struct {
	c        *Config
	registry Registry
	log      *slog.Logger
	group    *leaseholder.Group
	client   http.Client
	me       string

	seen map[string]*seen
}

// seen is what this warden knows of one server.
type seen struct {
	told   rollout.Unit
	toldAt time.Time
	misses int
}

// New makes a warden over a registry.
func New(c *Config, r Registry, me string, log *slog.Logger) *Warden {
	return &Warden{c: c, registry: r, me: me, log: log.With("registry", c.Name), client: http.Client{Timeout: c.Look.Duration},
		group: &leaseholder.Group{Coordinators: c.Coordinators, Via: c.Via, Try: tryWait}}
}

// Lease is the lease that the wardens of one registry act under.
func (c *Config) Lease() string { return "tables:" + c.Name }

// Run watches until ctx ends: it waits for the lease, acts while it has it, and waits again when it is lost.
func (w *Warden) Run(ctx context.Context) error {
	defer w.group.Close()
	session, err := leaseholder.Start(context.Background(), leaseholder.Options{Coordinators: w.c.Coordinators, Via: w.c.Via, Life: w.c.Life.Duration, Log: w.log,
		Member: lease.Member{Kind: coordinator.WardenKind, Name: w.me, Site: w.c.Site}})
	if err != nil {
		return err
	}
	defer func() {
		last, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		session.Close(last)
	}()
	for ctx.Err() == nil {
		l, err := session.Acquire(ctx, w.c.Lease())
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		w.log.Info("watches from now on")
		w.seen = map[string]*seen{}
		w.watch(ctx, l)
		free, done := context.WithTimeout(context.Background(), time.Second)
		l.Release(free)
		done()
	}
	return nil
}

func (w *Warden) watch(ctx context.Context, l *leaseholder.Lease) {
	look := time.NewTicker(w.c.Look.Duration)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.Lost():
			w.log.Warn("watches no more", "cause", string(l.Cause()))
			return
		case <-look.C:
		}
		if err := w.look(ctx, l); err != nil && ctx.Err() == nil {
			w.log.Warn("a look failed", "err", err)
		}
	}
}

// look sees every server, tells what changed, and has the registry say what the log calls for.
func (w *Warden) look(ctx context.Context, l *leaseholder.Lease) error {
	call, done := context.WithTimeout(ctx, callWait)
	defer done()
	servers, err := w.registry.List(call)
	if err != nil {
		return err
	}
	alive := make([]bool, len(servers))
	var asks sync.WaitGroup
	room := make(chan struct{}, asksMost)
	for i, s := range servers {
		room <- struct{}{}
		asks.Go(func() {
			alive[i] = w.alive(call, s.Address)
			<-room
		})
	}
	asks.Wait()
	f, err := coordinator.View(call, w.group, 1<<62)
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for i, s := range servers {
		listed[s.ID] = true
		told, err := w.carryOut(call, l, f, s)
		if err != nil {
			return err
		}
		if err := w.tell(call, l, s.ID, w.unit(s, alive[i], told)); err != nil {
			return err
		}
	}
	for id, u := range f.Budget.Units { // one that the registry doesn't list any more is missed until somebody forgets it
		if u.Kind == rollout.KindTable && u.Site == w.c.Site && !listed[id] && w.mine(f, id) {
			gone := *u
			gone.Up, gone.Warm, gone.By = false, false, w.me
			if err := w.tell(call, l, id, gone); err != nil {
				return err
			}
		}
	}
	return nil
}

// mine tells whether a unit is this registry's: this warden has told of it, or nobody who is there does.
func (w *Warden) mine(f *rollout.Fleet, id string) bool {
	return w.seen[id] != nil || !f.Budget.Units[id].Up
}

// carryOut has the registry say of a server what the log calls for, and returns whether it drains by that.
func (w *Warden) carryOut(ctx context.Context, l *leaseholder.Lease, f *rollout.Fleet, s Server) (draining bool, err error) {
	p := f.Budget.Permits[s.ID]
	if p == nil {
		return s.Draining, nil // also where somebody drains it by hand: it is out
	}
	d := f.Drains[p.Change]
	if d == nil {
		return s.Draining, nil
	}
	set := func(draining bool) error {
		token, _, may := l.Token()
		if !may {
			return fmt.Errorf("%s: the lease is lost", s.ID)
		}
		w.log.Info("tells the registry", "server", s.ID, "draining", draining, "change", p.Change, "permit", p.Token)
		return w.registry.Drain(ctx, s.ID, draining, w.c.Lease(), token)
	}
	of := rollout.Command{By: w.c.Lease(), Unit: s.ID, Token: p.Token}
	switch {
	case !d.Back && !p.Left:
		of.Op = rollout.Leave
		r, err := coordinator.Change(ctx, w.group, of)
		if err != nil || r.Error != "" { // what crashed since counts: it is asked again with the next look
			return s.Draining, err
		}
		return true, set(true)
	case !d.Back && !s.Draining: // told late, or it came back under its name
		return true, set(true)
	case d.Back && s.Draining:
		return false, set(false)
	case d.Back && !p.Returned:
		of.Op = rollout.Return
		if k := w.seen[s.ID]; k != nil {
			k.toldAt = time.Time{} // the permit ends with the next word that it serves, though nothing changes by then
		}
		_, err := coordinator.Change(ctx, w.group, of)
		return false, err
	}
	return s.Draining, nil
}

// unit is a server as it is seen now.
func (w *Warden) unit(s Server, alive, draining bool) rollout.Unit {
	k := w.know(s.ID)
	if k.misses++; alive {
		k.misses = 0
	}
	u := rollout.Unit{Kind: rollout.KindTable, Site: w.c.Site, Zone: s.Zone, Capacity: w.c.Capacity * s.Weight, By: w.me, Up: !draining && k.misses < missesOut}
	u.Warm = u.Up
	if !s.Started.IsZero() {
		u.Instance = s.Started.UTC().Format(time.RFC3339Nano)
		u.Warm = u.Up && time.Since(s.Started) >= w.c.Warm.Duration
	}
	return u
}

// know is what is known of a server; one that was not seen yet counts as out until it answers.
func (w *Warden) know(id string) *seen {
	k := w.seen[id]
	if k == nil {
		k = &seen{misses: missesOut}
		w.seen[id] = k
	}
	return k
}

func (w *Warden) alive(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+w.c.Health, nil)
	if err != nil {
		return false
	}
	a, err := w.client.Do(r)
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

func (w *Warden) tell(ctx context.Context, l *leaseholder.Lease, id string, u rollout.Unit) error {
	k := w.know(id)
	if k.told == u && time.Since(k.toldAt) < tellEvery {
		return nil
	}
	token, _, may := l.Token()
	if !may {
		return fmt.Errorf("%s: the lease is lost", id)
	}
	r, err := coordinator.Change(ctx, w.group, rollout.Command{Op: rollout.Observe, By: w.c.Lease(), Token: token, Unit: id, Observed: &u})
	if err == nil && r.Error != "" {
		err = fmt.Errorf("%s: %s", id, r.Error)
	}
	if err == nil {
		k.told, k.toldAt = u, time.Now()
	}
	return err
}
