// Package agent stands beside one gateway: it keeps the gateway's process at work, tells the coordinators what it
// sees of it, and replaces it by another version when a release says so and a permit allows it. What it has begun
// under a permit it finishes or backs out, also when the coordinators are gone; without one it begins nothing.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
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
	tryWait     = time.Second // for one coordinator's answer
	permitShare = 3           // a permit's time is this many times what a replacement may take
)

// Agent is the actor beside a gateway. It never waits for the coordinators: talks with them run beside it, one at a time.
type Agent struct {
	c       *Config
	log     *slog.Logger
	group   *leaseholder.Group
	lease   atomic.Pointer[leaseholder.Lease] // who has it speaks and acts for this gateway's name
	now     *process                          // nil: none runs
	since   time.Time                         // it is ready
	ready   bool
	failed  time.Time // the gateway ended by itself
	figures map[string]rollout.Count
	rate    float64
	counted time.Time
	held    map[string]int // work under way at the servers that drain
	drains  []string       // those servers

	done chan outcome // of the change that is under way
	busy bool

	words    chan word // of the talk that is under way
	talking  bool
	told     rollout.Unit
	toldHeld map[string]int
	toldAt   time.Time
	asked    time.Time
	owed     []rollout.Command // to be said before anything new begins, in order
}

// outcome is what a change came to.
type outcome struct {
	next   *process // that serves now
	why    string   // it serves as before, and this is why
	task   rollout.Task
	permit uint64 // 0: it needed none
}

// word is what a talk with the coordinators came to.
type word struct {
	said   int // of what was owed
	told   bool
	unit   rollout.Unit
	held   map[string]int
	heard  bool // what there is to do
	drains []string
	task   rollout.Task // to begin now, where permit is not 0
	permit uint64
	why    string // it can't be begun
}

// New makes an agent. Run starts it.
func New(c *Config, log *slog.Logger) *Agent {
	return &Agent{c: c, log: log.With("gateway", c.Name), done: make(chan outcome, 1), words: make(chan word, 1),
		group: &leaseholder.Group{Coordinators: c.Coordinators, Via: c.Via, Try: tryWait}}
}

// Run works until ctx ends. The gateway goes on; the next agent finds it.
func (a *Agent) Run(ctx context.Context) error {
	defer a.group.Close()
	session, err := leaseholder.Start(context.Background(), leaseholder.Options{Coordinators: a.c.Coordinators, Via: a.c.Via, Life: a.c.Life.Duration, Log: a.log,
		Member: lease.Member{Kind: coordinator.AgentKind, Name: a.c.Name, Site: a.c.Site}})
	if err != nil {
		return err
	}
	defer func() {
		last, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		session.Close(last)
	}()
	own, err := lock(a.c.State + ".lock")
	if err != nil {
		return err
	}
	defer own.Close()
	go a.hold(ctx, session)
	if err := a.find(); err != nil {
		return err
	}
	if a.now == nil {
		if err := a.begin(running{Version: a.c.Program.Version, Config: a.c.Configuration.Version}); err != nil {
			return err
		}
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			a.last()
			return nil
		case o := <-a.done:
			a.take(o)
		case w := <-a.words:
			a.hear(w)
		case <-look.C:
		}
		a.look()
		a.talk(ctx)
	}
}

// hold keeps the lease of this gateway's name: another agent of that name, on another machine say, neither speaks nor
// acts until it is free.
func (a *Agent) hold(ctx context.Context, session *leaseholder.Client) {
	for ctx.Err() == nil {
		l, err := session.Acquire(ctx, "agent:"+a.c.Name)
		if err != nil {
			return // it ends
		}
		a.lease.Store(l)
		select {
		case <-l.Lost():
		case <-ctx.Done():
		}
		a.lease.Store(nil)
		free, done := context.WithTimeout(context.Background(), time.Second)
		l.Release(free)
		done()
	}
}

// holds is the token of that lease; false: this agent may not speak now.
func (a *Agent) holds() (uint64, bool) {
	if l := a.lease.Load(); l != nil {
		token, _, ok := l.Token()
		return token, ok
	}
	return 0, false
}

