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
	checkInterval    = 200 * time.Millisecond
	reportInterval   = 2 * time.Second // also where nothing changed
	pollInterval     = 500 * time.Millisecond
	callTimeout      = 3 * time.Second
	restartDelay     = time.Second // a gateway that ended by itself is started again
	attemptTimeout   = time.Second // for one coordinator's answer
	permitLifeFactor = 3           // a permit's time is this many times what a replacement may take
)

// Agent is the actor beside a gateway. It never waits for the coordinators: talks with them run beside it, one at a time.
type Agent struct {
	config          *Config
	log             *slog.Logger
	group           *leaseholder.Group
	lease           atomic.Pointer[leaseholder.Lease] // who has it speaks and acts for this gateway's name
	current         *process                          // nil: none runs
	readySince      time.Time                         // it is ready
	ready           bool
	failedAt        time.Time // the gateway ended by itself
	figures         map[string]rollout.Count
	requestRate     float64
	countedAt       time.Time
	workInFlight    map[string]int // work under way at the servers that drain
	drainingServers []string       // those servers

	outcomes chan outcome // of the change that is under way
	changing bool

	syncResults  chan syncResult // of the talk that is under way
	syncing      bool
	reported     rollout.Unit
	reportedWork map[string]int
	reportedAt   time.Time
	polledAt     time.Time
	pending      []rollout.Command // to be said before anything new begins, in order
}

// outcome is what a change came to.
type outcome struct {
	next    *process // that serves now
	failure string   // it serves as before, and this is why
	task    rollout.Task
	permit  uint64 // 0: it needed none
}

// word is what a talk with the coordinators came to.
type syncResult struct {
	sent            int // of what was owed
	reported        bool
	unit            rollout.Unit
	workInFlight    map[string]int
	polled          bool // what there is to do
	drainingServers []string
	task            rollout.Task // to begin now, where permit is not 0
	permit          uint64
	failure         string // it can't be begun
}

// New makes an agent. Run starts it.
func New(c *Config, log *slog.Logger) *Agent {
	return &Agent{config: c, log: log.With("gateway", c.Name), outcomes: make(chan outcome, 1), syncResults: make(chan syncResult, 1),
		group: &leaseholder.Group{Coordinators: c.Coordinators, Via: c.Via, Try: attemptTimeout}}
}

// Run works until ctx ends. The gateway goes on; the next agent finds it.
func (a *Agent) Run(ctx context.Context) error {
	defer a.group.Close()
	session, err := leaseholder.Start(context.Background(), leaseholder.Options{Coordinators: a.config.Coordinators, Via: a.config.Via, Life: a.config.Life.Duration, Log: a.log,
		Member: lease.Member{Kind: coordinator.AgentKind, Name: a.config.Name, Site: a.config.Site}})
	if err != nil {
		return err
	}
	defer func() {
		closeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		session.Close(closeCtx)
	}()
	stateLock, err := lock(a.config.State + ".lock")
	if err != nil {
		return err
	}
	defer stateLock.Close()
	go a.holdLease(ctx, session)
	if err := a.recoverProcess(); err != nil {
		return err
	}
	if a.current == nil {
		if err := a.startGateway(running{Version: a.config.Program.Version, Config: a.config.Configuration.Version}); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.shutDown()
			return nil
		case result := <-a.outcomes:
			a.finishChange(result)
		case result := <-a.syncResults:
			a.finishSync(result)
		case <-ticker.C:
		}
		a.checkProcess()
		a.synchronize(ctx)
	}
}

// hold keeps the lease of this gateway's name: another agent of that name, on another machine say, neither speaks nor
// acts until it is free.
func (a *Agent) holdLease(ctx context.Context, session *leaseholder.Client) {
	for ctx.Err() == nil {
		l, err := session.Acquire(ctx, "agent:"+a.config.Name)
		if err != nil {
			return // it ends
		}
		a.lease.Store(l)
		select {
		case <-l.Lost():
		case <-ctx.Done():
		}
		a.lease.Store(nil)
		releaseCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		l.Release(releaseCtx)
		cancel()
	}
}

// holds is the token of that lease; false: this agent may not speak now.
func (a *Agent) leaseToken() (uint64, bool) {
	if l := a.lease.Load(); l != nil {
		token, _, ok := l.Token()
		return token, ok
	}
	return 0, false
}

