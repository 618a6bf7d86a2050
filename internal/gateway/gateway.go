// Package gateway puts an operator's gateway together: the core with its modules, egress by site, the counter,
// the route table and the front. It owns how the parts are joined and in what order they start, and takes no
// part in what they do.
package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"junctionring/internal/config"
	"junctionring/internal/core"
	"junctionring/internal/counter"
	"junctionring/internal/egress"
	"junctionring/internal/forwardauth"
	"junctionring/internal/operations"
	"junctionring/internal/routetable"
	"junctionring/sites"
)

const (
	connectTimeout = 250 * time.Millisecond // to an egress target near by
	connIdle       = 10 * time.Second       // after which most servers close a connection
	dialTrips      = 3                      // round trips that a dial may take: a link loses packets
	leastConns     = 8                      // to the targets of one site
)

// Gateway is an operator's gateway.
type Gateway struct {
	Core  *core.Core
	front *forwardauth.Front
	o     *config.Operator
	tally *counter.Redis
	log   *slog.Logger
}

// New joins the parts; nothing runs yet.
func New(o *config.Operator, log *slog.Logger, seed uint64) (*Gateway, error) {
	tally := counter.NewRedis(o.Redis.Address, o.Redis.Timeout.Duration)
	c, err := core.New(o.Module, seed, egress.NewFleet(egressOptions(o)...), tally, log)
	if err != nil {
		return nil, err
	}
	if len(o.Sites) > 0 {
		o.Routes.Seed = rand.New(rand.NewPCG(seed, 1)).Uint64()
		router, err := sites.New(o.Routes)
		if err != nil {
			return nil, err
		}
		c.At(router)
	}
	front, err := forwardauth.New(o, c, log)
	if err != nil {
		return nil, err
	}
	return &Gateway{Core: c, front: front, o: o, tally: tally, log: log}, nil
}

// Front is the handler for clients.
func (g *Gateway) Front() http.Handler { return g.front }

// Operations is the handler for operators.
func (g *Gateway) Operations() http.Handler { return operations.New(g.o, g.Core) }

// Start has the parts run until ctx ends, and returns once the route table is known; false: ready ended first.
func (g *Gateway) Start(ctx, ready context.Context) bool {
	go g.Core.Run(ctx)
	go g.tally.Run(ctx)
	if g.o.Discovery.Address == "" {
		g.Core.Routes(routetable.Static(g.o))
		return true
	}
	known := make(chan struct{})
	var once sync.Once
	list := &routetable.Discovery{Address: g.o.Discovery.Address, Log: g.log, Tell: func(t core.Table) {
		g.Core.Routes(t)
		once.Do(func() { close(known) })
	}}
	if len(g.o.Sites) > 0 {
		list.Sites = g.o.ZoneSites()
	}
	go list.Run(ctx)
	select {
	case <-known:
		return true
	case <-ready.Done():
		return false
	}
}

// Close ends what the front keeps open.
func (g *Gateway) Close() { g.front.Close() }

// EgressConns is how many of a number of descriptors may be connections to egress targets.
func EgressConns(sockets int) int { return max(16, sockets*2/5) }

// egressOptions are the options of egress, by site. Each site has descriptors of its own, the near one most:
// what hangs over a link takes none from near requests.
func egressOptions(o *config.Operator) (all []egress.Options) {
	base := egress.Options{ConnectTimeout: connectTimeout, ConnIdle: connIdle, Conns: EgressConns(o.Limits.Sockets)}
	if len(o.Sites) == 0 {
		return []egress.Options{base}
	}
	rest := base.Conns
	for i := range o.Sites {
		s, site := &o.Sites[i], base
		site.ConnectTimeout += dialTrips * 2 * s.Distance.Duration
		site.Conns = cmp.Or(s.Connections, max(leastConns, base.Conns/(2*len(o.Sites))))
		site.Warm, site.Abort = s.Idle(), !s.Here
		rest -= site.Conns
		all = append(all, site)
	}
	if own := o.Routes.Own; o.Sites[own].Connections == 0 {
		all[own].Conns += max(0, rest)
	}
	return all
}
