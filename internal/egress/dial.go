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
	maxDials     = 8  // connections that are opened at once to one target: a burst must not be a storm of handshakes
	maxConns     = 64 // to one target
	usedIdleKept = 1  // idle connections that have been used, where others are opened

	// A dial is overdue after this share of the time that it may take, and this many times what dials take.
	overdueDivisor  = 10
	overdueFactor   = 2
	dialTimeSamples = 8 // dials, for the time that they take
	maxDialsPerConn = 3 // at once for one connection, where those before are overdue
)

// dial opens connections for those that wait, where none that rests will do soon, and those that are to rest warm,
// within the bounds. One that failed is not tried again for the sake of warmth before the next sweep.
func (t *target) dial() {
	warm, needed := 0, t.connsNeeded()
	if t.suspectsDuplicates() {
		t.closeUsed()
	}
	if time.Since(t.lastDialFailure) >= t.idleLimit()/4 {
		warm = max(0, t.site.Warm-t.unusedIdle())
	}
	for t.ready && t.dialing < needed+warm && (t.dialOne() || t.dialing < needed && t.dialReplacingUnsuitable()) {
	}
	if t.open == 0 {
		t.failWaiting() // no permit, and no connection that could come back
	}
}

// refuseOne tells one of those that wait that it could not connect, as a dial has failed: the first that no connection
// at rest or being opened is for.
func (t *target) failOne() {
	if t.connsNeeded() <= t.dialing {
		return
	}
	i := max(0, slices.IndexFunc(t.waiting, func(req *connRequest) bool { return !slices.ContainsFunc(t.idle, req.canUse) }))
	t.waiting[i].result <- nil
	t.waiting = slices.Delete(t.waiting, i, i+1)
}

// wanted is how many connections those that wait find too few at rest, up to those that may be opened at once.
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

// unusedIdle is how many idle connections are unused.
func (t *target) unusedIdle() int {
	unused := 0
	for _, c := range t.idle {
		if c.unused() {
			unused++
		}
	}
	return unused
}

// dialOne opens a connection, in the place of a used one that is not needed, else if the bounds allow one more. Each request
// that must have an unused connection leaves a used one behind, and a target holds only so many.
func (t *target) dialOne() bool {
	if t.dialing >= maxDials {
		return false
	}
	if i := t.surplusUsed(); i >= 0 {
		t.replaceIdle(i)
		return true
	}
	if t.open >= maxConns || !t.acquirePermit() {
		return false
	}
	t.startOpening()
	return true
}

// unneeded is the place of the used idle connection that has rested longest and that nobody waits for, or -1: another
// used one rests for the requests to come.
func (t *target) surplusUsed() int {
	if len(t.idle)-t.unusedIdle() <= usedIdleKept {
		return -1
	}
	return slices.IndexFunc(t.idle, func(c *conn) bool { return c.answered && !t.hasWaiter(c) })
}

// dialInPlaceOfUnfit opens a connection in the place of an idle one that none of those that wait may use. It returns
// false where there is none, or where it would not help.
func (t *target) dialReplacingUnsuitable() bool {
	if t.dialing >= maxDials {
		return false
	}
	i := slices.IndexFunc(t.idle, func(c *conn) bool { return !t.hasWaiter(c) })
	if i < 0 {
		return false
	}
	t.replaceIdle(i)
	return true
}

// dialInPlaceOf closes the idle connection at a place, and opens another with its permit.
func (t *target) replaceIdle(i int) {
	t.idle[i].Close()
	t.idle = slices.Delete(t.idle, i, i+1)
	t.startOpening()
}

// beginOpening opens a connection for which a permit has been taken.
func (t *target) startOpening() {
	t.dialing++
	t.startDial(&opening{deadline: time.Now().Add(t.site.ConnectTimeout)})
}

// acquire takes one of the site's permits, if there is one left.
func (t *target) acquirePermit() bool {
	select {
	case t.site.permits <- struct{}{}:
		t.open++
		return true
	default:
		return false
	}
}

// opening is a connection that is being opened, by more than one dial where one is overdue. It belongs to the actor.
type opening struct {
	deadline  time.Time // for all its dials
	dials     int       // under way
	connected bool      // one of them came up
}

// begin begins a dial, for which a permit has been taken.
func (t *target) startDial(o *opening) {
	o.dials++
	t.dials++
	go t.connect(o, t.address, o.deadline, t.overdueAfter())
}

// overdueAfter is how long a dial takes until it is overdue.
func (t *target) overdueAfter() time.Duration {
	return max(t.site.ConnectTimeout/overdueDivisor, overdueFactor*t.dialTime)
}

// connect carries a dial out, in a goroutine of its own, and tells the actor when it is overdue, and how it ended.
func (t *target) connect(o *opening, address string, deadline time.Time, overdueAfter time.Duration) {
	ctx, cancel := context.WithDeadline(t.ctx, deadline)
	defer cancel()
	started := time.Now()
	timer := time.AfterFunc(overdueAfter, func() { t.post(dialOverdue{o}) })
	defer timer.Stop()
	var c *conn
	if nc, err := t.connectWithResetRetry(ctx, address); err == nil {
		c = newConn(nc, address, &t.stats)
		c.resetOnAbandon = t.site.Abort
	}
	t.post(dialResult{o, c, time.Since(started)})
}

// connectAgainIfReset tries once more where a connection is reset as it comes up: nothing was sent on it, and it says little
// of the target. One whose process has gone refuses the next one, too.
func (t *target) connectWithResetRetry(ctx context.Context, address string) (net.Conn, error) {
	nc, err := t.site.connect(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		return t.site.connect(ctx, "tcp", address)
	}
	return nc, err
}

// dialBeside begins a further dial beside one that is overdue, where somebody waits: one that comes up late may outlast the
// time that it has. All have the same deadline, so that nobody waits for longer.
func (t *target) startParallelDial(o *opening) {
	if o.connected || o.dials == 0 || o.dials >= maxDialsPerConn || t.dials >= maxDials || t.open >= maxConns {
		return
	}
	if t.ready && t.connsNeeded() > 0 && t.acquirePermit() {
		t.startDial(o)
	}
}

// dialEnded takes in a connection that has come up. Where none of an opening's dials did it tells one of those that wait.
func (t *target) handleDialResult(d dialResult) {
	d.opening.dials--
	t.dials--
	if d.c == nil {
		t.releasePermit()
		t.openingFailed(d.opening)
		t.dial()
		return
	}
	if !d.opening.connected {
		d.opening.connected = true
		t.dialing--
	}
	if t.dialTime == 0 {
		t.dialTime = d.elapsed
	}
	t.dialTime += (d.elapsed - t.dialTime) / dialTimeSamples
	t.putIdle(d.c)
}

// openingFailed ends an opening none of whose dials came up, or is still under way.
func (t *target) openingFailed(o *opening) {
	if o.connected || o.dials > 0 {
		return
	}
	t.dialing--
	t.lastDialFailure = time.Now()
	t.failOne()
}

// makeRoomForFirst opens a connection in the place of an idle one where the first of those that wait may use none, and no
// further one can be opened for it: else it could be passed over for ever.
func (t *target) replaceIdleForFirst() {
	atLimit := t.open >= maxConns || len(t.site.permits) == cap(t.site.permits)
	if len(t.waiting) == 0 || len(t.idle) == 0 || t.dialing > 0 || !atLimit || slices.ContainsFunc(t.idle, t.waiting[0].canUse) {
		return
	}
	t.replaceIdle(0) // the one that has rested longest
}
