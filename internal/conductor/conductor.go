// Package conductor moves releases on: a task under a lease that any process may have. It only asks; what may happen
// is in the coordinators' log, and another conductor goes on from there at any moment.
package conductor

import (
	"context"
	"log/slog"
	"time"

	"junctionring/internal/coordinator"
	"junctionring/internal/leaseholder"
	"junctionring/rollout"
)

const (
	// Lease is the lease that conductors act under.
	Lease     = "fleet-conductor"
	lookEvery = 300 * time.Millisecond
	callWait  = 3 * time.Second
)

// Conductor watches over releases.
type Conductor struct {
	Client *leaseholder.Client
	Group  *leaseholder.Group
	Log    *slog.Logger
	Stop   func(m rollout.Move) // for tests: called before a move is sent; nil: nothing
	sights map[string]*sight
}

// sight is what this conductor has seen of a release since it saw its stage and wave first.
type sight struct {
	stage rollout.Stage
	wave  int
	since time.Time
	base  map[string]map[string]rollout.Count // by unit, at the beginning
	insts map[string]string                   // the process that those counts are of
}

// Run conducts until ctx ends: it waits for the lease, acts while it has it, and waits again when it is lost.
func (c *Conductor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l, err := c.Client.Acquire(ctx, Lease)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		c.Log.Info("conducts from now on")
		c.sights = map[string]*sight{}
		look := time.NewTicker(lookEvery)
	held:
		for {
			select {
			case <-ctx.Done():
				break held
			case <-l.Lost():
				c.Log.Warn("conducts no more", "cause", string(l.Cause()))
				break held
			case <-look.C:
				c.look(ctx, l)
			}
		}
		look.Stop()
		free, done := context.WithTimeout(context.Background(), time.Second)
		l.Release(free)
		done()
	}
	return nil
}

func (c *Conductor) look(ctx context.Context, l *leaseholder.Lease) {
	call, done := context.WithTimeout(ctx, callWait)
	defer done()
	f, err := coordinator.View(call, c.Group, 1<<62)
	if err != nil {
		return
	}
	for id, p := range f.Plans {
		if p.Over() {
			delete(c.sights, id)
			continue
		}
		m, ok := p.Next(f.Budget, c.see(id, p, f))
		if !ok {
			continue
		}
		if c.Stop != nil {
			c.Stop(m)
		}
		token, _, may := l.Token()
		if !may {
			return
		}
		m.Token = token // a conductor that was stopped here is turned away by it
		r, err := coordinator.Change(call, c.Group, rollout.Command{Op: rollout.MoveRelease, By: "conductor", Move: &m})
		c.Log.Info("moves", "release", id, "from", m.Stage, "to", m.To, "wave", m.Wave+1, "why", m.Why, "refused", r.Error, "err", err)
	}
}

// see is what the gateways' figures say since this stage and wave were first seen here.
func (c *Conductor) see(id string, p *rollout.Plan, f *rollout.Fleet) rollout.Observation {
	s := c.sights[id]
	if s == nil || s.stage != p.Stage || s.wave != p.Wave {
		s = &sight{stage: p.Stage, wave: p.Wave, since: time.Now(), base: map[string]map[string]rollout.Count{}, insts: map[string]string{}}
		c.sights[id] = s
	}
	look := rollout.Observation{Since: time.Since(s.since), Changed: map[string]rollout.Count{}, Others: map[string]rollout.Count{}, Fresh: true}
	for unit, u := range f.Budget.Units {
		_, mine := p.From[unit]
		if mine && u.Lost && p.RunningVersion(u) == p.To {
			look.Fresh = false
		}
		figures, known := f.Figures[unit]
		if !known {
			look.Fresh = look.Fresh && !(mine && p.RunningVersion(u) == p.To)
			continue
		}
		if s.insts[unit] != u.Instance {
			s.insts[unit], s.base[unit] = u.Instance, figures
		}
		side := look.Others
		if p.RunningVersion(u) == p.To {
			side = look.Changed
		}
		for class, n := range figures {
			had, sum := s.base[unit][class], side[class]
			side[class] = rollout.Count{Asked: sum.Asked + n.Asked - min(n.Asked, had.Asked), Failed: sum.Failed + n.Failed - min(n.Failed, had.Failed),
				Late: sum.Late + n.Late - min(n.Late, had.Late)}
		}
	}
	return look
}
