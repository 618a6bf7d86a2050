package egress

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	maxDials     = 8  // connections opened at once to one target: a burst of requests must not flood it with handshakes
	maxConns     = 64 // open to one target
	usedIdleKept = 1  // used idle connections that are kept when another is opened

	// A dial is overdue after ConnectTimeout / overdueDivisor, or overdueFactor times the average dial time if
	// that is longer.
	overdueDivisor  = 10
	overdueFactor   = 2
	dialTimeSamples = 8 // dials over which the dial time is averaged
	maxDialsPerConn = 3 // at once for one connection, if the earlier ones are overdue
)

// dial opens connections for waiting requests that no idle connection can soon serve, and those that are to be
// kept warm, within the limits. After a failed dial none is opened for warmth until the next sweep.
func (t *target) dial() {
	warm, needed := 0, t.connsNeeded()
	if t.suspectsDuplicates() {
		t.closeUsed()
	}
	if time.Since(t.lastDialFailure) >= t.idleLimit()/4 {
		warm = max(0, t.site.Warm-t.unusedIdle())
	}
	for t.ready && t.openings < needed+warm && (t.dialOne() || t.openings < needed && t.dialReplacingUnsuitable()) {
	}
	if t.permitsHeld == 0 {
		t.failWaiting() // no permit is left, and there is no connection that could be released
	}
}

// failOne tells a waiting request that it could not connect, after a failed dial, unless the connections being
// opened are enough for all that wait. It picks the first request that can use none of the idle connections.
func (t *target) failOne() {
	if t.connsNeeded() <= t.openings {
		return
	}
	i := max(0, slices.IndexFunc(t.waiting, func(req *connRequest) bool {
		return !slices.ContainsFunc(t.idle, req.canUse)
	}))
	t.waiting[i].result <- nil
	t.waiting = slices.Delete(t.waiting, i, i+1)
}

// connsNeeded is how many connections the waiting requests need beyond the idle ones, up to the number that may be
// opened at once. While the target is suspected of duplicate answers, each waiting request needs one.
func (t *target) connsNeeded() int {
	if t.suspectsDuplicates() {
		return len(t.waiting)
	}
	idle := t.idle
	needed := 0
	for _, req := range t.waiting {
		if needed == maxDials {
			break
		}
		i := slices.IndexFunc(idle, req.canUse)
		if i < 0 {
			needed++
			continue
		}
		if len(idle) == len(t.idle) {
			idle = slices.Clone(t.idle)
		}
		idle = slices.Delete(idle, i, i+1)
	}
	return needed
}

// unusedIdle is the number of idle connections that are unused.
func (t *target) unusedIdle() int {
	unused := 0
	for _, c := range t.idle {
		if c.unused() {
			unused++
		}
	}
	return unused
}

// dialOne opens a connection, in place of a used one that is not needed, else if the limits allow one more. Each
// request that needs an unused connection leaves a used one behind, and a target holds only so many.
func (t *target) dialOne() bool {
	if t.openings >= maxDials {
		return false
	}
	if i := t.surplusUsed(); i >= 0 {
		t.replaceIdle(i)
		return true
	}
	if t.permitsHeld >= maxConns || !t.acquirePermit() {
		return false
	}
	t.startOpening()
	return true
}

// surplusUsed is the index of the used connection that has been idle longest and that no waiting request can use,
// or -1. usedIdleKept others stay idle for the requests to come.
func (t *target) surplusUsed() int {
	if len(t.idle)-t.unusedIdle() <= usedIdleKept {
		return -1
	}
	return slices.IndexFunc(t.idle, func(c *conn) bool { return c.answered && !t.hasWaiter(c) })
}

// dialReplacingUnsuitable opens a connection in place of an idle one that no waiting request can use. It returns
// false if there is none, or if enough dials are under way.
func (t *target) dialReplacingUnsuitable() bool {
	if t.openings >= maxDials {
		return false
	}
	i := slices.IndexFunc(t.idle, func(c *conn) bool { return !t.hasWaiter(c) })
	if i < 0 {
		return false
	}
	t.replaceIdle(i)
	return true
}

// replaceIdle closes the idle connection with index i, and opens another with its permit.
func (t *target) replaceIdle(i int) {
	t.idle[i].Close()
	t.idle = slices.Delete(t.idle, i, i+1)
	t.startOpening()
}

