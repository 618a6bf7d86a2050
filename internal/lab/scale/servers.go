package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"junctionring/internal/conductor"
	"junctionring/internal/coordinator"
	"junctionring/internal/leaseholder"
	"junctionring/internal/standin"
	"junctionring/internal/standin/controlservice"
	"junctionring/internal/warden"
	"junctionring/lease"
)

// errCommand is a command that a role doesn't know.
var errCommand = errors.New("unknown command")

// silentActor is the part of an actor that takes no commands and reports nothing.
type silentActor struct{}

func (silentActor) do(command string) error { return fmt.Errorf("%w: %q", errCommand, command) }
func (silentActor) report() Report          { return Report{} }

// discoveryActor is the stand-in of discovery, with hollow servers that drain, leave and come back.
type discoveryActor struct {
	silentActor
	role
	registry *standin.Registry
	address  string // at which all hollow servers answer that they are alive
	next     int
}

func (a *discoveryActor) start(ctx context.Context, _ *slog.Logger) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a.address = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	if a.registry, err = standin.NewRegistry("127.0.0.1:0"); err != nil {
		return "", err
	}
	var all []standin.Instance
	for i := range a.Size.Servers {
		all = append(all, a.entry(i, "SERVING", time.Now().Add(-warmFor)))
	}
	a.registry.Put(all...)
	go every(ctx, a.Size.ServerChanges, a.change)
	return a.registry.Addr(), nil
}

// warmFor is how long the servers of the first list have served: longer than any counts as cold.
const warmFor = time.Hour

func (a *discoveryActor) entry(i int, lifecycle string, started time.Time) standin.Instance {
	return standin.Instance{ID: fmt.Sprintf("server-%06d", i), HostPort: a.address, Zone: fmt.Sprintf("zone-%d", i%a.Size.Zones),
		Lifecycle: lifecycle, Weight: 1, StartedAt: started.UnixMilli()}
}

// change is the next step of a server's restart: it drains, is gone, and serves again.
func (a *discoveryActor) change() {
	if a.Size.Servers == 0 {
		return
	}
	steps := [...]string{"DRAINING", "DELETED", "SERVING"}
	a.registry.Put(a.entry(a.next/len(steps)%a.Size.Servers, steps[a.next%len(steps)], time.Now()))
	a.next++
}

// configurationActor is the stand-in of a control service. A version's number is the time of its push, so that a
// gateway can tell how long it took.
type configurationActor struct {
	silentActor
	role
	service  *controlservice.Service
	document string
	newest   atomic.Int64
}

func (a *configurationActor) start(ctx context.Context, _ *slog.Logger) (address string, err error) {
	if a.service, err = controlservice.New("127.0.0.1:0"); err != nil {
		return "", err
	}
	a.document = document(a.Size.Routes, a.Size.Servers)
	a.push()
	go every(ctx, a.Size.Versions, a.push)
	return a.service.Addr(), nil
}

// report tells the newest version.
func (a *configurationActor) report() Report { return Report{Highest: a.newest.Load()} }

func (a *configurationActor) push() {
	a.newest.Store(time.Now().UnixNano())
	a.service.Push(a.newest.Load(), a.document, false)
}

// commandPush has the control service push a version.
const commandPush = "push"

// do pushes a version.
func (a *configurationActor) do(command string) error {
	if command != commandPush {
		return a.silentActor.do(command)
	}
	a.push()
	return nil
}

// document is a configuration of so many routes, and targets that may be used.
func document(routes, targets int) string {
	var b strings.Builder
	for i := range targets {
		fmt.Fprintf(&b, "[[target]]\nid = \"server-%06d\"\n", i)
	}
	b.WriteString(routesOf(routes, "view"))
	return b.String()
}

// routesOf are routes to one class, 32 to a service, as the plan has it.
func routesOf(n int, class string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[[route]]\npath = \"/service-%03d/resource-%05d/{id}\"\nmethods = [\"GET\", \"POST\"]\nclass = %q\n", i/routesEach, i, class)
	}
	return b.String()
}

// routesEach is how many routes a service of the plan has.
const routesEach = 32

// counterActor is the stand-in of the store of shared totals.
type counterActor struct {
	silentActor
	role
}

func (a *counterActor) start(context.Context, *slog.Logger) (string, error) {
	s, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return s.Addr(), nil
}

// coordinatorActor is a real coordinator.
type coordinatorActor struct {
	silentActor
	role
}

func (a *coordinatorActor) start(ctx context.Context, log *slog.Logger) (string, error) {
	c, err := coordinator.LoadConfig(a.Config)
	if err != nil {
		return "", err
	}
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() {
		ended <- coordinator.Serve(ctx, coordinator.Options{Config: c, Log: log}, func(address string) { ready <- address })
	}()
	select {
	case address := <-ready:
		return address, nil
	case err := <-ended:
		return "", err
	}
}

// wardenActor is a real warden over the stand-in of discovery.
type wardenActor struct {
	silentActor
	role
	failures atomic.Int64
}

func (a *wardenActor) start(ctx context.Context, log *slog.Logger) (string, error) {
	c, err := warden.LoadConfig(a.Config)
	if err != nil {
		return "", err
	}
	w := warden.New(c, &warden.HTTP{Address: a.Discovery}, "warden", slog.New(&failureCounter{log.Handler(), &a.failures}))
	go w.Run(ctx)
	return "", nil
}

// report tells how many looks have failed.
func (a *wardenActor) report() Report { return Report{Failures: a.failures.Load()} }

// failureCounter counts warnings.
type failureCounter struct {
	slog.Handler
	count *atomic.Int64
}

// Enabled implements slog.Handler.
func (*failureCounter) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelWarn }

// Handle implements slog.Handler.
func (f *failureCounter) Handle(context.Context, slog.Record) error {
	f.count.Add(1)
	return nil
}

// WithAttrs implements slog.Handler.
func (f *failureCounter) WithAttrs([]slog.Attr) slog.Handler { return f }

// conductorActor is a real conductor, without a release to conduct.
type conductorActor struct {
	silentActor
	role
}

func (a *conductorActor) start(ctx context.Context, log *slog.Logger) (string, error) {
	client, err := leaseholder.Start(ctx, leaseholder.Options{Coordinators: a.Coordinators, Life: sessionLife, Log: log,
		Member: lease.Member{Kind: "conductor", Name: "conductor"}})
	if err != nil {
		return "", err
	}
	c := &conductor.Conductor{Client: client, Group: leaseholder.NewGroup(a.Coordinators...), Log: log}
	go c.Run(ctx)
	return "", nil
}
