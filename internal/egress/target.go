package egress

import (
	"context"
	"net"
	"slices"
	"time"

	"junctionring/internal/socket"
)

const (
	mailboxSize = 256
	maxIdle     = 16
	idleShare   = 0.6 // of the time after which a target closes an idle connection: never written to later

	// An answer may come twice, the second time some milliseconds later: a request that crosses it on the connection
	// would take it for its own. So a connection rests before it is used again, for a part of the time that answers
	// take, lest a fast target be held up. Where there are many connections one that has rested is preferred, but none
	// is waited for. Where something unasked was seen lately each carries one request: a second answer may come however
	// late, and on a connection that is not used again it harms nobody.
	answerTimeSamples     = 8 // answers, for the time that they take
	reuseDelayDivisor     = 4
	maxReuseDelay         = 10 * time.Millisecond
	maxDelayedConns       = 8
	unsolicitedReuseDelay = 2 * maxReuseDelay
	unsolicitedWindow     = 10 * time.Second
)

// Options are the figures that all targets share.
type Options struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // a target closes connections idle for this long
	Conns          int           // to all targets of the site together
	// Abort resets a connection that is given up. Danger: over a link the kernel would go on sending a request
	// that was closed behind, and one held up there would run after its window.
	Abort      bool
	Warm       int                                                                  // unused connections that each ready target is to have at rest, for a link where one costs a round trip
	LoadFields []string                                                             // of a load report
	Dial       func(ctx context.Context, network, address string) (net.Conn, error) // nil: the network
}

type (
	// lease asks for a connection; the actor answers once, nil if there is none to be had.
	connRequest struct {
		result chan *conn
		identity
		unusedOnly bool // only an unused connection will do
	}
	cancelConnRequest struct{ req *connRequest } // the asker went away
	dialResult        struct {
		opening *opening
		c       *conn // nil: it did not come up
		elapsed time.Duration
	}
	dialOverdue  struct{ opening *opening } // a dial takes long
	connReleased struct{ c *conn }          // free for the next attempt
	connUnused   struct{ c *conn }          // its attempt was over before it began
	connClosed   struct {
		unansweredSince time.Time // not zero: nothing was heard of an attempt sent then
		answered        bool      // the target answered on it
		replace         bool      // it was given up for what its answer was alone
		unsolicited     bool      // something came on it that nobody had asked for
	} // closed
	route struct {
		address string
		ready   bool
	}
	reuseDue      struct{} // an idle connection may have rested for long enough
	closeAllIdle  struct{}
	targetRemoved struct{} // the target left the route table
)

// target is the actor of one egress target: it owns the connections. Each attempt runs in a goroutine of its
// own, which leases a connection from here. The actor waits on nobody but its mailbox.
type target struct {
	site    *site // with one permit for each connection of all its targets
	mailbox chan any
	ctx     context.Context // ends when the actor has ended
	stop    context.CancelFunc

	removed         bool
	address         string
	ready           bool
	idle            []*conn // the one used last at the end
	waiting         []*connRequest
	dialing         int           // connections that are being opened
	dials           int           // for those, or left over as another came up first
	open            int           // connections, and dials
	reuseScheduled  bool          // rested is to come
	answerTime      time.Duration // that they take, averaged
	dialTime        time.Duration // that one takes that comes up, averaged
	lastAnswered    time.Time
	lastDialFailure time.Time // last dial that did not come up
	lastUnsolicited time.Time // when a connection last had something on it that nobody had asked for
	stats           answerStats
}

func (t *target) post(m any) bool {
	select {
	case t.mailbox <- m:
		return true
	case <-t.ctx.Done():
		return false
	}
}

func (t *target) run() {
	sweep := time.NewTicker(t.idleLimit()/4 + time.Millisecond)
	defer sweep.Stop()
	defer t.stop()
	for !t.removed || t.open > 0 { // what is out when it leaves the table is still waited for
		select {
		case m := <-t.mailbox:
			t.handle(m)
		case <-sweep.C:
			t.closeIdle(t.idleLimit())
			t.dial()
		}
	}
}

func (t *target) idleLimit() time.Duration {
	return time.Duration(idleShare * float64(t.site.ConnIdle))
}

func (t *target) handle(m any) {
	switch m := m.(type) {
	case *connRequest:
		t.enqueue(m)
	case cancelConnRequest:
		for i, req := range t.waiting {
			if req == m.req {
				t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
				return
			}
		}
		if c := <-m.req.result; c != nil { // handed over just as the asker left
			t.putIdle(c)
		}
	case dialResult:
		t.handleDialResult(m)
	case dialOverdue:
		t.startParallelDial(m.opening)
	case connReleased:
		t.lastAnswered = time.Now()
		if t.answerTime == 0 {
			t.answerTime = m.c.answerTime
		}
		t.answerTime += (m.c.answerTime - t.answerTime) / answerTimeSamples
		t.stats.meanTime.Store(int64(t.answerTime))
		t.putIdle(m.c)
	case connUnused:
		t.putIdle(m.c)
	case connClosed:
		t.releasePermit()
		if m.answered {
			t.lastAnswered = time.Now()
		}
		if m.unsolicited {
			t.lastUnsolicited = time.Now()
		}
		if m.unansweredSince.After(t.lastAnswered) { // a machine that vanished says nothing: the next attempt is to dial anew
			t.closeIdle(0)
		}
		if m.replace && t.ready && len(t.idle)+t.dialing < maxIdle {
			t.dialOne() // so that the next request need not wait for a handshake
		}
		t.dial()
	case route:
		if t.address != m.address {
			t.closeIdle(0)
		}
		t.address, t.ready = m.address, m.ready
		if !t.ready {
			t.failWaiting() // what is queued must not go to a target that drains
			t.closeIdle(0)
		}
		t.dial()
	case reuseDue:
		t.reuseScheduled = false
		t.serveWaiting()
	case closeAllIdle:
		t.closeIdle(0)
		t.dial()
	case targetRemoved:
		t.removed, t.ready = true, false
		t.failWaiting()
		t.closeIdle(0)
	}
}

