package fleet

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/lab/proc"
	"junctionring/internal/standin"
	"junctionring/rollout"
)

// Fault is one thing that may go wrong. Run throws it, mends what it broke, and tells whether it was seen to strike.
type Fault struct {
	Name string
	Run  func(ctx context.Context, r *Rig) (struck bool, err error)
}

// Faults are all of them.
var Faults = []Fault{
	{"a gateway killed", func(ctx context.Context, r *Rig) (bool, error) {
		return r.killGateways(ctx, 1)
	}},
	{"five gateways killed at once", func(ctx context.Context, r *Rig) (bool, error) {
		return r.killGateways(ctx, 5)
	}},
	{"a gateway paused", func(ctx context.Context, r *Rig) (bool, error) {
		g := r.gateways[r.rng.IntN(len(r.gateways))]
		return r.pauseGateway(ctx, g, r.between(time.Second, 4*time.Second))
	}},
	{"an agent killed", func(ctx context.Context, r *Rig) (bool, error) {
		return r.killAgent(ctx, r.gateways[r.rng.IntN(len(r.gateways))])
	}},
	{"an agent killed in the middle of a replacement", func(ctx context.Context, r *Rig) (bool, error) {
		g := r.leaving(ctx)
		if g == nil {
			return false, nil
		}
		return r.killAgent(ctx, g)
	}},
	{"an agent paused past its session", func(ctx context.Context, r *Rig) (bool, error) {
		g := r.leaving(ctx)
		if g == nil {
			g = r.gateways[r.rng.IntN(len(r.gateways))]
		}
		stood, err := g.Freeze(ctx, r.o.Life*3/2)
		return stood && r.noted(ctx, g.id, "is silent"), err
	}},
	{"a third of the agents cut off from all coordinators", func(ctx context.Context, r *Rig) (bool, error) {
		return r.cut(ctx, r.o.Life*2, (*standin.Link).Cut, -1)
	}},
	{"a third of the agents' links silent", func(ctx context.Context, r *Rig) (bool, error) {
		return r.cut(ctx, r.o.Life*2, (*standin.Link).Silence, -1)
	}},
	{"a third of the agents cut off from the leader", func(ctx context.Context, r *Rig) (bool, error) {
		return r.cut(ctx, r.o.Life, (*standin.Link).Cut, r.leader(ctx))
	}},
	{"the leader killed", func(ctx context.Context, r *Rig) (bool, error) {
		i := r.leader(ctx)
		if i < 0 {
			return false, nil
		}
		r.nodes[i].Kill()
		proc.Wait(ctx, r.between(time.Second, 4*time.Second))
		to := r.leader(ctx)
		return to >= 0 && to != i, r.startNode(i)
	}},
	{"the leader paused", func(ctx context.Context, r *Rig) (bool, error) {
		i := r.leader(ctx)
		if i < 0 {
			return false, nil
		}
		return r.nodes[i].Freeze(ctx, r.between(r.o.Life, 2*r.o.Life))
	}},
	{"all coordinators gone", func(ctx context.Context, r *Rig) (bool, error) {
		return r.withoutCoordinators(ctx, r.between(time.Second, 2*r.o.Life))
	}},
	{"both conductors killed", func(ctx context.Context, r *Rig) (bool, error) {
		for _, p := range r.conduct {
			p.Kill()
		}
		proc.Wait(ctx, r.between(0, r.o.Life))
		for _, p := range r.conduct {
			if err := r.startConductor(p); err != nil {
				return false, err
			}
		}
		return true, nil
	}},
	{"a conductor paused past its lease", func(ctx context.Context, r *Rig) (bool, error) {
		return r.conduct[r.rng.IntN(len(r.conduct))].Freeze(ctx, 2*r.o.Life)
	}},
	{"a warden killed", func(ctx context.Context, r *Rig) (bool, error) {
		p := r.wardens[r.rng.IntN(len(r.wardens))]
		p.Kill()
		proc.Wait(ctx, r.between(0, r.o.Life))
		return true, r.startWarden(p)
	}},
}

func (r *Rig) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.rng.Int64N(int64(max(1, most-least))))
}

func (r *Rig) killGateways(ctx context.Context, n int) (struck bool, err error) {
	struck = true
	for _, i := range r.rng.Perm(len(r.gateways))[:min(n, len(r.gateways))] {
		g := r.gateways[i]
		pids := r.Judge.pids(g.id)
		defer r.Judge.strike(g.id)()
		for _, p := range pids {
			if err := syscall.Kill(p.pid, syscall.SIGKILL); err != nil && err != syscall.ESRCH {
				return false, err
			}
		}
		struck = struck && len(pids) > 0
		defer func() { // seen with another process, started by its agent
			struck = struck && r.eventually(ctx, 20*time.Second, func() bool {
				now := r.Judge.pids(g.id)
				return len(now) > 0 && now[0].pid != pids[0].pid
			})
		}()
	}
	return struck, nil
}

