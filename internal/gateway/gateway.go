// Package gateway assembles an operator's gateway: the core with its modules, egress by site, the counter, the route
// table and the front. It connects the parts and starts them in order, and does none of their work.
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
	connectTimeout  = 250 * time.Millisecond // to an egress target at the gateway's own site
	connIdleTimeout = 10 * time.Second       // most servers close a connection that is idle for longer
	dialRoundTrips  = 3                      // allowed for a dial over a link, which may lose packets
	minSiteConns    = 8                      // connections to the targets of one site
)

// Gateway is an operator's gateway with all its parts.
type Gateway struct {
	Core          *core.Core
	Figures       *telemetry.Figures
	Configuration *configuration.Manager
	front         *forwardauth.Front
	settings      *config.Operator
	redisCounter  *counter.Redis
	roster        *routetable.Roster
	fence         *fence.Gate // for the operators' calls
	inUse         targetList  // the targets that the core was given last
	log           *slog.Logger
}

// New creates the parts and connects them, but starts nothing. base holds the settings of the file; if a snapshot is
// kept, the gateway starts with the last good version instead.
func New(base *config.Operator, log *slog.Logger, seed uint64) (*Gateway, error) {
	base.SetPlanKeys()
	o, number, content := lastGood(base, log)
	redisCounter := counter.NewRedis(o.Redis.Address, o.Redis.Timeout.Duration)
	c, err := core.New(o.Module, seed, egress.NewFleet(egressOptions(o)...), redisCounter, log)
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
	fencePath := ""
	if base.Versions.Snapshot != "" { // kept on disk, since the versions that the calls set are kept, too
		fencePath = base.Versions.Snapshot + ".fence"
	}
	gate, err := fence.Open(fencePath)
	if err != nil {
		return nil, err
	}
	g := &Gateway{Core: c, Figures: figures, fence: gate, front: front, settings: o, redisCounter: redisCounter, log: log, roster: &routetable.Roster{Publish: c.Routes}}
	g.Configuration = configuration.New(base, o, number, content, c, front, g.targets, log)
	g.roster.OnChange = g.Configuration.SetRoster
	return g, nil
}

// lastGood returns the version that a gateway starts with. If the snapshot can't be used, it logs why and returns the
// settings of the file.
func lastGood(base *config.Operator, log *slog.Logger) (o *config.Operator, number int64, content []byte) {
	path := base.Versions.Snapshot
	if path == "" {
		return base, 0, nil
	}
	v, err := snapshot.Load(path)
	if err != nil {
		if !errors.Is(err, snapshot.ErrNone) {
			log.Error("cannot load the snapshot; using the settings of the file", "err", err)
		}
		return base, 0, nil
	}
	next, faults := config.ReadVersion(v.Content, base)
	if len(faults) > 0 {
		log.Error("the snapshot's version does not match the file any more; using the settings of the file", "number", v.Number, "err", errors.Join(faults...))
		return base, 0, nil
	}
	log.Info("starting with the last good version", "number", v.Number)
	return next, v.Number, v.Content
}

// targets puts the targets of a version that comes into force to use. It skips an unchanged list: most versions
// change no target, and a list of thousands costs the core more than the rest of a version.
func (g *Gateway) targets(o *config.Operator) {
	if !g.inUse.update(o.Targets) {
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

// Front returns the handler for clients.
func (g *Gateway) Front() http.Handler { return g.front }

// Operations returns the handler for operators. A call that carries a fencing token (fence.Header) is refused once a
// later holder of the lease has called.
func (g *Gateway) Operations(hooks management.Hooks) http.Handler {
	return g.fence.Guard(operations.New(g.settings, g.Core, g.Configuration, hooks, g.log))
}

// Start runs the parts until ctx ends. It returns true once the route table is known, or false if ready ends first.
func (g *Gateway) Start(ctx, ready context.Context) bool {
	go g.Core.Run(ctx)
	go g.redisCounter.Run(ctx)
	g.targets(g.settings) // before a new version can arrive
	go g.Configuration.Run(ctx)
	if g.settings.Discovery.Address == "" {
		return true
	}
	known := make(chan struct{})
	var once sync.Once
	discovery := &routetable.Discovery{Address: g.settings.Discovery.Address, Gateways: g.settings.Gateways, Log: g.log, Publish: func(t core.Table) {
		g.roster.Update(t)
		once.Do(func() { close(known) })
	}}
	if len(g.settings.Sites) > 0 {
		discovery.Sites = g.settings.ZoneSites()
	}
	go discovery.Run(ctx)
	select {
	case <-known:
		return true
	case <-ready.Done():
		return false
	}
}

// EgressConns returns how many of the process's descriptors may be connections to egress targets.
func EgressConns(sockets int) int { return max(16, sockets*2/5) }

// egressOptions returns the egress options by site. Each site has its own share of the descriptors, so that attempts
// that hang on a link take none from requests to the near site. The near site gets the largest share.
func egressOptions(o *config.Operator) (all []egress.Options) {
	base := egress.Options{ConnectTimeout: connectTimeout, ConnIdle: connIdleTimeout, Conns: EgressConns(o.Limits.Sockets), Cores: o.Limits.Cores}
	if len(o.Sites) == 0 {
		return []egress.Options{base}
	}
	rest := base.Conns
	for i := range o.Sites {
		s, site := &o.Sites[i], base
		site.ConnectTimeout += dialRoundTrips * 2 * s.Distance.Duration
		site.Conns = cmp.Or(s.Connections, max(minSiteConns, base.Conns/(2*len(o.Sites))))
		site.Warm, site.Abort = s.WarmConnections(), !s.Here
		rest -= site.Conns
		all = append(all, site)
	}
	if own := o.SitesModule.Own; o.Sites[own].Connections == 0 {
		all[own].Conns += max(0, rest)
	}
	return all
}
