package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"junctionring/control"
	"junctionring/internal/config"
	"junctionring/internal/core"
	"junctionring/internal/counter"
	"junctionring/internal/egress"
	"junctionring/internal/front"
	"junctionring/internal/gateway"
	"junctionring/internal/ingress"
	"junctionring/internal/management"
	"junctionring/internal/retune"
	"junctionring/internal/routetable"
	"junctionring/internal/telemetry"
	"junctionring/shutdown"
)

// counterPatience is how many times the settings' call limit an answer of the counter is waited for. The counter answers
// each call when its turn comes, however late, and the call has been paid for by then: an answer that was given up leaves
// its units in doubt until another call reads them. It stays below what a client must wait to be held for a call.
const counterPatience = 3

// counterWait is how long an answer of the counter is waited for, by the settings' limit for a call.
func counterWait(limit control.Seconds) time.Duration { return seconds(counterPatience * limit) }

// platformGateway is a process that serves the platform's protocol.
type platformGateway struct {
	path    string // of the configuration
	config  config.Platform
	log     *slog.Logger
	core    *core.Core
	counter *counter.LineClient
	figures *telemetry.Figures
	moves   chan string // addresses that discovery moves to

	table     retune.Table // used by the one goroutine that reloads
	names     atomic.Pointer[front.Names]
	deadlines deadlineHistory
}

// deadlineHistory is the deadlines of all settings that requests are held under.
type deadlineHistory struct {
	mu    sync.Mutex
	all   shutdown.Deadlines
	since time.Time
}

func (d *deadlineHistory) set(longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all.Set(time.Since(d.since), longest)
}

// plan is the plan of a process that was told to end then.
func (d *deadlineHistory) plan(told time.Time) shutdown.Plan {
	d.mu.Lock()
	defer d.mu.Unlock()
	return shutdown.PlanForKill(shutdown.GracePeriod(d.all.Shortest(told.Sub(d.since))))
}

func servePlatform(ctx, work context.Context, hup <-chan os.Signal, path string, log *slog.Logger) error {
	g, err := newPlatformGateway(path, log)
	if err != nil {
		return err
	}
	list, spoilt := g.knownList()
	first := g.run(work, list)
	go eachHangup(work, hup, g.reload)
	if spoilt {
		awaitFirstList(ctx, first)
	}
	server := front.NewServer(ingress.PlatformLive(g.names.Load, g.core, log), front.MaxHeader, &g.figures.Concurrent, log)
	g.figures.Unread = server.UnreadResponses
	limitBodies(server, g.config.MemoryMB)
	server.SetCores(g.config.Cores)
	sockets := openListeners(log, g.config.Listen, g.config.Management)
	if g.config.Management != "" {
		m, err := serveManagement(sockets, g.config, hooks(work, server, g.figures), log)
		if err != nil {
			return err
		}
		defer m.Close()
	}
	s := &service{
		core: g.core, server: server, sockets: sockets, connections: ingressConns(g.config.Sockets),
		plan: g.deadlines.plan, log: log, wordWait: egress.DecimalSeconds,
	}
	return s.serve(ctx, work)
}

// newPlatformGateway reads the configuration and makes what it names; nothing runs yet.
func newPlatformGateway(path string, log *slog.Logger) (*platformGateway, error) {
	p, err := config.LoadPlatform(path)
	if err == nil {
		err = checkClassNames(path, p.Settings.Classes)
	}
	if err != nil {
		return nil, err
	}
	limitRuntime(p.Cores, p.MemoryMB)
	set := p.Settings
	fleet := egress.NewFleet(egress.Options{
		ConnectTimeout: seconds(set.ConnectTimeout), ConnIdle: seconds(set.ConnIdle),
		Conns: gateway.EgressConns(p.Sockets), LoadFields: set.Module.LoadFields, Cores: p.Cores,
	})
	g := &platformGateway{
		path: path, config: p, log: log, figures: telemetry.New("svc"), moves: make(chan string, 1),
		counter:   counter.NewLineClient(p.Counter, counterWait(set.Module.Counter.Timeout)),
		table:     retune.Start(set.Classes, set.Module.Classes, set.Plans, set.Module.Plans, set.Module.Limits.MaxAttempts),
		deadlines: deadlineHistory{since: time.Now()},
	}
	if g.core, err = core.New(set.Module, p.Seed, fleet, g.counter, log); err != nil {
		return nil, err
	}
	g.figures.SetClasses(set.Classes)
	g.core.SetMetrics(g.figures)
	g.names.Store(platformNames(g.table, set))
	g.deadlines.set(longestWait(set.Module.Classes))
	return g, nil
}

// knownList is the list of table servers as last had. One that cannot be read is as none: a process that did not start
// would be worse than one that waits for its first list.
func (g *platformGateway) knownList() (list core.Table, spoilt bool) {
	list, err := routetable.Decode(g.config.Known)
	if err != nil {
		g.log.Error("known is not taken: no table server is known until discovery tells", "err", err)
	}
	list.Kind = control.Cached
	return list, err != nil
}

