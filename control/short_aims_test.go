package control_test

import (
	"fmt"
	"testing"

	"junctionring/control"
)

// shortAims returns settings of two classes whose aim may be close to the time that their work takes.
func shortAims(aim, deadline, lateWorth float64) control.Settings {
	s := settings()
	s.Gateways = 4
	s.Classes = []control.Class{
		{Aim: aim, Deadline: deadline, Worth: 1, LateWorth: lateWorth, Repeat: control.Safe},
		{Aim: aim, Deadline: deadline, Worth: 2, LateWorth: lateWorth, Repeat: control.Safe},
	}
	s.Plans = []control.Plan{{Worth: 1}}
	s.Limits.MaxAttempts = 2
	return s
}

// Where the aim is close to the time that the work takes, or below it, most answers are late even on idle servers. They
// must not be taken as overload, and earn what the settings say. Aims of several times the work are checked as well.
func TestServesWhereTheAimIsNearTheWork(t *testing.T) {
	for _, class := range []struct{ aim, deadline, lateWorth, least float64 }{
		{0.15, 3, 0.5, 0.8},
		{0.15, 45, 0.5, 0.8},
		{0.3, 0.7, 0.2, 0.65},
		{0.65, 0.7, 0.5, 0.8},
		{1, 4, 0.2, 0.85},
		{2, 8, 0.2, 0.9},
		{0.15, 3, 0, 0.4}, // late answers earn nothing, so at no load can all requests earn well
		{0.3, 3, 0, 0.7},
	} {
		for _, steady := range []bool{false, true} {
			for _, load := range []float64{0.5, 1.3} {
				name := fmt.Sprintf("aim %v, late worth %v, deadline %v, steady %v, load %v",
					class.aim, class.lateWorth, class.deadline, steady, load)
				t.Run(name, func(t *testing.T) {
					w := &workload{settings: shortAims(class.aim, class.deadline, class.lateWorth),
						shares: []float64{0.6, 0.4}, work: []float64{0.275, 0.16}, constantWork: steady,
						servers: 10, cores: 3, queue: 60, load: load, seconds: 30}
					best, got := bestShortestQueue(w, 3).total().earnedShare(), simulate(w, &gatewayFleet{seed: 5}, 3).total()
					t.Logf("earned %.3f, %.2f of what a seeing dispatcher does; refused %d of %d",
						got.earnedShare(), got.earnedShare()/best, got.refused, got.requests)
					if got.earnedShare() < class.least*best {
						t.Errorf("earned %.3f, want %.2f of %.3f", got.earnedShare(), class.least, best)
					}
				})
			}
		}
	}
}
