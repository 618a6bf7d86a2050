// Package gateway puts an operator's gateway together: the core with its modules, egress by site, the counter,
// the route table and the front. It owns how the parts are joined and in what order they start, and takes no
// part in what they do.
package gateway

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"junctionring/fence"
	"junctionring/internal/config"
	"junctionring/internal/configuration"
	"junctionring/internal/core"
	"junctionring/internal/counter"
	"junctionring/internal/egress"
	"junctionring/internal/forwardauth"
	"junctionring/internal/management"
	"junctionring/internal/operations"
	"junctionring/internal/routetable"
	"junctionring/internal/snapshot"
	"junctionring/internal/telemetry"
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
	Core          *core.Core
	Figures       *telemetry.Figures
	Configuration *configuration.Manager
	front         *forwardauth.Front
	o             *config.Operator
	tally         *counter.Redis
	roster        *routetable.Roster
	fence         *fence.Gate // of the operators' calls
	inUse         targetList  // as the core was told last
	log           *slog.Logger
}

// New joins the parts; nothing runs yet. base is what the file says; where a snapshot is kept the gateway begins
// with the last good version instead.
func New(base *config.Operator, log *slog.Logger, seed uint64) (*Gateway, error) {
	base.SetPlanKeys()
	o, number, content := lastGood(base, log)
	tally := counter.NewRedis(o.Redis.Address, o.Redis.Timeout.Duration)
	c, err := core.New(o.Module, seed, egress.NewFleet(egressOptions(o)...), tally, log)
	if err != nil {
		return nil, err
	}
	figures := telemetry.New("svc")
	c.SetMetrics(figures)
	if len(o.Sites) > 0 {
		o.SitesModule.Seed = rand.New(rand.NewPCG(seed, 1)).Uint64()
		router, err := sites.New(o.SitesModule)
		if err != nil {
			return nil, err
		}
		c.SetSites(router)
	}
	front, err := forwardauth.New(o, c, log)
	if err != nil {
		return nil, err
	}
	guarded := ""
	if base.Versions.Snapshot != "" { // as lasting as the versions that the calls set
		guarded = base.Versions.Snapshot + ".fence"
	}
	gate, err := fence.Open(guarded)
	if err != nil {
		return nil, err
	}
	g := &Gateway{Core: c, Figures: figures, fence: gate, front: front, o: o, tally: tally, log: log, roster: &routetable.Roster{Publish: c.Routes}}
	g.Configuration = configuration.New(base, o, number, content, c, front, g.targets, log)
	g.roster.OnChange = g.Configuration.SetRoster
	return g, nil
}

// lastGood is the version that a gateway begins with. A snapshot that can't be used is named, and the file serves.
func lastGood(base *config.Operator, log *slog.Logger) (o *config.Operator, number int64, content []byte) {
	path := base.Versions.Snapshot
	if path == "" {
		return base, 0, nil
	}
	v, err := snapshot.Load(path)
	if err != nil {
		if !errors.Is(err, snapshot.ErrNone) {
			log.Error("the snapshot is not used; the file is", "err", err)
		}
		return base, 0, nil
	}
	next, faults := config.ReadVersion(v.Content, base)
	if len(faults) > 0 {
		log.Error("the snapshot's version does not fit the file any more; the file is used", "number", v.Number, "err", errors.Join(faults...))
		return base, 0, nil
	}
	log.Info("begins with the last good version", "number", v.Number)
	return next, v.Number, v.Content
}

// targets has the targets of a version that comes into force used. Most versions change none of them, and a list of
// thousands costs the core more than all else of a version.
func (g *Gateway) targets(o *config.Operator) {
	if !g.inUse.change(o.Targets) {
		return
	}
	if o.Discovery.Address == "" {
		g.Core.Routes(routetable.Static(o))
		return
	}
	allowed := map[string]bool{}
	for _, t := range o.Targets {
		allowed[t.ID] = true
	}
	g.roster.Allow(allowed)
}

// Front is the handler for clients.
func (g *Gateway) Front() http.Handler { return g.front }

// Operations is the handler for operators. A call that carries a lease's token (fence.Header) is turned away once a
// later holder has called.
func (g *Gateway) Operations(hooks management.Hooks) http.Handler {
	return g.fence.Guard(operations.New(g.o, g.Core, g.Configuration, hooks, g.log))
}

// Start has the parts run until ctx ends, and returns once the route table is known; false: ready ended first.
func (g *Gateway) Start(ctx, ready context.Context) bool {
	go g.Core.Run(ctx)
	go g.tally.Run(ctx)
	g.targets(g.o) // before a version can come
	go g.Configuration.Run(ctx)
	if g.o.Discovery.Address == "" {
		return true
	}
	known := make(chan struct{})
	var once sync.Once
	list := &routetable.Discovery{Address: g.o.Discovery.Address, Gateways: g.o.Gateways, Log: g.log, Publish: func(t core.Table) {
		g.roster.Update(t)
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
		site.Warm, site.Abort = s.WarmConnections(), !s.Here
		rest -= site.Conns
		all = append(all, site)
	}
	if own := o.SitesModule.Own; o.Sites[own].Connections == 0 {
		all[own].Conns += max(0, rest)
	}
	return all
}
