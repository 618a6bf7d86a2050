// Package agent stands beside one gateway: it keeps the gateway's process at work, tells the coordinators what it
// sees of it, and replaces it by another version when a release says so and a permit allows it. What it has begun
// under a permit it finishes or backs out, also when the coordinators are gone; without one it begins nothing.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"time"

	"junctionring/internal/coordinator"
	"junctionring/internal/leaseholder"
	"junctionring/lease"
	"junctionring/rollout"
)

const (
	lookEvery   = 200 * time.Millisecond
	tellEvery   = 2 * time.Second // also where nothing changed
	askEvery    = 500 * time.Millisecond
	callWait    = 3 * time.Second
	againAfter  = time.Second // a gateway that ended by itself is started again
	permitShare = 3           // a permit's time is this many times what a replacement may take
)

// Agent is the actor beside a gateway.
type Agent struct {
	c       *Config
	log     *slog.Logger
	now     *process  // nil: none runs
	since   time.Time // it is ready
	ready   bool
	told    rollout.Unit
	toldAt  time.Time
	asked   time.Time
	figures map[string]rollout.Count
	rate    float64
	counted time.Time
	done    chan outcome // of the replacement that is under way
	busy    bool
	failed  time.Time // the gateway ended by itself
}

// outcome is what a replacement came to.
type outcome struct {
	next *process // that serves now
	why  string   // it is the old one, and this is why
}

// New makes an agent. Run starts it.
func New(c *Config, log *slog.Logger) *Agent {
	return &Agent{c: c, log: log.With("gateway", c.Name), done: make(chan outcome, 1)}
}

// Run works until ctx ends. The gateway goes on; the next agent finds it.
func (a *Agent) Run(ctx context.Context) error {
	session, err := leaseholder.Start(context.Background(), leaseholder.Options{Coordinators: a.c.Coordinators, Life: a.c.Life.Duration, Log: a.log,
		Member: lease.Member{Kind: coordinator.AgentKind, Name: a.c.Name, Site: a.c.Site}})
	if err != nil {
		return err
	}
	defer func() {
		last, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		session.Close(last)
	}()
	if r, ok, err := loadRunning(a.c.State); err != nil {
		return fmt.Errorf("state: %w", err)
	} else if ok {
		if a.now = adopt(r); a.now == nil {
			a.c.Program.Version = r.Version // it ran last: its process is gone
		} else {
			a.log.Info("goes on with the gateway that runs", "version", r.Version, "pid", r.PID)
		}
	}
	if a.now == nil {
		if err := a.begin(a.c.Program.Version); err != nil {
			return err
		}
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			if a.busy { // what was begun is finished
				a.take(<-a.done)
			}
			return nil
		case o := <-a.done:
			a.take(o)
		case <-look.C:
		}
		a.look()
		a.tell(ctx)
		if !a.busy && time.Since(a.asked) > askEvery {
			a.asked = time.Now()
			a.work(ctx)
		}
	}
}

func (a *Agent) begin(version string) error {
	p, err := start(a.c, version, a.c.Program.Management[0])
	if err != nil {
		return err
	}
	a.now, a.ready = p, false
	a.log.Info("started", "version", version, "pid", p.PID)
	return p.save(a.c.State)
}

func (a *Agent) take(o outcome) {
	a.busy = false
	if o.why != "" {
		a.log.Error("not replaced: the old version serves on", "err", o.why)
		return
	}
	a.now, a.ready = o.next, false
	a.toldAt = time.Time{}
	if err := a.now.save(a.c.State); err != nil {
		a.log.Error("what runs can't be kept for the next agent", "err", err)
	}
}

// look sees how the gateway is, and starts it again where it ended by itself.
func (a *Agent) look() {
	if a.busy {
		return // between two processes: it is out until the replacement has ended
	}
	if !a.now.alive() {
		if a.ready || a.failed.IsZero() {
			a.log.Error("the gateway ended by itself", "version", a.now.Version)
			a.failed, a.ready = time.Now(), false
		}
		if time.Since(a.failed) > againAfter {
			a.failed = time.Now()
			if err := a.begin(a.now.Version); err != nil {
				a.log.Error("it can't be started again", "err", err)
			}
		}
		return
	}
	ready := a.now.ready()
	if ready && !a.ready {
		a.since, a.failed = time.Now(), time.Time{}
	}
	a.ready = ready
	if f, err := a.now.figures(); err == nil {
		var served, before uint64
		for class, c := range f {
			served += c.Asked
			before += a.figures[class].Asked
		}
		if span := time.Since(a.counted).Seconds(); span >= 1 {
			if served >= before && !a.counted.IsZero() {
				a.rate = float64(served-before) / span
			}
			a.figures, a.counted = f, time.Now()
		}
	}
}

