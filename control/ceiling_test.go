package control_test

import (
	"testing"

	"junctionring/control"
)

// The hard ceiling holds over all gateways together, whatever the counter does and whenever gateways start anew knowing
// nothing: the exact bucket is never short by more than the slack, for customers that ask for up to ten times their
// quota, however unevenly they come. What the split of the ceiling costs is measured beside it.
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
					t.Logf("%d gateways, skew %v: excess %.2f units, %.2f allowed; in quota let in, of what an exact bucket does: %.3f",
						gateways, skew, with.ceilingExcess, plan.CeilingSlack, with.servedShare())
					if name == "counter quick" {
						t.Logf("%.3f without a ceiling", runWithCeiling(t, open, gateways, skew, change).servedShare())
					}
					if with.ceilingExcess > plan.CeilingSlack {
						t.Errorf("%d gateways, skew %v: %.2f units beyond the ceiling, %.2f allowed", gateways, skew, with.ceilingExcess, plan.CeilingSlack)
					}
				}
			}
		})
	}
}

// served is what customers that ask for no more than about their quota got inside it, of what an exact bucket gives.
func (f quotaStats) servedShare() float64 {
	normal, full := f.byKind["normal"], f.byKind["full"]
	return (normal[0] - normal[1] + full[0] - full[1]) / (normal[2] + full[2])
}

// ceilingRun plays customers against a plan, judged by the ceiling of the first of them.
func runWithCeiling(t *testing.T, plan control.Plan, gateways int, skew float64, change func(*quotaSimulation)) quotaStats {
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

// A gateway that holds as many customers as it may keeps no ceiling for a further one: it lets in nothing of it.
func TestCeilingOfACustomerBeyondMemory(t *testing.T) {
	s := settings()
	s.Plans = []control.Plan{{Rate: 2, Burst: 4, Worth: 1, CeilingRate: 4, CeilingBurst: 8}}
	r := newHarness(t, s, readyMembers("a")...)
	r.advance(100) // no longer a restart
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
		t.Errorf("%d units let in at once, of a customer whose part of the ceiling holds 4", sent)
	}
}
