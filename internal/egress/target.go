package egress

import (
	"context"
	"net"
	"slices"
	"time"

	"junctionring/control"
	"junctionring/internal/socket"
)

const (
	mailboxSize = 256
	maxIdle     = 16
	idleShare   = 0.6 // of ConnIdle, after which an idle connection is no longer written to

	// A target may answer a request twice, the second time some milliseconds later: a request that crosses the
	// duplicate on the connection would take it for its own answer. So a connection stays idle before it is used
	// again, so that a duplicate shows first. The delay is a fraction of the average answer time, so that a fast
	// target is not held up. If many connections are open, one whose delay is over is preferred, but no request
	// waits for one. If unsolicited bytes came recently, each connection carries one request: a duplicate may come
	// at any later time, and on a connection that is not used again it does no harm.
	answerTimeSamples     = 8 // answers over which the answer time is averaged
	reuseDelayDivisor     = 4 // of the average answer time
	maxReuseDelay         = 10 * time.Millisecond
	maxDelayedConns       = 8                 // open connections, up to which requests wait for the reuse delay
	unsolicitedReuseDelay = 2 * maxReuseDelay // while unsolicited bytes are recent
	unsolicitedWindow     = 10 * time.Second  // for which unsolicited bytes count as recent
)

// Options are the settings that all targets of a site share.
type Options struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // after which a target closes an idle connection
	Conns          int           // maximum to all targets of the site together
	// Abort resets a connection that is abandoned. Over a link, after a plain close the kernel would go on sending the
	// request. One that is delayed there would run after its class's window, in which targets drop repeats.
	Abort bool
	// Warm is the number of idle connections on which no request was answered yet to keep for each ready target, for
	// a link where a handshake costs a round trip.
	Warm       int
	Cores      float64                                                              // of the process, for the share of streamed answers; 0: no limit. The first site's counts
	LoadFields []string                                                             // of a load report
	Dial       func(ctx context.Context, network, address string) (net.Conn, error) // nil: net.Dialer
}

type (
	// connRequest asks for a connection; the actor answers once, with nil if there is none to be had.
	connRequest struct {
		result chan *conn
		identity
		unusedOnly bool // only a connection on which no request was answered yet may be used
	}
	cancelConnRequest struct{ req *connRequest } // nobody waits for it any more
	dialResult        struct {
		opening *opening
		c       *conn // nil: the dial failed
		elapsed time.Duration
	}
	dialOverdue  struct{ opening *opening }
	connReleased struct{ c *conn } // free for the next attempt
	connReturned struct{ c *conn } // idle again: its attempt was over before anything was sent on it
	connClosed   struct {
		unansweredSince time.Time // if not zero, no answer came to an attempt sent then
		answered        bool      // the target answered on it during its last attempt
		openReplacement bool      // it was closed only because of its answer's status
		unsolicited     bool      // bytes came on it that no request had asked for
	}
	route struct {
		process
		ready bool
	}
	reuseDue      struct{} // an idle connection's reuse delay may be over
	closeAllIdle  struct{}
	targetRemoved struct{} // the target left the route table
)

// process is what the route table tells of the process of a target. Another one may come up at the same address.
type process struct {
	address   string
	startedAt control.Seconds
}

