package front

import (
	"time"

	"junctionring/internal/core"
	"junctionring/internal/cpushare"
)

// pipelineShares are the shares of pipelined requests: those that a connection has ready as soon as it has the answer to
// the one before, where that one needed no table server. The connection's goroutine never waits for the network then.
var pipelineShares = cpushare.Options{
	Own: 0.001, OwnBurst: time.Millisecond,
	Shared: 0.2, SharedBurst: 20 * time.Millisecond,
	MinCost: 100 * time.Microsecond, // the parsing and the switches between goroutines are not timed
	MaxCost: time.Millisecond,
}

// pace is called between two requests, and delays the next one if it is pipelined.
func (c *conn) pace() {
	now := time.Now()
	took, pipelined := c.endedRequest(now)
	if !pipelined {
		return
	}
	if c.pipelineMeter == nil {
		c.pipelineMeter = c.pipelined.NewMeter()
	}
	time.Sleep(c.pipelineMeter.Delay(took, now))
}

// endedRequest returns how long the request that has just ended took, and whether the next one is pipelined: the
// connection has waited for neither its client nor a table server since the last call.
func (c *conn) endedRequest(now time.Time) (took time.Duration, nextPipelined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := c.waited
	c.waited = false
	return now.Sub(c.activeSince), !waited
}

// markForwarded records that a table server was sent the current request, or may have been.
func (c *conn) markForwarded(a core.Answer) {
	if a.Kind != core.Served && !a.MayHaveRun {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waited = true
}
