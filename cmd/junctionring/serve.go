package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"junctionring/control"
	"junctionring/ending"
	"junctionring/internal/config"
	"junctionring/internal/core"
	"junctionring/internal/counter"
	"junctionring/internal/egress"
	"junctionring/internal/front"
	"junctionring/internal/gateway"
	"junctionring/internal/handover"
	"junctionring/internal/ingress"
	"junctionring/internal/management"
	"junctionring/internal/retune"
	"junctionring/internal/routetable"
	"junctionring/internal/socket"
	"junctionring/internal/telemetry"
)

const (
	memoryShare = 0.7             // of the limit: the runtime's own, the sockets' buffers and files count too
	firstList   = 5 * time.Second // a process that knows no list waits for one: half of the time in which it is to be ready
)

type serveCommand struct {
	Config   string `env:"EDGE_CONFIG" type:"existingfile" xor:"front" required:"" help:"The platform's configuration: serve its protocol."`
	Operator string `type:"existingfile" xor:"front" required:"" help:"An operator's file: serve forward authentication."`
}

func (s serveCommand) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx := untilTold()
	// Caught before anything else: a gateway that is told of new addresses must not end by it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.Operator != "" {
		return serveOperator(ctx, work, hup, s.Operator, log)
	}
	return servePlatform(ctx, work, hup, s.Config, log)
}

// toldAt is the cause of a context that ends when the process is told to end: the time to end runs from there,
// however far the process has come by then.
type toldAt struct{ time.Time }

func (t toldAt) Error() string { return "told to end" }

// untilTold is a context that ends with the first SIGTERM or SIGINT; later ones change nothing.
func untilTold() context.Context {
	ctx, end := context.WithCancelCause(context.Background())
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-term
		end(toldAt{time.Now()})
	}()
	return ctx
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

func servePlatform(ctx, work context.Context, hup <-chan os.Signal, path string, log *slog.Logger) error {
	p, err := config.LoadPlatform(path)
	if err == nil {
		err = checkClassNames(path, p.Settings.Classes)
	}
	if err != nil {
		return err
	}
	limitRuntime(p.Cores, p.MemoryMB)
	set := p.Settings
	fleet := egress.NewFleet(egress.Options{
		ConnectTimeout: seconds(set.ConnectTimeout), ConnIdle: seconds(set.ConnIdle),
		Conns: gateway.EgressConns(p.Sockets), LoadFields: set.Module.LoadFields,
	})
	tally := counter.NewLine(p.Counter, seconds(set.Module.Counter.Timeout))
	c, err := core.New(set.Module, p.Seed, fleet, tally, log)
	if err != nil {
		return err
	}
	figures := telemetry.New("svc")
	figures.Classes(set.Classes)
	c.Count(figures)
	known, spoilt := routetable.Decode(p.Known, set.Zones)
	if spoilt != nil { // a process that did not start would be worse than one that waits for its first list
		log.Error("known is not taken: no table server is known until discovery tells", "err", spoilt)
	}
	known.Kind = control.Cached
	go c.Run(work)
	if set.Module.Counter.Allowed {
		go tally.Run(work)
	}
	c.Routes(known)
	moves := make(chan string, 1)
	first, told := make(chan struct{}), sync.Once{}
	list := &routetable.Discovery{
		Address: p.Discovery, From: known.Version, Known: len(known.Targets) > 0,
		Zones: set.Zones, Moves: moves, Log: log, Tell: func(t core.Table) {
			c.Routes(t)
			told.Do(func() { close(first) })
		},
	}
	if set.Module.Subscribe { // elsewhere changes come to the agent by themselves, and it has them already
		list.Gateways, list.AskEvery = set.Module.Gateways, seconds(set.Module.Guarantees.AskEvery)
	}
	go list.Run(work)
	table := retune.Start(set.Classes, set.Module.Classes, set.Plans, set.Module.Plans, set.Module.Limits.MaxAttempts)
	var names atomic.Pointer[front.Names]
	names.Store(platformNames(table, set))
	deadlines := struct { // of all settings that requests are held under
		sync.Mutex
		ending.Deadlines
		since time.Time
	}{since: time.Now()}
	deadlines.Set(0, longestWait(set.Module.Classes))
	go eachHangup(work, hup, func() {
		p, err := config.ReadPlatform(path)
		if err == nil {
			err = p.Addresses()
		}
		if err == nil {
			err = config.CheckReload(p.SettingsRaw)
		}
		if err == nil {
			err = checkClassNames(path, p.Settings.Classes)
		}
		if err != nil {
			figures.ReloadFailure.Add(1)
			log.Error("the new configuration is not taken: the old one stays", "err", err)
			return
		}
		figures.ReloadSuccess.Add(1)
		log.Info("new configuration", "discovery", p.Discovery, "counter", p.Counter)
		select { // one that the watch has not yet gone to is out of date
		case <-moves:
		default:
		}
		moves <- p.Discovery
		if set.Module.Counter.Allowed {
			tally.Move(p.Counter)
		}
		// Held requests end under the numbers they came in with; new ones are decoded by the new names.
		next, from := table.Next(p.Settings.Classes, p.Settings.Module.Classes, p.Settings.Plans, p.Settings.Module.Plans,
			p.Settings.Module.Limits.MaxAttempts)
		c.Reconfigure(control.Reconfigured{Classes: retune.Rules(next.Classes), Plans: retune.Rules(next.Plans),
			From: from, Attempts: next.Attempts})
		figures.Classes(retune.All(next.Classes))
		names.Store(platformNames(next, p.Settings))
		table = next
		deadlines.Lock()
		deadlines.Set(time.Since(deadlines.since), longestWait(p.Settings.Module.Classes))
		deadlines.Unlock()
		log.Info("new settings", "classes", retune.Names(next.Classes), "plans", retune.Names(next.Plans), "attempts", next.Attempts)
	})

	if spoilt != nil {
		wait := time.NewTimer(firstList)
		defer wait.Stop()
		select {
		case <-first:
		case <-wait.C: // discovery is down; clients are refused with a word until it tells
		case <-ctx.Done():
		}
	}
	server := front.NewServer(ingress.PlatformLive(names.Load, c, log), front.MaxHeader, &figures.Concurrent, log)
	figures.Unread = server.Unread
	doors := openDoors(log, p.Listen, p.Management)
	if p.Management != "" {
		l, err := doors.listen(p.Management)
		if err != nil {
			return fmt.Errorf("management: %w", err)
		}
		m := management.New(hooks(work, server, figures), log)
		defer m.Close()
		go m.Serve(l)
		log.Info("management", "listen", l.Addr().String())
	}
	return serve(ctx, work, c, server, doors, ingressConns(p.Sockets), log, func(told time.Time) ending.Plan {
		deadlines.Lock()
		defer deadlines.Unlock()
		return ending.Before(ending.Time(deadlines.Shortest(told.Sub(deadlines.since))))
	})
}

