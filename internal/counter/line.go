// Package counter keeps the shared totals behind one port, with two stores: the platform's line
// protocol and Redis. A silent store or an emptied one is normal; the module is told and goes on.
package counter

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"junctionring/control"
)

const (
	mailboxSize = 1024
	mostOut     = 512                    // calls on a connection not yet answered
	silence     = time.Second            // without the oldest answer: the connection is given up
	keepAlive   = 2 * time.Second        // the counter closes idle connections after about 10 s
	redialPause = 100 * time.Millisecond // so that a dead counter is not stormed with dials
	dialWait    = 250 * time.Millisecond
	moveWait    = 1500 * time.Millisecond // for answers from an address that the counter has left
)

type report = func(control.Status, float64)

// call is one add. Its timer and its answer race; both are handled by the actor, so one of them wins.
type call struct {
	redisAdd // of the Redis store

	line   string
	report report
	timer  *time.Timer
	done   bool
	asked  time.Time
}

func (c *call) finish(s control.Status, total float64) {
	if c.done {
		return
	}
	c.done = true
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.report != nil {
		c.report(s, total)
	}
}

type (
	timedOut struct{ c *call }
	dialed   struct {
		conn    net.Conn
		address string
		err     error
	}
	answered struct {
		wire *wire
		line string
	}
	broken struct{ wire *wire }
	moved  struct{ address string }
)

// wire is a connection and the calls written to it that have no answer yet, in order.
type wire struct {
	net.Conn
	out []*call
}

// Line is the counter on the line protocol: an actor that pipelines calls over one connection. A call given
// up keeps its place in the line, since its answer must still be read off before the next one's.
type Line struct {
	address string
	timeout time.Duration
	mailbox chan any
	done    chan struct{}

	wire    *wire // nil: none that takes calls
	dialing bool
	retryAt time.Time
	waiting []*call // for a connection
	lastUse time.Time
}

// NewLine makes the actor for the counter at an address; each call is given up after timeout.
func NewLine(address string, timeout time.Duration) *Line {
	return &Line{address: address, timeout: timeout,
		mailbox: make(chan any, mailboxSize), done: make(chan struct{})}
}

// Add implements core.Counter.
func (l *Line) Add(name uint64, amount float64, ttl time.Duration, report func(control.Status, float64)) bool {
	line := "bump " + strconv.FormatUint(name, 10) + " " + strconv.FormatFloat(amount, 'f', -1, 64) +
		" " + strconv.FormatInt(max(1, ttl.Milliseconds()), 10) + "\r\n"
	select {
	case l.mailbox <- &call{line: line, report: report, asked: time.Now()}:
		return true
	default:
		return false
	}
}

func (l *Line) post(m any) {
	select {
	case l.mailbox <- m:
	case <-l.done:
	}
}

// Move goes over to the counter at another address. Calls that are out at the old one may still be answered.
func (l *Line) Move(address string) { l.post(moved{address}) }

// Run is the actor.
func (l *Line) Run(ctx context.Context) {
	defer close(l.done)
	tick := time.NewTicker(keepAlive / 2)
	defer tick.Stop()
	l.connect(ctx)
	for {
		select {
		case <-ctx.Done():
			l.drop(l.wire)
			return
		case m := <-l.mailbox:
			l.handle(ctx, m)
		case now := <-tick.C:
			l.tend(ctx, now)
		}
	}
}

