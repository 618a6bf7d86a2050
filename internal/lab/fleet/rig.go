// Package fleet plays a whole fleet with real processes: coordinators, gateways with an agent each, conductors, a
// warden, stand-in table servers and a steady load. It throws faults between them while releases and drains are under
// way, and judges by what the kernel, the clients and the table servers saw, never by what the fleet says of itself.
package fleet

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"junctionring/internal/coordinator"
	"junctionring/internal/lab"
	"junctionring/internal/lab/proc"
	"junctionring/internal/leaseholder"
	"junctionring/internal/standin"
	"junctionring/rollout"
)

// Options say how large a play is.
type Options struct {
	Program  string // the built gateway
	Fleet    string // the built program fleet
	Dir      string
	Gateways int
	Groups   int // of agents: each reaches the coordinators over links of its own
	Tables   int // in three zones
	Rate     float64
	Most     int // gateways out at once, by the budget
	Spare    float64
	Life     time.Duration // of agents' sessions
	Learn    time.Duration
	Seed     uint64
}

// The sizes that every play shares.
const (
	coordinators = 3
	conductors   = 2
	wardens      = 2
	zones        = 3
	tableCores   = 3
	lateBy       = 950 * time.Millisecond // what the slow version adds to each answer
)

// gateway is one gateway of a play, with its agent.
type gateway struct {
	proc.Process // the agent
	id           string
	group        int
	listen       string
	management   [2]string
	config       string
	dir          string
}

// Rig is a play's processes.
type Rig struct {
	o        Options
	nodes    []*proc.Process
	listens  []string
	gateways []*gateway
	conduct  []*proc.Process
	wardens  []*proc.Process
	links    [][]*standin.Link // by group and coordinator
	tables   []*standin.Table
	slow     *standin.Link // between the slow version and the table servers
	registry *standin.Registry
	Record   *standin.Record
	Group    *leaseholder.Group
	Judge    *Judge
	rng      *rand.Rand
	closers  []func()
	offers   int // loads so far: no key is used by two

	mu  sync.Mutex
	Log []string
	Met map[string]int
	log *slog.Logger
}

