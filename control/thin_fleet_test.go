package control_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"junctionring/control"
)

// bucket is the exact token bucket by which a quota or a ceiling is judged.
type bucket struct {
	rate, burst float64
	level, at   float64
}

func newBucket(rate, burst float64) *bucket { return &bucket{rate: rate, burst: burst, level: burst} }

func (b *bucket) refill(now float64) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at))
	b.at = now
}

// take draws units where the bucket holds them, and tells whether it did.
func (b *bucket) tryDraw(now, units float64) bool {
	b.refill(now)
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}

// draw takes units whether the bucket holds them or not, and returns what it is then short of.
func (b *bucket) forceDraw(now, units float64) float64 {
	b.refill(now)
	b.level -= units
	return max(0, -b.level)
}

// thinCustomer is a customer whose tries come through so many gateways that each sees it seldom.
type quotaCustomer struct {
	id                       uint64
	plan                     int
	demandShare              float64 // of its rate that it asks for
	spikeFactor              float64 // times as much in a spike
	spikeOffset              float64 // when its spikes begin, modulo spikeEvery
	spikeDuration            float64
	spikeInterval            float64
	first, spread            int
	exactBucket, idealBucket *bucket
	ceilingBucket            *bucket // nil: none
}

func (c *quotaCustomer) demandRate(now, rate float64) float64 {
	if c.spikeFactor > 0 && math.Mod(now+c.spikeOffset, c.spikeInterval) < c.spikeDuration {
		return rate * c.demandShare * c.spikeFactor
	}
	return rate * c.demandShare
}

type quotaEvent struct {
	at       float64
	seq      int
	gateway  int
	event    control.Event
	step     func(now float64)
	issuedBy *control.Gateway // answers of the counter do not reach the gateway that takes its place
}

type quotaEventQueue []*quotaEvent