// startOpening opens a connection, for which the caller has a permit.
func (t *target) startOpening() {
	t.openings++
	t.startDial(&opening{deadline: time.Now().Add(t.site.ConnectTimeout)})
}

// acquirePermit takes one of the site's permits, if one is left.
func (t *target) acquirePermit() bool {
	select {
	case t.site.permits <- struct{}{}:
		t.permitsHeld++
		return true
	default:
		return false
	}
}

// opening is a connection being opened, by more than one dial if one is overdue. Only the actor uses it.
type opening struct {
	deadline  time.Time // for all its dials
	dials     int       // under way
	connected bool      // one of the dials succeeded
}

// startDial starts a dial, for which the caller has a permit.
func (t *target) startDial(o *opening) {
	o.dials++
	t.dialsInFlight++
	go t.connect(o, t.process, o.deadline, t.overdueAfter())
}

// overdueAfter is the duration after which a dial is overdue.
func (t *target) overdueAfter() time.Duration {
	return max(t.site.ConnectTimeout/overdueDivisor, overdueFactor*t.dialTime)
}

// connect dials, in its own goroutine, and tells the actor when the dial is overdue and how it ended.
func (t *target) connect(o *opening, to process, deadline time.Time, overdueAfter time.Duration) {
	ctx, cancel := context.WithDeadline(t.ctx, deadline)
	defer cancel()
	started := time.Now()
	timer := time.AfterFunc(overdueAfter, func() { t.post(dialOverdue{o}) })
	defer timer.Stop()
	var c *conn
	if nc, err := t.connectWithResetRetry(ctx, to.address); err == nil {
		c = newConn(nc, to, &t.stats)
		c.resetOnAbandon, c.streams = t.site.Abort, t.site.streams
	}
	t.post(dialResult{o, c, time.Since(started)})
}

// connectWithResetRetry dials once more if a connection is reset while it is being established: nothing was sent
// on it, and one reset says little about the target. A target whose process is gone refuses the second dial, too.
func (t *target) connectWithResetRetry(ctx context.Context, address string) (net.Conn, error) {
	nc, err := t.site.connect(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		return t.site.connect(ctx, "tcp", address)
	}
	return nc, err
}

// startParallelDial starts a further dial beside an overdue one, if a request waits: an overdue dial may not
// succeed before its deadline. All dials of an opening have the same deadline, so that no request waits longer.
func (t *target) startParallelDial(o *opening) {
	if o.connected || o.dials == 0 || o.dials >= maxDialsPerConn || t.dialsInFlight >= maxDials || t.permitsHeld >= maxConns {
		return
	}
	if t.ready && t.connsNeeded() > 0 && t.acquirePermit() {
		t.startDial(o)
	}
}

// handleDialResult takes a new connection into use. If all dials of an opening have failed, it tells a waiting
// request.
func (t *target) handleDialResult(d dialResult) {
	d.opening.dials--
	t.dialsInFlight--
	if d.c == nil {
		t.releasePermit()
		t.openingFailed(d.opening)
		t.dial()
		return
	}
	if !d.opening.connected {
		d.opening.connected = true
		t.openings--
	}
	if t.dialTime == 0 {
		t.dialTime = d.elapsed
	}
	t.dialTime += (d.elapsed - t.dialTime) / dialTimeSamples
	t.putIdle(d.c)
}

// openingFailed ends an opening, unless one of its dials succeeded or is still under way.
func (t *target) openingFailed(o *opening) {
	if o.connected || o.dials > 0 {
		return
	}
	t.openings--
	t.lastDialFailure = time.Now()
	t.failOne()
}

// replaceIdleForFirst opens a connection in place of an idle one if the first waiting request can use none of the
// idle ones and the limits allow no further connection: later requests could otherwise overtake it forever.
func (t *target) replaceIdleForFirst() {
	atLimit := t.permitsHeld >= maxConns || len(t.site.permits) == cap(t.site.permits)
	if len(t.waiting) == 0 || len(t.idle) == 0 || t.openings > 0 || !atLimit ||
		slices.ContainsFunc(t.idle, t.waiting[0].canUse) {
		return
	}
	t.replaceIdle(0) // the one that has been idle longest
}