func serveOperator(ctx, work context.Context, hup <-chan os.Signal, path string, log *slog.Logger) error {
	o, err := config.LoadOperator(path)
	if err != nil {
		return err
	}
	limitRuntime(o.Limits.Cores, o.Limits.MemoryMB)
	g, err := gateway.New(o, log, rand.Uint64())
	if err != nil {
		return err
	}
	defer g.Close()
	if own := os.Getenv("EDGE_MANAGEMENT"); own != "" { // a process that replaces another has one of its own
		o.Operations.Listen = own
	}
	server := front.NewServer(g.Front(), o.MaxHeader, &g.Figures.Concurrent, log)
	g.Figures.Unread = server.Unread
	doors := openDoors(log, o.Listen, o.Operations.Listen)
	if o.Operations.Listen != "" {
		l, err := doors.listen(o.Operations.Listen)
		if err != nil {
			return err
		}
		defer l.Close()
		log.Info("operations", "listen", l.Addr().String())
		go http.Serve(l, g.Operations(hooks(work, server, g.Figures)))
	}
	go eachHangup(work, hup, func() { log.Warn("SIGHUP: the operator's file is read at the start only") })
	if !g.Start(work, ctx) {
		return nil // told to end before the route table was known
	}
	return serve(ctx, work, g.Core, server, doors, ingressConns(o.Limits.Sockets), log,
		func(time.Time) ending.Plan { return ending.Within(o.Drain.Duration) })
}

// hooks are what the management calls do.
func hooks(work context.Context, server *front.Server, figures *telemetry.Figures) management.Hooks {
	return management.Hooks{
		Ready:     server.Taking,
		Telemetry: func(b *bytes.Buffer) { figures.WriteTo(b) },
		Draining: func() map[string]int {
			if out := figures.Draining.Load(); out != nil {
				return *out
			}
			return map[string]int{}
		},
		Evacuate: func() { server.Evacuate(work) },
		Rejoin:   server.Rejoin,
	}
}

