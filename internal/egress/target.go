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
	mostIdle    = 16
	idleShare   = 0.6 // of the time after which a target closes an idle connection: never written to later

	// An answer may come twice, the second time some milliseconds later: a request that crosses it on the connection
	// would take it for its own. So a connection rests before it is used again, for a part of the time that answers
	// take, lest a fast target be held up. Where there are many connections one that has rested is preferred, but none
	// is waited for. Where something unasked was seen lately each carries one request: a second answer may come however
	// late, and on a connection that is not used again it harms nobody.
	answersOver = 8 // answers, for the time that they take
	restShare   = 4
	restMost    = 10 * time.Millisecond
	restFew     = 8
	restWary    = 2 * restMost
	waryFor     = 10 * time.Second
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
	lease struct {
		got chan *conn
		question
		newOnly bool // only an unused connection will do
	}
	unlease struct{ l *lease } // the asker went away
	dialed  struct {
		opening *opening
		c       *conn // nil: it did not come up
		took    time.Duration
	}
	overdue struct{ opening *opening } // a dial takes long
	back    struct{ c *conn }          // free for the next attempt
	unused  struct{ c *conn }          // its attempt was over before it began
	ended   struct {
		silent  time.Time // not zero: nothing was heard of an attempt sent then
		heard   bool      // the target answered on it
		replace bool      // it was given up for what its answer was alone
		unasked bool      // something came on it that nobody had asked for
	} // closed
	route struct {
		address string
		ready   bool
	}
	rested   struct{} // an idle connection may have rested for long enough
	dropIdle struct{}
	retire   struct{} // the target left the route table
)

// target is the actor of one egress target: it owns the connections. Each attempt runs in a goroutine of its
// own, which leases a connection from here. The actor waits on nobody but its mailbox.
type target struct {
	site    *site // with one permit for each connection of all its targets
	mailbox chan any
	ctx     context.Context // ends when the actor has ended
	end     context.CancelFunc

	retired   bool
	address   string
	ready     bool
	idle      []*conn // the one used last at the end
	waiting   []*lease
	dialing   int           // connections that are being opened
	dials     int           // for those, or left over as another came up first
	open      int           // connections, and dials
	looking   bool          // rested is to come
	answers   time.Duration // that they take, averaged
	usualDial time.Duration // that one takes that comes up, averaged
	heard     time.Time
	failed    time.Time // last dial that did not come up
	unasked   time.Time // when a connection last had something on it that nobody had asked for
	history   history
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
	defer t.end()
	for !t.retired || t.open > 0 { // what is out when it leaves the table is still waited for
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
	case *lease:
		t.lease(m)
	case unlease:
		for i, l := range t.waiting {
			if l == m.l {
				t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
				return
			}
		}
		if c := <-m.l.got; c != nil { // handed over just as the asker left
			t.free(c)
		}
	case dialed:
		t.dialEnded(m)
	case overdue:
		t.dialBeside(m.opening)
	case back:
		t.heard = time.Now()
		if t.answers == 0 {
			t.answers = m.c.waited
		}
		t.answers += (m.c.waited - t.answers) / answersOver
		t.history.usual.Store(int64(t.answers))
		t.free(m.c)
	case unused:
		t.free(m.c)
	case ended:
		t.release()
		if m.heard {
			t.heard = time.Now()
		}
		if m.unasked {
			t.unasked = time.Now()
		}
		if m.silent.After(t.heard) { // a machine that vanished says nothing: the next attempt is to dial anew
			t.closeIdle(0)
		}
		if m.replace && t.ready && len(t.idle)+t.dialing < mostIdle {
			t.dialOne() // so that the next request need not wait for a handshake
		}
		t.dial()
	case route:
		if t.address != m.address {
			t.closeIdle(0)
		}
		t.address, t.ready = m.address, m.ready
		if !t.ready {
			t.refuseWaiting() // what is queued must not go to a target that drains
			t.closeIdle(0)
		}
		t.dial()
	case rested:
		t.looking = false
		t.serve()
	case dropIdle:
		t.closeIdle(0)
		t.dial()
	case retire:
		t.retired, t.ready = true, false
		t.refuseWaiting()
		t.closeIdle(0)
	}
}

func (t *target) lease(l *lease) {
	if !t.ready {
		l.got <- nil
		return
	}
	t.waiting = append(t.waiting, l)
	t.serve()
}

