// Package shutdown plans a graceful shutdown: it computes when each step is due, counted from the moment at which the
// process was told to end. It does not carry out the steps, does no I/O and reads no clock.
package shutdown

import "time"

const (
	// The platform kills a process no sooner than the longest request deadline, of which it counts at most deadlineCap,
	// plus killMargin after telling it to end. Requests that are unanswered by then are lost.
	deadlineCap = 3 * time.Second
	killMargin  = 700 * time.Millisecond

	// ShedReserve is the time kept between Plan.Shed and the kill: for the answers to shed requests (FinalAnswersTime),
	// concurrently for adding outstanding units to the counter (FinalUnitsTime), and for delays on a core that other
	// processes use too.
	ShedReserve      = 450 * time.Millisecond
	FinalAnswersTime = 200 * time.Millisecond
	FinalUnitsTime   = 150 * time.Millisecond

	lateConnectionsTime = 450 * time.Millisecond  // new connections keep arriving for up to 0.4 s
	closeTime           = 400 * time.Millisecond  // each answer closes its connection, so no close races with a request
	minFinishTime       = 400 * time.Millisecond  // for finishing held requests once no new ones are accepted
	shortPlanDivisor    = 4                       // where time is short, a period is limited to the time divided by this
	maxServingTime      = 2900 * time.Millisecond // any further time goes to finishing held requests
)

// GracePeriod returns how long a process may take to end if clients wait for at most longest.
func GracePeriod(longest time.Duration) time.Duration { return min(longest, deadlineCap) + killMargin }

// Plan holds when each step is due, counted from the moment at which the process was told to end.
type Plan struct {
	Close time.Duration // from here on each answer closes its connection; requests are still served
	Stop  time.Duration // no new requests are accepted; held ones are finished
	Shed  time.Duration // requests still held, and any that arrive on open connections, are refused
}

// PlanForShed returns the plan of a process that sheds its requests the given time after it was told to end.
func PlanForShed(shed time.Duration) Plan {
	plan := Plan{Shed: shed}
	plan.Stop = min(maxServingTime, shed-min(minFinishTime, shed/shortPlanDivisor))
	plan.Stop = max(plan.Stop, min(lateConnectionsTime, shed-shed/shortPlanDivisor/2))
	plan.Close = plan.Stop - min(closeTime, plan.Stop/shortPlanDivisor)
	return plan
}

// PlanForKill returns the plan of a process that is killed the given time after it was told to end.
func PlanForKill(killed time.Duration) Plan { return PlanForShed(max(0, killed-ShedReserve)) }

// Deadlines tracks the longest request deadline of the current settings, and those of earlier settings for as long as
// requests that arrived under them may still be held.
type Deadlines struct {
	current    time.Duration
	superseded []supersededDeadline
}

type supersededDeadline struct{ longest, until time.Duration }

// Set records the longest deadline of new settings. at is the time on any monotonic clock.
func (d *Deadlines) Set(at, longest time.Duration) {
	kept := d.superseded[:0]
	for _, old := range d.superseded {
		if old.until > at {
			kept = append(kept, old)
		}
	}
	d.superseded = kept
	if d.current > 0 && d.current != longest {
		d.superseded = append(d.superseded, supersededDeadline{d.current, at + d.current})
	}
	d.current = longest
}

// Shortest returns the shortest of the longest deadlines that may apply at a time, as whoever ends the process may still
// go by the previous settings.
func (d *Deadlines) Shortest(at time.Duration) time.Duration {
	shortest := d.current
	for _, old := range d.superseded {
		if old.until > at {
			shortest = min(shortest, old.longest)
		}
	}
	return shortest
}
