package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"junctionring/control"
	"junctionring/internal/config"
	"junctionring/internal/core"
	"junctionring/internal/counter"
	"junctionring/internal/egress"
	"junctionring/internal/ingress"
	"junctionring/internal/routetable"
)

const (
	stillArrives = 500 * time.Millisecond  // after SIGTERM connections keep coming for 0.2 to 0.4 s
	drainFor     = 3500 * time.Millisecond // SIGKILL comes 3.7 s after SIGTERM at the earliest
	memoryShare  = 0.7                     // of the limit: the runtime's own, the sockets' buffers and files count too
)

type serveCommand struct {
	Config string `env:"EDGE_CONFIG" type:"existingfile" required:"" help:"The platform's configuration."`
}

func (s serveCommand) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	p, err := config.LoadPlatform(s.Config)
	if err != nil {
		return err
	}
	limitRuntime(p.Cores, p.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()

	set := p.Settings
	fleet := egress.NewFleet(egress.Options{
		ConnectTimeout: seconds(set.ConnectTimeout), ConnIdle: seconds(set.ConnIdle),
		Conns: max(16, p.Sockets*2/5), LoadFields: set.Module.LoadFields,
	})
	tally := counter.NewLine(p.Counter, seconds(set.Module.Counter.Timeout))
	c, err := core.New(set.Module, p.Seed, fleet, tally, log)
	if err != nil {
		return err
	}
	go c.Run(work)
	if set.Module.Counter.Allowed {
		go tally.Run(work)
	}
	known, err := routetable.Decode(p.Known, set.Zones)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	known.Kind = control.Cached
	c.Routes(known)
	list := &routetable.Discovery{Address: p.Discovery, From: known.Version, Zones: set.Zones, Tell: c.Routes, Log: log}
	go list.Run(work)

	names := &ingress.Names{Classes: set.Classes, Plans: set.Plans, Gateways: max(1, set.Module.Gateways)}
	for _, class := range set.Module.Classes {
		names.Repeats = append(names.Repeats, class.Repeat)
	}
	server := ingress.NewServer(ingress.Platform(names, c, log), log)
	l, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	c.Settle()
	server.Ready()
	log.Info("serving", "name", p.Name, "listen", p.Listen)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	drain, done := context.WithTimeout(context.Background(), drainFor)
	defer done()
	if err := server.Drain(drain, stillArrives); err != nil {
		log.Warn("not all held exchanges ended in time", "err", err)
	}
	return nil
}

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
