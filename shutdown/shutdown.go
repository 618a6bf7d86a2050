// Package shutdown plans a graceful shutdown: it says when each step is due. It does no I/O and reads no clock: all
// times run from the moment at which the process was told to end.
package shutdown

import "time"

const (
	// The platform kills a process that it has told to end no sooner than the longest deadline, or longestCounted
	// where that is shorter, and killedAfter have gone by. What it finds unanswered then is lost.
	longestCounted = 3 * time.Second
	killedAfter    = 700 * time.Millisecond

	// ShedReserve is kept behind Shed: for the answers of what is shed (LastWords), at the same time for the counter to take
	// what was not added yet (LastUnits), and for a core that others use too.
	ShedReserve      = 450 * time.Millisecond
	FinalAnswersTime = 200 * time.Millisecond
	FinalUnitsTime = 150 * time.Millisecond

	arriving = 450 * time.Millisecond  // new connections keep coming for up to 0.4 s
	closing  = 400 * time.Millisecond  // in which each answer closes its connection, so that no close crosses a request
	finish   = 400 * time.Millisecond  // at least, for what is held when nothing more is taken
	share    = 4                       // one part in so many, where the time is short
	serving  = 2900 * time.Millisecond // at most: who has longer gives it to what is held
)

// GracePeriod is how long a process may take to end where clients wait for so long at most.
func GracePeriod(longest time.Duration) time.Duration { return min(longest, longestCounted) + killedAfter }

// Plan is when each step is due, from the moment the process was told.
type Plan struct {
	Close time.Duration // each answer closes its connection from here on; all is served until then
	Stop  time.Duration // nothing new is taken; what is held is finished
	Shed  time.Duration // what is still held gets its last answer, and what comes on open connections too
}

// PlanForShed is the plan of a process whose requests are shed so long after it was told.
func PlanForShed(shed time.Duration) Plan {
	p := Plan{Shed: shed}
	p.Stop = min(serving, shed-min(finish, shed/share))
	p.Stop = max(p.Stop, min(arriving, shed-shed/share/2))
	p.Close = p.Stop - min(closing, p.Stop/share)
	return p
}

// PlanForKill is the plan of a process that is killed so long after it was told.
func PlanForKill(killed time.Duration) Plan { return PlanForShed(max(0, killed-ShedReserve)) }

// Deadlines keeps the longest deadline in force, and those before it for as long as requests may be held that came
// under them.
type Deadlines struct {
	now  time.Duration
	past []past
}

type past struct{ longest, until time.Duration }

// Set puts the longest deadline of new settings in force. at is on any clock that only goes forward.
func (d *Deadlines) Set(at, longest time.Duration) {
	kept := d.past[:0]
	for _, p := range d.past {
		if p.until > at {
			kept = append(kept, p)
		}
	}
	d.past = kept
	if d.now > 0 && d.now != longest {
		d.past = append(d.past, past{d.now, at + d.now})
	}
	d.now = longest
}

// Shortest is the shortest of the longest deadlines that may count at a time: whoever ends a process may go by the
// settings before the last.
func (d *Deadlines) Shortest(at time.Duration) time.Duration {
	shortest := d.now
	for _, p := range d.past {
		if p.until > at {
			shortest = min(shortest, p.longest)
		}
	}
	return shortest
}
