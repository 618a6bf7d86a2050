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

func (b *bucket) fill(now float64) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at))
	b.at = now
}

// take draws units where the bucket holds them, and tells whether it did.
func (b *bucket) take(now, units float64) bool {
	b.fill(now)
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}

// draw takes units whether the bucket holds them or not, and returns what it is then short of.
func (b *bucket) draw(now, units float64) float64 {
	b.fill(now)
	b.level -= units
	return max(0, -b.level)
}

// thinCustomer is a customer whose tries come through so many gateways that each sees it seldom.
type thinCustomer struct {
	id            uint64
	plan          int
	use           float64 // of its rate that it asks for
	spike         float64 // times as much in a spike
	spikeAt       float64 // when its spikes begin, modulo spikeEvery
	spikeFor      float64
	spikeEvery    float64
	first, spread int
	judge, oracle *bucket
	ceiling       *bucket // nil: none
}

func (c *thinCustomer) asks(now, rate float64) float64 {
	if c.spike > 0 && math.Mod(now+c.spikeAt, c.spikeEvery) < c.spikeFor {
		return rate * c.use * c.spike
	}
	return rate * c.use
}

type thinEvent struct {
	at      float64
	seq     int
	gateway int
	event   control.Event
	step    func(now float64)
	to      *control.Gateway // answers of the counter do not reach the gateway that takes its place
}

type thinQueue []*thinEvent

