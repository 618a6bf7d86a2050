package spread

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"junctionring/internal/lab"
	"junctionring/internal/lab/proc"
	"junctionring/internal/standin"
)

// Options say how large a play is.
type Options struct {
	Program  string // the built gateway
	Dir      string
	Gateways int
	Tables   int
	Load     float64 // of the capacity
	Speeds   []float64
	Heavy    int     // gateways that get ten times the load of the middling one
	Uneven   float64 // standard deviation of the logarithm of gateways' loads
	For      time.Duration
	Fault    string // of Faults
	Seed     uint64
}

const (
	cores     = 3
	coldFrom  = 0.15
	coldUntil = 18 * time.Second
	settle    = 5 * time.Second // at the beginning, before anything is measured
)

// gate is one gateway's process.
type gate struct {
	proc.Process
	listen, config string
}

// World is a running play.
type World struct {
	o        Options
	Record   *standin.Record
	registry *standin.Registry
	late     *standin.Registry // what a third of the gateways follow: changes come to it later
	store    *standin.Store
	gates    []*gate
	rng      *rand.Rand
	closers  []func()

	mu      sync.Mutex
	tables  []*standin.Table
	servers []Server
}

// capacity is how many requests a second a server of some speed does.
func capacity(speed float64) float64 {
	return lab.Capacity([]lab.Server{{Cores: cores, Speed: speed}})
}

// Start starts the servers and the gateways; Close must follow.
func Start(ctx context.Context, o Options) (w *World, err error) {
	w = &World{o: o, Record: &standin.Record{}, rng: rand.New(rand.NewPCG(o.Seed, 23))}
	defer func() {
		if err != nil {
			w.Close()
			w = nil
		}
	}()
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return w, err
	}
	if w.store, err = standin.NewStore("127.0.0.1:0"); err != nil {
		return w, err
	}
	w.closers = append(w.closers, w.store.Close)
	for _, r := range []**standin.Registry{&w.registry, &w.late} {
		if *r, err = standin.NewRegistry("127.0.0.1:0"); err != nil {
			return w, err
		}
		w.closers = append(w.closers, (*r).Close)
	}
	for i := range o.Tables {
		e, err := w.add(fmt.Sprintf("t%d", i), o.Speeds[i%len(o.Speeds)], false)
		if err != nil {
			return w, err
		}
		w.registry.Put(e)
		w.late.Put(e)
	}
	for i := range o.Gateways {
		listen, err := standin.Free()
		if err != nil {
			return w, err
		}
		g := &gate{Process: proc.Process{Name: fmt.Sprintf("g%d", i)}, listen: listen, config: filepath.Join(o.Dir, fmt.Sprintf("g%d.toml", i))}
		from := w.registry
		if i%3 == 0 {
			from = w.late
		}
		if err := os.WriteFile(g.config, []byte(lab.GatewayConfig(listen, i, o.Gateways, w.store.Addr(), from.Addr())), 0o644); err != nil {
			return w, err
		}
		w.gates = append(w.gates, g)
	}
	return w, w.startAll(ctx, w.gates)
}