// last finishes what was begun, and says what is owed while there is time.
func (a *Agent) last() {
	if a.busy {
		a.take(<-a.done)
	}
	if a.talking {
		a.hear(<-a.words)
	}
	call, done := context.WithTimeout(context.Background(), callWait)
	defer done()
	for _, c := range a.owed {
		if _, err := coordinator.Change(call, a.group, c); err != nil {
			a.log.Warn("not heard by the coordinators", "op", c.Op, "err", err)
			return
		}
	}
}

// find goes on with what an agent before this one left, also where that was killed between two processes: the one that
// takes clients stays, and the other one is ended.
func (a *Agent) find() error {
	r, ok, err := loadRunning(a.c.State)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if ok {
		if a.now = adopt(r); a.now == nil {
			a.c.Program.Version, a.c.Configuration.Version = r.Version, r.Config // it ran last: its process is gone
		}
	}
	for _, other := range strays(a.c.State, a.now) {
		stays, ends := a.now, other
		if a.now == nil || !a.now.ready() && other.ready() {
			stays, ends = other, a.now
			stays.Config = a.c.Configuration.Version
			if a.now != nil {
				stays.Config = a.now.Config
			}
		}
		if a.now = stays; ends != nil {
			a.log.Warn("an agent before this one left two processes", "stays", stays.PID, "ends", ends.PID)
			ends.end(a.c.Program.Drain.Duration)
		}
	}
	if a.now == nil {
		return nil
	}
	a.log.Info("goes on with the gateway that runs", "version", a.now.Version, "pid", a.now.PID)
	return a.now.save(a.c.State)
}

// begin starts a gateway where none runs.
func (a *Agent) begin(r running) error {
	p, err := start(a.c, r.Version, a.c.Program.Management[0])
	if err != nil {
		return err
	}
	p.Config = r.Config
	a.now, a.ready = p, false
	a.log.Info("started", "version", r.Version, "pid", p.PID)
	return p.save(a.c.State)
}

// take takes in what a change came to.
func (a *Agent) take(o outcome) {
	a.busy = false
	if o.why != "" {
		a.log.Error("not changed: it serves as before", "err", o.why)
		a.failed = time.Now() // not at once again
		if o.permit != 0 {
			a.owed = append(a.owed, a.failure(o.task.Change, o.why))
		}
	} else {
		if o.next != a.now {
			a.ready = false
		}
		a.now, a.toldAt = o.next, time.Time{}
		if err := a.now.save(a.c.State); err != nil {
			a.log.Error("what runs can't be kept for the next agent", "err", err)
		}
	}
	if o.permit != 0 {
		a.owed = append(a.owed, rollout.Command{Op: rollout.Return, By: a.c.Name, Unit: a.c.Name, Token: o.permit})
	}
}

// look looks after the gateway's process and at its figures.
func (a *Agent) look() {
	if a.busy {
		return // between two processes: it is out until the change has ended
	}
	if !a.now.alive() {
		if a.ready || a.failed.IsZero() {
			a.log.Error("the gateway ended by itself", "version", a.now.Version)
			a.failed, a.ready = time.Now(), false
		}
		if time.Since(a.failed) > againAfter {
			a.failed = time.Now()
			if err := a.begin(a.now.running); err != nil {
				a.log.Error("it can't be started again", "err", err)
			}
		}
		return
	}
	ready := a.now.ready()
	if ready && !a.ready {
		a.since = time.Now()
	}
	if a.ready = ready; !ready {
		return
	}
	if a.c.Configuration.Folder != "" && !a.now.configured && time.Since(a.failed) > againAfter {
		a.reconfigure(rollout.Task{Version: a.now.Config}, 0) // a fresh process has the file's
		return
	}
	a.failed = time.Time{}
	if span := time.Since(a.counted).Seconds(); span >= 1 {
		if f, err := a.now.figures(); err == nil {
			a.count(f, span)
		}
	}
	if a.held = nil; len(a.drains) > 0 {
		if out, err := a.now.draining(); err == nil {
			a.held = map[string]int{}
			for _, server := range a.drains { // one that it still takes for serving is not said
				if n, knows := out[server]; knows {
					a.held[server] = n
				}
			}
		}
	}
}

func (a *Agent) count(f map[string]rollout.Count, span float64) {
	var served, before uint64
	for class, c := range f {
		served += c.Asked
		before += a.figures[class].Asked
	}
	if served >= before && !a.counted.IsZero() {
		a.rate = float64(served-before) / span
	}
	a.figures, a.counted = f, time.Now()
}

