// Package counter implements core.Counter, the interface to the shared totals, on two stores: the platform's line
// protocol and Redis. It does not retry calls or treat a silent or an emptied store as a fault: both are normal, and
// control is told and carries on.
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
	maxInFlight       = 512                    // calls without an answer on a connection
	silenceTimeout    = time.Second            // without the answer to the oldest call; then the connection is closed
	keepAliveInterval = 2 * time.Second        // the counter closes idle connections after about 10 s
	redialDelay       = 100 * time.Millisecond // so that a failed counter is not dialled in a tight loop
	dialTimeout       = 250 * time.Millisecond
	maxAnswerLine     = 256                     // bytes
	maxTotalLen       = 32                      // characters
	lineTimeout       = 100 * time.Millisecond  // for the rest of a line that was received in part
	oldAddressTimeout = 1500 * time.Millisecond // for answers from the previous address after a change
	ping, pong        = "ping", "pong"
	lineEnd           = "\r\n"
)

type reportFunc = func(control.Status, float64)

// call is one addition to a total. Its timer and its answer race; the actor handles both, so only one of them reports.
type call struct {
	redisAdd // used by the Redis store only

	request     string // followed by a ping
	answerRead  bool   // its answer was read: the pong is next
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
	redial         struct{} // the redial delay has passed
)

// lineConn is a connection and the calls written to it that have no answer yet, in order.
type lineConn struct {
	net.Conn
	unanswered  []*call
	hasAnswered bool // a call was answered on it
}

// LineClient is the counter on the line protocol: an actor that pipelines calls over one connection. A call that timed
// out keeps its place in the pipeline, since its answer must still be read before the next one. Answers do not name their
// calls, so a surplus answer would be taken for the answer to another name's call, and so would each answer after it.
// Therefore a ping follows each call, and an answer counts only once its pong has been read.
type LineClient struct {
	address string
	timeout time.Duration
	mailbox chan any
	done    chan struct{}

	conn            *lineConn // nil: none that accepts calls
	dialing         bool
	retryAt         time.Time
	queued          []*call // not written yet
	unansweredConns int     // consecutive connections that ended without an answer
	lastUse         time.Time
}

// NewLineClient returns the client of the counter at address. Each call times out after timeout.
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

// SetAddress switches to the counter at another address. Calls in flight at the old one may still be answered.
func (l *LineClient) SetAddress(address string) { l.post(addressChanged{address}) }

// Run makes calls until ctx ends.
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
			l.closeConn(l.conn) // the machine at the other end may have vanished
		}
		l.connect(ctx)
		l.writeQueued()
	case timedOut:
		for i, c := range l.queued { // it was never written, so nothing was added
			if c == m.c {
				l.queued = append(l.queued[:i], l.queued[i+1:]...)
				m.c.finish(control.ConnectFailed, 0)
				return
			}
		}
		m.c.finish(control.Timeout, 0)
	case dialed:
		l.dialing = false
		if m.address != l.address { // the address has changed since: the queued calls have not been written anywhere
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

// changeAddress keeps the reader of the old connection running for as long as answers may still arrive on it.
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

// writeQueued sends the queued calls in one write.
func (l *LineClient) writeQueued() {
	conn := l.conn
	if conn == nil || len(l.queued) == 0 {
		return
	}
	n := min(len(l.queued), maxInFlight-len(conn.unanswered))
	if n <= 0 {
		return // the rest times out in the queue, with nothing added
	}
	var b strings.Builder
	for _, c := range l.queued[:n] {
		b.WriteString(c.request)
	}
	conn.unanswered = append(conn.unanswered, l.queued[:n]...)
	l.queued = append([]*call(nil), l.queued[n:]...)
	l.lastUse = time.Now()
	conn.SetWriteDeadline(l.lastUse.Add(l.timeout)) // a peer that does not read must not block the actor
	if _, err := conn.Write([]byte(b.String())); err != nil {
		l.closeConn(conn) // a part may have been sent
	}
}

// closeConn closes a connection. Calls written to it may have been added.
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

// delayRedial keeps a counter that refuses connections, for example because it holds too many, from being dialled in a
// tight loop.
func (l *LineClient) delayRedial(conn *lineConn) {
	l.unansweredConns++
	if conn.hasAnswered {
		l.unansweredConns = 0
	}
	if l.unansweredConns > 1 { // a single one may just have been reset
		l.retryAt = time.Now().Add(redialDelay)
		time.AfterFunc(redialDelay, func() { l.post(redial{}) })
	}
}

// keepConnAlive pings an idle connection, so that the counter does not close it while a call is written.
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
		l.closeConn(conn) // no call is waiting for it
		return
	}
	c := conn.unanswered[0]
	if !c.answerRead {
		c.status, c.total = decodeAnswer(a.line)
		c.answerRead = true
		if c.status == control.Timeout {
			l.closeConn(conn) // no valid answer to this call, so no later line can be trusted either
		}
		return
	}
	if a.line != pong {
		l.closeConn(conn) // there is a surplus answer, either to this call or to an earlier one
		return
	}
	conn.unanswered, conn.hasAnswered = conn.unanswered[1:], true
	c.finish(c.status, c.total)
	if conn != l.conn && len(conn.unanswered) == 0 {
		conn.Close() // the address has changed, and this was the last answer
	}
}

// decodeAnswer parses the answer to a call. A line that is not exactly an answer leaves the call in doubt: its amount may
// have been added.
func decodeAnswer(line string) (control.Status, float64) {
	word, rest, _ := strings.Cut(line, " ")
	switch {
	case line == "busy", line == "error":
		return control.Full, 0
	case word == "ok" && rest != "" && len(rest) <= maxTotalLen && strings.Trim(rest, "0123456789.+-eE") == "":
		if total, err := strconv.ParseFloat(rest, 64); err == nil { // a total out of range is an error, never infinite
			return control.OK, total
		}
	}
	return control.Timeout, 0
}

// readLines passes lines to the actor. A line that is too long, does not end in CRLF or does not arrive completely ends
// the connection.
func (l *LineClient) readLines(conn *lineConn) {
	in := bufio.NewReaderSize(conn, maxAnswerLine)
	for {
		in.Peek(1) // waits for data; ReadSlice returns the error
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