func (q quotaEventQueue) Len() int { return len(q) }
func (q quotaEventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q quotaEventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *quotaEventQueue) Push(x any)   { *q = append(*q, x.(*quotaEvent)) }
func (q *quotaEventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type counterEntry struct{ total, expiresAt float64 }

// thinFigures is what a run of a thinFleet comes to, in units.
type quotaStats struct {
	requested, admitted, overQuota, ideal float64
	attempts, calls                       int
	byKind                                map[string]*[3]float64 // admitted, beyond, oracle
	ceilingExcess                         float64                // most units that a ceiling was short of
}

type quotaSimulation struct {
	queue        quotaEventQueue
	seq          int
	rng          *rand.Rand
	set          control.Settings
	gateways     []*control.Gateway
	totals       map[uint64]*counterEntry
	pending      map[uint64]*quotaRequest
	lastID       uint64
	stats        quotaStats
	statsFrom    float64
	counterDown  func(now float64) bool // the counter gives no answer
	counterDelay float64                // one way to the counter
	skew         float64                // how unevenly a customer comes through its gateways
	seed         uint64
}

type quotaRequest struct {
	customer    *quotaCustomer
	units       float64
	retriesLeft int
}

func (f *quotaSimulation) schedule(at float64, gateway int, event control.Event, step func(float64)) {
	f.seq++
	heap.Push(&f.queue, &quotaEvent{at, f.seq, gateway, event, step, f.gateways[gateway]})
}

func (c *quotaCustomer) kind() string {
	switch {
	case c.spikeFactor > 0:
		return "spiky"
	case c.demandShare > 1.2:
		return "heavy"
	case c.demandShare > 0.7:
		return "full"
	}
	return "normal"
}

func (f *quotaSimulation) submit(now float64, t *quotaRequest) {
	f.lastID++
	f.pending[f.lastID] = t
	c := t.customer
	g := (c.first + int(math.Pow(f.rng.Float64(), f.skew)*float64(c.spread))) % len(f.gateways)
	if now > f.statsFrom {
		f.stats.attempts++
		f.stats.requested += t.units
	}
	f.handle(now, g, control.Request{ID: f.lastID, Plan: c.plan, Customer: c.id, TimeLeft: 1.2,
		Units: t.units, Spread: c.spread, First: c.first, VerdictOnly: true})
}

func (f *quotaSimulation) handle(now float64, gateway int, ev control.Event) {
	for _, a := range f.gateways[gateway].Handle(now, ev, nil) {
		switch a := a.(type) {
		case control.SetTimer:
			f.schedule(now+a.Delay, gateway, control.Timer{Token: a.Token}, nil)
		case control.Count:
			if now > f.statsFrom {
				f.stats.calls++
			}
			if f.counterDown(now) {
				f.schedule(now+f.set.Counter.Timeout, gateway, control.Counted{Name: a.Name, Status: control.Timeout, Elapsed: f.set.Counter.Timeout}, nil)
				continue
			}
			way := f.counterDelay * (1 + f.rng.Float64())
			f.schedule(now+way, gateway, nil, func(now float64) {
				t := f.totals[a.Name]
				if t == nil || t.expiresAt < now {
					t = &counterEntry{expiresAt: now + a.TTL}
					f.totals[a.Name] = t
				}
				t.total += a.Amount
				f.schedule(now+way, gateway, control.Counted{Name: a.Name, Total: t.total, Elapsed: 2 * way}, nil)
			})
		case control.Admit:
			t := f.pending[a.ID]
			delete(f.pending, a.ID)
			inside := t.customer.exactBucket.tryDraw(now, t.units)
			if c := t.customer.ceilingBucket; c != nil {
				f.stats.ceilingExcess = max(f.stats.ceilingExcess, c.forceDraw(now, t.units))
			}
			if now > f.statsFrom {
				k := f.stats.byKind[t.customer.kind()]
				f.stats.admitted += t.units
				k[0] += t.units
				if !inside {
					f.stats.overQuota += t.units
					k[1] += t.units
				}
			}
		case control.Refuse:
			t := f.pending[a.ID]
			delete(f.pending, a.ID)
			if t.retriesLeft > 0 && f.rng.Float64() < 0.7 {
				t.retriesLeft--
				f.schedule(now+max(a.RetryAfter*0.7, 0.05)+0.1*f.rng.Float64(), 0, nil, func(now float64) { f.submit(now, t) })
			}
		}
	}
}

// run plays customers for some seconds; figures are those of the time from warm on.
func (f *quotaSimulation) run(customers []*quotaCustomer, from, seconds, warm float64) quotaStats {
	f.statsFrom = from + warm
	for _, c := range customers {
		var next func(now float64)
		next = func(now float64) {
			rate := f.set.Plans[c.plan].Rate
			units := 1 + math.Floor(3*math.Pow(f.rng.Float64(), 2.5))
			if c.idealBucket.tryDraw(now, units) && now > f.statsFrom {
				f.stats.ideal += units
				f.stats.byKind[c.kind()][2] += units
			}
			f.submit(now, &quotaRequest{c, units, 2})
			f.schedule(now+f.rng.ExpFloat64()*1.6/c.demandRate(now, rate), 0, nil, next)
		}
		f.schedule(from+f.rng.Float64(), 0, nil, next)
	}
	for len(f.queue) > 0 && f.queue[0].at < from+seconds {
		e := heap.Pop(&f.queue).(*quotaEvent)
		if e.step != nil {
			e.step(e.at)
		} else if _, late := e.event.(control.Counted); !late || f.gateways[e.gateway] == e.issuedBy {
			f.handle(e.at, e.gateway, e.event)
		}
	}
	return f.stats
}

func newQuotaSimulation(t testing.TB, set control.Settings, gateways int, seed uint64) *quotaSimulation {
	f := &quotaSimulation{rng: rand.New(rand.NewPCG(seed, 1)), set: set, totals: map[uint64]*counterEntry{}, pending: map[uint64]*quotaRequest{},
		counterDown: func(float64) bool { return false }, counterDelay: 0.001, skew: 1.3, seed: seed}
	f.stats.byKind = map[string]*[3]float64{"spiky": {}, "heavy": {}, "full": {}, "normal": {}}
	f.set.Gateways = gateways
	f.gateways = make([]*control.Gateway, gateways)
	for i := range gateways {
		f.startGateway(t, i)
	}
	return f
}

// start has a gateway begin anew, knowing nothing.
func (f *quotaSimulation) startGateway(t testing.TB, gateway int) {
	set := f.set
	set.Ordinal = gateway
	f.seed++
	g, err := control.New(set, f.seed*1000+uint64(gateway))
	if err != nil {
		t.Fatal(err)
	}
	f.gateways[gateway] = g
}

func newQuotaCustomers(rng *rand.Rand, plans []control.Plan, gateways, n int, start float64) (all []*quotaCustomer) {
	for i := range n {
		c := &quotaCustomer{id: uint64(i) + 1, plan: rng.IntN(len(plans)), demandShare: 0.16 + 0.27*rng.Float64(),
			first: rng.IntN(gateways), spread: int(float64(gateways) * (0.5 + 0.5*rng.Float64()))}
		switch x := rng.Float64(); {
		case x < 0.18:
			c.demandShare = 0.8 + 0.3*rng.Float64()
		case x < 0.29:
			c.demandShare = 1.8 + 3*rng.Float64()
		case x < 0.43:
			c.spikeFactor, c.spikeDuration, c.spikeInterval = 2.2+5*rng.Float64(), 1.4+3.6*rng.Float64(), 12+9*rng.Float64()
			c.spikeFactor /= c.demandShare
			c.spikeOffset = 20 * rng.Float64()
		}
		p := plans[c.plan]
		c.exactBucket, c.idealBucket = newBucket(p.Rate, p.Burst), newBucket(p.Rate, p.Burst)
		c.exactBucket.at, c.idealBucket.at = start, start
		all = append(all, c)
	}
	return all
}

// Hundreds of gateways that each see a customer once in many seconds hold its quota together: little passes beyond it,
// and most of what lies inside is let in. Figures are those of an exact bucket beside the fleet.
func TestThinFleetHoldsQuotas(t *testing.T) {
	const gateways, customers = 150, 225
	for name, plans := range map[string][]control.Plan{
		"windows of two bursts": {{Rate: 5.5, Burst: 16, Worth: 1, OverCost: 0.9}, {Rate: 12, Burst: 27, Worth: 2, OverCost: 0.4}},
		"windows of one burst":  {{Rate: 4.5, Burst: 14, Worth: 1, OverCost: 0.9}, {Rate: 14, Burst: 42, Worth: 2, OverCost: 0.4}},
	} {
		set := settings()
		set.Plans, set.Counter.Price, set.Counter.Timeout = plans, 0.005, 0.05
		f := newQuotaSimulation(t, set, gateways, 1)
		fig := f.run(newQuotaCustomers(f.rng, plans, gateways, customers, 1000), 1000, 20, 5)
		beyond, inside := fig.overQuota/fig.admitted, (fig.admitted-fig.overQuota)/fig.ideal
		line := fmt.Sprintf("%s: beyond %.3f of admitted; inside/oracle %.3f; calls a try %.2f;", name, beyond, inside, float64(fig.calls)/float64(fig.attempts))
		for _, k := range []string{"normal", "full", "spiky", "heavy"} {
			v := fig.byKind[k]
			line += fmt.Sprintf(" %s %.2f/%.3f", k, (v[0]-v[1])/v[2], v[1]/v[0])
		}
		t.Log(line)
		if beyond > 0.07 {
			t.Errorf("%s: %.3f of the units let in are beyond quotas, want at most 0.07", name, beyond)
		}
		if inside < 0.9 {
			t.Errorf("%s: %.3f of what an exact bucket lets in, want at least 0.9", name, inside)
		}
	}
}

// Guards against first sights of customers that are let in without a look, since reads that nobody waits for took the calls.
func TestReadsLeaveCallsForFirstSights(t *testing.T) {
	const gateways, customers = 150, 1000
	plans := []control.Plan{{Rate: 5.5, Burst: 16, Worth: 1, OverCost: 0.9}, {Rate: 12, Burst: 27, Worth: 2, OverCost: 0.4}}
	set := settings()
	set.Plans, set.Counter.Price, set.Counter.Timeout = plans, 0.005, 0.05
	f := newQuotaSimulation(t, set, gateways, 1)
	fig := f.run(newQuotaCustomers(f.rng, plans, gateways, customers, 1000), 1000, 20, 5)
	beyond, inside := fig.overQuota/fig.admitted, (fig.admitted-fig.overQuota)/fig.ideal
	t.Logf("beyond %.3f of admitted; inside/oracle %.3f; calls a try %.2f", beyond, inside, float64(fig.calls)/float64(fig.attempts))
	if beyond > 0.07 {
		t.Errorf("%.3f of the units let in are beyond quotas, want at most 0.07", beyond)
	}
	if inside < 0.9 {
		t.Errorf("%.3f of what an exact bucket lets in, want at least 0.9", inside)
	}
}