// platformNames are the words that new requests may use under the table.
func platformNames(t retune.Table, set config.Settings) *front.Names {
	n := &front.Names{Classes: retune.Names(t.Classes), Plans: retune.Names(t.Plans), Gateways: max(1, set.Module.Gateways), MaxUnits: set.MaxUnits}
	for _, class := range retune.Rules(t.Classes) {
		n.Longest = append(n.Longest, class.Deadline)
		n.Repeats = append(n.Repeats, class.Repeat)
	}
	return n
}

// eachHangup calls reload for each SIGHUP until ctx ends.
func eachHangup(ctx context.Context, hup <-chan os.Signal, reload func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			reload()
		}
	}
}

// doors are the addresses that a process serves, the clients' first.
type doors struct {
	addresses []string
	heir      *handover.Heir // nil: this process replaces nobody
	open      map[string]net.Listener
	log       *slog.Logger
}

// openDoors asks the process that serves these addresses, if there is one, for their sockets.
func openDoors(log *slog.Logger, addresses ...string) *doors {
	d := &doors{addresses: addresses, open: map[string]net.Listener{}, log: log}
	heir, err := handover.Ask(os.TempDir(), log, addresses...)
	switch {
	case err == nil:
		d.heir = heir
		log.Info("handover: this process replaces another")
	case !errors.Is(err, os.ErrNotExist):
		log.Warn("handover: none from the process before; the addresses are opened anew", "err", err)
	}
	return d
}

// listen is the socket of an address: the old process's, or a new one that it may share (SO_REUSEPORT).
func (d *doors) listen(address string) (l net.Listener, err error) {
	if d.heir != nil {
		l = d.heir.Listener(address)
	}
	if l == nil {
		if l, err = socket.Listen(context.Background(), address); err != nil {
			return nil, err
		}
	}
	d.open[address] = l
	return l, nil
}

// serve takes connections until ctx ends, then hands them to a successor, or drains by the plan.
func serve(ctx, work context.Context, c *core.Core, server *front.Server, d *doors, conns int, log *slog.Logger, plan func(told time.Time) ending.Plan) error {
	if ctx.Err() != nil {
		return nil // told to end before anything was taken
	}
	l, err := d.listen(d.addresses[0])
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l, conns) }()
	c.Settle()
	server.Ready()
	adopts, enough := context.WithCancel(work)
	defer enough()
	if d.heir != nil {
		go func() {
			if err := d.heir.Run(adopts, server.Adopt); err != nil {
				log.Warn("handover: broken off", "err", err)
			}
		}()
	}
	elder := handover.NewElder(os.TempDir(), d.addresses[0], d.open, log)
	go elder.Run(work)
	log.Info("serving", "listen", l.Addr().String())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	told := time.Now()
	if at, ok := context.Cause(ctx).(toldAt); ok {
		told = at.Time
	}
	due := plan(told)
	log.Info("draining", "close", due.Close, "stop", due.Stop, "shed", due.Shed)
	drain, done := context.WithDeadline(context.Background(), told.Add(due.Shed))
	defer done()
	begun, alone, lost := elder.Told()
	wait, waited := context.WithDeadline(drain, told.Add(due.Close)) // a successor that asked, and does not serve yet
	defer waited()
	select {
	case <-begun:
		if err = server.HandOver(drain, elder.Give, lost); err == nil {
			log.Info("handover: done")
			finish(c, log)
			return nil
		}
		log.Warn("handover: not all could be handed over", "err", err)
	case <-alone:
	case <-wait.Done():
	}
	// What the process before this one has left is better kept by it from here on: it learns of that by the link's end.
	time.AfterFunc(time.Until(told.Add(due.Close)), enough)
	if err := server.Drain(drain, told.Add(due.Close), told.Add(due.Stop)); err == nil {
		finish(c, log)
		return nil
	}
	log.Warn("not all held exchanges ended in time: the rest is shed")
	c.Shed()
	added := make(chan struct{})
	go func() { // no more is used from here on
		defer close(added)
		finish(c, log)
	}()
	last, over := context.WithTimeout(context.Background(), ending.LastWords)
	defer over()
	if err := server.Drain(last, told, told); err != nil {
		log.Warn("connections are cut: their clients neither read nor went", "err", err)
	}
	<-added
	return nil
}

// finish adds to the counter what this process has used, before it ends.
func finish(c *core.Core, log *slog.Logger) {
	last, done := context.WithTimeout(context.Background(), ending.LastUnits)
	defer done()
	if err := c.Finish(last); err != nil {
		log.Warn("quota", "err", err)
	}
}

// ingressConns is how many of the descriptors may be connections of clients.
func ingressConns(sockets int) int { return max(16, sockets*9/20) }

func limitRuntime(cores float64, memoryMB int) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(memoryMB<<20)))
		debug.SetGCPercent(200)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
