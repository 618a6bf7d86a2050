// Package agent supervises one gateway: it keeps the gateway's process running, reports its state to the coordinators,
// and replaces it with another version when a release requires it and a permit allows it. It does not decide when a
// release proceeds. Once it has begun a change under a permit, it completes the change or reverts it, even if the
// coordinators cannot be reached; without a permit it begins none.
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
	reportInterval   = 2 * time.Second // even if nothing has changed
	pollInterval     = 500 * time.Millisecond
	callTimeout      = 3 * time.Second
	restartDelay     = time.Second // before a gateway that exited unexpectedly is started again
	attemptTimeout   = time.Second // for one coordinator's answer
	permitLifeFactor = 3           // a permit's life, as a multiple of the longest time that a replacement may take
)

// Agent is the actor that supervises a gateway. Run runs it. It never waits for the coordinators: its exchanges with them
// run in a goroutine of their own, one at a time.
type Agent struct {
	config          *Config
	log             *slog.Logger
	group           *leaseholder.Group
	lease           atomic.Pointer[leaseholder.Lease] // its holder alone reports and acts for this gateway's name; nil: not held
	current         *process                          // nil: no process has been started or found
	readySince      time.Time                         // when the gateway became ready
	ready           bool
	failedAt        time.Time // when the gateway exited unexpectedly or a change failed; zero: neither since it was last ready
	figures         map[string]rollout.Count
	requestRate     float64
	countedAt       time.Time
	workInFlight    map[string]int // requests in flight at the draining table servers
	drainingServers []string       // draining table servers, from the coordinators

	outcomes chan outcome // result of the change in progress
	changing bool

	syncResults  chan syncResult // result of the exchange with the coordinators in progress
	syncing      bool
	reported     rollout.Unit
	reportedWork map[string]int
	reportedAt   time.Time
	polledAt     time.Time
	pending      []rollout.Command // commands to send, in order, before any new change begins
}

// outcome is the result of a change: a replacement or a new configuration.
type outcome struct {
	next    *process // the process that serves after the change
	failure string   // why the change failed; the gateway then serves as before
	task    rollout.Task
	permit  uint64 // 0: the change needed none
}

// syncResult is the result of an exchange with the coordinators.
type syncResult struct {
	sent            int // number of the pending commands that were sent
	reported        bool
	unit            rollout.Unit
	workInFlight    map[string]int
	polled          bool // the task and the draining servers were received
	drainingServers []string
	task            rollout.Task // to begin now if permit is not 0
	permit          uint64
	failure         string // why the task cannot begin
}

// New returns an agent. Run runs it.
func New(c *Config, log *slog.Logger) *Agent {
	return &Agent{config: c, log: log.With("gateway", c.Name), outcomes: make(chan outcome, 1), syncResults: make(chan syncResult, 1),
		group: &leaseholder.Group{Coordinators: c.Coordinators, Via: c.Via, Try: attemptTimeout}}
}

// Run supervises the gateway until ctx ends. The gateway continues to run, and the next agent adopts it.
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

// holdLease acquires and holds the lease of this gateway's name. Another agent with that name, for example on another
// machine, neither reports nor acts until the lease is free.
func (a *Agent) holdLease(ctx context.Context, session *leaseholder.Client) {
	for ctx.Err() == nil {
		l, err := session.Acquire(ctx, "agent:"+a.config.Name)
		if err != nil {
			return // ctx has ended, or the session cannot acquire leases
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

// leaseToken returns the fencing token of that lease. It returns false if this agent does not hold the lease and so must
// not report or act.
func (a *Agent) leaseToken() (uint64, bool) {
	if l := a.lease.Load(); l != nil {
		token, _, ok := l.Token()
		return token, ok
	}
	return 0, false
}

// shutDown waits for the change and the exchange in progress, and sends the pending commands within callTimeout.
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
			a.log.Warn("command not accepted by the coordinators", "op", command.Op, "err", err)
			return
		}
	}
}

