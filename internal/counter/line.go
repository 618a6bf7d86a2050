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
	mailboxSize       = 1024
	maxInFlight       = 512                    // calls on a connection not yet answered
	silenceTimeout    = time.Second            // without the oldest answer: the connection is given up
	keepAliveInterval = 2 * time.Second        // the counter closes idle connections after about 10 s
	redialDelay       = 100 * time.Millisecond // so that a dead counter is not stormed with dials
	dialTimeout       = 250 * time.Millisecond
	maxAnswerLine     = 256                     // bytes of an answer
	maxTotalLen       = 32                      // of a total
	lineTimeout       = 100 * time.Millisecond  // for the rest of a line that has begun
	oldAddressTimeout = 1500 * time.Millisecond // for answers from an address that the counter has left
	ping, pong        = "ping", "pong"
	lineEnd           = "\r\n"
)

type reportFunc = func(control.Status, float64)

// call is one add. Its timer and its answer race; both are handled by the actor, so one of them wins.
type call struct {
	redisAdd // of the Redis store

	request     string // with a ping behind it
	answerRead  bool   // its answer has come: the pong is next
	status      control.Status
	total       float64
	report      reportFunc
	timer       *time.Timer
	done        bool
	requestedAt time.Time
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
	lineReceived struct {
		conn *lineConn
		line string
	}
	connBroken     struct{ conn *lineConn }
	addressChanged struct{ address string }
	redial         struct{} // a pause is over
)

// lineConn is a connection and the calls written to it that have no answer yet, in order.
type lineConn struct {
	net.Conn
	unanswered  []*call
	hasAnswered bool // it has brought an answer
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

	conn            *lineConn // nil: none that takes calls
	dialing         bool
	retryAt         time.Time
	queued          []*call // for a connection
	unansweredConns int     // connections in a row that ended with no answer on them
	lastUse         time.Time
}

// NewLineClient makes the actor for the counter at an address; each call is given up after timeout.
func NewLineClient(address string, timeout time.Duration) *LineClient {
	return &LineClient{address: address, timeout: timeout,
		mailbox: make(chan any, mailboxSize), done: make(chan struct{})}
}

