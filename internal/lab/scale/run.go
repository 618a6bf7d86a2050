package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"junctionring/internal/coordinator"
	"junctionring/internal/lab"
	"junctionring/internal/lab/proc"
	"junctionring/internal/standin"
)

const (
	coordinators = 3
	lookEvery    = 100 * time.Millisecond // at reports, until all know everything
	watchEvery   = time.Second            // at the memory of all processes
)

// ErrMemory ends a run that has outgrown its memory.
var ErrMemory = errors.New("the run holds more memory than is allowed")

// Options are what a run needs beside its scenario.
type Options struct {
	Program []string // that calls Role first; its roles are played by it
	Gateway string   // the built gateway, for the part of a real one
	Dir     string   // of logs and data
	Build   string   // name of the build that is measured, for the rows
	Memory  int64    // that all processes may hold together; MemoryMost where it is 0
}

// fleet is the processes of one run.
type fleet struct {
	o    Options
	s    *Scenario
	size Size
	all  []*process
	to   role // the addresses

	delays []float64 // told since the last snapshot
}

// Run runs a scenario at one value of its factor, and returns what each role has used while the fleet came to know
// everything, and then at rest.
func Run(ctx context.Context, o Options, s *Scenario, value int) (rows []Row, err error) {
	ctx, done := context.WithTimeout(ctx, TimeMost)
	defer done()
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	f := &fleet{o: o, s: s, size: s.Size(value)}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	watched, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go f.watchMemory(watched, slices.Clone(f.all), stop)
	rows, err = f.measure(watched, value)
	if cause := context.Cause(watched); err != nil && errors.Is(cause, ErrMemory) {
		err = cause
	}
	return rows, err
}

// start starts the servers, and then the processes that will hold the gateways.
func (f *fleet) start(ctx context.Context) error {
	f.to.Size, f.to.Parts = f.size, f.s.Parts
	for _, p := range []struct {
		needed bool
		kind   Kind
		at     *string
	}{
		{f.s.Has(Discovery) || f.s.Has(Warden) || f.s.Has(Gateway), KindDiscovery, &f.to.Discovery},
		{f.s.Has(Configuration), KindConfiguration, &f.to.Configuration},
		{f.s.Has(Counter) || f.s.Has(Gateway), KindCounter, &f.to.Counter},
	} {
		if !p.needed {
			continue
		}
		address, err := f.launch(ctx, p.kind, string(p.kind))
		if err != nil {
			return err
		}
		*p.at = address
	}
	if f.s.Has(Sessions) || f.s.Has(Agents) || f.s.Has(Warden) || f.s.Has(Conductor) {
		if err := f.coordinators(ctx); err != nil {
			return err
		}
	}
	return f.gateways(ctx)
}

// launch starts a process in a role.
func (f *fleet) launch(ctx context.Context, kind Kind, name string) (string, error) {
	r := f.to
	r.Kind = kind
	return f.launchAs(ctx, r, name)
}

func (f *fleet) launchAs(ctx context.Context, r role, name string) (string, error) {
	p, address, err := launch(ctx, f.o.Program, f.o.Dir, name, r)
	if p != nil {
		f.all = append(f.all, p)
	}
	return address, err
}

// coordinators starts a group of them.
func (f *fleet) coordinators(ctx context.Context) error {
	for range coordinators {
		a, err := standin.Free()
		if err != nil {
			return err
		}
		f.to.Coordinators = append(f.to.Coordinators, a)
	}
	for i, a := range f.to.Coordinators {
		name := fmt.Sprintf("coordinator-%d", i+1)
		data := filepath.Join(f.o.Dir, name)
		text := fmt.Sprintf("name = %q\nlisten = %q\ndata = %q\nlongest_life = %q\n", name, a, data, sessionLife)
		for j, b := range f.to.Coordinators {
			text += fmt.Sprintf("\n[[coordinator]]\nname = \"coordinator-%d\"\naddress = %q\n", j+1, b)
		}
		r := f.to
		r.Kind, r.Config = KindCoordinator, data+".toml"
		if err := os.WriteFile(r.Config, []byte(text), 0o644); err != nil {
			return err
		}
		c, err := coordinator.LoadConfig(r.Config)
		if err != nil {
			return err
		}
		if _, err := coordinator.Init(ctx, c); err != nil {
			return err
		}
		if _, err := f.launchAs(ctx, r, name); err != nil {
			return err
		}
	}
	return nil
}

