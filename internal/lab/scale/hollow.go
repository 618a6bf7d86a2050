package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"junctionring/control"
	"junctionring/internal/controlplane"
	"junctionring/internal/coordinator"
	"junctionring/internal/core"
	"junctionring/internal/counter"
	"junctionring/internal/leaseholder"
	"junctionring/internal/routetable"
	"junctionring/lease"
	"junctionring/rollout"
)

// What an agent beside a gateway does, as package agent has it.
const (
	sessionLife = 5 * time.Second
	agentTells  = 2 * time.Second
	agentAsks   = 500 * time.Millisecond
	agentWait   = 3 * time.Second
)

const (
	counterWait = 50 * time.Millisecond
	counterLife = time.Minute // of a tenant's total
	bothWays    = 2           // messages of a call: one each way
)

// gatewaysActor holds hollow gateways.
type gatewaysActor struct {
	role
	all      []*hollow
	restarts int
}

func (a *gatewaysActor) start(_ context.Context, log *slog.Logger) (string, error) {
	for i := range a.Count {
		a.all = append(a.all, &hollow{role: a.role, number: a.First + i, log: log})
	}
	return "", nil
}

// Commands to a process of hollow gateways.
const (
	commandGo      = "go"
	commandRestart = "restart" // all
	commandSome    = "some"    // one in someOf restarts, others each time
)

// someOf is how many gateways there are to one that restarts.
const someOf = 20

// do starts the gateways, or restarts them.
func (a *gatewaysActor) do(command string) error {
	switch command {
	case commandGo:
		for _, h := range a.all {
			h.begin()
		}
	case commandRestart:
		a.restart(a.all)
	case commandSome:
		var some []*hollow
		for _, h := range a.all {
			if h.number%someOf == a.restarts%someOf {
				some = append(some, h)
			}
		}
		a.restarts++
		a.restart(some)
	default:
		return fmt.Errorf("%w: %q", errCommand, command)
	}
	return nil
}

// restart ends gateways at once, and starts each again when it has ended.
func (a *gatewaysActor) restart(some []*hollow) {
	var all sync.WaitGroup
	for _, h := range some {
		all.Go(func() {
			h.stop()
			h.begin()
		})
	}
	all.Wait()
}

func (a *gatewaysActor) report() (r Report) {
	for _, h := range a.all {
		h.addTo(&r)
	}
	return r
}

// hollow is one gateway without requests: the clients that a gateway and its agent have.
type hollow struct {
	role
	number   int
	log      *slog.Logger
	messages atomic.Int64
	failures atomic.Int64
	end      context.CancelFunc // of its life
	ended    chan struct{}

	mu       sync.Mutex
	heard    map[Part]bool
	version  int64
	document []byte
	disorder int64
	delays   []float64
}

func (h *hollow) name() string { return fmt.Sprintf("gateway-%05d", h.number) }

// begin starts the gateway. What it had in force it has again, as from its disk.
func (h *hollow) begin() {
	h.mu.Lock()
	h.heard = map[Part]bool{}
	h.mu.Unlock()
	ctx, end := context.WithCancel(context.Background())
	h.end, h.ended = end, make(chan struct{})
	go func() {
		defer close(h.ended)
		h.run(ctx)
	}()
}

func (h *hollow) stop() {
	h.end()
	<-h.ended
}

// hear notes whether a part is in order.
func (h *hollow) hear(p Part, inOrder bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[p] = inOrder
}

// clients are what each part runs in a gateway.
var clients = map[Part]func(*hollow, context.Context){
	Discovery: (*hollow).discover, Configuration: (*hollow).configure, Sessions: (*hollow).join, Agents: (*hollow).speak, Counter: (*hollow).count,
}

// run runs the clients of all parts until ctx ends.
func (h *hollow) run(ctx context.Context) {
	var all sync.WaitGroup
	for _, p := range h.Parts {
		if client := clients[p]; client != nil {
			all.Go(func() { client(h, ctx) })
		}
	}
	all.Wait()
}

// addTo adds what is known of this gateway, and forgets the delays that it tells.
func (h *hollow) addTo(r *Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	knows := true
	for _, p := range h.Parts {
		knows = knows && (clients[p] == nil || h.heard[p])
	}
	if knows {
		r.Knowing++
	}
	r.Messages += h.messages.Load()
	r.Failures += h.failures.Load()
	r.Disorder += h.disorder
	if r.Lowest == 0 || h.version < r.Lowest {
		r.Lowest = h.version
	}
	r.Highest = max(r.Highest, h.version)
	r.Delays = append(r.Delays, h.delays...)
	h.delays = nil
}

// discover watches the list of servers.
func (h *hollow) discover(ctx context.Context) {
	d := routetable.Discovery{Address: h.role.Discovery, Gateways: h.Size.Gateways, Log: h.log, Dial: h.dial,
		Publish: func(core.Table) { h.hear(Discovery, true) }}
	d.Run(ctx)
}

// dial opens a connection whose reads and writes count as messages.
func (h *hollow) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{c, &h.messages}, nil
}