// sight is the unit as it is seen now.
func (a *Agent) sight() rollout.Unit {
	u := rollout.Unit{Kind: rollout.KindGateway, Site: a.c.Site, Zone: a.c.Zone, Capacity: a.c.Capacity, Version: a.now.Version,
		Instance: fmt.Sprintf("%d-%s", a.now.PID, a.now.Began), Up: a.ready && !a.busy}
	if a.now.configured {
		u.Config = a.now.Config
	}
	u.Warm = u.Up && time.Since(a.since) >= a.c.Program.Learn.Duration
	return u
}

// talk begins a talk with the coordinators, where one is due and none is under way: what is owed, what is seen, and
// what there is to do.
func (a *Agent) talk(ctx context.Context) {
	token, speaks := a.holds()
	if a.talking || !speaks {
		return
	}
	u := a.sight()
	u.By = a.c.Name
	due := time.Since(a.toldAt) >= tellEvery
	if u.Load = a.told.Load; due { // a load that moves is no reason to tell sooner
		u.Load = a.rate
	}
	tell := due || u != a.told || !maps.Equal(a.held, a.toldHeld)
	ask := !a.busy && time.Since(a.asked) > askEvery
	if !tell && !ask && len(a.owed) == 0 {
		return
	}
	if ask {
		a.asked = time.Now()
	}
	a.talking = true
	now := *a.now
	owed, figures, held := slices.Clone(a.owed), maps.Clone(a.figures), maps.Clone(a.held)
	go func() {
		call, done := context.WithTimeout(ctx, callWait)
		defer done()
		w := word{unit: u, held: held}
		defer func() { a.words <- w }()
		for _, c := range owed {
			if _, err := coordinator.Change(call, a.group, c); err != nil {
				a.log.Warn("not heard by the coordinators", "op", c.Op, "err", err)
				return
			}
			w.said++
		}
		if tell {
			if _, err := coordinator.Change(call, a.group, rollout.Command{Op: rollout.Observe, By: "agent:" + a.c.Name, Token: token, Unit: a.c.Name, Observed: &u, Figures: figures, Held: held}); err != nil {
				a.log.Warn("the coordinators were not told", "err", err)
				return
			}
			w.told = true
		}
		if ask {
			a.ask(call, u, &now, &w)
		}
	}()
}

// hear takes in what a talk came to, and begins what it allows.
func (a *Agent) hear(w word) {
	a.talking = false
	a.owed = a.owed[w.said:]
	if w.told {
		a.told, a.toldHeld, a.toldAt = w.unit, w.held, time.Now()
	}
	if w.heard {
		a.drains = w.drains
	}
	switch {
	case w.why != "":
		a.owed = append(a.owed, a.failure(w.task.Change, w.why))
	case w.permit == 0 || a.busy || len(a.owed) > 0:
	case w.task.Config:
		a.reconfigure(w.task, w.permit)
	default:
		a.busy = true
		a.log.Info("replaces the gateway", "from", a.now.Version, "to", w.task.Version, "change", w.task.Change, "permit", w.permit)
		go a.replace(a.now, w.task, w.permit)
	}
}