// recoverProcess adopts the gateway process that an earlier agent left. If that agent was killed during a replacement and
// left two, recoverProcess keeps the one that accepts clients and terminates the other.
func (a *Agent) recoverProcess() error {
	r, ok, err := loadRunning(a.config.State)
	if err != nil {
		return fmt.Errorf("loading state file %s: %w", a.config.State, err)
	}
	if ok {
		if a.current = adopt(r); a.current == nil {
			a.config.Program.Version, a.config.Configuration.Version = r.Version, r.Config // last used, but the process is gone
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
			a.log.Warn("an earlier agent left two gateway processes; terminating one", "stays", keep.PID, "ends", discard.PID)
			discard.terminate(a.config.Program.Drain.Duration)
		}
	}
	if a.current == nil {
		return nil
	}
	a.log.Info("adopted the running gateway process", "version", a.current.Version, "pid", a.current.PID)
	return a.current.save(a.config.State)
}

// startGateway starts a gateway process when none is running.
func (a *Agent) startGateway(r running) error {
	p, err := start(a.config, r.Version, a.config.Program.Management[0])
	if err != nil {
		return err
	}
	p.Config = r.Config
	a.current, a.ready = p, false
	a.log.Info("gateway process started", "version", r.Version, "pid", p.PID)
	return p.save(a.config.State)
}

// finishChange records the outcome of a change.
func (a *Agent) finishChange(result outcome) {
	a.changing = false
	if result.failure != "" {
		a.log.Error("change failed; the gateway serves as before", "err", result.failure)
		a.failedAt = time.Now() // delays the next attempt
		if result.permit != 0 {
			a.pending = append(a.pending, a.failCommand(result.task.Change, result.failure))
		}
	} else {
		if result.next != a.current {
			a.ready = false
		}
		a.current, a.reportedAt = result.next, time.Time{}
		if err := a.current.save(a.config.State); err != nil {
			a.log.Error("saving the state of the gateway process failed; the next agent may not find it", "err", err)
		}
	}
	if result.permit != 0 {
		a.pending = append(a.pending, rollout.Command{Op: rollout.Return, By: a.config.Name, Unit: a.config.Name, Token: result.permit})
	}
}

// checkProcess restarts the gateway if its process has exited, and otherwise reads its readiness and its figures.
func (a *Agent) checkProcess() {
	if a.changing {
		return // the gateway counts as out until the change has ended
	}
	if !a.current.alive() {
		if a.ready || a.failedAt.IsZero() {
			a.log.Error("gateway process exited unexpectedly", "version", a.current.Version)
			a.failedAt, a.ready = time.Now(), false
		}
		if time.Since(a.failedAt) > restartDelay {
			a.failedAt = time.Now()
			if err := a.startGateway(a.current.running); err != nil {
				a.log.Error("restarting the gateway failed", "err", err)
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
		a.reconfigure(rollout.Task{Version: a.current.Config}, 0) // a new process starts with the configuration from its file
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
			for _, server := range a.drainingServers { // a server that the gateway does not know as draining yet is not reported
				if n, knows := workByServer[server]; knows {
					a.workInFlight[server] = n
				}
			}
		}
	}
}

// updateFigures stores the request counts and derives the request rate from the previous ones.
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

// observe returns the gateway's present state as a unit of the fleet.
func (a *Agent) observe() rollout.Unit {
	unit := rollout.Unit{Kind: rollout.KindGateway, Site: a.config.Site, Zone: a.config.Zone, Capacity: a.config.Capacity, Version: a.current.Version,
		Instance: fmt.Sprintf("%d-%s", a.current.PID, a.current.Began), Up: a.ready && !a.changing}
	if a.current.configured {
		unit.Config = a.current.Config
	}
	unit.Warm = unit.Up && time.Since(a.readySince) >= a.config.Program.Learn.Duration
	return unit
}

// synchronize starts an exchange with the coordinators if one is due and none is in progress. It sends the pending
// commands, reports the gateway's state, and asks for the gateway's task.
func (a *Agent) synchronize(ctx context.Context) {
	token, hasLease := a.leaseToken()
	if a.syncing || !hasLease {
		return
	}
	observed := a.observe()
	observed.By = a.config.Name
	due := time.Since(a.reportedAt) >= reportInterval
	if observed.Load = a.reported.Load; due { // a changed load alone does not cause an earlier report
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
				a.log.Warn("command not accepted by the coordinators", "op", command.Op, "err", err)
				return
			}
			result.sent++
		}
		if report {
			if _, err := coordinator.Change(callCtx, a.group, rollout.Command{Op: rollout.Observe, By: "agent:" + a.config.Name, Token: token, Unit: a.config.Name, Observed: &observed, Figures: figures, Held: workInFlight}); err != nil {
				a.log.Warn("reporting to the coordinators failed", "err", err)
				return
			}
			result.reported = true
		}
		if poll {
			a.poll(callCtx, observed, &current, &result)
		}
	}()
}