func (r *Rig) pauseGateway(ctx context.Context, g *gateway, d time.Duration) (bool, error) {
	pids := r.Judge.pids(g.id)
	if len(pids) == 0 {
		return false, nil
	}
	defer r.Judge.strike(g.id)()
	stood, err := proc.Freeze(ctx, pids[0].pid, d)
	if err == syscall.ESRCH { // it was replaced meanwhile, or killed for not ending
		return false, nil
	}
	return stood, err
}

// killAgent kills an agent; after a while another one goes on in its place.
func (r *Rig) killAgent(ctx context.Context, g *gateway) (bool, error) {
	g.Kill()
	proc.Wait(ctx, r.between(0, r.o.Life))
	return true, r.startAgent(g)
}

// leaving is a gateway that is out under a permit just now; nil: there is none for a while.
func (r *Rig) leaving(ctx context.Context) (g *gateway) {
	r.eventually(ctx, 10*time.Second, func() bool {
		f, err := r.View(ctx)
		if err != nil {
			return false
		}
		for _, one := range r.gateways {
			if p := f.Budget.Permits[one.id]; p != nil && p.Left && !p.Returned {
				g = one
				return true
			}
		}
		return false
	})
	return g
}

// cut strikes the links of one group of agents: to one coordinator, or all (-1).
func (r *Rig) cut(ctx context.Context, d time.Duration, how func(*standin.Link), to int) (bool, error) {
	group := r.rng.IntN(len(r.links))
	var links []*standin.Link
	for i, l := range r.links[group] {
		if to < 0 || i == to {
			links = append(links, l)
		}
	}
	met := 0
	for _, l := range links {
		met -= l.Met()
		how(l)
	}
	proc.Wait(ctx, d)
	struck := true
	if to < 0 {
		struck = false
		for _, g := range r.gateways {
			if g.group == group && r.noted(ctx, g.id, "is silent") {
				struck = true
				break
			}
		}
	}
	for _, l := range links {
		met += l.Met()
		if err := l.Heal(); err != nil {
			return false, err
		}
	}
	return struck && (met > 0 || to < 0), nil
}

// withoutCoordinators kills all coordinators for a time.
func (r *Rig) withoutCoordinators(ctx context.Context, d time.Duration) (bool, error) {
	for _, p := range r.nodes {
		p.Kill()
	}
	_, err := r.View(ctx)
	proc.Wait(ctx, d)
	for i := range r.nodes {
		if err := r.startNode(i); err != nil {
			return false, err
		}
	}
	return err != nil, nil
}

// noted tells whether one of the fleet's newest notes says so of a unit.
func (r *Rig) noted(ctx context.Context, unit, what string) bool {
	return r.eventually(ctx, 3*time.Second, func() bool {
		f, err := r.View(ctx)
		if err != nil {
			return false
		}
		for _, n := range f.Notes[max(0, len(f.Notes)-200):] {
			if n.By == unit && len(n.What) >= len(what) && n.What[:len(what)] == what {
				return true
			}
		}
		return false
	})
}

func (r *Rig) eventually(ctx context.Context, within time.Duration, so func() bool) bool {
	by := time.Now().Add(within)
	for time.Now().Before(by) && ctx.Err() == nil {
		if so() {
			return true
		}
		proc.Wait(ctx, 100*time.Millisecond)
	}
	return so()
}

// leader is the coordinator that leads; -1: none.
func (r *Rig) leader(ctx context.Context) int {
	at, term := -1, uint64(0)
	for i, p := range r.nodes {
		if !p.Running() || p.Stopped {
			continue
		}
		if s, err := r.status(ctx, i); err == nil && s.Leader == s.Id && s.Term > term {
			at, term = i, s.Term
		}
	}
	return at
}

func (r *Rig) status(ctx context.Context, i int) (*leasepb.StatusAnswer, error) {
	return leasepb.Status(ctx, r.listens[i], 500*time.Millisecond)
}

// Throw throws random faults, one after the other, until ctx ends or so many were thrown.
func (r *Rig) Throw(ctx context.Context, most int, pause time.Duration) (thrown int, err error) {
	for thrown < most && ctx.Err() == nil {
		proc.Wait(ctx, r.between(pause/2, pause))
		if ctx.Err() != nil {
			break
		}
		f := Faults[r.rng.IntN(len(Faults))]
		r.say("fault: %s", f.Name)
		whole := context.WithoutCancel(ctx) // what it broke is mended, whatever ends meanwhile
		struck, err := f.Run(whole, r)
		if err != nil {
			return thrown, fmt.Errorf("%s: %w", f.Name, err)
		}
		thrown++
		r.met(f.Name, struck)
		r.say("ended: %s, struck %v", f.Name, struck)
	}
	return thrown, nil
}

// over waits until a release is at its end.
func (r *Rig) over(ctx context.Context, id string, within time.Duration) (p *rollout.Plan, err error) {
	err = r.Await(ctx, within, "release "+id+" is over", func(f *rollout.Fleet) bool {
		p = f.Plans[id]
		return p != nil && p.Over()
	})
	return p, err
}