// serve gives those that wait the idle connections that have rested, and has more opened for those that get none.
func (t *target) serve() {
	t.handOut()
	if !t.looking {
		t.lookAgain()
	}
	t.dial()
}

// handOut gives idle connections to those that wait, in the order in which they came, but that one who may use none does
// not keep others from theirs.
func (t *target) handOut() {
	t.makeRoomForFirst()
	t.waiting = slices.DeleteFunc(t.waiting, func(l *lease) bool {
		if len(t.idle) == 0 {
			return false
		}
		c := t.take(l)
		if c != nil {
			l.got <- c
		}
		return c != nil
	})
}

// lookAgain has the actor told when the first idle connection that somebody waits for has rested.
func (t *target) lookAgain() {
	i := slices.IndexFunc(t.idle, t.awaited)
	if i < 0 {
		return
	}
	t.looking = true
	time.AfterFunc(t.rest()-time.Since(t.idle[i].used), func() { t.post(rested{}) })
}

// awaited tells whether one of those that wait may use a connection once it has rested.
func (t *target) awaited(c *conn) bool {
	return slices.ContainsFunc(t.waiting, func(l *lease) bool { return l.fits(c) })
}

// take is an idle connection that is fit for an attempt, or nil.
func (t *target) take(l *lease) *conn {
	for i := t.choose(l); i >= 0; i = t.choose(l) {
		c := t.idle[i]
		t.idle = slices.Delete(t.idle, i, i+1)
		if time.Since(c.used) < t.idleLimit() && c.alive() {
			return c
		}
		if socket.Unread(c.Conn) {
			t.unasked = time.Now() // it must not be read as the next answer
		}
		c.Close()
		t.release()
	}
	return nil
}

// choose is the place of the idle connection to be used next, or -1: a used one where that will do, as an unused one is of
// use for any request.
func (t *target) choose(l *lease) int {
	if i := t.chooseUsed(l); i >= 0 {
		return i
	}
	return slices.IndexFunc(t.idle, (*conn).unused)
}

// chooseUsed is the place of the used connection to be used next: the one used last of those that have rested, else, where
// there are many, the one that has rested longest; -1: none yet.
func (t *target) chooseUsed(l *lease) int {
	if t.wary() {
		return -1
	}
	rest := t.rest()
	for i, c := range slices.Backward(t.idle) {
		if c.answered && time.Since(c.used) >= rest && l.fits(c) {
			return i
		}
	}
	if t.open <= restFew {
		return -1
	}
	return slices.IndexFunc(t.idle, func(c *conn) bool { return c.answered && l.fits(c) })
}

// fits tells whether a connection may be used for the request that is to go out, once it has rested.
func (l *lease) fits(c *conn) bool {
	return c.unused() || !l.newOnly && c.tellsApart(l.question)
}

// wary tells whether the target has sent something unasked lately.
func (t *target) wary() bool { return time.Since(t.unasked) < waryFor }

// rest is how long a connection rests between two uses.
func (t *target) rest() time.Duration {
	if t.wary() {
		return restWary
	}
	return min(restMost, t.answers/restShare)
}

func (t *target) free(c *conn) {
	if c.soleUse() || len(t.idle) >= mostIdle { // one such is enough
		t.closeWhere((*conn).soleUse)
	}
	switch {
	case !t.ready || c.address != t.address:
	case len(t.idle) < mostIdle, t.awaited(c):
		t.idle = append(t.idle, c)
		t.serve()
		return
	}
	c.Close()
	t.release()
	t.dial()
}

func (t *target) release() {
	t.open--
	<-t.site.permits
}

func (t *target) refuseWaiting() {
	for _, l := range t.waiting {
		l.got <- nil
	}
	t.waiting = nil
}

func (t *target) closeIdle(older time.Duration) {
	t.closeWhere(func(c *conn) bool { return time.Since(c.used) >= older })
}

// closeUsed closes the idle connections that have been used, as soon as one has rested: what it brings until then shows
// that the target still sends what nobody asks for.
func (t *target) closeUsed() {
	t.closeWhere(func(c *conn) bool {
		rested := c.answered && time.Since(c.used) >= restWary
		if rested && socket.Unread(c.Conn) {
			t.unasked = time.Now()
		}
		return rested
	})
}

// closeWhere closes the idle connections that are to be closed.
func (t *target) closeWhere(toClose func(*conn) bool) {
	t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
		if !toClose(c) {
			return false
		}
		c.Close()
		t.release()
		return true
	})
}
