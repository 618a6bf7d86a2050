package controlplane_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"junctionring/configdelta"
	"junctionring/internal/controlplane"
	"junctionring/internal/standin/controlservice"
)

// The size of TestFleet. docs/incremental-configuration.md says how it is run at the planned size.
var (
	fleetReaders = flag.Int("fleet-readers", 30, "gateways that take increments")
	fleetWhole   = flag.Int("fleet-whole", 5, "gateways that take whole documents")
	fleetRoutes  = flag.Int("fleet-routes", 600, "routes of a version")
	fleetTargets = flag.Int("fleet-targets", 300, "targets of a version")
	fleetChanges = flag.Int("fleet-changes", 8, "changes that are pushed")
	fleetEvery   = flag.Duration("fleet-every", 100*time.Millisecond, "between two changes")
	fleetRestart = flag.Int("fleet-restart", 20, "of so many gateways one is restarted at each change")
)

// What the fleet is held to.
const (
	changesPerDay  = 6900
	secondsPerDay  = 86_400
	inForceWithin  = 18 * time.Second
	fewerBytesThan = 10 // times fewer than whole documents, at a planned size
	plannedRoutes  = 20_000
)

// fleetDocument is a version in which one route differs from the version before, and one from the first.
func fleetDocument(number int) string {
	var b strings.Builder
	b.WriteString("trusted_proxies = [\"127.0.0.0/8\"]\n[[class]]\nname = \"view\"\n[[plan]]\nname = \"club\"\n")
	for i := range *fleetRoutes {
		class := "view"
		if i == number*7919%*fleetRoutes {
			class = "submit"
		}
		fmt.Fprintf(&b, "[[route]]\npath = \"/service-%03d/resource-%05d/*\"\nmethods = [\"GET\"]\nclass = %q\n", i%720, i, class)
	}
	for i := range *fleetTargets {
		fmt.Fprintf(&b, "[[target]]\nid = \"table-%05d\"\naddress = \"10.%d.%d.%d:8080\"\n", i, i>>16&255, i>>8&255, i&255)
	}
	return b.String()
}

// published is what all gateways may have in force.
type published struct {
	documents map[int64][]byte
	digests   map[int64]uint64
}

// fleetGateway notes when each version came into force, and whether it was one that was published.
type fleetGateway struct {
	published *published
	applied   func()

	mu       sync.Mutex
	number   int64
	at       map[int64]time.Time // when a version came into force
	strange  int                 // versions that nobody published so
	disorder int                 // versions that came after a later one
}

func (g *fleetGateway) Offer(_ context.Context, v controlplane.Version) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if xxhash.Sum64(v.Document) != g.published.digests[v.Number] {
		g.strange++
	}
	if v.Number <= g.number {
		g.disorder++
	}
	g.number, g.at[v.Number] = v.Number, time.Now()
	g.applied()
	return "", nil
}

func (g *fleetGateway) Running(context.Context) (int64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.number, nil
}

func (g *fleetGateway) Document(_ context.Context, number int64) ([]byte, error) {
	return g.published.documents[number], nil
}

// took are the times from push to in force: of this version, or of a later one that holds it.
func (g *fleetGateway) took(pushed map[int64]time.Time) (all []time.Duration, lost int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for number, from := range pushed {
		first := time.Time{}
		for later, at := range g.at {
			if later >= number && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
		if first.IsZero() {
			lost++
			continue
		}
		all = append(all, first.Sub(from))
	}
	return all, lost
}

// fleet is many hollow gateways with the real client, before one service.
type fleet struct {
	service    *controlservice.Service
	increments bool
	published  *published
	gateways   []*fleetGateway
	stops      []func()
	changed    chan struct{}
}

func startFleet(t *testing.T, size int, increments bool) *fleet {
	f := &fleet{service: service(t), increments: increments, changed: make(chan struct{}, 1),
		published: &published{documents: map[int64][]byte{}, digests: map[int64]uint64{}}}
	h := configdelta.NewHistory(1, 1)
	for n := range int64(*fleetChanges + 3) { // the first, the changes, and two while all are restarted
		text := fleetDocument(int(n + 1))
		if err := h.Publish(n+1, 1, false, text); err != nil {
			t.Fatal(err)
		}
		f.published.documents[n+1] = []byte(text)
		if increments {
			f.published.documents[n+1] = h.Newest().Document()
		}
		f.published.digests[n+1] = xxhash.Sum64(f.published.documents[n+1])
	}
	f.push(t, 1)
	for range size {
		g := &fleetGateway{published: f.published, at: map[int64]time.Time{}, applied: func() {
			select {
			case f.changed <- struct{}{}:
			default:
			}
		}}
		f.gateways = append(f.gateways, g)
		f.stops = append(f.stops, f.follow(t, len(f.gateways)-1))
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
	})
	f.await(t, 1)
	return f
}

func (f *fleet) follow(t *testing.T, i int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	c := &controlplane.Client{Services: []string{f.service.Addr()}, Node: fmt.Sprint("gw-", i), Gateway: f.gateways[i],
		Log: slog.New(slog.DiscardHandler), Increments: f.increments}
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	return func() { cancel(); <-ended }
}

