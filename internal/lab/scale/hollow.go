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
	all []*hollow
	mu  sync.Mutex
	end context.CancelFunc // of the gateways' lives
	ran sync.WaitGroup
	log *slog.Logger
}

func (a *gatewaysActor) start(_ context.Context, log *slog.Logger) (string, error) {
	a.log = log
	for i := range a.Count {
		a.all = append(a.all, &hollow{role: a.role, number: a.First + i, log: log})
	}
	return "", nil
}

// do starts the gateways, ends them, or does both at once.
func (a *gatewaysActor) do(command string) error {
	switch command {
	case "go":
		a.begin()
	case "stop":
		a.stop()
	case "restart":
		a.stop()
		a.begin()
	default:
		return fmt.Errorf("%w: %q", errCommand, command)
	}
	return nil
}

func (a *gatewaysActor) begin() {
	ctx, end := context.WithCancel(context.Background())
	a.end = end
	for _, h := range a.all {
		h.reset()
		a.ran.Go(func() { h.run(ctx) })
	}
}

func (a *gatewaysActor) stop() {
	a.end()
	a.ran.Wait()
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

	mu       sync.Mutex
	heard    map[Part]bool
	version  int64
	document []byte
	disorder int64
	delays   []float64
}

func (h *hollow) name() string { return fmt.Sprintf("gateway-%05d", h.number) }

func (h *hollow) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = map[Part]bool{}
}

func (h *hollow) hear(p Part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[p] = true
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
		Tell: func(core.Table) { h.hear(Discovery) }}
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

// Running implements controlplane.Gateway.
func (h *hollow) Running(context.Context) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, nil
}

// session begins this gateway's session at the coordinators.
func (h *hollow) session(ctx context.Context, kind string, p Part) *leaseholder.Client {
	c, err := leaseholder.Start(ctx, leaseholder.Options{Coordinators: h.Coordinators, Life: sessionLife, Log: h.log,
		Member: lease.Member{Kind: kind, Name: h.name()}, Renewed: func(time.Duration) {
			h.messages.Add(bothWays)
			h.hear(p)
		}})
	if err != nil {
		panic(err) // the options are all this package's own
	}
	return c
}

// join keeps a member in the fleet's list, as the process beside a gateway does that has no agent.
func (h *hollow) join(ctx context.Context) {
	c := h.session(context.WithoutCancel(ctx), "gateway", Sessions)
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
	c := h.session(context.WithoutCancel(ctx), coordinator.AgentKind, Agents)
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
		if err != nil && ctx.Err() == nil {
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
	u := rollout.Unit{Kind: rollout.Gateways, Site: "here", Zone: fmt.Sprintf("zone-%d", h.number%h.Size.Zones), Capacity: 300, By: h.name(),
		Version: "1", Instance: h.name(), Up: true, Warm: true, Load: 260 + 10*rand.Float64()}
	figures := map[string]rollout.Count{"view": {Asked: uint64(rand.IntN(1 << 20))}, "move": {Asked: uint64(rand.IntN(1 << 20))}}
	_, err := coordinator.Change(call, group, rollout.Command{Op: rollout.See, By: "agent:" + h.name(), Token: token, Unit: h.name(), Seen: &u, Figures: figures})
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
			h.hear(Counter)
			if s != control.OK {
				h.failures.Add(1)
			}
		})
	}
}
