package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/lab/proc"
)

// Recovery is the phase from a fault until every gateway has everything again, and at least the scenario's window.
const Recovery Phase = "recovery"

// Fault is something that happens to a fleet at rest.
type Fault struct {
	About  string
	strike func(ctx context.Context, f *fleet) error
}

// Faults are all of them, by name.
var Faults = map[string]Fault{
	"none":        {"nothing happens: what the same span costs at rest", func(context.Context, *fleet) error { return nil }},
	"push":        {"a version is pushed again and again while one gateway in 20 restarts", pushWhileRestarting},
	"restart-all": {"every gateway restarts, process by process", restartAll},
	"zone":        {"a third of the gateways' processes are killed at once, and start again", killZone},
	"leader":      {"the coordinator that leads is killed as a version is pushed, and starts again", killLeader},
	"slow-reader": {"one process of gateways stands still for some seconds as a version is pushed", freezeReaders},
}

const (
	pushes      = 5
	pushPause   = 2 * time.Second // between two of them
	leaderAway  = 5 * time.Second
	readerStops = 10 * time.Second
	zoneShare   = 3 // one process in so many
	statusWait  = time.Second
)

// RunFault runs a scenario at one value of its factor, lets a fault happen, and returns what each role has used at rest,
// and from the fault until every gateway has everything again.
func RunFault(ctx context.Context, o Options, s *Scenario, value int, name string) (rows []Row, err error) {
	fault, known := Faults[name]
	if !known {
		return nil, fmt.Errorf("there is no fault %q", name)
	}
	ctx, done := context.WithTimeout(ctx, TimeMost)
	defer done()
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	named := *s
	named.Name = "fault-" + name
	f := &fleet{o: o, s: &named, size: s.Size(value)}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	rows, err = f.measure(ctx, value)
	if err != nil {
		return nil, err
	}
	recovery, err := f.recover(ctx, value, fault)
	return append(rows, recovery...), err
}

// recover lets a fault happen and measures until all is well again.
func (f *fleet) recover(ctx context.Context, value int, fault Fault) ([]Row, error) {
	before, err := f.take(ctx)
	if err != nil {
		return nil, err
	}
	before = f.usedNow(before)
	if err := fault.strike(ctx, f); err != nil {
		return nil, err
	}
	newest, err := f.newest(ctx)
	if err != nil {
		return nil, err
	}
	if err := f.await(ctx, func(r Report) bool { return newest == 0 || r.Lowest >= newest }); err != nil {
		return nil, err
	}
	after, err := f.take(ctx)
	if err != nil {
		return nil, err
	}
	return f.rows(value, Recovery, before, after), nil
}

// newest is the newest version that was pushed; 0: none is.
func (f *fleet) newest(ctx context.Context) (int64, error) {
	for _, p := range f.all {
		if p.kind == KindConfiguration {
			r, err := f.ask(ctx, p, commandReport)
			return r.Highest, err
		}
	}
	return 0, nil
}

// push pushes a version, where there is a configuration.
func (f *fleet) push(ctx context.Context) error {
	for _, p := range f.all {
		if p.kind == KindConfiguration {
			if _, err := f.ask(ctx, p, commandPush); err != nil {
				return err
			}
		}
	}
	return nil
}

func pushWhileRestarting(ctx context.Context, f *fleet) error {
	for range pushes {
		if err := f.push(ctx); err != nil {
			return err
		}
		if err := f.tellGateways(ctx, commandSome); err != nil {
			return err
		}
		proc.Wait(ctx, pushPause)
	}
	return ctx.Err()
}

func restartAll(ctx context.Context, f *fleet) error {
	for _, p := range f.all {
		if p.kind == KindGateways {
			if _, err := f.ask(ctx, p, commandRestart); err != nil {
				return err
			}
		}
	}
	return nil
}

// killZone kills processes of gateways and starts others in their place. What the killed ones have used is lost to the
// figures; the others' start is in them.
func killZone(ctx context.Context, f *fleet) error {
	var killed []int
	n := 0
	for i, p := range f.all {
		if p.kind != KindGateways {
			continue
		}
		if n++; n%zoneShare == 1 {
			p.close()
			killed = append(killed, i)
		}
	}
	if err := f.push(ctx); err != nil {
		return err
	}
	for _, i := range killed {
		if err := f.again(ctx, i); err != nil {
			return err
		}
		if _, err := f.ask(ctx, f.all[i], commandGo); err != nil {
			return err
		}
	}
	return nil
}

// again starts a process that has ended once more.
func (f *fleet) again(ctx context.Context, i int) error {
	was := f.all[i]
	p, _, err := launch(ctx, f.o.Program, f.o.Dir, was.Name, was.role)
	if p != nil {
		f.all[i] = p
	}
	return err
}

func killLeader(ctx context.Context, f *fleet) error {
	i, err := f.leader(ctx)
	if err != nil {
		return err
	}
	f.all[i].close()
	if err := f.push(ctx); err != nil {
		return err
	}
	proc.Wait(ctx, leaderAway)
	return f.again(ctx, i)
}

// errNoLeader says that no coordinator leads.
var errNoLeader = errors.New("no coordinator leads")

// leader is the place of the coordinator that leads.
func (f *fleet) leader(ctx context.Context) (int, error) {
	for _, address := range f.to.Coordinators {
		s, err := leasepb.Status(ctx, address, statusWait)
		if err != nil || s.Leader != s.Id {
			continue
		}
		return slices.IndexFunc(f.all, func(p *process) bool { return p.Name == s.Name }), nil
	}
	return 0, errNoLeader
}

func freezeReaders(ctx context.Context, f *fleet) error {
	i := slices.IndexFunc(f.all, func(p *process) bool { return p.kind == KindGateways })
	stood := make(chan error, 1)
	go func() {
		_, err := f.all[i].Freeze(ctx, readerStops)
		stood <- err
	}()
	for range pushes {
		if err := f.push(ctx); err != nil {
			return err
		}
		proc.Wait(ctx, readerStops/(2*pushes))
	}
	return <-stood
}
