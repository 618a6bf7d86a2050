package egress

import (
	"context"
	"slices"
	"time"
)

const (
	mostDials = 8  // at once to one target: a burst must not be a storm of handshakes
	mostConns = 64 // to one target
)

// dial opens connections for those that wait, where none that rests will do soon, and those that are to rest warm,
// within the bounds. One that failed is not tried again for the sake of warmth before the next sweep.
func (t *target) dial() {
	cold, wanted := 0, t.wanted()
	if t.wary() {
		t.closeUsed()
	}
	if time.Since(t.failed) >= t.idleLimit()/4 {
		cold = max(0, t.site.Warm-len(t.idle))
	}
	for t.ready && t.dialing < wanted+cold && (t.dialOne() || t.dialing < wanted && t.makeRoom()) {
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

// makeRoom closes an idle connection that none of those that wait may use. It returns false where there is none, or
// where it would not help.
func (t *target) makeRoom() bool {
	if t.dialing >= mostDials {
		return false
	}
	i := slices.IndexFunc(t.idle, func(c *conn) bool { return !t.awaited(c) })
	if i < 0 {
		return false
	}
	t.closeAt(i)
	return true
}

// dialOne opens a connection, if the bounds allow one more.
func (t *target) dialOne() bool {
	if t.dialing >= mostDials || t.open >= mostConns {
		return false
	}
	select {
	case t.site.permits <- struct{}{}:
	default:
		return false
	}
	t.dialing++
	t.open++
	go func(address string) {
		ctx, cancel := context.WithTimeout(t.ctx, t.site.ConnectTimeout)
		defer cancel()
		var c *conn
		if nc, err := t.site.connect(ctx, "tcp", address); err == nil {
			c = newConn(nc, address, &t.history)
			c.abort = t.site.Abort
		}
		t.post(dialed{c})
	}(t.address)
	return true
}

// makeRoomForFirst closes an idle connection where the first of those that wait may use none, and none can be opened for
// it: else it could be passed over for ever.
func (t *target) makeRoomForFirst() {
	bounded := t.open >= mostConns || len(t.site.permits) == cap(t.site.permits)
	if len(t.waiting) == 0 || len(t.idle) == 0 || t.dialing > 0 || !bounded || slices.ContainsFunc(t.idle, t.waiting[0].fits) {
		return
	}
	t.closeAt(0) // the one that has rested longest
	t.dialOne()
}