// target is the actor of one egress target: it owns the connections. Each attempt runs in its own goroutine, which
// acquires a connection from the actor. The actor waits for nothing but its mailbox.
type target struct {
	site    *site // shared with the other targets of the site
	mailbox chan any
	ctx     context.Context // ends when the actor has ended
	stop    context.CancelFunc

	removed         bool
	process         process
	ready           bool
	idle            []*conn // the most recently used one last
	waiting         []*connRequest
	openings        int           // connections being opened, each by one dial or more; see opening
	dialsInFlight   int           // for openings, or left over after another dial of the same opening succeeded
	permitsHeld     int           // permits of the site: one for each connection and each dial
	reuseScheduled  bool          // a reuseDue is to come
	answerTime      time.Duration // average time from a request to its answer
	dialTime        time.Duration // average time of a successful dial
	lastAnswered    time.Time
	lastDialFailure time.Time // when a dial last failed
	lastUnsolicited time.Time // when unsolicited bytes last came on a connection
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
	for !t.removed || t.permitsHeld > 0 { // attempts under way when the target leaves the route table are still awaited
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
		if c := <-m.req.result; c != nil { // assigned just as the request was cancelled
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
	case connReturned:
		t.putIdle(m.c)
	case connClosed:
		t.releasePermit()
		if m.answered {
			t.lastAnswered = time.Now()
		}
		if m.unsolicited {
			t.lastUnsolicited = time.Now()
		}
		if m.unansweredSince.After(t.lastAnswered) { // a host that is gone sends no reset: the next attempt is to dial anew
			t.closeIdle(0)
		}
		if m.openReplacement && t.ready && len(t.idle)+t.openings < maxIdle {
			t.dialOne() // so that the next request need not wait for a handshake
		}
		t.dial()
	case route:
		if t.process != m.process {
			t.closeIdle(0) // they lead to a process that is gone, or is another target's
		}
		t.process, t.ready = m.process, m.ready
		if !t.ready {
			t.failWaiting() // waiting requests must not go to a draining target
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

// serveWaiting assigns the idle connections whose reuse delay is over to waiting requests, and opens connections
// for those that get none.
func (t *target) serveWaiting() {
	t.assignIdle()
	if !t.reuseScheduled {
		t.scheduleReuse()
	}
	t.dial()
}

// assignIdle assigns idle connections to waiting requests in order of arrival. A request that can use none does
// not block the others.
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

// scheduleReuse has a reuseDue sent when the reuse delay is over for the first idle connection that a waiting
// request can use.
func (t *target) scheduleReuse() {
	i := slices.IndexFunc(t.idle, t.hasWaiter)
	if i < 0 {
		return
	}
	t.reuseScheduled = true
	time.AfterFunc(t.reuseDelay()-time.Since(t.idle[i].lastUsed), func() { t.post(reuseDue{}) })
}

// hasWaiter reports whether a waiting request can use a connection once its reuse delay is over.
func (t *target) hasWaiter(c *conn) bool {
	return slices.ContainsFunc(t.waiting, func(req *connRequest) bool { return req.canUse(c) })
}

// takeIdle removes and returns an idle connection that is fit for a request, or returns nil.
func (t *target) takeIdle(req *connRequest) *conn {
	for i := t.chooseIdle(req); i >= 0; i = t.chooseIdle(req) {
		c := t.idle[i]
		t.idle = slices.Delete(t.idle, i, i+1)
		if time.Since(c.lastUsed) < t.idleLimit() && c.alive() {
			return c
		}
		if socket.Unread(c.Conn) {
			t.lastUnsolicited = time.Now() // the bytes must not be read as the next answer
		}
		c.Close()
		t.releasePermit()
	}
	return nil
}

// chooseIdle is the index of the idle connection to be used next, or -1. It prefers a used one, as an unused one
// can serve any request.
func (t *target) chooseIdle(req *connRequest) int {
	if i := t.chooseUsed(req); i >= 0 {
		return i
	}
	return slices.IndexFunc(t.idle, (*conn).unused)
}

// chooseUsed is the index of the used connection to be used next, or -1 if there is none yet: the most recently
// used one whose reuse delay is over, else, if many are open, the one that has been idle longest.
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
	if t.permitsHeld <= maxDelayedConns {
		return -1
	}
	return slices.IndexFunc(t.idle, func(c *conn) bool { return c.answered && req.canUse(c) })
}

// canUse reports whether the request may be sent on a connection, once its reuse delay is over.
func (req *connRequest) canUse(c *conn) bool {
	return c.unused() || !req.unusedOnly && c.distinguishes(req.identity)
}

// suspectsDuplicates reports whether the target has recently sent unsolicited bytes.
func (t *target) suspectsDuplicates() bool { return time.Since(t.lastUnsolicited) < unsolicitedWindow }

// reuseDelay is how long a connection stays idle between two uses.
func (t *target) reuseDelay() time.Duration {
	if t.suspectsDuplicates() {
		return unsolicitedReuseDelay
	}
	return min(maxReuseDelay, t.answerTime/reuseDelayDivisor)
}

// putIdle makes a connection idle, or closes it if it is not to be kept.
func (t *target) putIdle(c *conn) {
	if c.servesEqualOnly() || len(t.idle) >= maxIdle { // one connection that serves equal requests only is enough
		t.closeIdleWhere((*conn).servesEqualOnly)
	}
	switch {
	case !t.ready || c.process != t.process:
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
	t.permitsHeld--
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

// closeUsed closes the used idle connections once their reuse delay is over: bytes that come until then show that
// the target still sends unsolicited ones.
func (t *target) closeUsed() {
	t.closeIdleWhere(func(c *conn) bool {
		due := c.answered && time.Since(c.lastUsed) >= unsolicitedReuseDelay
		if due && socket.Unread(c.Conn) {
			t.lastUnsolicited = time.Now()
		}
		return due
	})
}

// closeIdleWhere closes the idle connections for which toClose returns true.
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
