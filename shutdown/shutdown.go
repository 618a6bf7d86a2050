// Package shutdown plans a graceful shutdown: it says when each step is due. It does no I/O and reads no clock: all
// times run from the moment at which the process was told to end.
package shutdown

import "time"

const (
	// The platform kills a process that it has told to end no sooner than the longest deadline, or longestCounted
	// where that is shorter, and killedAfter have gone by. What it finds unanswered then is lost.
	deadlineCap = 3 * time.Second
	killMargin  = 700 * time.Millisecond

	// ShedReserve is kept behind Shed: for the answers of what is shed (LastWords), at the same time for the counter to take
	// what was not added yet (LastUnits), and for a core that others use too.
	ShedReserve      = 450 * time.Millisecond
	FinalAnswersTime = 200 * time.Millisecond
	FinalUnitsTime   = 150 * time.Millisecond

	lateConnectionsTime = 450 * time.Millisecond  // new connections keep coming for up to 0.4 s
	closeTime           = 400 * time.Millisecond  // in which each answer closes its connection, so that no close crosses a request
	minFinishTime       = 400 * time.Millisecond  // at least, for what is held when nothing more is taken
	shortPlanDivisor    = 4                       // one part in so many, where the time is short
	maxServingTime      = 2900 * time.Millisecond // at most: who has longer gives it to what is held
)

// GracePeriod is how long a process may take to end where clients wait for so long at most.
func GracePeriod(longest time.Duration) time.Duration { return min(longest, deadlineCap) + killMargin }

// Plan is when each step is due, from the moment the process was told.
type Plan struct {
	Close time.Duration // each answer closes its connection from here on; all is served until then
	Stop  time.Duration // nothing new is taken; what is held is finished
	Shed  time.Duration // what is still held gets its last answer, and what comes on open connections too
}

// PlanForShed is the plan of a process whose requests are shed so long after it was told.
func PlanForShed(shed time.Duration) Plan {
	plan := Plan{Shed: shed}
	plan.Stop = min(maxServingTime, shed-min(minFinishTime, shed/shortPlanDivisor))
	plan.Stop = max(plan.Stop, min(lateConnectionsTime, shed-shed/shortPlanDivisor/2))
	plan.Close = plan.Stop - min(closeTime, plan.Stop/shortPlanDivisor)
	return plan
}

// PlanForKill is the plan of a process that is killed so long after it was told.
func PlanForKill(killed time.Duration) Plan { return PlanForShed(max(0, killed-ShedReserve)) }

// Deadlines keeps the longest deadline in force, and those before it for as long as requests may be held that came
// under them.
type Deadlines struct {
	current    time.Duration
	superseded []supersededDeadline
}

type supersededDeadline struct{ longest, until time.Duration }

// Set puts the longest deadline of new settings in force. at is on any clock that only goes forward.
func (d *Deadlines) Set(at, longest time.Duration) {
	kept := d.superseded[:0]
	for _, p := range d.superseded {
		if p.until > at {
			kept = append(kept, p)
		}
	}
	d.superseded = kept
	if d.current > 0 && d.current != longest {
		d.superseded = append(d.superseded, supersededDeadline{d.current, at + d.current})
	}
	d.current = longest
}

// Shortest is the shortest of the longest deadlines that may count at a time: whoever ends a process may go by the
// settings before the last.
func (d *Deadlines) Shortest(at time.Duration) time.Duration {
	shortest := d.current
	for _, p := range d.superseded {
		if p.until > at {
			shortest = min(shortest, p.longest)
		}
	}
	return shortest
}