// tell tells the coordinators what is seen.
func (a *Agent) tell(ctx context.Context) {
	u := rollout.Unit{Kind: "gateway", Site: a.c.Site, Zone: a.c.Zone, Capacity: a.c.Capacity, Version: a.now.Version,
		Instance: fmt.Sprintf("%d-%s", a.now.PID, a.now.Began), Up: a.ready && !a.busy}
	u.Warm = u.Up && time.Since(a.since) >= a.c.Program.Learn.Duration
	due := time.Since(a.toldAt) >= tellEvery
	if u.Load = a.told.Load; due { // a load that moves is no reason to tell sooner
		u.Load = a.rate
	}
	if !due && u == a.told {
		return
	}
	call, done := context.WithTimeout(ctx, callWait)
	defer done()
	if _, err := coordinator.Change(call, a.c.Coordinators, rollout.Command{Op: rollout.See, Unit: a.c.Name, Seen: &u, Figures: maps.Clone(a.figures)}); err != nil {
		a.log.Warn("the coordinators were not told", "err", err)
		return
	}
	a.told, a.toldAt = u, time.Now()
}

// work asks what is to be done, and for the permit to do it.
func (a *Agent) work(ctx context.Context) {
	call, done := context.WithTimeout(ctx, callWait)
	defer done()
	f, err := coordinator.View(call, a.c.Coordinators, 1<<62)
	if err != nil {
		return
	}
	task := f.Task(a.c.Name)
	if p := f.Budget.Permits[a.c.Name]; p != nil && !p.Returned && f.Plans[p.Change] != nil && (task.Change != p.Change || task.Version == "") {
		// A permit of a release that doesn't want anything of this unit any more, or of an agent before that ended
		// in the middle: the gateway serves as it is.
		coordinator.Change(call, a.c.Coordinators, a.returned(p.Token)) // where it is not heard, the next look says it again
		return
	}
	if task.Change == "" || task.Version == "" || task.Version == a.now.Version {
		return
	}
	if _, err := verify(a.c, task.Version); err != nil {
		coordinator.Change(call, a.c.Coordinators, a.failure(task.Change, err.Error()))
		return
	}
	life := permitShare * (a.c.Program.Ready.Duration + a.c.Program.Drain.Duration + a.c.Program.Learn.Duration)
	r, err := coordinator.Change(call, a.c.Coordinators, rollout.Command{Op: rollout.Want, By: a.c.Name, Unit: a.c.Name, Change: task.Change, Life: life})
	if err != nil || r.Error != "" {
		return // it waits
	}
	if l, err := coordinator.Change(call, a.c.Coordinators, rollout.Command{Op: rollout.Leave, By: a.c.Name, Unit: a.c.Name, Token: r.Token}); err != nil || l.Error != "" {
		return // asked again with the next look
	}
	a.busy = true
	a.log.Info("replaces the gateway", "from", a.now.Version, "to", task.Version, "change", task.Change, "permit", r.Token)
	go a.replace(a.now, task, r.Token)
}

// replace starts the new version beside the old one and ends the old one when the new one is ready, or ends the new
// one and keeps the old. It needs nobody until it is through; then it says so until it is heard.
func (a *Agent) replace(old *process, task rollout.Task, permit uint64) {
	address := a.c.Program.Management[0]
	if old.Management == address {
		address = a.c.Program.Management[1]
	}
	next, err := start(a.c, task.Version, address)
	why := ""
	if err != nil {
		why = err.Error()
	} else if why = waitReady(next, a.c.Program.Ready.Duration); why != "" {
		next.end(time.Second)
	}
	ctx := context.Background()
	if why != "" {
		a.done <- outcome{why: why}
		a.say(ctx, a.failure(task.Change, why))
	} else {
		if old.alive() {
			old.end(a.c.Program.Drain.Duration)
		}
		a.done <- outcome{next: next}
	}
	a.say(ctx, a.returned(permit))
}

func waitReady(p *process, within time.Duration) (why string) {
	by := time.After(within)
	for {
		if p.ready() {
			return ""
		}
		select {
		case <-p.ended:
			return fmt.Sprintf("version %s ended before it was ready", p.Version)
		case <-by:
			return fmt.Sprintf("version %s was not ready within %v", p.Version, within)
		case <-time.After(lookEvery / 4):
		}
	}
}

// returned says that the gateway is to serve again. The permit ends when it is seen to.
func (a *Agent) returned(permit uint64) rollout.Command {
	return rollout.Command{Op: rollout.Return, By: a.c.Name, Unit: a.c.Name, Token: permit}
}

func (a *Agent) failure(change, why string) rollout.Command {
	return rollout.Command{Op: rollout.Fail, By: a.c.Name, Unit: a.c.Name, Change: change, Why: why}
}

// say says something until it is heard.
func (a *Agent) say(ctx context.Context, c rollout.Command) {
	for ctx.Err() == nil {
		call, done := context.WithTimeout(ctx, callWait)
		_, err := coordinator.Change(call, a.c.Coordinators, c)
		done()
		if err == nil {
			return
		}
		a.log.Warn("not heard by the coordinators", "op", c.Op, "err", err)
		time.Sleep(askEvery)
	}
}
