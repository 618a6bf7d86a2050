// Package cpushare limits the processor time of work that never waits for the network by itself, such as reading a
// connection on which there is always more. Go's scheduler looks for network events only now and then while goroutines
// are ready to run, so a few that always are would hold up all that wait. It measures nothing: callers tell how long
// their work took, and pause.
package cpushare

import (
	"time"

	"golang.org/x/time/rate"
)

// Options are the shares of one kind of work. A share of 0.2 is 200 ms of work per second.
type Options struct {
	Own         float64       // of a core, that one piece of work may take without regard to others
	OwnBurst    time.Duration // in which Own may be exceeded
	Shared      float64       // of the process's cores, that all pieces beyond their own share may take together
	SharedBurst time.Duration // in which Shared may be exceeded
	MinCost     time.Duration // of a step of work, for what its caller does not time
	MaxCost     time.Duration // of a step of work: it waited for others for the rest of its time
}

// tokensPerCore is the rate at which a whole core earns tokens: each is a nanosecond of work.
const tokensPerCore = rate.Limit(time.Second)

// Limiter limits one kind of work in a process. It is safe for concurrent use.
type Limiter struct {
	options Options
	shared  *rate.Limiter
}

// New returns a limiter for a process that may use so many cores.
func New(o Options, cores float64) *Limiter {
	return &Limiter{o, rate.NewLimiter(rate.Limit(o.Shared*cores)*tokensPerCore, int(o.SharedBurst))}
}

// Meter counts one piece of work, for example what is done for one connection. It is used by one goroutine at a time.
type Meter struct {
	limiter *Limiter
	own     *rate.Limiter
}

// NewMeter returns the meter of a new piece of work.
func (l *Limiter) NewMeter() *Meter {
	return &Meter{l, rate.NewLimiter(rate.Limit(l.options.Own)*tokensPerCore, int(l.options.OwnBurst))}
}

// Delay returns how long to pause after a step of work that took some time. Work beyond its own share takes its turn
// with all other work that is.
func (m *Meter) Delay(took time.Duration, now time.Time) time.Duration {
	o := m.limiter.options
	cost := int(min(max(took, o.MinCost), o.MaxCost))
	if m.own.AllowN(now, cost) {
		return 0
	}
	return m.limiter.shared.ReserveN(now, cost).DelayFrom(now)
}