// gateways starts the processes of hollow gateways, which don't begin yet.
func (f *fleet) gateways(ctx context.Context) error {
	if !f.hollow() {
		return nil
	}
	processes := min(f.s.Processes, f.size.Gateways)
	for i := range processes {
		r := f.to
		r.Kind = KindGateways
		r.First = i * f.size.Gateways / processes
		r.Count = (i+1)*f.size.Gateways/processes - r.First
		if _, err := f.launchAs(ctx, r, fmt.Sprintf("gateways-%d", i+1)); err != nil {
			return err
		}
	}
	return nil
}

// hollow tells whether any part is a hollow gateway's.
func (f *fleet) hollow() bool {
	for _, p := range f.s.Parts {
		if clients[p] != nil {
			return true
		}
	}
	return false
}

// watchers starts what looks at the fleet: a warden, a conductor, a real gateway.
func (f *fleet) watchers(ctx context.Context) error {
	if f.s.Has(Warden) {
		r := f.to
		r.Kind, r.Config = KindWarden, filepath.Join(f.o.Dir, "warden.toml")
		text := fmt.Sprintf("name = \"here\"\nsite = \"here\"\ncoordinators = [\"%s\"]\nregistry = %q\ncapacity = 25.0\n",
			strings.Join(f.to.Coordinators, `", "`), f.to.Discovery)
		if err := os.WriteFile(r.Config, []byte(text), 0o644); err != nil {
			return err
		}
		if _, err := f.launchAs(ctx, r, "warden"); err != nil {
			return err
		}
	}
	if f.s.Has(Conductor) {
		if _, err := f.launch(ctx, KindConductor, "conductor"); err != nil {
			return err
		}
	}
	if f.s.Has(Gateway) {
		if _, err := f.realGateway(ctx); err != nil {
			return err
		}
	}
	return nil
}

// quotaPlan is a plan with a quota that is near: a gateway asks the counter about its tenants.
const quotaPlan = "quota"

// realGateway starts the built gateway, waits until it is ready, and returns where it serves.
func (f *fleet) realGateway(ctx context.Context) (listen string, err error) {
	listen, err = standin.Free()
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.o.Dir, "gateway.toml")
	text := lab.GatewayConfig(listen, 0, max(1, f.size.Gateways), f.to.Counter, f.to.Discovery) + routesOf(f.size.Routes, lab.Classes[0].Name)
	text += fmt.Sprintf("[[plan]]\nname = %q\nrate = 10.0\nburst = 20.0\nworth = 1.0\nover_cost = 1.0\n", quotaPlan)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return "", err
	}
	p := &process{Process: proc.Process{Name: "gateway"}, kind: KindGateway, logPath: filepath.Join(f.o.Dir, "gateway.log")}
	out, err := os.Create(p.logPath)
	if err != nil {
		return "", err
	}
	defer out.Close()
	cmd := exec.Command(f.o.Gateway, "serve", "--operator", path)
	cmd.Env = []string{"TMPDIR=" + f.o.Dir}
	cmd.Stdout, cmd.Stderr = out, out
	if err := p.Start(cmd); err != nil {
		return "", err
	}
	f.all = append(f.all, p)
	return listen, awaitReady(ctx, p, "http://"+listen+"/health/ready")
}

// close ends all processes.
func (f *fleet) close() {
	for _, p := range f.all {
		p.close()
	}
}

// watchMemory ends the run when its processes hold more than is allowed.
func (f *fleet) watchMemory(ctx context.Context, own []*process, stop context.CancelCauseFunc) {
	allowed := cmp.Or(f.o.Memory, MemoryMost)
	look := time.NewTicker(watchEvery)
	defer look.Stop()
	for {
		held := int64(0)
		for _, p := range own {
			held += resident(p.Cmd.Process.Pid)
		}
		if held > allowed {
			stop(fmt.Errorf("%w: %d MB, and %d MB are allowed", ErrMemory, held>>20, allowed>>20))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
	}
}