// countedConn counts reads and writes.
type countedConn struct {
	net.Conn
	count *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.count.Add(1)
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.count.Add(1)
	return c.Conn.Write(p)
}

// configure follows the stream of versions.
func (h *hollow) configure(ctx context.Context) {
	c := controlplane.Client{Services: []string{h.role.Configuration}, Node: h.name(), Gateway: h, Log: h.log}
	c.Run(ctx)
}

// Offer implements controlplane.Gateway: it keeps the document, and doesn't check it. What a check costs is measured at
// a real gateway.
func (h *hollow) Offer(_ context.Context, v controlplane.Version) (string, error) {
	h.messages.Add(bothWays)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[Configuration] = true
	if v.Number < h.version {
		h.disorder++
		return "older than what is in force", nil
	}
	h.version, h.document = v.Number, v.Document
	h.delays = append(h.delays, time.Since(time.Unix(0, v.Number)).Seconds())
	return "", nil
}

// Running implements controlplane.Gateway. A stream that opens from a version in force may have nothing more to say.
func (h *hollow) Running(context.Context) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[Configuration] = h.version > 0
	return h.version, nil
}

// session begins this gateway's session at the coordinators.
func (h *hollow) session(ctx context.Context, kind string, renewed func()) *leaseholder.Client {
	c, err := leaseholder.Start(ctx, leaseholder.Options{Coordinators: h.Coordinators, Life: sessionLife, Log: h.log,
		Member: lease.Member{Kind: kind, Name: h.name()}, Renewed: func(time.Duration) {
			h.messages.Add(bothWays)
			renewed()
		}})
	if err != nil {
		panic(err) // the options are all this package's own
	}
	return c
}

// join keeps a member in the fleet's list, as the process beside a gateway does that has no agent.
func (h *hollow) join(ctx context.Context) {
	c := h.session(context.WithoutCancel(ctx), "gateway", func() { h.hear(Sessions, true) })
	<-ctx.Done()
	leave(c)
}

func leave(c *leaseholder.Client) {
	last, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	c.Close(last)
}

// speak does what an agent does while nothing is rolled out: it holds the lease of its name, tells how its gateway is,
// and asks what there is to do.
func (h *hollow) speak(ctx context.Context) {
	c := h.session(context.WithoutCancel(ctx), coordinator.AgentKind, func() {})
	defer leave(c)
	l, err := c.Acquire(ctx, "agent:"+h.name())
	if err != nil {
		return
	}
	group := leaseholder.NewGroup(h.Coordinators...)
	group.Try = time.Second
	defer group.Close()
	tell, ask := time.NewTicker(agentTells), time.NewTicker(agentAsks)
	defer tell.Stop()
	defer ask.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-tell.C:
			err = h.tell(ctx, group, l)
		case <-ask.C:
			err = h.ask(ctx, group)
		}
		h.messages.Add(bothWays)
		if ctx.Err() != nil {
			return
		}
		if h.hear(Agents, err == nil); err != nil {
			h.failures.Add(1)
		}
	}
}

// tell tells the coordinators how the gateway is.
func (h *hollow) tell(ctx context.Context, group *leaseholder.Group, l *leaseholder.Lease) error {
	token, _, may := l.Token()
	if !may {
		return errors.New("the lease is lost")
	}
	call, done := context.WithTimeout(ctx, agentWait)
	defer done()
	u := rollout.Unit{Kind: rollout.KindGateway, Site: "here", Zone: fmt.Sprintf("zone-%d", h.number%h.Size.Zones), Capacity: 300, By: h.name(),
		Version: "1", Instance: h.name(), Up: true, Warm: true, Load: 260 + 10*rand.Float64()}
	figures := map[string]rollout.Count{"view": {Asked: uint64(rand.IntN(1 << 20))}, "move": {Asked: uint64(rand.IntN(1 << 20))}}
	_, err := coordinator.Change(call, group, rollout.Command{Op: rollout.Observe, By: "agent:" + h.name(), Token: token, Unit: h.name(), Observed: &u, Figures: figures})
	return err
}

// ask asks the coordinators what there is to do.
func (h *hollow) ask(ctx context.Context, group *leaseholder.Group) error {
	call, done := context.WithTimeout(ctx, agentWait)
	defer done()
	_, err := coordinator.Brief(call, group, h.name())
	return err
}

// count adds to tenants' totals at the store, so many times a second.
func (h *hollow) count(ctx context.Context) {
	store := counter.NewRedis(h.role.Counter, counterWait)
	var ran sync.WaitGroup
	ran.Go(func() { store.Run(ctx) })
	defer ran.Wait()
	tick := time.NewTicker(time.Second / time.Duration(max(1, h.Size.Calls)))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		tenant := uint64(rand.IntN(max(1, h.Size.Tenants)))
		store.Add(tenant, 1, counterLife, func(s control.Status, _ float64) {
			h.messages.Add(bothWays)
			h.hear(Counter, true)
			if s != control.OK {
				h.failures.Add(1)
			}
		})
	}
}