// last finishes what was begun, and says what is owed while there is time.
func (a *Agent) shutDown() {
	if a.changing {
		a.finishChange(<-a.outcomes)
	}
	if a.syncing {
		a.finishSync(<-a.syncResults)
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, command := range a.pending {
		if _, err := coordinator.Change(callCtx, a.group, command); err != nil {
			a.log.Warn("not heard by the coordinators", "op", command.Op, "err", err)
			return
		}
	}
}

// find goes on with what an agent before this one left, also where that was killed between two processes: the one that
// takes clients stays, and the other one is ended.
func (a *Agent) recoverProcess() error {
	r, ok, err := loadRunning(a.config.State)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if ok {
		if a.current = adopt(r); a.current == nil {
			a.config.Program.Version, a.config.Configuration.Version = r.Version, r.Config // it ran last: its process is gone
		}
	}
	for _, other := range leftoverProcesses(a.config.State, a.current) {
		keep, discard := a.current, other
		if a.current == nil || !a.current.ready() && other.ready() {
			keep, discard = other, a.current
			keep.Config = a.config.Configuration.Version
			if a.current != nil {
				keep.Config = a.current.Config
			}
		}
		if a.current = keep; discard != nil {
			a.log.Warn("an agent before this one left two processes", "stays", keep.PID, "ends", discard.PID)
			discard.terminate(a.config.Program.Drain.Duration)
		}
	}
	if a.current == nil {
		return nil
	}
	a.log.Info("goes on with the gateway that runs", "version", a.current.Version, "pid", a.current.PID)
	return a.current.save(a.config.State)
}

// begin starts a gateway where none runs.
func (a *Agent) startGateway(r running) error {
	p, err := start(a.config, r.Version, a.config.Program.Management[0])
	if err != nil {
		return err
	}
	p.Config = r.Config
	a.current, a.ready = p, false
	a.log.Info("started", "version", r.Version, "pid", p.PID)
	return p.save(a.config.State)
}

// take takes in what a change came to.
func (a *Agent) finishChange(result outcome) {
	a.changing = false
	if result.failure != "" {
		a.log.Error("not changed: it serves as before", "err", result.failure)
		a.failedAt = time.Now() // not at once again
		if result.permit != 0 {
			a.pending = append(a.pending, a.failCommand(result.task.Change, result.failure))
		}
	} else {
		if result.next != a.current {
			a.ready = false
		}
		a.current, a.reportedAt = result.next, time.Time{}
		if err := a.current.save(a.config.State); err != nil {
			a.log.Error("what runs can't be kept for the next agent", "err", err)
		}
	}
	if result.permit != 0 {
		a.pending = append(a.pending, rollout.Command{Op: rollout.Return, By: a.config.Name, Unit: a.config.Name, Token: result.permit})
	}
}

// look looks after the gateway's process and at its figures.
func (a *Agent) checkProcess() {
	if a.changing {
		return // between two processes: it is out until the change has ended
	}
	if !a.current.alive() {
		if a.ready || a.failedAt.IsZero() {
			a.log.Error("the gateway ended by itself", "version", a.current.Version)
			a.failedAt, a.ready = time.Now(), false
		}
		if time.Since(a.failedAt) > restartDelay {
			a.failedAt = time.Now()
			if err := a.startGateway(a.current.running); err != nil {
				a.log.Error("it can't be started again", "err", err)
			}
		}
		return
	}
	ready := a.current.ready()
	if ready && !a.ready {
		a.readySince = time.Now()
	}
	if a.ready = ready; !ready {
		return
	}
	if a.config.Configuration.Folder != "" && !a.current.configured && time.Since(a.failedAt) > restartDelay {
		a.reconfigure(rollout.Task{Version: a.current.Config}, 0) // a fresh process has the file's
		return
	}
	a.failedAt = time.Time{}
	if seconds := time.Since(a.countedAt).Seconds(); seconds >= 1 {
		if f, err := a.current.figures(); err == nil {
			a.updateFigures(f, seconds)
		}
	}
	if a.workInFlight = nil; len(a.drainingServers) > 0 {
		if workByServer, err := a.current.draining(); err == nil {
			a.workInFlight = map[string]int{}
			for _, server := range a.drainingServers { // one that it still takes for serving is not said
				if n, knows := workByServer[server]; knows {
					a.workInFlight[server] = n
				}
			}
		}
	}
}

func (a *Agent) updateFigures(f map[string]rollout.Count, seconds float64) {
	var served, before uint64
	for class, c := range f {
		served += c.Asked
		before += a.figures[class].Asked
	}
	if served >= before && !a.countedAt.IsZero() {
		a.requestRate = float64(served-before) / seconds
	}
	a.figures, a.countedAt = f, time.Now()
}

// sight is the unit as it is seen now.
func (a *Agent) observe() rollout.Unit {
	unit := rollout.Unit{Kind: rollout.KindGateway, Site: a.config.Site, Zone: a.config.Zone, Capacity: a.config.Capacity, Version: a.current.Version,
		Instance: fmt.Sprintf("%d-%s", a.current.PID, a.current.Began), Up: a.ready && !a.changing}
	if a.current.configured {
		unit.Config = a.current.Config
	}
	unit.Warm = unit.Up && time.Since(a.readySince) >= a.config.Program.Learn.Duration
	return unit
}

// talk begins a talk with the coordinators, where one is due and none is under way: what is owed, what is seen, and
// what there is to do.
func (a *Agent) synchronize(ctx context.Context) {
	token, hasLease := a.leaseToken()
	if a.syncing || !hasLease {
		return
	}
	observed := a.observe()
	observed.By = a.config.Name
	due := time.Since(a.reportedAt) >= reportInterval
	if observed.Load = a.reported.Load; due { // a load that moves is no reason to tell sooner
		observed.Load = a.requestRate
	}
	report := due || observed != a.reported || !maps.Equal(a.workInFlight, a.reportedWork)
	poll := !a.changing && time.Since(a.polledAt) > pollInterval
	if !report && !poll && len(a.pending) == 0 {
		return
	}
	if poll {
		a.polledAt = time.Now()
	}
	a.syncing = true
	current := *a.current
	pending, figures, workInFlight := slices.Clone(a.pending), maps.Clone(a.figures), maps.Clone(a.workInFlight)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result := syncResult{unit: observed, workInFlight: workInFlight}
		defer func() { a.syncResults <- result }()
		for _, command := range pending {
			if _, err := coordinator.Change(callCtx, a.group, command); err != nil {
				a.log.Warn("not heard by the coordinators", "op", command.Op, "err", err)
				return
			}
			result.sent++
		}
		if report {
			if _, err := coordinator.Change(callCtx, a.group, rollout.Command{Op: rollout.Observe, By: "agent:" + a.config.Name, Token: token, Unit: a.config.Name, Observed: &observed, Figures: figures, Held: workInFlight}); err != nil {
				a.log.Warn("the coordinators were not told", "err", err)
				return
			}
			result.reported = true
		}
		if poll {
			a.poll(callCtx, observed, &current, &result)
		}
	}()
}

