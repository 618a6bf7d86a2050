package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"junctionring/internal/standin"
)

// Result is what became of a run.
type Result struct {
	Plan   Plan
	Start  time.Time
	Record *Record
	Breaks []Break
}

// Requests counts the requests that were written whole.
func (r Result) Requests() (n int) {
	for _, s := range r.Record.Requests() {
		if !s.LastByte.IsZero() {
			n++
		}
	}
	return n
}

// rig is all that a run is made of.
type rig struct {
	plan     Plan
	record   *Record
	servers  []*server
	gateways []*gateway
	counter  *counter
}

// Run plays a plan with the program, whose files go into dir, and judges it.
func Run(ctx context.Context, p Plan, program []string, dir string) (Result, error) {
	g := &rig{plan: p, record: NewRecord()}
	result := Result{Plan: p, Record: g.record}
	defer g.close()
	if err := g.build(program, dir); err != nil {
		return result, err
	}
	if err := g.startAll(ctx); err != nil {
		return result, err
	}
	result.Start = time.Now()
	sending, stopSending := context.WithTimeout(ctx, p.Length)
	defer stopSending()
	var clients, faults sync.WaitGroup
	g.watchLateness(sending, &faults)
	if err := g.watchNetworkLateness(sending, &faults); err != nil {
		return result, err
	}
	g.throw(ctx, sending, &faults)
	g.send(sending, &clients)
	clients.Wait()
	faults.Wait()
	g.finish(ctx)
	for _, s := range g.servers {
		s.close()
	}
	result.Breaks = Judge(p, g.record)
	return result, ctx.Err()
}

func (g *rig) build(program []string, dir string) (err error) {
	shared := &keys{first: map[string]time.Time{}}
	var entries []instance
	for n := range g.plan.Servers {
		s, err := newServer(n, g.plan, g.record, shared)
		if err != nil {
			return err
		}
		g.servers = append(g.servers, s)
		entries = append(entries, instance{ID: "s-" + strconv.Itoa(n), HostPort: s.address(), Zone: "hall", State: "SERVING", Weight: 1})
	}
	if g.counter, err = newCounter(); err != nil {
		return err
	}
	for n := range g.plan.Gateways {
		a, err := newAgent(n, g.record, entries)
		if err != nil {
			return err
		}
		listen, err := standin.Free()
		if err != nil {
			return err
		}
		g.gateways = append(g.gateways, &gateway{number: n, plan: g.plan, record: g.record, program: program, dir: dir,
			listen: listen, counter: g.counter.listener.Addr().String(), agent: a})
	}
	return os.MkdirAll(dir, 0o755)
}