func (t *target) enqueue(req *connRequest) {
	if !t.ready {
		req.result <- nil
		return
	}
	t.waiting = append(t.waiting, req)
	t.serveWaiting()
}

// serve gives those that wait the idle connections that have rested, and has more opened for those that get none.
func (t *target) serveWaiting() {
	t.assignIdle()
	if !t.reuseScheduled {
		t.scheduleReuse()
	}
	t.dial()
}

// handOut gives idle connections to those that wait, in the order in which they came, but that one who may use none does
// not keep others from theirs.
func (t *target) assignIdle() {
	t.replaceIdleForFirst()
	t.waiting = slices.DeleteFunc(t.waiting, func(req *connRequest) bool {
		if len(t.idle) == 0 {
			return false
		}
		c := t.takeIdle(req)
		if c != nil {
			req.result <- c
		}
		return c != nil
	})
}

// lookAgain has the actor told when the first idle connection that somebody waits for has rested.
func (t *target) scheduleReuse() {
	i := slices.IndexFunc(t.idle, t.hasWaiter)
	if i < 0 {
		return
	}
	t.reuseScheduled = true
	time.AfterFunc(t.reuseDelay()-time.Since(t.idle[i].lastUsed), func() { t.post(reuseDue{}) })
}

// awaited tells whether one of those that wait may use a connection once it has rested.
func (t *target) hasWaiter(c *conn) bool {
	return slices.ContainsFunc(t.waiting, func(req *connRequest) bool { return req.canUse(c) })
}

// take is an idle connection that is fit for an attempt, or nil.
func (t *target) takeIdle(req *connRequest) *conn {
	for i := t.chooseIdle(req); i >= 0; i = t.chooseIdle(req) {
		c := t.idle[i]
		t.idle = slices.Delete(t.idle, i, i+1)
		if time.Since(c.lastUsed) < t.idleLimit() && c.alive() {
			return c
		}
		if socket.Unread(c.Conn) {
			t.lastUnsolicited = time.Now() // it must not be read as the next answer
		}
		c.Close()
		t.releasePermit()
	}
	return nil
}

// choose is the place of the idle connection to be used next, or -1: a used one where that will do, as an unused one is of
// use for any request.
func (t *target) chooseIdle(req *connRequest) int {
	if i := t.chooseUsed(req); i >= 0 {
		return i
	}
	return slices.IndexFunc(t.idle, (*conn).unused)
}

// chooseUsed is the place of the used connection to be used next: the one used last of those that have rested, else, where
// there are many, the one that has rested longest; -1: none yet.
func (t *target) chooseUsed(req *connRequest) int {
	if t.suspectsDuplicates() {
		return -1
	}
	delay := t.reuseDelay()
	for i, c := range slices.Backward(t.idle) {
		if c.answered && time.Since(c.lastUsed) >= delay && req.canUse(c) {
			return i
		}
	}
	if t.open <= maxDelayedConns {
		return -1
	}
	return slices.IndexFunc(t.idle, func(c *conn) bool { return c.answered && req.canUse(c) })
}

// fits tells whether a connection may be used for the request that is to go out, once it has rested.
func (req *connRequest) canUse(c *conn) bool {
	return c.unused() || !req.unusedOnly && c.distinguishes(req.identity)
}

// wary tells whether the target has sent something unasked lately.
func (t *target) suspectsDuplicates() bool { return time.Since(t.lastUnsolicited) < unsolicitedWindow }

// rest is how long a connection rests between two uses.
func (t *target) reuseDelay() time.Duration {
	if t.suspectsDuplicates() {
		return unsolicitedReuseDelay
	}
	return min(maxReuseDelay, t.answerTime/reuseDelayDivisor)
}

func (t *target) putIdle(c *conn) {
	if c.servesEqualOnly() || len(t.idle) >= maxIdle { // one such is enough
		t.closeIdleWhere((*conn).servesEqualOnly)
	}
	switch {
	case !t.ready || c.address != t.address:
	case len(t.idle) < maxIdle, t.hasWaiter(c):
		t.idle = append(t.idle, c)
		t.serveWaiting()
		return
	}
	c.Close()
	t.releasePermit()
	t.dial()
}

func (t *target) releasePermit() {
	t.open--
	<-t.site.permits
}

func (t *target) failWaiting() {
	for _, req := range t.waiting {
		req.result <- nil
	}
	t.waiting = nil
}

func (t *target) closeIdle(older time.Duration) {
	t.closeIdleWhere(func(c *conn) bool { return time.Since(c.lastUsed) >= older })
}

// closeUsed closes the idle connections that have been used, as soon as one has rested: what it brings until then shows
// that the target still sends what nobody asks for.
func (t *target) closeUsed() {
	t.closeIdleWhere(func(c *conn) bool {
		due := c.answered && time.Since(c.lastUsed) >= unsolicitedReuseDelay
		if due && socket.Unread(c.Conn) {
			t.lastUnsolicited = time.Now()
		}
		return due
	})
}

// closeWhere closes the idle connections that are to be closed.
func (t *target) closeIdleWhere(toClose func(*conn) bool) {
	t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
		if !toClose(c) {
			return false
		}
		c.Close()
		t.releasePermit()
		return true
	})
}
