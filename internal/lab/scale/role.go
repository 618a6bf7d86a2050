package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// roleEnv names the environment variable that says which role a process plays.
const roleEnv = "JUNCTIONRING_SCALE_ROLE"

// endWait is how long a role may take to end before its process ends anyway.
const endWait = 5 * time.Second

// Kind is what a process of a run does.
type Kind string

// The kinds. A coordinator, a warden and a conductor are the real ones; what stands in for something says so.
const (
	KindDiscovery     Kind = "discovery"     // stand-in
	KindConfiguration Kind = "configuration" // stand-in
	KindCounter       Kind = "counter"       // stand-in
	KindCoordinator   Kind = "coordinator"
	KindGateways      Kind = "gateways" // hollow
	KindWarden        Kind = "warden"
	KindConductor     Kind = "conductor"
	KindGateway       Kind = "gateway" // a real one; a program of its own
)

// role is what a process is told.
type role struct {
	Kind   Kind
	Size   Size
	Parts  []Part
	First  int // number of its first hollow gateway
	Count  int // of hollow gateways
	Listen string
	Config string // coordinator: its file

	Discovery, Configuration, Counter string // addresses
	Coordinators                      []string
}

// Report is what a process says of itself.
type Report struct {
	Knowing  int       // hollow gateways that have heard from all their parts
	Messages int64     // sent and received by hollow gateways
	Failures int64     // calls that failed
	Disorder int64     // versions that came after a newer one
	Lowest   int64     // version in force, of all its gateways
	Highest  int64     // as above
	Delays   []float64 // seconds from a version's push until it was in force, since the last report
	Heap     uint64    // live bytes
}

// actor plays one role.
type actor interface {
	// start returns the address that others reach it at, if it has one.
	start(ctx context.Context, log *slog.Logger) (address string, err error)
	// do carries out a command of the rig.
	do(command string) error
	report() Report
}

// Role plays the role that this process was started for; false: it was started for none. A program that runs
// scenarios calls it first.
func Role() bool {
	text := os.Getenv(roleEnv)
	if text == "" {
		return false
	}
	if err := play(text); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
	return true
}

func play(text string) error {
	var r role
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	a, err := r.actor()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	address, err := a.start(ctx, log)
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	if err := out.Encode(address); err != nil {
		return err
	}
	return obey(a, out)
}

// obey carries out the rig's commands until the rig ends, which closes the pipe.
func obey(a actor, out *json.Encoder) error {
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		r, err := answer(a, in.Text())
		if err != nil {
			return err
		}
		if err := out.Encode(r); err != nil {
			return err
		}
	}
	time.AfterFunc(endWait, func() { os.Exit(3) })
	return nil
}

// Commands that every role knows.
const (
	commandReport  = "report"
	commandCollect = "collect" // report with the live bytes, after a collection of garbage
)

// answer carries out one command.
func answer(a actor, command string) (Report, error) {
	switch command {
	case commandReport:
		return a.report(), nil
	case commandCollect:
		r := a.report()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		r.Heap = m.HeapAlloc
		return r, nil
	}
	if err := a.do(command); err != nil {
		return Report{}, err
	}
	return a.report(), nil
}

func (r role) actor() (actor, error) {
	switch r.Kind {
	case KindDiscovery:
		return &discoveryActor{role: r}, nil
	case KindConfiguration:
		return &configurationActor{role: r}, nil
	case KindCounter:
		return &counterActor{role: r}, nil
	case KindCoordinator:
		return &coordinatorActor{role: r}, nil
	case KindGateways:
		return &gatewaysActor{role: r}, nil
	case KindWarden:
		return &wardenActor{role: r}, nil
	case KindConductor:
		return &conductorActor{role: r}, nil
	case KindProxy:
		return &proxyActor{role: r}, nil
	}
	return nil, fmt.Errorf("there is no role %q", r.Kind)
}

// every calls f so often an hour until ctx ends; 0: never.
func every(ctx context.Context, anHour int, f func()) {
	if anHour <= 0 {
		return
	}
	tick := time.NewTicker(time.Hour / time.Duration(anHour))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}