// run starts the actors on a list; first is closed when discovery has told another.
func (g *platformGateway) run(work context.Context, known core.Table) (first <-chan struct{}) {
	go g.core.Run(work)
	if g.config.Settings.Module.Counter.Allowed {
		go g.counter.Run(work)
	}
	g.core.Routes(known)
	told, once := make(chan struct{}), sync.Once{}
	discovery := g.discovery(known, func(t core.Table) {
		g.core.Routes(t)
		once.Do(func() { close(told) })
	})
	go discovery.Run(work)
	return told
}

func (g *platformGateway) discovery(known core.Table, tell func(core.Table)) *routetable.Discovery {
	set := g.config.Settings
	d := &routetable.Discovery{
		Address: g.config.Discovery, From: known.Version, HasList: len(known.Targets) > 0,
		AddressChanges: g.moves, Log: g.log, Publish: tell,
	}
	if set.Module.Subscribe { // elsewhere changes come to the agent by themselves, and it has them already
		d.Gateways, d.AskEvery = set.Module.Gateways, seconds(set.Module.Guarantees.AskEvery)
	}
	return d
}

// awaitFirstList waits for a list for some time: discovery may be down, and clients are refused with a word then.
func awaitFirstList(ctx context.Context, first <-chan struct{}) {
	wait := time.NewTimer(firstList)
	defer wait.Stop()
	select {
	case <-first:
	case <-wait.C:
	case <-ctx.Done():
	}
}

// reload takes the configuration anew, or leaves all as it is.
func (g *platformGateway) reload() {
	p, err := readReload(g.path)
	if err != nil {
		g.figures.ReloadFailure.Add(1)
		g.log.Error("the new configuration is not taken: the old one stays", "err", err)
		return
	}
	g.figures.ReloadSuccess.Add(1)
	g.log.Info("new configuration", "discovery", p.Discovery, "counter", p.Counter)
	g.move(p)
	g.reconfigure(p.Settings)
}

// readReload reads a configuration that is to take the place of one in force.
func readReload(path string) (config.Platform, error) {
	p, err := config.ReadPlatform(path)
	if err != nil {
		return p, err
	}
	if err := p.CheckAddresses(); err != nil {
		return p, err
	}
	if err := config.CheckReload(p.SettingsRaw); err != nil {
		return p, err
	}
	return p, checkClassNames(path, p.Settings.Classes)
}

// move goes to the new addresses of discovery and the counter.
func (g *platformGateway) move(p config.Platform) {
	select { // an address that the watch has not yet gone to is out of date
	case <-g.moves:
	default:
	}
	g.moves <- p.Discovery
	if g.config.Settings.Module.Counter.Allowed {
		g.counter.SetAddress(p.Counter)
	}
}

// reconfigure puts new settings in force. Held requests end under the numbers they came in with; new ones are decoded
// by the new names.
func (g *platformGateway) reconfigure(set config.Settings) {
	next, from := g.table.Next(set.Classes, set.Module.Classes, set.Plans, set.Module.Plans, set.Module.Limits.MaxAttempts)
	g.core.Reconfigure(control.Reconfigured{
		Classes: retune.Rules(next.Classes), Plans: retune.Rules(next.Plans), From: from, Attempts: next.Attempts,
	})
	g.figures.SetClasses(retune.AllNames(next.Classes))
	g.names.Store(platformNames(next, set))
	g.table = next
	g.deadlines.set(longestWait(set.Module.Classes))
	g.log.Info("new settings", "classes", retune.Names(next.Classes), "plans", retune.Names(next.Plans), "attempts", next.Attempts)
}

// serveManagement answers the operators' calls at an address.
func serveManagement(sockets *listeners, p config.Platform, hooks management.Hooks, log *slog.Logger) (*management.Server, error) {
	l, err := sockets.listen(p.Management)
	if err != nil {
		return nil, fmt.Errorf("management: %w", err)
	}
	m := management.New(hooks, log)
	go m.Serve(front.LimitNewConns(l, p.Cores))
	log.Info("management", "listen", l.Addr().String())
	return m, nil
}

// platformNames are the words that new requests may use under the table.
func platformNames(t retune.Table, set config.Settings) *front.Names {
	n := &front.Names{
		Classes: retune.Names(t.Classes), Plans: retune.Names(t.Plans),
		Gateways: max(1, set.Module.Gateways), MaxUnits: set.MaxUnits,
	}
	for _, class := range retune.Rules(t.Classes) {
		n.MaxWait = append(n.MaxWait, class.Deadline)
		n.Repeats = append(n.Repeats, class.Repeat)
	}
	return n
}

// checkClassNames refuses settings with a class that no request could name.
func checkClassNames(path string, names []string) error {
	if err := front.CheckClassNames(names); err != nil {
		return fmt.Errorf("%s: settings.RequestClasses: %w", path, err)
	}
	return nil
}

// longestWait is the longest deadline among classes.
func longestWait(classes []control.Class) (longest time.Duration) {
	for _, c := range classes {
		longest = max(longest, seconds(c.Deadline))
	}
	return longest
}
