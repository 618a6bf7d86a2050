package leases

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/lab/proc"
	"junctionring/internal/standin"
)

// drift is the bound on any clock's rate in a play. Processes get clocks up to four fifths of it off.
const drift = 0.05

// Options say how large a play is.
type Options struct {
	Program      []string // that calls Role; with it each process is started
	Dir          string
	Coordinators int
	Contenders   int
	Leases       int
	Groups       int // of contenders: each reaches the coordinators over links of its own
	Life, Hold   time.Duration
	Entries      int // of the log between snapshots
	Seed         uint64
}

// process is one role at work.
type process struct {
	proc.Process
	role  role
	stdin io.Closer
	log   string
}

// Rig is a play's processes and the links between them.
type Rig struct {
	o       Options
	nodes   []*process
	holders []*process
	judge   *process
	listens []string                 // where coordinators listen, by node
	links   map[string]*standin.Link // "from>to"
	rng     *rand.Rand
	begun   time.Duration

	mu   sync.Mutex
	away []span
	Met  map[string]int // by fault: how often it was seen to have struck
	Log  []string
}

func (r *Rig) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Log = append(r.Log, fmt.Sprintf("%8.3f ", (now()-r.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (r *Rig) met(fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Met[fault]++
}

// Start starts a play.
func Start(ctx context.Context, o Options) (*Rig, error) {
	r := &Rig{o: o, links: map[string]*standin.Link{}, rng: rand.New(rand.NewPCG(o.Seed, 11)), begun: now(), Met: map[string]int{}}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	for range o.Coordinators + 1 {
		address, err := standin.Free()
		if err != nil {
			return nil, err
		}
		r.listens = append(r.listens, address)
	}
	resource := r.listens[o.Coordinators]
	r.listens = r.listens[:o.Coordinators]
	fail := func(err error) (*Rig, error) { r.Close(); return nil, err }
	for i := range o.Coordinators {
		via := map[string]string{}
		for j, to := range r.listens {
			if i != j {
				var err error
				if via[to], err = r.link(fmt.Sprintf("c%d>c%d", i+1, j+1), to); err != nil {
					return fail(err)
				}
			}
		}
		if err := r.writeConfig(i); err != nil {
			return fail(err)
		}
		r.nodes = append(r.nodes, &process{Process: proc.Process{Name: fmt.Sprintf("c%d", i+1)}, role: role{Kind: "coordinator", Via: via, Rate: r.rate(), Config: r.config(i)}})
	}
	var err error
	r.judge = &process{Process: proc.Process{Name: "resource"}, role: role{Kind: "resource", Listen: resource, Rate: 1, Log: filepath.Join(o.Dir, "record.jsonl")}}
	var names []string
	for i := range o.Leases {
		names = append(names, fmt.Sprintf("task-%d", i+1))
	}
	for g := range max(1, o.Groups) {
		via := map[string]string{}
		for j, to := range r.listens {
			if via[to], err = r.link(fmt.Sprintf("g%d>c%d", g+1, j+1), to); err != nil {
				return fail(err)
			}
		}
		for i := g; i < o.Contenders; i += max(1, o.Groups) {
			name := fmt.Sprintf("h%d", i+1)
			r.holders = append(r.holders, &process{Process: proc.Process{Name: name}, role: role{Kind: "contender", Name: name, Coordinators: r.listens, Via: via,
				Leases: names, Life: o.Life, Hold: o.Hold, Resource: resource, Rate: r.rate(), Seed: o.Seed + uint64(i), Log: filepath.Join(o.Dir, name+".jsonl")}})
		}
	}
	return r, nil
}

// Run starts the processes, once the addresses are free for them.
func (r *Rig) Run(ctx context.Context) error {
	for _, p := range append(append([]*process{r.judge}, r.nodes...), r.holders...) {
		if err := r.start(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) rate() float64 { return 1 + drift*0.8*(2*r.rng.Float64()-1) }

func (r *Rig) link(name, to string) (string, error) {
	l := standin.NewLink(standin.LinkOptions{Delay: 200 * time.Microsecond, Seed: r.o.Seed})
	r.links[name] = l
	return l.To(to)
}

func (r *Rig) config(i int) string { return filepath.Join(r.o.Dir, fmt.Sprintf("c%d.toml", i+1)) }
func (r *Rig) data(i int) string   { return filepath.Join(r.o.Dir, fmt.Sprintf("data-%d", i+1)) }

func (r *Rig) writeConfig(i int) error {
	text := fmt.Sprintf("name = \"c%d\"\nlisten = %q\ndata = %q\nlongest_life = %q\ndrift = %g\nsnapshot_entries = %d\n",
		i+1, r.listens[i], r.data(i), r.o.Life, drift, max(100, r.o.Entries))
	for j, a := range r.listens {
		text += fmt.Sprintf("\n[[coordinator]]\nname = \"c%d\"\naddress = %q\n", j+1, a)
	}
	return os.WriteFile(r.config(i), []byte(text), 0o644)
}

// start starts a process and waits until it is ready.
func (r *Rig) start(ctx context.Context, p *process) error {
	text, err := json.Marshal(p.role)
	if err != nil {
		return err
	}
	p.log = filepath.Join(r.o.Dir, p.Name+".log")
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	p.Cmd = exec.Command(r.o.Program[0], r.o.Program[1:]...)
	p.Cmd.Env = append(os.Environ(), roleEnv+"="+string(text))
	p.Cmd.Stderr = out
	if p.stdin, err = p.Cmd.StdinPipe(); err != nil {
		return err
	}
	ready, err := p.Cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.Cmd.Start(); err != nil {
		return err
	}
	p.Ended, p.Stopped = make(chan struct{}), false
	first := make(chan bool, 1)
	go func() {
		in := bufio.NewScanner(ready)
		first <- in.Scan()
		io.Copy(io.Discard, ready)
		p.Cmd.Wait()
		close(p.Ended)
	}()
	select {
	case ok := <-first:
		if !ok {
			tail, _ := os.ReadFile(p.log)
			return fmt.Errorf("%s does not start: %s", p.Name, tail[max(0, len(tail)-400):])
		}
	case <-time.After(30 * time.Second):
		return fmt.Errorf("%s is not ready after 30 s", p.Name)
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// kill is kill -9; what a contender did after it is for the judge.
func (r *Rig) kill(p *process) {
	at := now()
	p.Cmd.Process.Kill()
	<-p.Ended
	r.gone(p, at, 1<<62)
}

func (r *Rig) gone(p *process, from, to time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = append(r.away, span{p.Name, from, to})
}

// freeze stops a process for a time (SIGSTOP, SIGCONT), and tells whether it stood still until the end.
func (r *Rig) freeze(ctx context.Context, p *process, d time.Duration) (stood bool, err error) {
	at := now()
	stood, err = p.Freeze(ctx, d)
	r.gone(p, at, now())
	return stood, err
}

// status asks each coordinator past all links.
func (r *Rig) status(ctx context.Context, i int) (*leasepb.StatusAnswer, error) {
	return leasepb.Status(ctx, r.listens[i], 500*time.Millisecond)
}

// leader is the coordinator that leads in the highest term; -1: none.
func (r *Rig) leader(ctx context.Context) int {
	at, term := -1, uint64(0)
	for i, p := range r.nodes {
		if !p.Running() || p.Stopped {
			continue
		}
		if s, err := r.status(ctx, i); err == nil && s.Leader == s.Id && s.Term > term {
			at, term = i, s.Term
		}
	}
	return at
}

// settled waits until one coordinator leads and the others follow it closely.
func (r *Rig) settled(ctx context.Context, within time.Duration) error {
	by := time.Now().Add(within)
	for time.Now().Before(by) && ctx.Err() == nil {
		leads, follow := 0, 0
		for i := range r.nodes {
			if s, err := r.status(ctx, i); err == nil && s.Leader != 0 && !s.Sealed {
				follow++
				if s.Leader == s.Id && len(s.Coordinators) == len(r.nodes) && !slices.ContainsFunc(s.Coordinators, func(c *leasepb.Coordinator) bool { return !c.Votes || c.Behind > 200 }) {
					leads++
				}
			}
		}
		if leads == 1 && follow == len(r.nodes) {
			return nil
		}
		proc.Wait(ctx, 50*time.Millisecond)
	}
	return fmt.Errorf("the coordinators did not settle within %v", within)
}

// Settled waits until the group is whole and follows one leader.
func (r *Rig) Settled(ctx context.Context) error { return r.settled(ctx, time.Minute) }

// Close ends all processes and links.
func (r *Rig) Close() {
	for _, p := range append(append([]*process{}, r.holders...), append(r.nodes, r.judge)...) {
		if p != nil && p.Running() {
			p.stdin.Close()
			p.Cmd.Process.Kill()
			<-p.Ended
		}
	}
	for _, l := range r.links {
		l.Close()
	}
}

// Judge ends the contenders in good order, then reads the record.
func (r *Rig) Judge() (Verdict, error) {
	for _, p := range r.holders {
		if p.Running() {
			p.Cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range r.holders {
		if p.Cmd == nil {
			continue
		}
		select {
		case <-p.Ended:
		case <-time.After(10 * time.Second):
			return Verdict{}, fmt.Errorf("%s does not end", p.Name)
		}
	}
	record, err := readEvents(r.judge.role.Log)
	if err != nil {
		return Verdict{}, err
	}
	var history []Event
	for _, p := range r.holders {
		events, err := readEvents(p.role.Log)
		if err != nil {
			return Verdict{}, err
		}
		history = append(history, events...)
	}
	return judge(record, history, r.away, r.o.Life), nil
}
