package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"junctionring/internal/operations"
	"junctionring/internal/standin"
)

// Server is a table server of a play.
type Server struct {
	Cores int
	Speed float64
	Cold  bool // started with the play
}

// Layout is what stands where in a play: two sites, called near and far after where the load is watched.
type Layout struct {
	Near, Far           []Server
	NearGates, FarGates int
	Link                standin.LinkOptions
	Program             string // the built gateway
	Dir                 string // for its files and logs
}

// Capacity is how many requests a second servers can do.
func Capacity(servers []Server) float64 {
	cores := 0.0
	for _, s := range servers {
		cores += float64(s.Cores) * s.Speed
	}
	return cores / meanWork()
}

// Mixed is a hall of so many servers of the operators' two kinds, in turn.
func Mixed(n int) (all []Server) {
	for i := range n {
		all = append(all, Server{Cores: 3, Speed: []float64{0.97, 0.60}[i%2]})
	}
	return all
}

// World is a running layout.
type World struct {
	Layout
	Record     *standin.Record
	NearTables []*standin.Table
	FarTables  []*standin.Table
	Link       *standin.Link
	Started    time.Time

	registries map[string]*standin.Registry // by site: what its gateways are told
	store      *standin.Store
	back       *standin.Link // from the far site to the near one
	gates      map[string][]*gate
	notices    []notice
	churn      *Churn
	closers    []func()
}

// notice is when the gateways were told that a table server drains.
type notice struct {
	at     time.Time
	server string
}

// gate is one gateway process.
type gate struct {
	cmd                 *exec.Cmd
	address, operations string
	ended               chan error
}

const plans = `
[[plan]]
name = "club"
rate = 100000.0
burst = 100000.0
worth = 1.0
over_cost = 1.0
`

// Start brings a layout up; Close must follow.
func (l Layout) Start(ctx context.Context) (w *World, err error) {
	w = &World{Layout: l, Record: &standin.Record{}, Started: time.Now(),
		registries: map[string]*standin.Registry{}, gates: map[string][]*gate{}}
	defer func() {
		if err != nil {
			w.Close()
			w = nil
		}
	}()
	if w.store, err = standin.NewStore("127.0.0.1:0"); err != nil {
		return w, err
	}
	w.closers = append(w.closers, w.store.Close)
	back := l.Link
	back.Seed += 1000
	w.Link, w.back = standin.NewLink(l.Link), standin.NewLink(back)
	w.closers = append(w.closers, w.Link.Close, w.back.Close)
	for _, site := range []string{"near", "far"} {
		if w.registries[site], err = standin.NewRegistry("127.0.0.1:0"); err != nil {
			return w, err
		}
		w.closers = append(w.closers, w.registries[site].Close)
	}
	work := map[string]standin.Work{}
	for _, c := range Classes {
		work[c.Name] = standin.Work{Least: c.Least, Most: c.Most}
	}
	for _, site := range []string{"near", "far"} {
		servers, link, other := l.Near, w.back, "far"
		if site == "far" {
			servers, link, other = l.Far, w.Link, "near"
		}
		keys := standin.NewKeys()
		for i, s := range servers {
			o := standin.TableOptions{ID: fmt.Sprintf("%s-%d", site, i), Site: site, Cores: s.Cores, Speed: s.Speed,
				Work: work, Keys: keys, Record: w.Record, Seed: uint64(i) + 1}
			if s.Cold {
				o.ColdFrom, o.Ramp = 0.15, 18*time.Second
			}
			t, err := standin.NewTable("127.0.0.1:0", o)
			if err != nil {
				return w, err
			}
			w.closers = append(w.closers, t.Close)
			over, err := link.To(t.Addr())
			if err != nil {
				return w, err
			}
			w.registries[site].Put(t.Instance(t.Addr()))
			w.registries[other].Put(t.Instance(over))
			if site == "near" {
				w.NearTables = append(w.NearTables, t)
			} else {
				w.FarTables = append(w.FarTables, t)
			}
		}
	}
	all := l.NearGates + l.FarGates
	for i := range all {
		site := "near"
		if i >= l.NearGates {
			site = "far"
		}
		g, err := w.startGate(ctx, site, i, all)
		if err != nil {
			return w, err
		}
		w.gates[site] = append(w.gates[site], g)
	}
	return w, nil
}

// startGate starts one gateway process and waits until it serves.
func (w *World) startGate(ctx context.Context, site string, ordinal, all int) (*gate, error) {
	var b strings.Builder
	writeHead(&b, "127.0.0.1:0", ordinal, all, w.store.Addr(), w.registries[site].Addr())
	for _, s := range []string{"near", "far"} {
		if s == site {
			fmt.Fprintf(&b, "[[site]]\nname = %q\nhere = true\ngateways = %d\n", s, map[string]int{"near": w.NearGates, "far": w.FarGates}[s])
		} else {
			fmt.Fprintf(&b, "[[site]]\nname = %q\ndistance = %q\n", s, w.Layout.Link.Delay)
		}
	}
	writeClasses(&b, groupSite)
	b.WriteString(plans)
	path := filepath.Join(w.Dir, fmt.Sprintf("gateway-%d.toml", ordinal))
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(w.Dir, fmt.Sprintf("gateway-%d.log", ordinal)))
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, w.Program, "serve", "--operator", path)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 10 * time.Second
	log, err := cmd.StderrPipe()
	if err != nil {
		out.Close()
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		out.Close()
		return nil, err
	}
	g := &gate{cmd: cmd, ended: make(chan error, 1)}
	ready := make(chan struct{})
	go func() {
		defer out.Close()
		in, told := bufio.NewScanner(log), false
		for in.Scan() {
			fmt.Fprintln(out, in.Text())
			if _, a, ok := strings.Cut(in.Text(), "msg=operations listen="); ok {
				g.operations = a
			}
			if _, a, ok := strings.Cut(in.Text(), "msg=serving listen="); ok && !told {
				g.address, told = a, true
				close(ready)
			}
		}
		io.Copy(io.Discard, log)
		g.ended <- cmd.Wait()
	}()
	select {
	case <-ready:
		return g, nil
	case err := <-g.ended:
		return nil, fmt.Errorf("gateway %d ended at once (its log is in %s): %w", ordinal, w.Dir, err)
	case <-time.After(10 * time.Second):
		cmd.Process.Kill()
		return nil, fmt.Errorf("gateway %d does not serve", ordinal)
	}
}

