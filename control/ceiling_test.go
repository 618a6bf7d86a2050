package control_test

import (
	"testing"

	"junctionring/control"
)

// All gateways together must keep to the hard ceiling, also while the counter is slow or silent and when gateways
// restart without any state: an exact bucket never falls below empty by more than the slack. Customers request up to
// ten times their quota, evenly or unevenly over the gateways. The share of the quota that the ceiling's split costs is
// logged.
func TestCeilingHoldsOverAllGateways(t *testing.T) {
	plan := control.Plan{Rate: 18, Burst: 36, Worth: 1, OverCost: 0.6, CeilingRate: 36, CeilingBurst: 72, CeilingSlack: 7.2}
	open := plan
	open.CeilingRate, open.CeilingBurst, open.CeilingSlack = 0, 0, 0
	silent := func(now float64) bool { return now > 1008 && now < 1016 }
	for name, change := range map[string]func(f *quotaSimulation){
		"counter quick":  func(*quotaSimulation) {},
		"counter slow":   func(f *quotaSimulation) { f.counterDelay = 0.02 },
		"counter silent": func(f *quotaSimulation) { f.counterDown = silent },
		"gateways restart": func(f *quotaSimulation) {
			for at := 1003.0; at < 1020; at += 1.7 {
				f.schedule(at, 0, nil, func(now float64) { f.startGateway(t, f.rng.IntN(len(f.gateways))) })
			}
		},
		"gateways restart while the counter is silent": func(f *quotaSimulation) {
			f.counterDown = silent
			for at := 1008.0; at < 1018; at += 0.5 {
				f.schedule(at, 0, nil, func(now float64) { f.startGateway(t, f.rng.IntN(len(f.gateways))) })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for gateways := 2; gateways <= 4; gateways++ {
				for _, skew := range []float64{1, 4} {
					with := runWithCeiling(t, plan, gateways, skew, change)
					t.Logf("%d gateways, skew %v: %.2f units beyond the ceiling, %.2f allowed; %.3f of an exact bucket's units",
						gateways, skew, with.ceilingExcess, plan.CeilingSlack, with.servedShare())
					if name == "counter quick" {
						t.Logf("without a ceiling: %.3f of an exact bucket's units",
							runWithCeiling(t, open, gateways, skew, change).servedShare())
					}
					if with.ceilingExcess > plan.CeilingSlack {
						t.Errorf("%d gateways, skew %v: %.2f units beyond the ceiling, want at most %.2f",
							gateways, skew, with.ceilingExcess, plan.CeilingSlack)
					}
				}
			}
		})
	}
}

// servedShare is the units admitted within quota for customers that request about their quota or less, as a share of
// what an exact bucket admits.
func (f quotaStats) servedShare() float64 {
	normal, full := f.byKind["normal"], f.byKind["full"]
	return (normal[0] - normal[1] + full[0] - full[1]) / (normal[2] + full[2])
}

// runWithCeiling simulates customers of a plan. The ceiling that they are checked against is twice the plan's quota,
// also if the plan has no ceiling.
func runWithCeiling(
	t *testing.T, plan control.Plan, gateways int, skew float64, change func(*quotaSimulation),
) quotaStats {
	set := settings()
	set.Plans, set.Counter.Timeout = []control.Plan{plan}, 0.05
	f := newQuotaSimulation(t, set, gateways, 1)
	f.skew = skew
	change(f)
	customers := newQuotaCustomers(f.rng, set.Plans, gateways, 18, 1000)
	for i, c := range customers {
		c.spread = gateways
		if i%3 == 0 {
			c.demandShare, c.spikeFactor = 4+6*f.rng.Float64(), 0
		}
		c.ceilingBucket = newBucket(2*plan.Rate, 2*plan.Burst)
		c.ceilingBucket.at = 1000
	}
	return f.run(customers, 1000, 18, 0)
}

// A gateway that has state for MaxCustomers can't enforce the hard ceiling of a further customer, and admits none of
// its requests.
func TestCeilingOfACustomerBeyondMemory(t *testing.T) {
	s := settings()
	s.Plans = []control.Plan{{Rate: 2, Burst: 4, Worth: 1, CeilingRate: 4, CeilingBurst: 8}}
	r := newHarness(t, s, readyMembers("a")...)
	r.advance(100) // long enough that the gateway no longer counts as restarted
	sent := 0
	ask := func(customer uint64) {
		r.lastID++
		acts := r.handle(control.Request{ID: r.lastID, Customer: customer, TimeLeft: 3, Units: 1, Spread: 2, VerdictOnly: true})
		sent += len(filter[control.Admit](acts))
	}
	for customer := range uint64(control.MaxCustomers) {
		ask(customer + 1)
	}
	sent = 0
	for range 50 {
		ask(1 << 40)
	}
	if sent > 4 {
		t.Errorf("%d units of a customer admitted at once, want at most 4: its split of the ceiling's burst", sent)
	}
}
