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
	mostDials = 8  // connections that are opened at once to one target: a burst must not be a storm of handshakes
	mostConns = 64 // to one target
	usedKept  = 1  // idle connections that have been used, where others are opened

	// A dial is overdue after this share of the time that it may take, and this many times what dials take.
	overdueShare = 10
	overdueTimes = 2
	dialsOver    = 8 // dials, for the time that they take
	dialsEach    = 3 // at once for one connection, where those before are overdue
)

// dial opens connections for those that wait, where none that rests will do soon, and those that are to rest warm,
// within the bounds. One that failed is not tried again for the sake of warmth before the next sweep.
func (t *target) dial() {
	cold, wanted := 0, t.wanted()
	if t.wary() {
		t.closeUsed()
	}
	if time.Since(t.failed) >= t.idleLimit()/4 {
		cold = max(0, t.site.Warm-t.unusedIdle())
	}
	for t.ready && t.dialing < wanted+cold && (t.dialOne() || t.dialing < wanted && t.dialInPlaceOfUnfit()) {
	}
	if t.open == 0 {
		t.refuseWaiting() // no permit, and no connection that could come back
	}
}

// refuseOne tells one of those that wait that it could not connect, as a dial has failed: the first that no connection
// at rest or being opened is for.
func (t *target) refuseOne() {
	if t.wanted() <= t.dialing {
		return
	}
	i := max(0, slices.IndexFunc(t.waiting, func(l *lease) bool { return !slices.ContainsFunc(t.idle, l.fits) }))
	t.waiting[i].got <- nil
	t.waiting = slices.Delete(t.waiting, i, i+1)
}

// wanted is how many connections those that wait find too few at rest, up to those that may be opened at once.
func (t *target) wanted() int {
	if t.wary() {
		return len(t.waiting)
	}
	left := t.idle
	wanted := 0
	for _, l := range t.waiting {
		if wanted == mostDials {
			break
		}
		i := slices.IndexFunc(left, l.fits)
		if i < 0 {
			wanted++
			continue
		}
		if len(left) == len(t.idle) {
			left = slices.Clone(t.idle)
		}
		left = slices.Delete(left, i, i+1)
	}
	return wanted
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
	if t.dialing >= mostDials {
		return false
	}
	if i := t.unneeded(); i >= 0 {
		t.dialInPlaceOf(i)
		return true
	}
	if t.open >= mostConns || !t.acquire() {
		return false
	}
	t.beginOpening()
	return true
}

// unneeded is the place of the used idle connection that has rested longest and that nobody waits for, or -1: another
// used one rests for the requests to come.
func (t *target) unneeded() int {
	if len(t.idle)-t.unusedIdle() <= usedKept {
		return -1
	}
	return slices.IndexFunc(t.idle, func(c *conn) bool { return c.answered && !t.awaited(c) })
}

// dialInPlaceOfUnfit opens a connection in the place of an idle one that none of those that wait may use. It returns
// false where there is none, or where it would not help.
func (t *target) dialInPlaceOfUnfit() bool {
	if t.dialing >= mostDials {
		return false
	}
	i := slices.IndexFunc(t.idle, func(c *conn) bool { return !t.awaited(c) })
	if i < 0 {
		return false
	}
	t.dialInPlaceOf(i)
	return true
}

// dialInPlaceOf closes the idle connection at a place, and opens another with its permit.
func (t *target) dialInPlaceOf(i int) {
	t.idle[i].Close()
	t.idle = slices.Delete(t.idle, i, i+1)
	t.beginOpening()
}

// beginOpening opens a connection for which a permit has been taken.
func (t *target) beginOpening() {
	t.dialing++
	t.begin(&opening{deadline: time.Now().Add(t.site.ConnectTimeout)})
}

// acquire takes one of the site's permits, if there is one left.
func (t *target) acquire() bool {
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
	deadline time.Time // for all its dials
	dials    int       // under way
	done     bool      // one of them came up
}

// begin begins a dial, for which a permit has been taken.
func (t *target) begin(o *opening) {
	o.dials++
	t.dials++
	go t.connect(o, t.address, o.deadline, t.overdueAfter())
}

// overdueAfter is how long a dial takes until it is overdue.
func (t *target) overdueAfter() time.Duration {
	return max(t.site.ConnectTimeout/overdueShare, overdueTimes*t.usualDial)
}

// connect carries a dial out, in a goroutine of its own, and tells the actor when it is overdue, and how it ended.
func (t *target) connect(o *opening, address string, deadline time.Time, overdueAfter time.Duration) {
	ctx, cancel := context.WithDeadline(t.ctx, deadline)
	defer cancel()
	began := time.Now()
	timer := time.AfterFunc(overdueAfter, func() { t.post(overdue{o}) })
	defer timer.Stop()
	var c *conn
	if nc, err := t.connectAgainIfReset(ctx, address); err == nil {
		c = newConn(nc, address, &t.history)
		c.abort = t.site.Abort
	}
	t.post(dialed{o, c, time.Since(began)})
}

// connectAgainIfReset tries once more where a connection is reset as it comes up: nothing was sent on it, and it says little
// of the target. One whose process has gone refuses the next one, too.
func (t *target) connectAgainIfReset(ctx context.Context, address string) (net.Conn, error) {
	nc, err := t.site.connect(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		return t.site.connect(ctx, "tcp", address)
	}
	return nc, err
}

// dialBeside begins a further dial beside one that is overdue, where somebody waits: one that comes up late may outlast the
// time that it has. All have the same deadline, so that nobody waits for longer.
func (t *target) dialBeside(o *opening) {
	if o.done || o.dials == 0 || o.dials >= dialsEach || t.dials >= mostDials || t.open >= mostConns {
		return
	}
	if t.ready && t.wanted() > 0 && t.acquire() {
		t.begin(o)
	}
}

// dialEnded takes in a connection that has come up. Where none of an opening's dials did it tells one of those that wait.
func (t *target) dialEnded(d dialed) {
	d.opening.dials--
	t.dials--
	if d.c == nil {
		t.release()
		t.openingFailed(d.opening)
		t.dial()
		return
	}
	if !d.opening.done {
		d.opening.done = true
		t.dialing--
	}
	if t.usualDial == 0 {
		t.usualDial = d.took
	}
	t.usualDial += (d.took - t.usualDial) / dialsOver
	t.free(d.c)
}

// openingFailed ends an opening none of whose dials came up, or is still under way.
func (t *target) openingFailed(o *opening) {
	if o.done || o.dials > 0 {
		return
	}
	t.dialing--
	t.failed = time.Now()
	t.refuseOne()
}

// makeRoomForFirst opens a connection in the place of an idle one where the first of those that wait may use none, and no
// further one can be opened for it: else it could be passed over for ever.
func (t *target) makeRoomForFirst() {
	bounded := t.open >= mostConns || len(t.site.permits) == cap(t.site.permits)
	if len(t.waiting) == 0 || len(t.idle) == 0 || t.dialing > 0 || !bounded || slices.ContainsFunc(t.idle, t.waiting[0].fits) {
		return
	}
	t.dialInPlaceOf(0) // the one that has rested longest
}