func (l *Line) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case *call:
		m.timer = time.AfterFunc(l.timeout-time.Since(m.asked), func() { l.post(timedOut{m}) })
		l.waiting = append(l.waiting, m)
		if l.wire != nil && len(l.wire.out) > 0 && time.Since(l.wire.out[0].asked) > silence {
			l.drop(l.wire) // what is gone silent may be a machine that vanished
		}
		l.connect(ctx)
		l.write()
	case timedOut:
		for i, c := range l.waiting { // not written: nothing was added
			if c == m.c {
				l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
				m.c.finish(control.ConnectFailed, 0)
				return
			}
		}
		m.c.finish(control.Timeout, 0)
	case dialed:
		l.dialing = false
		if m.address != l.address { // it moved meanwhile: what waits has not been written anywhere
			if m.conn != nil {
				m.conn.Close()
			}
			l.connect(ctx)
			return
		}
		if m.err != nil {
			l.retryAt = time.Now().Add(redialPause)
			for _, c := range l.waiting {
				c.finish(control.ConnectFailed, 0)
			}
			l.waiting = nil
			return
		}
		l.wire, l.lastUse = &wire{Conn: m.conn}, time.Now()
		go l.read(l.wire)
		l.write()
	case answered:
		l.answer(m)
	case broken:
		l.drop(m.wire)
		l.connect(ctx)
	case moved:
		l.move(ctx, m.address)
	}
}

// move leaves the connection to the old address to its reader for as long as answers may still come.
func (l *Line) move(ctx context.Context, address string) {
	if address == l.address {
		return
	}
	l.address, l.retryAt = address, time.Time{}
	if old := l.wire; old != nil {
		l.wire = nil
		if len(old.out) == 0 {
			old.Close()
		}
		old.SetReadDeadline(time.Now().Add(moveWait))
	}
	l.connect(ctx)
}

func (l *Line) connect(ctx context.Context) {
	if l.wire != nil || l.dialing || time.Now().Before(l.retryAt) {
		return
	}
	l.dialing = true
	address := l.address
	go func() {
		conn, err := (&net.Dialer{Timeout: dialWait}).DialContext(ctx, "tcp", address)
		select {
		case l.mailbox <- dialed{conn, address, err}:
		case <-l.done:
			if conn != nil {
				conn.Close()
			}
		}
	}()
}

// write sends all that waits in one piece.
func (l *Line) write() {
	w := l.wire
	if w == nil || len(l.waiting) == 0 {
		return
	}
	n := min(len(l.waiting), mostOut-len(w.out))
	if n <= 0 {
		return // the rest times out in the line, with nothing added
	}
	var b strings.Builder
	for _, c := range l.waiting[:n] {
		b.WriteString(c.line)
	}
	w.out = append(w.out, l.waiting[:n]...)
	l.waiting = append([]*call(nil), l.waiting[n:]...)
	l.lastUse = time.Now()
	w.SetWriteDeadline(l.lastUse.Add(l.timeout)) // a peer that takes nothing in must not stop the actor
	if _, err := w.Write([]byte(b.String())); err != nil {
		l.drop(w) // a part may have gone out
	}
}

// drop gives a connection up; what was written to it may have been added.
func (l *Line) drop(w *wire) {
	if w == nil {
		return
	}
	w.Close()
	if w == l.wire {
		l.wire = nil
	}
	for _, c := range w.out {
		c.finish(control.Timeout, 0)
	}
	w.out = nil
}

// tend pings an idle connection, lest the counter close it as a call is written.
func (l *Line) tend(ctx context.Context, now time.Time) {
	switch {
	case l.wire == nil:
		l.connect(ctx)
	case len(l.wire.out) == 0 && now.Sub(l.lastUse) >= keepAlive/2:
		l.waiting = append(l.waiting, &call{line: "ping\r\n", asked: now})
		l.write()
	}
}

func (l *Line) answer(a answered) {
	w := a.wire
	if len(w.out) == 0 {
		return
	}
	c := w.out[0]
	w.out = w.out[1:]
	word, rest, _ := strings.Cut(a.line, " ")
	switch word {
	case "ok":
		total, err := strconv.ParseFloat(rest, 64)
		if err != nil {
			c.finish(control.Timeout, 0) // it may have been added
			return
		}
		c.finish(control.OK, total)
	case "pong":
		c.finish(control.OK, 0)
	default: // busy, error: nothing was added
		c.finish(control.Full, 0)
	}
	if w != l.wire && len(w.out) == 0 {
		w.Close() // the counter has moved, and this was the last answer
	}
}

func (l *Line) read(w *wire) {
	in := bufio.NewReader(w)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			l.post(broken{w})
			return
		}
		l.post(answered{w, strings.TrimRight(line, "\r\n")})
	}
}