// Add implements core.Counter.
func (l *LineClient) Add(name uint64, amount float64, ttl time.Duration, report func(control.Status, float64)) bool {
	request := "bump " + strconv.FormatUint(name, 10) + " " + strconv.FormatFloat(amount, 'f', -1, 64) +
		" " + strconv.FormatInt(max(1, ttl.Milliseconds()), 10) + lineEnd + ping + lineEnd
	select {
	case l.mailbox <- &call{request: request, report: report, requestedAt: time.Now()}:
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
func (l *LineClient) SetAddress(address string) { l.post(addressChanged{address}) }

// Run is the actor.
func (l *LineClient) Run(ctx context.Context) {
	defer close(l.done)
	tick := time.NewTicker(keepAliveInterval / 2)
	defer tick.Stop()
	l.connect(ctx)
	for {
		select {
		case <-ctx.Done():
			l.closeConn(l.conn)
			return
		case m := <-l.mailbox:
			l.handle(ctx, m)
		case now := <-tick.C:
			l.keepConnAlive(ctx, now)
		}
	}
}

func (l *LineClient) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case *call:
		m.timer = time.AfterFunc(l.timeout-time.Since(m.requestedAt), func() { l.post(timedOut{m}) })
		l.queued = append(l.queued, m)
		if l.conn != nil && len(l.conn.unanswered) > 0 && time.Since(l.conn.unanswered[0].requestedAt) > silenceTimeout {
			l.closeConn(l.conn) // what is gone silent may be a machine that vanished
		}
		l.connect(ctx)
		l.writeQueued()
	case timedOut:
		for i, c := range l.queued { // not written: nothing was added
			if c == m.c {
				l.queued = append(l.queued[:i], l.queued[i+1:]...)
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
			l.retryAt = time.Now().Add(redialDelay)
			for _, c := range l.queued {
				c.finish(control.ConnectFailed, 0)
			}
			l.queued = nil
			return
		}
		l.conn, l.lastUse = &lineConn{Conn: m.conn}, time.Now()
		go l.readLines(l.conn)
		l.writeQueued()
	case lineReceived:
		l.handleLine(m)
		l.connect(ctx)
	case connBroken:
		l.closeConn(m.conn)
		l.connect(ctx)
	case redial:
		l.connect(ctx)
	case addressChanged:
		l.changeAddress(ctx, m.address)
	}
}

// changeAddress leaves the connection to the old address to its reader for as long as answers may still come.
func (l *LineClient) changeAddress(ctx context.Context, address string) {
	if address == l.address {
		return
	}
	l.address, l.retryAt = address, time.Time{}
	if old := l.conn; old != nil {
		l.conn = nil
		if len(old.unanswered) == 0 {
			old.Close()
		}
		old.SetReadDeadline(time.Now().Add(oldAddressTimeout))
	}
	l.connect(ctx)
}

func (l *LineClient) connect(ctx context.Context) {
	if l.conn != nil || l.dialing || time.Now().Before(l.retryAt) {
		return
	}
	l.dialing = true
	address := l.address
	go func() {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		select {
		case l.mailbox <- dialed{conn, address, err}:
		case <-l.done:
			if conn != nil {
				conn.Close()
			}
		}
	}()
}

// writeQueued sends all that waits in one piece.
func (l *LineClient) writeQueued() {
	conn := l.conn
	if conn == nil || len(l.queued) == 0 {
		return
	}
	n := min(len(l.queued), maxInFlight-len(conn.unanswered))
	if n <= 0 {
		return // the rest times out in the line, with nothing added
	}
	var b strings.Builder
	for _, c := range l.queued[:n] {
		b.WriteString(c.request)
	}
	conn.unanswered = append(conn.unanswered, l.queued[:n]...)
	l.queued = append([]*call(nil), l.queued[n:]...)
	l.lastUse = time.Now()
	conn.SetWriteDeadline(l.lastUse.Add(l.timeout)) // a peer that takes nothing in must not stop the actor
	if _, err := conn.Write([]byte(b.String())); err != nil {
		l.closeConn(conn) // a part may have gone out
	}
}

// closeConn gives a connection up; what was written to it may have been added.
func (l *LineClient) closeConn(conn *lineConn) {
	if conn == nil {
		return
	}
	conn.Close()
	if conn == l.conn {
		l.conn = nil
		l.delayRedial(conn)
	}
	for _, c := range conn.unanswered {
		c.finish(control.Timeout, 0)
	}
	conn.unanswered = nil
}

// delayRedial keeps a counter that turns connections away, say because it holds too many, from being dialled without end.
func (l *LineClient) delayRedial(conn *lineConn) {
	l.unansweredConns++
	if conn.hasAnswered {
		l.unansweredConns = 0
	}
	if l.unansweredConns > 1 { // a single one may have been reset
		l.retryAt = time.Now().Add(redialDelay)
		time.AfterFunc(redialDelay, func() { l.post(redial{}) })
	}
}

// keepConnAlive pings an idle connection, lest the counter close it as a call is written.
func (l *LineClient) keepConnAlive(ctx context.Context, now time.Time) {
	switch {
	case l.conn == nil:
		l.connect(ctx)
	case len(l.conn.unanswered) == 0 && now.Sub(l.lastUse) >= keepAliveInterval/2:
		l.queued = append(l.queued, &call{request: ping + lineEnd, answerRead: true, requestedAt: now})
		l.writeQueued()
	}
}

func (l *LineClient) handleLine(a lineReceived) {
	conn := a.conn
	if len(conn.unanswered) == 0 {
		l.closeConn(conn) // nobody asked
		return
	}
	c := conn.unanswered[0]
	if !c.answerRead {
		c.status, c.total = decodeAnswer(a.line)
		c.answerRead = true
		if c.status == control.Timeout {
			l.closeConn(conn) // not the answer to this call: nor can any behind it be told apart from noise
		}
		return
	}
	if a.line != pong {
		l.closeConn(conn) // one answer too many has come, and it may be that of this call or of one before
		return
	}
	conn.unanswered, conn.hasAnswered = conn.unanswered[1:], true
	c.finish(c.status, c.total)
	if conn != l.conn && len(conn.unanswered) == 0 {
		conn.Close() // the counter has moved, and this was the last answer
	}
}

// decodeAnswer reads the answer to a call. What is not in order, to the letter, is in doubt: it may have been added.
func decodeAnswer(line string) (control.Status, float64) {
	word, rest, _ := strings.Cut(line, " ")
	switch {
	case line == "busy", line == "error":
		return control.Full, 0
	case word == "ok" && rest != "" && len(rest) <= maxTotalLen && strings.Trim(rest, "0123456789.+-eE") == "":
		if total, err := strconv.ParseFloat(rest, 64); err == nil { // an infinite one is out of range: an error
			return control.OK, total
		}
	}
	return control.Timeout, 0
}

// readLines hands lines over. One that is too long, does not end as lines do, or does not come whole ends the
// connection.
func (l *LineClient) readLines(conn *lineConn) {
	in := bufio.NewReaderSize(conn, maxAnswerLine)
	for {
		in.Peek(1) // waits; an error shows below
		buffered, _ := in.Peek(in.Buffered())
		partial := len(buffered) > 0 && bytes.IndexByte(buffered, '\n') < 0
		if partial {
			conn.SetReadDeadline(time.Now().Add(lineTimeout))
		}
		line, err := in.ReadSlice('\n')
		text, terminated := strings.CutSuffix(string(line), lineEnd)
		if err != nil || !terminated {
			l.post(connBroken{conn})
			return
		}
		if partial {
			conn.SetReadDeadline(time.Time{})
		}
		l.post(lineReceived{conn, text})
	}
}