// hear takes in what a talk came to, and begins what it allows.
func (a *Agent) finishSync(result syncResult) {
	a.syncing = false
	a.pending = a.pending[result.sent:]
	if result.reported {
		a.reported, a.reportedWork, a.reportedAt = result.unit, result.workInFlight, time.Now()
	}
	if result.polled {
		a.drainingServers = result.drainingServers
	}
	switch {
	case result.failure != "":
		a.pending = append(a.pending, a.failCommand(result.task.Change, result.failure))
	case result.permit == 0 || a.changing || len(a.pending) > 0:
	case result.task.Config:
		a.reconfigure(result.task, result.permit)
	default:
		a.changing = true
		a.log.Info("replaces the gateway", "from", a.current.Version, "to", result.task.Version, "change", result.task.Change, "permit", result.permit)
		go a.replace(a.current, result.task, result.permit)
	}
}

// ask asks what there is to do, and for the permit to do it.
func (a *Agent) poll(callCtx context.Context, observed rollout.Unit, current *process, result *syncResult) {
	brief, err := coordinator.Brief(callCtx, a.group, a.config.Name)
	if err != nil {
		return
	}
	result.polled, result.drainingServers = true, brief.Drains
	task := brief.Task
	if p := brief.Permit; p != nil && !p.Returned && brief.Planned && (task.Change != p.Change || task.Version == "") {
		// A permit of a release that doesn't want anything of this unit any more, or of an agent before that ended
		// in the middle: the gateway serves as it is.
		coordinator.Change(callCtx, a.group, rollout.Command{Op: rollout.Return, By: a.config.Name, Unit: a.config.Name, Token: p.Token}) // where it is not heard, the next look says it again
		return
	}
	if task.Change != "" && task.Version == "" {
		if err := a.applyDrain(callCtx, observed, current, task, brief.Permit); err != nil {
			a.log.Warn("drain", "change", task.Change, "err", err)
		}
		return
	}
	currentVersion := observed.Version
	if task.Config {
		currentVersion = observed.Config
	}
	if task.Change == "" || task.Version == "" || task.Version == currentVersion {
		return
	}
	result.task = task
	if task.Config {
		_, err = a.config.readConfiguration(task.Version)
	} else {
		_, err = verifyProgram(a.config, task.Version)
	}
	if err != nil {
		result.failure = err.Error()
		return
	}
	token := uint64(0)
	if brief.Permit != nil && brief.Permit.Change == task.Change && !brief.Permit.Returned {
		token = brief.Permit.Token
	} else if brief.Waits {
		return // the ask stands
	} else {
		life := permitLifeFactor * (a.config.Program.Ready.Duration + a.config.Program.Drain.Duration + a.config.Program.Learn.Duration)
		r, err := coordinator.Change(callCtx, a.group, rollout.Command{Op: rollout.RequestPermit, By: a.config.Name, Unit: a.config.Name, Change: task.Change, Life: life})
		if err != nil || r.Error != "" {
			return // it waits
		}
		token = r.Token
	}
	if reply, err := coordinator.Change(callCtx, a.group, rollout.Command{Op: rollout.Leave, By: a.config.Name, Unit: a.config.Name, Token: token}); err != nil || reply.Error != "" {
		return // asked again with the next look
	}
	result.permit = token
}