func (g *rig) startAll(ctx context.Context) error {
	failed := make(chan error, len(g.gateways))
	for _, w := range g.gateways {
		go func() { failed <- w.start(ctx) }()
	}
	var first error
	for range g.gateways {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// watchLateness measures how late this process's own timers are.
func (g *rig) watchLateness(ctx context.Context, all *sync.WaitGroup) {
	const each = 5 * time.Millisecond
	all.Go(func() {
		for ctx.Err() == nil {
			due := time.Now().Add(each)
			time.Sleep(each)
			g.record.late(time.Since(due))
		}
	})
}

// watchNetworkLateness measures how late this process's goroutines are with what the network brings them.
func (g *rig) watchNetworkLateness(ctx context.Context, all *sync.WaitGroup) error {
	const each = 5 * time.Millisecond
	near, far, err := connected()
	if err != nil {
		return err
	}
	go io.Copy(far, far)
	all.Go(func() {
		defer near.Close()
		defer far.Close()
		for one := make([]byte, 1); ctx.Err() == nil; time.Sleep(each) {
			sent := time.Now()
			near.Write(one)
			if _, err := io.ReadFull(near, one); err != nil {
				return
			}
			g.record.lateNetwork(time.Since(sent))
		}
	})
	return nil
}

// connected returns both ends of a connection over loopback.
func connected() (near, far net.Conn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	far, err = l.Accept()
	return near, far, err
}

func (g *rig) send(ctx context.Context, all *sync.WaitGroup) {
	ids := &atomic.Uint64{}
	for _, w := range g.gateways {
		for n := range g.plan.Clients {
			c := &client{habit: habit(n) % habits, gateway: w, plan: g.plan, record: g.record, ids: ids,
				random: rand.New(rand.NewPCG(g.plan.Seed, uint64(w.number*1000+n)))}
			all.Go(func() { c.run(ctx) })
		}
	}
}

// throw throws the plan's faults, each at its time. A restart goes on past the time of sending.
func (g *rig) throw(ctx, sending context.Context, all *sync.WaitGroup) {
	for i, f := range g.plan.Faults {
		random := rand.New(rand.NewPCG(g.plan.Seed, uint64(1e6+i)))
		all.Go(func() {
			wait(sending, f.At)
			if sending.Err() != nil {
				return
			}
			g.record.strike(f.Kind)
			g.fault(ctx, sending, f, random)
		})
	}
}

func (g *rig) fault(ctx, sending context.Context, f Fault, random *rand.Rand) {
	switch f.Kind {
	case Restart:
		g.gateways[f.Target].restart(ctx, syscall.SIGTERM)
	case RestartTwice:
		g.gateways[f.Target].restart(ctx, syscall.SIGTERM, syscall.SIGTERM)
	case RestartHangups:
		g.gateways[f.Target].restart(ctx, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM)
	case Hangups:
		g.gateways[f.Target].hangUp(3)
	case Stalls:
		var pauses []time.Duration
		for range 3 {
			pauses = append(pauses, time.Duration(random.Int64N(int64(mostStall))))
		}
		g.gateways[f.Target].stall(sending, pauses)
	case DiscoveryDown, DiscoveryQuiet:
		end := g.gateways[f.Target].agent.fail(f.Kind)
		wait(sending, f.For)
		end()
	case ServerHangs, ServerResets, ServerFull, ServerTwice:
		end := g.servers[f.Target].begin(f.Kind)
		wait(sending, f.For)
		end()
	case ServerForgets:
		again(sending, f.For, random, g.servers[f.Target].forget)
	case CounterResets:
		again(sending, f.For, random, g.counter.reset)
	case ServerDrains:
		for _, w := range g.gateways {
			w.agent.drain(f.Target)
		}
	case Rush:
		g.gateways[f.Target].rush(f.For, random)
	case Crowd:
		g.crowd(sending, f.For)
	}
}

// again does something at random moments for some time.
func again(ctx context.Context, d time.Duration, random *rand.Rand, do func()) {
	const pauseMost = 100 * time.Millisecond
	for began := time.Now(); time.Since(began) < d && ctx.Err() == nil; {
		do()
		wait(ctx, time.Duration(random.Int64N(int64(pauseMost))))
	}
}

// crowd holds connections to each gateway that say nothing, or half a head.
func (g *rig) crowd(ctx context.Context, d time.Duration) {
	const each = 40
	var all []net.Conn
	defer func() {
		for _, c := range all {
			c.Close()
		}
	}()
	for _, w := range g.gateways {
		for n := range each {
			c, err := net.DialTimeout("tcp", w.listen, dialWithin)
			if err != nil {
				break
			}
			all = append(all, c)
			if n%2 == 0 {
				fmt.Fprint(c, "GET /view/1 HTTP/1.1\r\nHost:")
			}
		}
	}
	wait(ctx, d)
}

// finish waits until the gateways are at rest, looks at what they hold, and ends them.
func (g *rig) finish(ctx context.Context) {
	const rest = 300 * time.Millisecond
	wait(ctx, rest)
	var all sync.WaitGroup
	for _, w := range g.gateways {
		all.Go(func() {
			w.restarting.Lock()
			defer w.restarting.Unlock()
			w.inspect()
			w.stop(syscall.SIGTERM)
			w.readLogs()
		})
	}
	all.Wait()
}

func (g *rig) close() {
	for _, w := range g.gateways {
		w.mu.Lock()
		if w.cmd != nil {
			w.cmd.Process.Kill() // ended by now, but for a run that was broken off
		}
		w.mu.Unlock()
		w.agent.close()
	}
	for _, s := range g.servers {
		s.close()
	}
	if g.counter != nil {
		g.counter.listener.Close()
	}
}
