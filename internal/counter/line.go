// Package counter keeps the shared totals behind one port, with two stores: the platform's line
// protocol and Redis. A silent store or an emptied one is normal; the module is told and goes on.
package counter

import (
	"bufio"
	"bytes"
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
	longestLine = 256                     // bytes of an answer
	mostDigits  = 32                      // of a total
	lineWait    = 100 * time.Millisecond  // for the rest of a line that has begun
	moveWait    = 1500 * time.Millisecond // for answers from an address that the counter has left
	ping, pong  = "ping", "pong"
	lineEnd     = "\r\n"
)

type report = func(control.Status, float64)

// call is one add. Its timer and its answer race; both are handled by the actor, so one of them wins.
type call struct {
	redisAdd // of the Redis store

	line   string // with a ping behind it
	said   bool   // its answer has come: the pong is next
	status control.Status
	total  float64
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
	redial struct{} // a pause is over
)

// wire is a connection and the calls written to it that have no answer yet, in order.
type wire struct {
	net.Conn
	out      []*call
	answered bool // it has brought an answer
}

// LineClient is the counter on the line protocol: an actor that pipelines calls over one connection. A call given
// up keeps its place in the line, since its answer must still be read off before the next one's. No answer names its call,
// and one too many would be taken for that of another name, and each behind it too: so a ping follows each call, and an
// answer counts once the pong has come behind it.
type LineClient struct {
	address string
	timeout time.Duration
	mailbox chan any
	done    chan struct{}

	wire       *wire // nil: none that takes calls
	dialing    bool
	retryAt    time.Time
	waiting    []*call // for a connection
	unanswered int     // connections in a row that ended with no answer on them
	lastUse    time.Time
}

// NewLineClient makes the actor for the counter at an address; each call is given up after timeout.
func NewLineClient(address string, timeout time.Duration) *LineClient {
	return &LineClient{address: address, timeout: timeout,
		mailbox: make(chan any, mailboxSize), done: make(chan struct{})}
}

// Add implements core.Counter.
func (l *LineClient) Add(name uint64, amount float64, ttl time.Duration, report func(control.Status, float64)) bool {
	line := "bump " + strconv.FormatUint(name, 10) + " " + strconv.FormatFloat(amount, 'f', -1, 64) +
		" " + strconv.FormatInt(max(1, ttl.Milliseconds()), 10) + lineEnd + ping + lineEnd
	select {
	case l.mailbox <- &call{line: line, report: report, asked: time.Now()}:
		return true
	default:
		return false
	}
}

func (l *LineClient) post(m any) {
	select {
	case l.mailbox <- m:
	case <-l.done:
	}
}

// SetAddress goes over to the counter at another address. Calls that are out at the old one may still be answered.
func (l *LineClient) SetAddress(address string) { l.post(moved{address}) }

// Run is the actor.
func (l *LineClient) Run(ctx context.Context) {
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

func (l *LineClient) handle(ctx context.Context, m any) {
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
		l.connect(ctx)
	case broken:
		l.drop(m.wire)
		l.connect(ctx)
	case redial:
		l.connect(ctx)
	case moved:
		l.move(ctx, m.address)
	}
}

// move leaves the connection to the old address to its reader for as long as answers may still come.
func (l *LineClient) move(ctx context.Context, address string) {
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

func (l *LineClient) connect(ctx context.Context) {
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
func (l *LineClient) write() {
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
func (l *LineClient) drop(w *wire) {
	if w == nil {
		return
	}
	w.Close()
	if w == l.wire {
		l.wire = nil
		l.pauseDials(w)
	}
	for _, c := range w.out {
		c.finish(control.Timeout, 0)
	}
	w.out = nil
}

// pauseDials keeps a counter that turns connections away, say because it holds too many, from being dialled without end.
func (l *LineClient) pauseDials(ended *wire) {
	l.unanswered++
	if ended.answered {
		l.unanswered = 0
	}
	if l.unanswered > 1 { // a single one may have been reset
		l.retryAt = time.Now().Add(redialPause)
		time.AfterFunc(redialPause, func() { l.post(redial{}) })
	}
}

// tend pings an idle connection, lest the counter close it as a call is written.
func (l *LineClient) tend(ctx context.Context, now time.Time) {
	switch {
	case l.wire == nil:
		l.connect(ctx)
	case len(l.wire.out) == 0 && now.Sub(l.lastUse) >= keepAlive/2:
		l.waiting = append(l.waiting, &call{line: ping + lineEnd, said: true, asked: now})
		l.write()
	}
}

func (l *LineClient) answer(a answered) {
	w := a.wire
	if len(w.out) == 0 {
		l.drop(w) // nobody asked
		return
	}
	c := w.out[0]
	if !c.said {
		c.status, c.total = decodeAnswer(a.line)
		c.said = true
		if c.status == control.Timeout {
			l.drop(w) // not the answer to this call: nor can any behind it be told apart from noise
		}
		return
	}
	if a.line != pong {
		l.drop(w) // one answer too many has come, and it may be that of this call or of one before
		return
	}
	w.out, w.answered = w.out[1:], true
	c.finish(c.status, c.total)
	if w != l.wire && len(w.out) == 0 {
		w.Close() // the counter has moved, and this was the last answer
	}
}

// decodeAnswer reads the answer to a call. What is not in order, to the letter, is in doubt: it may have been added.
func decodeAnswer(line string) (control.Status, float64) {
	word, rest, _ := strings.Cut(line, " ")
	switch {
	case line == "busy", line == "error":
		return control.Full, 0
	case word == "ok" && rest != "" && len(rest) <= mostDigits && strings.Trim(rest, "0123456789.+-eE") == "":
		if total, err := strconv.ParseFloat(rest, 64); err == nil { // an infinite one is out of range: an error
			return control.OK, total
		}
	}
	return control.Timeout, 0
}

// read hands lines over. One that is too long, does not end as lines do, or does not come whole ends the
// connection.
func (l *LineClient) read(w *wire) {
	in := bufio.NewReaderSize(w, longestLine)
	for {
		in.Peek(1) // waits; an error shows below
		part, _ := in.Peek(in.Buffered())
		cut := len(part) > 0 && bytes.IndexByte(part, '\n') < 0
		if cut {
			w.SetReadDeadline(time.Now().Add(lineWait))
		}
		line, err := in.ReadSlice('\n')
		text, whole := strings.CutSuffix(string(line), lineEnd)
		if err != nil || !whole {
			l.post(broken{w})
			return
		}
		if cut {
			w.SetReadDeadline(time.Time{})
		}
		l.post(answered{w, text})
	}
}
