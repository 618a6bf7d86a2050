// Package conductor is the release controller: under a lease that any process may hold, it moves each release to its
// next stage or wave. It decides nothing about what is allowed: the coordinators accept or reject each move, and the
// state of a release is in their log, so that another conductor can continue from there at any moment.
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
	// LeaseName is the name of the lease that a conductor must hold to act.
	LeaseName     = "fleet-conductor"
	checkInterval = 300 * time.Millisecond
	callTimeout   = 3 * time.Second
)

// Conductor moves the releases of a fleet through their stages and waves. Run runs it.
type Conductor struct {
	Client     *leaseholder.Client
	Group      *leaseholder.Group
	Log        *slog.Logger
	BeforeMove func(m rollout.Move) // for tests: called before a move is sent; may be nil
	baselines  map[string]*stageBaseline
}

// stageBaseline records the request counts at the time when this conductor first saw a release in its present stage and
// wave.
type stageBaseline struct {
	stage     rollout.Stage
	wave      int
	since     time.Time
	counts    map[string]map[string]rollout.Count // by unit and class, when the process was first seen in this stage
	instances map[string]string                   // by unit: the process that the counts belong to
}

// Run acquires the lease, moves releases while it holds it, and waits for it again after losing it. It returns when ctx
// ends.
func (c *Conductor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l, err := c.Client.Acquire(ctx, LeaseName)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		c.Log.Info("release controller active: lease acquired")
		c.baselines = map[string]*stageBaseline{}
		ticker := time.NewTicker(checkInterval)
	held:
		for {
			select {
			case <-ctx.Done():
				break held
			case <-l.Lost():
				c.Log.Warn("release controller inactive: lease lost", "cause", string(l.Cause()))
				break held
			case <-ticker.C:
				c.advance(ctx, l)
			}
		}
		ticker.Stop()
		releaseCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		l.Release(releaseCtx)
		cancel()
	}
	return nil
}

// advance sends the next move of each release that has one due.
func (c *Conductor) advance(ctx context.Context, l *leaseholder.Lease) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fleet, err := coordinator.View(callCtx, c.Group, 1<<62)
	if err != nil {
		return
	}
	for id, plan := range fleet.Plans {
		if plan.Over() {
			delete(c.baselines, id)
			continue
		}
		move, due := plan.Next(fleet.Budget, c.observe(id, plan, fleet))
		if !due {
			continue
		}
		if c.BeforeMove != nil {
			c.BeforeMove(move)
		}
		token, _, held := l.Token()
		if !held {
			return
		}
		move.Token = token // the coordinators reject the move of a conductor that was paused here and has lost the lease
		r, err := coordinator.Change(callCtx, c.Group, rollout.Command{Op: rollout.MoveRelease, By: "conductor", Move: &move})
		c.Log.Info("release move sent", "release", id, "from", move.Stage, "to", move.To, "wave", move.Wave+1, "why", move.Why, "refused", r.Error, "err", err)
	}
}

// observe returns the changes in the gateways' request counts since this conductor first saw the release in its present
// stage and wave.
func (c *Conductor) observe(id string, plan *rollout.Plan, fleet *rollout.Fleet) rollout.Observation {
	baseline := c.baselines[id]
	if baseline == nil || baseline.stage != plan.Stage || baseline.wave != plan.Wave {
		baseline = &stageBaseline{stage: plan.Stage, wave: plan.Wave, since: time.Now(), counts: map[string]map[string]rollout.Count{}, instances: map[string]string{}}
		c.baselines[id] = baseline
	}
	observation := rollout.Observation{Since: time.Since(baseline.since), Changed: map[string]rollout.Count{}, Others: map[string]rollout.Count{}, Fresh: true}
	for unit, u := range fleet.Budget.Units {
		_, inRelease := plan.From[unit]
		if inRelease && u.Lost && plan.RunningVersion(u) == plan.To {
			observation.Fresh = false
		}
		figures, known := fleet.Figures[unit]
		if !known {
			observation.Fresh = observation.Fresh && !(inRelease && plan.RunningVersion(u) == plan.To)
			continue
		}
		if baseline.instances[unit] != u.Instance {
			baseline.instances[unit], baseline.counts[unit] = u.Instance, figures
		}
		side := observation.Others
		if plan.RunningVersion(u) == plan.To {
			side = observation.Changed
		}
		for class, n := range figures {
			start, total := baseline.counts[unit][class], side[class]
			side[class] = rollout.Count{Asked: total.Asked + n.Asked - min(n.Asked, start.Asked), Failed: total.Failed + n.Failed - min(n.Failed, start.Failed),
				Late: total.Late + n.Late - min(n.Late, start.Late)}
		}
	}
	return observation
}