func (r *Rig) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Log = append(r.Log, fmt.Sprintf("%8.3f ", time.Since(r.Judge.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (r *Rig) met(fault string, struck bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if struck {
		r.Met[fault]++
	}
}

// Start starts a play, and returns once every gateway serves and the budget is in force. Close must follow.
func Start(ctx context.Context, o Options) (r *Rig, err error) {
	r = &Rig{o: o, rng: rand.New(rand.NewPCG(o.Seed, 19)), Record: &standin.Record{}, Met: map[string]int{}, log: slog.New(slog.DiscardHandler)}
	r.Judge = newJudge(o.Dir)
	defer func() {
		if err != nil {
			r.Close()
			r = nil
		}
	}()
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return r, err
	}
	if err := r.standins(); err != nil {
		return r, err
	}
	if err := r.coordinators(ctx); err != nil {
		return r, err
	}
	if err := r.versions(); err != nil {
		return r, err
	}
	if err := r.fleet(ctx); err != nil {
		return r, err
	}
	rules := []rollout.Rule{{Name: "gateways", Kind: rollout.KindGateway, Most: o.Most}, {Name: "tables", Kind: rollout.KindTable, Most: o.Tables / zones}}
	if o.Spare > 0 {
		rules = append(rules, rollout.Rule{Name: "room", Spare: o.Spare})
	}
	if err := r.change(ctx, rollout.Command{Op: rollout.SetRules, Rules: rules}); err != nil {
		return r, err
	}
	err = r.Await(ctx, time.Minute+time.Duration(o.Gateways)*300*time.Millisecond, "every unit serves", func(f *rollout.Fleet) bool {
		in := 0
		for _, u := range f.Budget.Units {
			if u.Up && u.Warm {
				in++
			}
		}
		return in == o.Gateways+o.Tables
	})
	if err == nil {
		err = r.Judge.start(r.gateways)
	}
	return r, err
}

func (r *Rig) standins() (err error) {
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		return err
	}
	r.closers = append(r.closers, store.Close)
	if r.registry, err = standin.NewRegistry("127.0.0.1:0"); err != nil {
		return err
	}
	r.closers = append(r.closers, r.registry.Close)
	far, err := standin.NewRegistry("127.0.0.1:0")
	if err != nil {
		return err
	}
	r.closers = append(r.closers, far.Close)
	r.slow = standin.NewLink(standin.LinkOptions{Delay: lateBy / 2, Seed: r.o.Seed})
	r.closers = append(r.closers, r.slow.Close)
	work := map[string]standin.Work{}
	for _, c := range lab.Classes {
		work[c.Name] = standin.Work{Least: c.Least, Most: c.Most}
	}
	free, err := addresses(3 * r.o.Gateways)
	if err != nil {
		return err
	}
	keys := standin.NewKeys()
	for i := range r.o.Tables {
		t, err := standin.NewTable("127.0.0.1:0", standin.TableOptions{ID: fmt.Sprintf("t%d", i), Site: fmt.Sprintf("hall-%d", i%zones), Cores: tableCores, Speed: 1,
			Work: work, Keys: keys, Record: r.Record, Seed: uint64(i) + 1})
		if err != nil {
			return err
		}
		r.closers = append(r.closers, t.Close)
		r.tables = append(r.tables, t)
		r.registry.Put(t.Instance(t.Addr()))
		over, err := r.slow.To(t.Addr())
		if err != nil {
			return err
		}
		far.Put(t.Instance(over))
	}
	for i := range r.o.Gateways {
		id := fmt.Sprintf("g%d", i)
		g := &gateway{Process: proc.Process{Name: "agent-" + id}, id: id, group: i % r.o.Groups, dir: filepath.Join(r.o.Dir, id)}
		g.config = filepath.Join(g.dir, "gateway.toml")
		if err := os.MkdirAll(g.dir, 0o755); err != nil {
			return err
		}
		g.listen, g.management = free[3*i], [2]string{free[3*i+1], free[3*i+2]}
		for _, kind := range []struct {
			suffix, discovery, moves string
		}{{"", r.registry.Addr(), ""}, {"-slow", far.Addr(), ""}, {"-fails", r.registry.Addr(), "20ms"}} {
			text := lab.GatewayConfig(g.listen, i, r.o.Gateways, store.Addr(), kind.discovery)
			if kind.moves != "" { // every move is given up before a server can have served it
				text = strings.Replace(text, "aim = \"1s\"\ndeadline = \"4s\"", fmt.Sprintf("aim = %q\ndeadline = %q", kind.moves, kind.moves), 1)
			}
			if err := os.WriteFile(strings.TrimSuffix(g.config, ".toml")+kind.suffix+".toml", []byte(text), 0o644); err != nil {
				return err
			}
		}
		r.gateways = append(r.gateways, g)
	}
	return nil
}

// versions are the programs that releases bring: 1 and 2 are good, each of the others is bad in its own way.
func (r *Rig) versions() error {
	real := filepath.Join(r.o.Dir, "versions", "real-junctionring")
	if err := os.MkdirAll(filepath.Dir(real), 0o755); err != nil {
		return err
	}
	if err := copyFile(r.o.Program, real); err != nil {
		return err
	}
	own := `serve --operator "$GW_CONFIG"`
	for name, script := range map[string]string{
		"1": "exec " + real + " " + own, "2": "exec " + real + " " + own,
		"never-ready": "exec sleep 600",
		"crashes":     "exec timeout -s KILL 3 " + real + " " + own,
		"slow":        "exec " + real + ` serve --operator "${GW_CONFIG%.toml}-slow.toml"`,
		"fails-moves": "exec " + real + ` serve --operator "${GW_CONFIG%.toml}-fails.toml"`,
		"spoilt":      "exec " + real + " " + own,
	} {
		dir := filepath.Join(r.o.Dir, "versions", name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		script = "#!/bin/sh\n# version " + name + "\n" + script + "\n"
		sum := fmt.Sprintf("%x  junctionring\n", sha256.Sum256([]byte(script)))
		if name == "spoilt" {
			script += "# and something that was not there when its sum was made\n"
		}
		if err := errors.Join(os.WriteFile(filepath.Join(dir, "SHA256"), []byte(sum), 0o644),
			os.WriteFile(filepath.Join(dir, "junctionring"), []byte(script), 0o755)); err != nil {
			return err
		}
	}
	return nil
}

func copyFile(from, to string) error {
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer in.Close()
	out, err := os.OpenFile(to, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o755)
	if err != nil {
		return err
	}
	_, err = io.Copy(out, in)
	return errors.Join(err, out.Close())
}

func addresses(n int) (all []string, err error) {
	for range n {
		a, err := standin.Free()
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}

func (r *Rig) coordinators(ctx context.Context) (err error) {
	if r.listens, err = addresses(coordinators); err != nil {
		return err
	}
	r.Group = leaseholder.NewGroup(r.listens...)
	r.Group.Try = 2 * time.Second
	r.closers = append(r.closers, r.Group.Close)
	for i, a := range r.listens {
		name := fmt.Sprintf("c%d", i+1)
		text := fmt.Sprintf("name = %q\nlisten = %q\ndata = %q\nlongest_life = %q\n", name, a, filepath.Join(r.o.Dir, "data-"+name), r.o.Life)
		for j, b := range r.listens {
			text += fmt.Sprintf("\n[[coordinator]]\nname = \"c%d\"\naddress = %q\n", j+1, b)
		}
		path := r.nodeConfig(i)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return err
		}
		c, err := coordinator.LoadConfig(path)
		if err != nil {
			return err
		}
		if _, err := coordinator.Init(ctx, c); err != nil {
			return err
		}
		p := &proc.Process{Name: name}
		r.nodes = append(r.nodes, p)
		if err := r.startNode(i); err != nil {
			return err
		}
	}
	for g := range r.o.Groups {
		r.links = append(r.links, nil)
		for i := range r.listens {
			l := standin.NewLink(standin.LinkOptions{Delay: 200 * time.Microsecond, Seed: r.o.Seed + uint64(10*g+i)})
			r.links[g] = append(r.links[g], l)
			r.closers = append(r.closers, l.Close)
		}
	}
	return nil
}

func (r *Rig) nodeConfig(i int) string { return filepath.Join(r.o.Dir, fmt.Sprintf("c%d.toml", i+1)) }

func (r *Rig) startNode(i int) error {
	return r.start(r.nodes[i], nil, "coordinator", "run", "--config", r.nodeConfig(i))
}

// start starts a command of the program fleet.
func (r *Rig) start(p *proc.Process, env []string, args ...string) error {
	out, err := os.OpenFile(filepath.Join(r.o.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(r.o.Fleet, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "GOMAXPROCS=2"}, env...)
	cmd.Stdout, cmd.Stderr = out, out
	return p.Start(cmd)
}

// fleet starts the agents with their gateways, the conductors and the wardens.
func (r *Rig) fleet(ctx context.Context) error {
	list := `"` + strings.Join(r.listens, `", "`) + `"`
	vias := make([]string, r.o.Groups)
	for group := range vias {
		for i, a := range r.listens {
			over, err := r.links[group][i].To(a)
			if err != nil {
				return err
			}
			vias[group] += fmt.Sprintf("%q = %q\n", a, over)
		}
	}
	for _, g := range r.gateways {
		text := fmt.Sprintf(`name = %q
site = "here"
zone = "hall-%d"
capacity = %g
coordinators = [%s]
life = %q
state = "agent.state"
[via]
%s
[program]
versions = "../versions"
version = "1"
args = []
management = [%q, %q]
ready_within = "5s"
drain = "6s"
learn = %q
env = { GW_CONFIG = %q, TMPDIR = %q, LAB_GATEWAY = %q }
`, g.id, g.group%zones, 2*r.o.Rate/float64(r.o.Gateways)+5, list, r.o.Life, vias[g.group], g.management[0], g.management[1], r.o.Learn, g.config, g.dir, g.id)
		if err := os.WriteFile(filepath.Join(g.dir, "agent.toml"), []byte(text), 0o644); err != nil {
			return err
		}
		if err := r.startAgent(g); err != nil {
			return err
		}
		proc.Wait(ctx, 20*time.Millisecond) // not a herd of starts on one machine
	}
	for i := range conductors {
		r.conduct = append(r.conduct, &proc.Process{Name: fmt.Sprintf("conductor-%d", i+1)})
		if err := r.startConductor(r.conduct[i]); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("name = \"here\"\nsite = \"here\"\ncoordinators = [%s]\nlife = %q\nregistry = %q\ncapacity = %g\nwarm = \"18s\"\nlook = \"300ms\"\n",
		list, r.o.Life, r.registry.Addr(), lab.Capacity([]lab.Server{{Cores: tableCores, Speed: 1}}))
	if err := os.WriteFile(filepath.Join(r.o.Dir, "tables.toml"), []byte(text), 0o644); err != nil {
		return err
	}
	for i := range wardens {
		r.wardens = append(r.wardens, &proc.Process{Name: fmt.Sprintf("warden-%d", i+1)})
		if err := r.startWarden(r.wardens[i]); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) startAgent(g *gateway) error {
	return r.start(&g.Process, nil, "agent", "--config", filepath.Join(g.dir, "agent.toml"))
}

func (r *Rig) startConductor(p *proc.Process) error {
	return r.start(p, nil, "fleet", "conductor", "--coordinators", strings.Join(r.listens, ","), "--life", r.o.Life.String())
}

func (r *Rig) startWarden(p *proc.Process) error {
	return r.start(p, nil, "fleet", "tables", "--config", filepath.Join(r.o.Dir, "tables.toml"))
}

func (r *Rig) change(ctx context.Context, c rollout.Command) error {
	call, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	c.By = "play"
	reply, err := coordinator.Change(call, r.Group, c)
	if err == nil && reply.Error != "" && !reply.Waits {
		err = errors.New(reply.Error)
	}
	return err
}

// View is what the fleet says of itself.
func (r *Rig) View(ctx context.Context) (*rollout.Fleet, error) {
	call, done := context.WithTimeout(ctx, 5*time.Second)
	defer done()
	return coordinator.View(call, r.Group, 0)
}

// Await waits until the fleet says so.
func (r *Rig) Await(ctx context.Context, within time.Duration, what string, so func(*rollout.Fleet) bool) error {
	ctx, done := context.WithTimeout(ctx, within)
	defer done()
	for {
		f, err := r.View(ctx)
		if err == nil && so(f) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("not within %v: %s (%v)", within, what, err)
		}
		proc.Wait(ctx, 200*time.Millisecond)
	}
}

// Offered is what became of a load, and when it began.
type Offered struct {
	Samples []lab.Sample
	Begun   time.Time
}

// Offer offers the play's load for a time, or until ctx ends.
func (r *Rig) Offer(ctx context.Context, rate float64, d time.Duration) (Offered, error) {
	r.offers++
	load := lab.Load{Name: fmt.Sprintf("load%d", r.offers), Rate: rate, For: d, Accounts: 400, Plan: "club", Seed: r.o.Seed}
	for _, g := range r.gateways {
		load.Gateways = append(load.Gateways, g.listen)
	}
	samples, err := load.Run(ctx, nil)
	if ctx.Err() != nil {
		err = nil
	}
	return Offered{samples, load.Begun}, err
}

// begin begins a release over all gateways.
func (r *Rig) begin(ctx context.Context, id, version string, s rollout.Settings) error {
	units := make([]string, 0, len(r.gateways))
	for _, g := range r.gateways {
		units = append(units, g.id)
	}
	return r.change(ctx, rollout.Command{Op: rollout.Begin, Change: id, Version: version, Units: units, Settings: &s})
}

// Close ends all processes, gateways too.
func (r *Rig) Close() {
	r.Judge.stop()
	var all []*proc.Process
	for _, g := range r.gateways {
		all = append(all, &g.Process)
	}
	all = append(append(append(all, r.conduct...), r.wardens...), r.nodes...)
	for _, p := range all {
		if p.Running() {
			p.Cmd.Process.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	for _, pids := range processes(r.Judge.folder, nil) {
		for _, p := range pids {
			syscall.Kill(p.pid, syscall.SIGKILL)
		}
	}
	slices.Reverse(r.closers)
	for _, c := range r.closers {
		c()
	}
	if len(r.Log) > 0 {
		os.WriteFile(filepath.Join(r.o.Dir, "play.log"), []byte(strings.Join(r.Log, "\n")+"\n"), 0o644)
	}
}