func (f *fleet) push(t *testing.T, number int64) {
	text := fleetDocument(int(number))
	if !f.increments {
		f.service.Push(number, text, false)
		return
	}
	if err := f.service.PushIncrement(number, 1, text, false); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) await(t *testing.T, number int64) {
	t.Helper()
	late := time.After(5 * time.Minute)
	for {
		behind := 0
		for _, g := range f.gateways {
			if n, _ := g.Running(t.Context()); n < number {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		select {
		case <-f.changed:
		case <-late:
			t.Fatalf("%d of %d gateways do not run version %d", behind, len(f.gateways), number)
		}
	}
}

func processorTime(t *testing.T) time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		t.Fatal(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// run pushes the changes, restarts gateways meanwhile, and returns the bytes that a gateway was sent for each.
func (f *fleet) run(t *testing.T, restartOneIn int) float64 {
	pushed := map[int64]time.Time{}
	sent0, received0 := f.service.Traffic()
	cpu0, begun := processorTime(t), time.Now()
	pace := time.NewTicker(*fleetEvery)
	defer pace.Stop()
	last := int64(*fleetChanges + 1)
	restarts := 0
	for n := int64(2); n <= last; n++ {
		<-pace.C
		pushed[n] = time.Now()
		f.push(t, n)
		for i := int(n) % max(1, restartOneIn); restartOneIn > 0 && i < len(f.gateways); i += restartOneIn {
			f.stops[i]()
			f.stops[i] = f.follow(t, i)
			restarts++
		}
	}
	f.await(t, last)
	sent, received := f.service.Traffic()
	elapsed, cpu := time.Since(begun), processorTime(t)-cpu0
	var all []time.Duration
	lost, strange, disorder := 0, 0, 0
	for _, g := range f.gateways {
		took, l := g.took(pushed)
		all, lost, strange, disorder = append(all, took...), lost+l, strange+g.strange, disorder+g.disorder
	}
	slices.Sort(all)
	at := func(share float64) time.Duration { return all[min(len(all)-1, int(share*float64(len(all))))] }
	each := float64(len(f.gateways) * *fleetChanges)
	perChange := float64(sent-sent0) / each
	t.Logf("increments %v: %d gateways, %d routes, %d targets, %d changes every %v, %d restarts, %v in all", f.increments,
		len(f.gateways), *fleetRoutes, *fleetTargets, *fleetChanges, *fleetEvery, restarts, elapsed.Round(time.Millisecond))
	t.Logf("  to a gateway: %.0f bytes a change, %.0f bytes a second at %d a day; from it %.0f bytes a change", perChange,
		perChange*changesPerDay/secondsPerDay, changesPerDay, float64(received-received0)/each)
	t.Logf("  processor, service and gateways together: %v a gateway and change, %.3f %% of a core at %d a day",
		time.Duration(float64(cpu)/each).Round(time.Microsecond), 100*cpu.Seconds()/each*changesPerDay/secondsPerDay, changesPerDay)
	t.Logf("  push to in force: p50 %v, p99 %v, max %v; lost %d, out of order %d, not as published %d", at(0.5), at(0.99),
		all[len(all)-1], lost, disorder, strange)
	if lost+strange+disorder > 0 || all[len(all)-1] > inForceWithin {
		t.Errorf("lost %d, out of order %d, not as published %d, the longest %v", lost, disorder, strange, all[len(all)-1])
	}
	return perChange
}

// restartAll ends all gateways, pushes a change, and starts all at once; what a gateway is sent until all are on it is
// logged. With forget the service knows no base of theirs any more.
func (f *fleet) restartAll(t *testing.T, number int64, forget bool) (perGateway float64) {
	for _, stop := range f.stops {
		stop()
	}
	f.push(t, number)
	if forget {
		f.service.ForgetBases()
	}
	sent0, _ := f.service.Traffic()
	begun := time.Now()
	for i := range f.gateways {
		f.stops[i] = f.follow(t, i)
	}
	f.await(t, number)
	sent, _ := f.service.Traffic()
	perGateway = float64(sent-sent0) / float64(len(f.gateways))
	t.Logf("all %d restarted at once, bases forgotten %v: %.0f bytes to a gateway, all on the newest after %v", len(f.gateways),
		forget, perGateway, time.Since(begun).Round(time.Millisecond))
	return perGateway
}

// A fleet of hollow gateways takes changes as whole documents and as increments, in one run.
func TestFleet(t *testing.T) {
	whole := startFleet(t, *fleetWhole, false).run(t, 0)
	f := startFleet(t, *fleetReaders, true)
	increments := f.run(t, *fleetRestart)
	last := int64(*fleetChanges + 1)
	known, forgotten := f.restartAll(t, last+1, false), f.restartAll(t, last+2, true)
	if known*2 > forgotten {
		t.Errorf("%.0f bytes to a gateway that has its base, %.0f to one whose base is forgotten", known, forgotten)
	}
	t.Logf("%.0f times fewer bytes", whole/increments)
	if *fleetRoutes >= plannedRoutes && increments*fewerBytesThan > whole {
		t.Errorf("%.0f bytes a change as increments, %.0f whole", increments, whole)
	}
}