// GatewayConfig is the operator's file of a gateway at one site, with the lab's classes and plan.
func GatewayConfig(listen string, ordinal, all int, store, discovery string) string {
	var b strings.Builder
	writeHead(&b, listen, ordinal, all, store, discovery)
	writeClasses(&b, groupAll)
	b.WriteString(plans)
	return b.String()
}

func writeHead(b *strings.Builder, listen string, ordinal, all int, store, discovery string) {
	fmt.Fprintf(b, `listen = %q
ordinal = %d
gateways = %d
trusted_proxies = ["127.0.0.0/8"]
max_attempts = 3
drain = "2s"
[limits]
cores = 1.0
memory_mb = 192
sockets = 2048
[redis]
address = %q
timeout = "100ms"
[discovery]
address = %q
[operations]
listen = "127.0.0.1:0"
`, listen, ordinal, all, store, discovery)
}

// Groups of servers that drop each other's repeats of a move.
const (
	groupAll  = "all"
	groupSite = "site"
)

// writeClasses writes the lab's classes in the operator's form, the keyed one with a group.
func writeClasses(b *strings.Builder, group string) {
	for _, c := range Classes {
		fmt.Fprintf(b, "[[class]]\nname = %q\naim = %q\ndeadline = %q\nworth = %v\nlate_worth = 0.2\n", c.Name, c.Aim, c.Deadline, c.Worth)
		if c.carriesMoveKey {
			fmt.Fprintf(b, "repeat = \"keyed\"\nwindow = \"4s\"\ngroup = %q\n", group)
		} else {
			b.WriteString("repeat = \"safe\"\n")
		}
	}
}

// Addresses are where a site's gateways serve.
func (w *World) Addresses(site string) (all []string) {
	for _, g := range w.gates[site] {
		all = append(all, g.address)
	}
	return all
}

// Status asks a site's gateways for what they count.
func (w *World) Status(site string) (all []operations.Status, err error) {
	for _, g := range w.gates[site] {
		resp, err := http.Get("http://" + g.operations + "/status")
		if err != nil {
			return nil, err
		}
		var s operations.Status
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// Crossings is what a site's gateways sent over their link, by cause.
func (w *World) Crossings(site string) (by map[string]uint64, total uint64, err error) {
	all, err := w.Status(site)
	by = map[string]uint64{}
	for _, s := range all {
		if s.Sites == nil {
			continue
		}
		for _, st := range s.Sites.Sites {
			for _, c := range st.Crossed {
				by[c.Cause] += c.Count
				total += c.Count
			}
		}
	}
	return by, total, err
}

// Drain tells all gateways that tables drain, as one notice, and has those tables take nothing new 1 s later.
func (w *World) Drain(tables []*standin.Table) {
	var ids []string
	for _, t := range tables {
		ids = append(ids, t.Instance("").ID)
	}
	now := time.Now()
	for _, id := range ids {
		w.notices = append(w.notices, notice{now, id})
	}
	for _, r := range w.registries {
		r.Drain(ids...)
	}
	time.AfterFunc(time.Second, func() {
		for _, t := range tables {
			t.Drain()
		}
	})
}

// AfterNotice counts requests that reached a server later than 1 s (and the link's way) after it was told.
func (w *World) AfterNotice() (n int) {
	told := map[string]time.Time{}
	for _, d := range w.notices {
		told[d.server] = d.at
	}
	for _, a := range w.Record.All() {
		if at, ok := told[a.Server]; ok && a.At.After(at.Add(time.Second+w.Layout.Link.Delay)) {
			n++
		}
	}
	return n
}

// Close ends everything that was started, the gateways in good order first.
func (w *World) Close() error {
	var faults []error
	for _, gates := range w.gates {
		for _, g := range gates {
			g.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for site, gates := range w.gates {
		for i, g := range gates {
			select {
			case err := <-g.ended:
				if err != nil {
					faults = append(faults, fmt.Errorf("gateway %d at %s: %w", i, site, err))
				}
			case <-time.After(8 * time.Second):
				g.cmd.Process.Kill()
				faults = append(faults, fmt.Errorf("gateway %d at %s had to be killed", i, site))
			}
		}
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
	return errors.Join(faults...)
}

// saveStatus keeps what the gateways counted beside their logs.
func (w *World) saveStatus() error {
	for site := range w.gates {
		all, err := w.Status(site)
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(all, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(w.Dir, "status-"+site+".json"), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