func (q thinQueue) Len() int { return len(q) }
func (q thinQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q thinQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *thinQueue) Push(x any)   { *q = append(*q, x.(*thinEvent)) }
func (q *thinQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type thinTotal struct{ total, until float64 }

// thinFigures is what a run of a thinFleet comes to, in units.
type thinFigures struct {
	asked, admitted, beyond, oracle float64
	tries, calls                    int
	byKind                          map[string]*[3]float64 // admitted, beyond, oracle
	excess                          float64                // most units that a ceiling was short of
}

type thinFleet struct {
	queue    thinQueue
	seq      int
	rng      *rand.Rand
	set      control.Settings
	gates    []*control.Gateway
	totals   map[uint64]*thinTotal
	pending  map[uint64]*thinTry
	id       uint64
	figures  thinFigures
	measured float64
	silent   func(now float64) bool // the counter gives no answer
	lag      float64                // one way to the counter
	skew     float64                // how unevenly a customer comes through its gateways
	seed     uint64
}

type thinTry struct {
	customer *thinCustomer
	units    float64
	left     int
}

func (f *thinFleet) at(at float64, gateway int, event control.Event, step func(float64)) {
	f.seq++
	heap.Push(&f.queue, &thinEvent{at, f.seq, gateway, event, step, f.gates[gateway]})
}

func (c *thinCustomer) kind() string {
	switch {
	case c.spike > 0:
		return "spiky"
	case c.use > 1.2:
		return "heavy"
	case c.use > 0.7:
		return "full"
	}
	return "normal"
}

func (f *thinFleet) try(now float64, t *thinTry) {
	f.id++
	f.pending[f.id] = t
	c := t.customer
	g := (c.first + int(math.Pow(f.rng.Float64(), f.skew)*float64(c.spread))) % len(f.gates)
	if now > f.measured {
		f.figures.tries++
		f.figures.asked += t.units
	}
	f.handle(now, g, control.Request{ID: f.id, Plan: c.plan, Customer: c.id, TimeLeft: 1.2,
		Units: t.units, Spread: c.spread, First: c.first, VerdictOnly: true})
}

func (f *thinFleet) handle(now float64, gateway int, ev control.Event) {
	for _, a := range f.gates[gateway].Handle(now, ev, nil) {
		switch a := a.(type) {
		case control.SetTimer:
			f.at(now+a.Delay, gateway, control.Timer{Token: a.Token}, nil)
		case control.Count:
			if now > f.measured {
				f.figures.calls++
			}
			if f.silent(now) {
				f.at(now+f.set.Counter.Timeout, gateway, control.Counted{Name: a.Name, Status: control.Timeout, Elapsed: f.set.Counter.Timeout}, nil)
				continue
			}
			way := f.lag * (1 + f.rng.Float64())
			f.at(now+way, gateway, nil, func(now float64) {
				t := f.totals[a.Name]
				if t == nil || t.until < now {
					t = &thinTotal{until: now + a.TTL}
					f.totals[a.Name] = t
				}
				t.total += a.Amount
				f.at(now+way, gateway, control.Counted{Name: a.Name, Total: t.total, Elapsed: 2 * way}, nil)
			})
		case control.Admit:
			t := f.pending[a.ID]
			delete(f.pending, a.ID)
			inside := t.customer.judge.take(now, t.units)
			if c := t.customer.ceiling; c != nil {
				f.figures.excess = max(f.figures.excess, c.draw(now, t.units))
			}
			if now > f.measured {
				k := f.figures.byKind[t.customer.kind()]
				f.figures.admitted += t.units
				k[0] += t.units
				if !inside {
					f.figures.beyond += t.units
					k[1] += t.units
				}
			}
		case control.Refuse:
			t := f.pending[a.ID]
			delete(f.pending, a.ID)
			if t.left > 0 && f.rng.Float64() < 0.7 {
				t.left--
				f.at(now+max(a.RetryAfter*0.7, 0.05)+0.1*f.rng.Float64(), 0, nil, func(now float64) { f.try(now, t) })
			}
		}
	}
}

// run plays customers for some seconds; figures are those of the time from warm on.
func (f *thinFleet) run(customers []*thinCustomer, from, seconds, warm float64) thinFigures {
	f.measured = from + warm
	for _, c := range customers {
		var next func(now float64)
		next = func(now float64) {
			rate := f.set.Plans[c.plan].Rate
			units := 1 + math.Floor(3*math.Pow(f.rng.Float64(), 2.5))
			if c.oracle.take(now, units) && now > f.measured {
				f.figures.oracle += units
				f.figures.byKind[c.kind()][2] += units
			}
			f.try(now, &thinTry{c, units, 2})
			f.at(now+f.rng.ExpFloat64()*1.6/c.asks(now, rate), 0, nil, next)
		}
		f.at(from+f.rng.Float64(), 0, nil, next)
	}
	for len(f.queue) > 0 && f.queue[0].at < from+seconds {
		e := heap.Pop(&f.queue).(*thinEvent)
		if e.step != nil {
			e.step(e.at)
		} else if _, late := e.event.(control.Counted); !late || f.gates[e.gateway] == e.to {
			f.handle(e.at, e.gateway, e.event)
		}
	}
	return f.figures
}

func newThinFleet(t testing.TB, set control.Settings, gateways int, seed uint64) *thinFleet {
	f := &thinFleet{rng: rand.New(rand.NewPCG(seed, 1)), set: set, totals: map[uint64]*thinTotal{}, pending: map[uint64]*thinTry{},
		silent: func(float64) bool { return false }, lag: 0.001, skew: 1.3, seed: seed}
	f.figures.byKind = map[string]*[3]float64{"spiky": {}, "heavy": {}, "full": {}, "normal": {}}
	f.set.Gateways = gateways
	f.gates = make([]*control.Gateway, gateways)
	for i := range gateways {
		f.start(t, i)
	}
	return f
}

// start has a gateway begin anew, knowing nothing.
func (f *thinFleet) start(t testing.TB, gateway int) {
	set := f.set
	set.Ordinal = gateway
	f.seed++
	g, err := control.New(set, f.seed*1000+uint64(gateway))
	if err != nil {
		t.Fatal(err)
	}
	f.gates[gateway] = g
}

func thinCustomers(rng *rand.Rand, plans []control.Plan, gateways, n int, start float64) (all []*thinCustomer) {
	for i := range n {
		c := &thinCustomer{id: uint64(i) + 1, plan: rng.IntN(len(plans)), use: 0.16 + 0.27*rng.Float64(),
			first: rng.IntN(gateways), spread: int(float64(gateways) * (0.5 + 0.5*rng.Float64()))}
		switch x := rng.Float64(); {
		case x < 0.18:
			c.use = 0.8 + 0.3*rng.Float64()
		case x < 0.29:
			c.use = 1.8 + 3*rng.Float64()
		case x < 0.43:
			c.spike, c.spikeFor, c.spikeEvery = 2.2+5*rng.Float64(), 1.4+3.6*rng.Float64(), 12+9*rng.Float64()
			c.spike /= c.use
			c.spikeAt = 20 * rng.Float64()
		}
		p := plans[c.plan]
		c.judge, c.oracle = newBucket(p.Rate, p.Burst), newBucket(p.Rate, p.Burst)
		c.judge.at, c.oracle.at = start, start
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
		f := newThinFleet(t, set, gateways, 1)
		fig := f.run(thinCustomers(f.rng, plans, gateways, customers, 1000), 1000, 20, 5)
		beyond, inside := fig.beyond/fig.admitted, (fig.admitted-fig.beyond)/fig.oracle
		line := fmt.Sprintf("%s: beyond %.3f of admitted; inside/oracle %.3f; calls a try %.2f;", name, beyond, inside, float64(fig.calls)/float64(fig.tries))
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
	f := newThinFleet(t, set, gateways, 1)
	fig := f.run(thinCustomers(f.rng, plans, gateways, customers, 1000), 1000, 20, 5)
	beyond, inside := fig.beyond/fig.admitted, (fig.admitted-fig.beyond)/fig.oracle
	t.Logf("beyond %.3f of admitted; inside/oracle %.3f; calls a try %.2f", beyond, inside, float64(fig.calls)/float64(fig.tries))
	if beyond > 0.07 {
		t.Errorf("%.3f of the units let in are beyond quotas, want at most 0.07", beyond)
	}
	if inside < 0.9 {
		t.Errorf("%.3f of what an exact bucket lets in, want at least 0.9", inside)
	}
}
