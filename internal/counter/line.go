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
		conn net.Conn
		err  error
	}
	answered struct {
		conn net.Conn
		line string
	}
	broken struct{ conn net.Conn }
)

// Line is the counter on the line protocol: an actor that pipelines calls over one connection. A call given
// up keeps its place in the line, since its answer must still be read off before the next one's.
type Line struct {
	address string
	timeout time.Duration
	mailbox chan any
	done    chan struct{}

	conn    net.Conn
	dialing bool
	retryAt time.Time
	waiting []*call // for a connection
	out     []*call // on the connection, in order
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

// Run is the actor.
func (l *Line) Run(ctx context.Context) {
	defer close(l.done)
	tick := time.NewTicker(keepAlive / 2)
	defer tick.Stop()
	l.connect(ctx)
	for {
		select {
		case <-ctx.Done():
			l.drop(control.Timeout)
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
		if l.conn != nil && len(l.out) > 0 && time.Since(l.out[0].asked) > silence {
			l.drop(control.Timeout) // what is gone silent may be a machine that vanished
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
		if m.err != nil {
			l.retryAt = time.Now().Add(redialPause)
			for _, c := range l.waiting {
				c.finish(control.ConnectFailed, 0)
			}
			l.waiting = nil
			return
		}
		l.conn, l.lastUse = m.conn, time.Now()
		go l.read(m.conn)
		l.write()
	case answered:
		l.answer(m)
	case broken:
		if m.conn == l.conn {
			l.drop(control.Timeout)
			l.connect(ctx)
		}
	}
}

func (l *Line) connect(ctx context.Context) {
	if l.conn != nil || l.dialing || time.Now().Before(l.retryAt) {
		return
	}
	l.dialing = true
	go func() {
		conn, err := (&net.Dialer{Timeout: dialWait}).DialContext(ctx, "tcp", l.address)
		select {
		case l.mailbox <- dialed{conn, err}:
		case <-l.done:
			if conn != nil {
				conn.Close()
			}
		}
	}()
}

// write sends all that waits in one piece.
func (l *Line) write() {
	if l.conn == nil || len(l.waiting) == 0 {
		return
	}
	n := min(len(l.waiting), mostOut-len(l.out))
	if n <= 0 {
		return // the rest times out in the line, with nothing added
	}
	var b strings.Builder
	for _, c := range l.waiting[:n] {
		b.WriteString(c.line)
	}
	l.out = append(l.out, l.waiting[:n]...)
	l.waiting = append([]*call(nil), l.waiting[n:]...)
	l.lastUse = time.Now()
	l.conn.SetWriteDeadline(l.lastUse.Add(l.timeout)) // a peer that takes nothing in must not stop the actor
	if _, err := l.conn.Write([]byte(b.String())); err != nil {
		l.drop(control.Timeout) // a part may have gone out
	}
}

// drop gives the connection up; what was written to it may have been added.
func (l *Line) drop(s control.Status) {
	if l.conn == nil {
		return
	}
	l.conn.Close()
	l.conn = nil
	for _, c := range l.out {
		c.finish(s, 0)
	}
	l.out = nil
}

// tend pings an idle connection, lest the counter close it as a call is written.
func (l *Line) tend(ctx context.Context, now time.Time) {
	switch {
	case l.conn == nil:
		l.connect(ctx)
	case len(l.out) == 0 && now.Sub(l.lastUse) >= keepAlive/2:
		l.waiting = append(l.waiting, &call{line: "ping\r\n", asked: now})
		l.write()
	}
}

func (l *Line) answer(a answered) {
	if a.conn != l.conn || len(l.out) == 0 {
		return
	}
	c := l.out[0]
	l.out = l.out[1:]
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
}

func (l *Line) read(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			l.post(broken{conn})
			return
		}
		l.post(answered{conn, strings.TrimRight(line, "\r\n")})
	}
}