// add starts a table server, and returns its entry for the registry.
func (w *World) add(id string, speed float64, cold bool) (e standin.Instance, err error) {
	work := map[string]standin.Work{}
	for _, c := range lab.Classes {
		work[c.Name] = standin.Work{Least: c.Least, Most: c.Most}
	}
	o := standin.TableOptions{ID: id, Site: "here", Cores: cores, Speed: speed, Work: work, Record: w.Record, Seed: w.rng.Uint64()}
	if cold {
		o.ColdFrom, o.Ramp = coldFrom, coldUntil
	}
	t, err := standin.NewTable("127.0.0.1:0", o)
	if err != nil {
		return e, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tables = append(w.tables, t)
	w.servers = append(w.servers, Server{ID: id, Capacity: capacity(speed), From: time.Now()})
	return t.Instance(t.Addr()), nil
}

// startAll starts gateways all at once, and waits until each is ready.
func (w *World) startAll(ctx context.Context, gates []*gate) error {
	for _, g := range gates {
		out, err := os.OpenFile(filepath.Join(w.o.Dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		cmd := exec.Command(w.o.Program, "serve", "--operator", g.config)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + w.o.Dir}
		cmd.Stdout, cmd.Stderr = out, out
		err = g.Start(cmd)
		out.Close()
		if err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	by := time.Now().Add(30*time.Second + time.Duration(len(gates))*200*time.Millisecond)
	for _, g := range gates {
		for {
			a, err := client.Get("http://" + g.listen + "/health/ready")
			if err == nil {
				a.Body.Close()
				if a.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(by) || !g.Running() {
				return fmt.Errorf("%s does not serve: %v; its log is in %s", g.Name, err, w.o.Dir)
			}
			if proc.Wait(ctx, 50*time.Millisecond); ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
	return nil
}

// weights deal the load over gateways: unevenly, and to a few many times more.
func (w *World) weights() (all []float64) {
	for i := range w.gates {
		x := math.Exp(w.rng.NormFloat64() * w.o.Uneven)
		if i < w.o.Heavy {
			x = 10
		}
		all = append(all, x)
	}
	return all
}

// Run offers the load, throws the fault a third of the way in, and takes the figures.
func (w *World) Run(ctx context.Context) (f Figures, samples []lab.Sample, err error) {
	sum := 0.0
	for _, s := range w.servers {
		sum += s.Capacity
	}
	load := lab.Load{Name: "load", Rate: w.o.Load * sum, For: settle + w.o.For, Accounts: 10 * w.o.Gateways, Plan: "club", Seed: w.o.Seed, Weights: w.weights()}
	for _, g := range w.gates {
		load.Gateways = append(load.Gateways, g.listen)
	}
	begun := time.Now()
	thrown := make(chan error, 1)
	go func() {
		proc.Wait(ctx, settle+w.o.For/3)
		fault := Faults[w.o.Fault]
		if fault == nil || ctx.Err() != nil {
			thrown <- nil
			return
		}
		thrown <- fault(ctx, w)
	}()
	samples, err = load.Run(ctx, nil)
	if e := <-thrown; err == nil {
		err = e
	}
	end := time.Now()
	if err != nil {
		return f, nil, err
	}
	return w.figures(samples, begun, begun.Add(settle), begun.Add(settle+w.o.For), end), samples, nil
}

func (w *World) figures(samples []lab.Sample, begun, from, to, end time.Time) (f Figures) {
	w.mu.Lock()
	defer w.mu.Unlock()
	arrivals := w.Record.All()
	sum := lab.Summarise(lab.Between(samples, from.Sub(begun), to.Sub(begun)), "")
	f.Asked, f.InTime, f.Refused, f.Failed, f.Unanswered, f.P50, f.P99 = sum.Requests, sum.InTime, sum.Refused, sum.Failed, sum.Unanswered, sum.P50, sum.P99
	for _, window := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
		f.Even = append(f.Even, Evenness(w.servers, arrivals, window, from, to, w.o.Seed))
	}
	f.Herds = Herds(w.servers, arrivals, from, to)
	f.Idle, f.LongestIdle = Idle(w.servers, arrivals, from, to)
	f.RefusedWithRoom = RefusedWithRoom(w.servers, arrivals, lab.Between(samples, from.Sub(begun), to.Sub(begun)), begun, end)
	f.Fallen = w.Record.Fallen()
	over, all := 0.0, 0.0
	for i, t := range w.tables {
		open, opened := t.Connections()
		f.Open, f.Opened = append(f.Open, open), f.Opened+opened
		if w.servers[i].To.IsZero() {
			over, all = over+w.servers[i].Capacity, all+float64(open)
		}
	}
	for i, open := range f.Open {
		if s := w.servers[i]; s.To.IsZero() && all > 0 {
			f.HighestOpen = max(f.HighestOpen, float64(open)/s.Capacity/(all/over))
		}
	}
	return f
}

// Close ends everything.
func (w *World) Close() {
	for _, g := range w.gates {
		if g.Running() {
			g.Cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, g := range w.gates {
		if g.Cmd != nil {
			<-g.Ended
		}
	}
	for _, t := range w.tables {
		t.Close()
	}
	slices.Reverse(w.closers)
	for _, c := range w.closers {
		c()
	}
}
