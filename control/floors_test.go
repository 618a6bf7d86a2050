package control_test

import (
	"fmt"
	"testing"

	"junctionring/control"
)

// An unsafe class, a class with a twentieth of the requests and a plan with a twentieth of them must not starve under
// overload: each earns, and each class in each third of the time, at least half of what the reference policy earns.
func TestNoClassPlanOrPartOfTheDayStarves(t *testing.T) {
	set := settings()
	set.Gateways = 6
	set.Classes = []control.Class{
		{Aim: 1, Deadline: 4, Worth: 2, LateWorth: 0.2, Repeat: control.Safe},
		{Aim: 1, Deadline: 4, Worth: 2, LateWorth: 0.2, Repeat: control.Unsafe},
		{Aim: 1, Deadline: 4, Worth: 2, LateWorth: 0.2, Repeat: control.Keyed, Group: control.GroupAll, Window: 2},
	}
	set.Plans = []control.Plan{{Worth: 1}, {Worth: 1}}
	for _, load := range []float64{0.81, 1, 1.3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			w := &workload{settings: set, shares: []float64{0.7, 0.25, 0.05}, work: []float64{0.12, 0.16, 0.2},
				plans: []float64{0.95, 0.05}, servers: 10, cores: 3, queue: 60, load: load, seconds: 60}
			best, got := bestShortestQueue(w, 3), simulate(w, &gatewayFleet{seed: 5}, 3)
			check := func(name string, got, best requestStats, part float64) {
				t.Helper()
				t.Logf("load %v, %s: earned %.2f, reference policy %.2f", load, name, got.earnedShare(), best.earnedShare())
				if got.earnedShare() < part*best.earnedShare() {
					t.Errorf("%s: earned %.2f of the worth, want %.2f of the reference policy's %.2f",
						name, got.earnedShare(), part, best.earnedShare())
				}
			}
			for class, name := range []string{"the usual class", "unsafe class", "class of a twentieth"} {
				check(name, got.byClass[class], best.byClass[class], 0.5)
				for third := range 3 {
					check(fmt.Sprintf("%s, third %d", name, third+1), got.byThird[class][third], best.byThird[class][third], 0.5)
				}
			}
			for plan, name := range []string{"the usual plan", "plan of a twentieth"} {
				check(name, got.byPlan[plan], best.byPlan[plan], 0.5)
			}
		})
	}
}