// drain sends the clients away under a drain's permit, again where the process is another one by now, and takes them
// back when the drain is restored.
func (a *Agent) applyDrain(callCtx context.Context, observed rollout.Unit, current *process, task rollout.Task, permit *rollout.Permit) error {
	if permit == nil || permit.Change != task.Change {
		return nil // it waits for its turn
	}
	command := rollout.Command{By: a.config.Name, Unit: a.config.Name, Token: permit.Token}
	switch {
	case task.Restore && !permit.Returned:
		if err := current.put("rejoin"); err != nil {
			return err
		}
		command.Op = rollout.Return
	case !task.Restore && !permit.Left:
		command.Op = rollout.Leave
	case !task.Restore && observed.Up:
		return current.put("evacuate")
	default:
		return nil
	}
	reply, err := coordinator.Change(callCtx, a.group, command)
	if err == nil && command.Op == rollout.Leave && reply.Error == "" {
		return current.put("evacuate")
	}
	return err
}

// replace starts the new process beside the old one, waits until it takes clients, and ends the old one, which hands
// over what it holds. When that fails, the old one serves on. It needs no coordinator until it has ended.
func (a *Agent) replace(old *process, task rollout.Task, permit uint64) {
	address := a.config.Program.Management[0]
	if old.Management == address {
		address = a.config.Program.Management[1]
	}
	result := outcome{task: task, permit: permit}
	next, err := start(a.config, task.Version, address)
	if err != nil {
		result.failure = err.Error()
	} else if result.failure = waitReady(next, a.config.Program.Ready.Duration); result.failure != "" {
		next.terminate(time.Second)
	} else if next.Config = old.Config; a.config.Configuration.Folder != "" { // before it serves alone
		if result.failure = a.config.applyConfiguration(next, old.Config); result.failure != "" {
			next.terminate(a.config.Program.Drain.Duration)
		}
	}
	if result.failure == "" {
		if old.alive() {
			old.terminate(a.config.Program.Drain.Duration)
		}
		result.next = next
	}
	a.outcomes <- result
}

// reconfigure has the process take a configuration, and keep to it. Without a permit it is the one that the process
// was to have anyway.
func (a *Agent) reconfigure(task rollout.Task, permit uint64) {
	a.changing = true
	p := *a.current // the actor's own stays as it is until this has ended
	go func() {
		result := outcome{task: task, permit: permit}
		if result.failure = a.config.applyConfiguration(&p, task.Version); result.failure == "" {
			result.next = &p
		}
		a.outcomes <- result
	}()
}

// give has a process take a configuration, or returns why not.
func (c *Config) applyConfiguration(p *process, name string) (failure string) {
	text, err := c.readConfiguration(name)
	if err == nil {
		err = p.pushConfiguration(text)
	}
	if err != nil {
		return fmt.Sprintf("configuration %s: %v", name, err)
	}
	p.Config, p.configured = name, true
	return ""
}

// waitReady returns why a process does not take clients in time; empty: it does.
func waitReady(p *process, timeout time.Duration) (failure string) {
	deadline := time.After(timeout)
	for {
		if p.ready() {
			return ""
		}
		select {
		case <-p.ended:
			return fmt.Sprintf("version %s ended before it was ready", p.Version)
		case <-deadline:
			return fmt.Sprintf("version %s was not ready within %v", p.Version, timeout)
		case <-time.After(checkInterval / 4):
		}
	}
}

func (a *Agent) failCommand(change, reason string) rollout.Command {
	return rollout.Command{Op: rollout.Fail, By: a.config.Name, Unit: a.config.Name, Change: change, Why: reason}
}
