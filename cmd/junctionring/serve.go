package main

import (
	"bytes"
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"junctionring/internal/config"
	"junctionring/internal/egress"
	"junctionring/internal/front"
	"junctionring/internal/gateway"
	"junctionring/internal/management"
	"junctionring/internal/telemetry"
	"junctionring/shutdown"
)

const (
	programMemory = 16 << 20 // bytes: the program's own pages, and what the runtime exceeds its limit by

	memoryShare = 0.7             // of the limit: the runtime's own, the sockets' buffers and files count too
	bodyShare   = 0.06            // of the limit: requests' bodies
	firstList   = 5 * time.Second // a process that knows no list waits for one: half of the time in which it is to be ready

	operationsHeaderTimeout = 2500 * time.Millisecond // from accept on, as at the clients' address
)

type serveCommand struct {
	Config   string     `env:"EDGE_CONFIG" type:"existingfile" xor:"front" required:"" help:"The platform's configuration: serve its protocol."`
	Operator string     `type:"existingfile" xor:"front" required:"" help:"An operator's file: serve forward authentication."`
	LogLevel slog.Level `env:"EDGE_LOG_LEVEL" default:"info" help:"The least level that is logged: debug, info, warn or error."`
}

func (s serveCommand) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: s.LogLevel}))
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
	if own := os.Getenv("EDGE_MANAGEMENT"); own != "" { // a process that replaces another has one of its own
		o.Operations.Listen = own
	}
	server := front.NewServer(g.Front(), o.MaxHeader, &g.Figures.Concurrent, log)
	g.Figures.Unread = server.UnreadResponses
	limitBodies(server, o.Limits.MemoryMB)
	server.SetCores(o.Limits.Cores)
	sockets := openListeners(log, o.Listen, o.Operations.Listen)
	if o.Operations.Listen != "" {
		l, err := sockets.listen(o.Operations.Listen)
		if err != nil {
			return err
		}
		defer l.Close()
		log.Info("operations", "listen", l.Addr().String())
		go serveOperations(front.LimitNewConns(l, o.Limits.Cores), g.Operations(hooks(work, server, g.Figures)), log)
	}
	go eachHangup(work, hup, func() { log.Warn("SIGHUP: the operator's file is read at the start only") })
	if !g.Start(work, ctx) {
		return nil // told to end before the route table was known
	}
	s := &service{
		core: g.Core, server: server, sockets: sockets, connections: ingressConns(o.Limits.Sockets),
		plan: func(time.Time) shutdown.Plan { return shutdown.PlanForShed(o.Drain.Duration) }, log: log, wordWait: egress.WholeSeconds,
	}
	return s.serve(ctx, work)
}

// serveOperations answers the calls of an operator's gateway, one per connection.
func serveOperations(l net.Listener, h http.Handler, log *slog.Logger) {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: operationsHeaderTimeout, IdleTimeout: operationsHeaderTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.SetKeepAlivesEnabled(false)
	s.Serve(l)
}

// hooks are what the management calls do.
func hooks(work context.Context, server *front.Server, figures *telemetry.Figures) management.Hooks {
	return management.Hooks{
		Ready: server.Available,
		Telemetry: func(b *bytes.Buffer) {
			figures.WriteTo(b)
			figures.WriteWaits(b)
		},
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

// ingressConns is how many of the descriptors may be connections of clients.
func ingressConns(sockets int) int { return max(16, sockets*9/20) }

// limitBodies bounds what the bodies of requests may take together.
func limitBodies(server *front.Server, memoryMB int) {
	if memoryMB > 0 {
		server.LimitBodyMemory(max(egress.MaxBody+1, int64(bodyShare*float64(memoryMB<<20))))
	}
}

// runtimeMemory is how many bytes the Go runtime may take before it collects garbage more often.
func runtimeMemory(memoryMB int) int64 {
	limit := int64(memoryMB) << 20
	return min(int64(memoryShare*float64(limit)), max(limit-programMemory, limit/2))
}

func limitRuntime(cores float64, memoryMB int) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(runtimeMemory(memoryMB))
		debug.SetGCPercent(200)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