// ask asks what there is to do, and for the permit to do it.
func (a *Agent) ask(call context.Context, u rollout.Unit, now *process, w *word) {
	b, err := coordinator.Brief(call, a.group, a.c.Name)
	if err != nil {
		return
	}
	w.heard, w.drains = true, b.Drains
	task := b.Task
	if p := b.Permit; p != nil && !p.Returned && b.Planned && (task.Change != p.Change || task.Version == "") {
		// A permit of a release that doesn't want anything of this unit any more, or of an agent before that ended
		// in the middle: the gateway serves as it is.
		coordinator.Change(call, a.group, rollout.Command{Op: rollout.Return, By: a.c.Name, Unit: a.c.Name, Token: p.Token}) // where it is not heard, the next look says it again
		return
	}
	if task.Change != "" && task.Version == "" {
		if err := a.drain(call, u, now, task, b.Permit); err != nil {
			a.log.Warn("drain", "change", task.Change, "err", err)
		}
		return
	}
	runs := u.Version
	if task.Config {
		runs = u.Config
	}
	if task.Change == "" || task.Version == "" || task.Version == runs {
		return
	}
	w.task = task
	if task.Config {
		_, err = a.c.document(task.Version)
	} else {
		_, err = verify(a.c, task.Version)
	}
	if err != nil {
		w.why = err.Error()
		return
	}
	token := uint64(0)
	if b.Permit != nil && b.Permit.Change == task.Change && !b.Permit.Returned {
		token = b.Permit.Token
	} else if b.Waits {
		return // the ask stands
	} else {
		life := permitShare * (a.c.Program.Ready.Duration + a.c.Program.Drain.Duration + a.c.Program.Learn.Duration)
		r, err := coordinator.Change(call, a.group, rollout.Command{Op: rollout.RequestPermit, By: a.c.Name, Unit: a.c.Name, Change: task.Change, Life: life})
		if err != nil || r.Error != "" {
			return // it waits
		}
		token = r.Token
	}
	if l, err := coordinator.Change(call, a.group, rollout.Command{Op: rollout.Leave, By: a.c.Name, Unit: a.c.Name, Token: token}); err != nil || l.Error != "" {
		return // asked again with the next look
	}
	w.permit = token
}

// drain sends the clients away under a drain's permit, again where the process is another one by now, and takes them
// back when the drain is restored.
func (a *Agent) drain(call context.Context, u rollout.Unit, now *process, task rollout.Task, p *rollout.Permit) error {
	if p == nil || p.Change != task.Change {
		return nil // it waits for its turn
	}
	of := rollout.Command{By: a.c.Name, Unit: a.c.Name, Token: p.Token}
	switch {
	case task.Restore && !p.Returned:
		if err := now.call("rejoin"); err != nil {
			return err
		}
		of.Op = rollout.Return
	case !task.Restore && !p.Left:
		of.Op = rollout.Leave
	case !task.Restore && u.Up:
		return now.call("evacuate")
	default:
		return nil
	}
	r, err := coordinator.Change(call, a.group, of)
	if err == nil && of.Op == rollout.Leave && r.Error == "" {
		return now.call("evacuate")
	}
	return err
}

// replace starts the new process beside the old one, waits until it takes clients, and ends the old one, which hands
// over what it holds. When that fails, the old one serves on. It needs no coordinator until it has ended.
func (a *Agent) replace(old *process, task rollout.Task, permit uint64) {
	address := a.c.Program.Management[0]
	if old.Management == address {
		address = a.c.Program.Management[1]
	}
	o := outcome{task: task, permit: permit}
	next, err := start(a.c, task.Version, address)
	if err != nil {
		o.why = err.Error()
	} else if o.why = waitReady(next, a.c.Program.Ready.Duration); o.why != "" {
		next.end(time.Second)
	} else if next.Config = old.Config; a.c.Configuration.Folder != "" { // before it serves alone
		if o.why = a.c.give(next, old.Config); o.why != "" {
			next.end(a.c.Program.Drain.Duration)
		}
	}
	if o.why == "" {
		if old.alive() {
			old.end(a.c.Program.Drain.Duration)
		}
		o.next = next
	}
	a.done <- o
}

// reconfigure has the process take a configuration, and keep to it. Without a permit it is the one that the process
// was to have anyway.
func (a *Agent) reconfigure(task rollout.Task, permit uint64) {
	a.busy = true
	p := *a.now // the actor's own stays as it is until this has ended
	go func() {
		o := outcome{task: task, permit: permit}
		if o.why = a.c.give(&p, task.Version); o.why == "" {
			o.next = &p
		}
		a.done <- o
	}()
}

// give has a process take a configuration, or returns why not.
func (c *Config) give(p *process, name string) (why string) {
	text, err := c.document(name)
	if err == nil {
		err = p.offer(text)
	}
	if err != nil {
		return fmt.Sprintf("configuration %s: %v", name, err)
	}
	p.Config, p.configured = name, true
	return ""
}

// waitReady returns why a process does not take clients in time; empty: it does.
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

func (a *Agent) failure(change, why string) rollout.Command {
	return rollout.Command{Op: rollout.Fail, By: a.c.Name, Unit: a.c.Name, Change: change, Why: why}
}