// finishSync records the result of an exchange and begins the change that it permits.
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
		a.log.Info("replacing the gateway", "from", a.current.Version, "to", result.task.Version, "change", result.task.Change, "permit", result.permit)
		go a.replace(a.current, result.task, result.permit)
	}
}

// poll asks the coordinators for the gateway's task and requests a permit for it.
func (a *Agent) poll(callCtx context.Context, observed rollout.Unit, current *process, result *syncResult) {
	brief, err := coordinator.Brief(callCtx, a.group, a.config.Name)
	if err != nil {
		return
	}
	result.polled, result.drainingServers = true, brief.Drains
	task := brief.Task
	if p := brief.Permit; p != nil && !p.Returned && brief.Planned && (task.Change != p.Change || task.Version == "") {
		// The permit belongs to a release that no longer requires a change of this unit, or to an earlier agent that
		// ended during the change. The gateway serves as it is, so the permit is returned; if the command is not
		// accepted, it is sent again at the next poll.
		coordinator.Change(callCtx, a.group, rollout.Command{Op: rollout.Return, By: a.config.Name, Unit: a.config.Name, Token: p.Token})
		return
	}
	if task.Change != "" && task.Version == "" {
		if err := a.applyDrain(callCtx, observed, current, task, brief.Permit); err != nil {
			a.log.Warn("draining or restoring the gateway failed", "change", task.Change, "err", err)
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
		return // a request is already waiting
	} else {
		life := permitLifeFactor * (a.config.Program.Ready.Duration + a.config.Program.Drain.Duration + a.config.Program.Learn.Duration)
		r, err := coordinator.Change(callCtx, a.group, rollout.Command{Op: rollout.RequestPermit, By: a.config.Name, Unit: a.config.Name, Change: task.Change, Life: life})
		if err != nil || r.Error != "" {
			return // not granted yet
		}
		token = r.Token
	}
	if reply, err := coordinator.Change(callCtx, a.group, rollout.Command{Op: rollout.Leave, By: a.config.Name, Unit: a.config.Name, Token: token}); err != nil || reply.Error != "" {
		return // tried again at the next poll
	}
	result.permit = token
}

// applyDrain has the gateway send its clients to other gateways under a drain's permit, and accept them again when the
// drain is restored. It repeats the drain if the process has been replaced in the meantime.
func (a *Agent) applyDrain(callCtx context.Context, observed rollout.Unit, current *process, task rollout.Task, permit *rollout.Permit) error {
	if permit == nil || permit.Change != task.Change {
		return nil // no permit for this drain yet
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

// replace starts the new process beside the old one, waits until it accepts clients, and terminates the old one, which
// hands over its clients and its work. If the new process fails, the old one continues to serve. It needs no coordinator
// until it has ended.
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
	} else if next.Config = old.Config; a.config.Configuration.Folder != "" { // before the old process ends
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

// reconfigure applies a configuration to the process and pins it there. A permit of 0 means that the process is to have
// that configuration already, so that no permit is needed.
func (a *Agent) reconfigure(task rollout.Task, permit uint64) {
	a.changing = true
	p := *a.current // a copy: the actor's value does not change until the change has ended
	go func() {
		result := outcome{task: task, permit: permit}
		if result.failure = a.config.applyConfiguration(&p, task.Version); result.failure == "" {
			result.next = &p
		}
		a.outcomes <- result
	}()
}

// applyConfiguration applies a configuration to a process. It returns why that failed, or an empty string.
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

// waitReady waits until a process accepts clients. It returns why that failed, or an empty string.
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

// failCommand returns the command that tells the coordinators that a change of this gateway failed.
func (a *Agent) failCommand(change, reason string) rollout.Command {
	return rollout.Command{Op: rollout.Fail, By: a.config.Name, Unit: a.config.Name, Change: change, Why: reason}
}
