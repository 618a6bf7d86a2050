package egress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/cpushare"
	"junctionring/internal/socket"
)

// MaxBody is the maximum size in bytes of a request or answer body that is held in memory whole.
const MaxBody = 64 << 10

const maxHeadBytes = 16 << 10 // of an answer's head, including all 1xx answers before it

// Request is an exchange's message to its egress target, encoded once; only the remaining time is written anew for
// each attempt.
type Request struct {
	Method string
	Head   []byte // request line and headers, without X-Timeout and the final empty line
	Body   []byte
	Rest   *Upload // the part of the body after Body, which is still coming in; nil: none

	Key      string // the Idempotency-Key; empty: none
	Customer uint64 // that the message is sent for
}

// Reply is a target's answer: whole, or with a body that is still to come.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Long   *Stream // streamed body, instead of Body
	Length int64   // of Long in bytes; -1: unknown
}

// conn is one connection to a target; it carries one attempt at a time. It never sends a request again by itself:
// net/http's Transport would write a request again on a new connection without the core's knowledge, so that two
// attempts could be under way.
type conn struct {
	net.Conn
	process        process          // that it was opened to
	resetOnAbandon bool             // abandon resets the connection instead of closing it
	readLimit      io.LimitedReader // bounds what is still read of the present answer: some never end
	in             *bufio.Reader
	lastUsed       time.Time
	answered       bool          // an earlier request was answered on it
	answerTime     time.Duration // from the last request to its answer

	answerCtx     context.Context // applies to the request under way once its answer has begun; nil: no other than before
	onAnswerBegun func()          // called when the head of an answer has come whose length it does not tell

	inFlight        identity // the request under way
	unsolicited     bool     // bytes came on it that no request had asked for
	openReplacement bool     // another is to be opened: only its last answer's status rules out further use
	gotAnswer       bool     // an answer came while the present request was under way, its own or another's

	streams *cpushare.Limiter // of streamed answers; nil: unlimited

	stats       *answerStats // shared with the target's other connections
	pastAnswers []pastAnswer // the distinct answers that came on it
	onlyRequest fingerprint  // of all requests that were answered on it, if they are equal; zero: they differ
	equalOnly   bool         // only requests equal to onlyRequest may be sent on it
	changesSeen uint64       // stats.tracker.changes when gaveCommon was determined
	gaveCommon  bool         // one of pastAnswers is common
}

func newConn(nc net.Conn, to process, stats *answerStats) *conn {
	c := &conn{Conn: nc, process: to, readLimit: io.LimitedReader{R: nc}, lastUsed: time.Now(), stats: stats}
	c.in = bufio.NewReaderSize(&c.readLimit, 4096)
	return c
}

// alive reports, without waiting, whether an idle connection is open and has nothing to be read on it. A request
// written to a connection that the target has closed would end as a reset, and so count as possibly run.
func (c *conn) alive() bool { return socket.Quiet(c.Conn) }

// abandon ends the wait for an answer by closing the connection.
func (c *conn) abandon() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.resetOnAbandon {
		tcp.SetLinger(0)
	}
	c.Close()
}

// roundTrip writes the request, whose identity is c.inFlight, and reads the whole answer. reuse reports whether
// the connection may be used again.
//
// For a message whose body is still coming in, onWritten is called once the message is written, and the answer is
// awaited for at most wait from then on, and not after the client's wait has ended.
func (c *conn) roundTrip(ctx context.Context, r *Request, fields []string, onWritten func(),
	wait time.Duration) (o core.Outcome, reuse bool) {
	c.gotAnswer = false
	stop := context.AfterFunc(ctx, c.abandon)
	defer func() { stop() }()
	b := make([]byte, 0, len(r.Head)+len(r.Body)+64)
	b = append(b, r.Head...)
	timeLeft := wait
	if deadline, ok := ctx.Deadline(); ok && (r.Rest == nil || time.Until(deadline) < wait) {
		timeLeft = time.Until(deadline)
	}
	if timeLeft > 0 {
		b = append(b, "X-Timeout: "...)
		b = strconv.AppendInt(b, max(1, timeLeft.Milliseconds()), 10)
		b = append(b, "m\r\n"...)
	}
	b = append(b, "\r\n"...)
	if r.Rest != nil {
		status, ok := c.writeStreamed(ctx, b, r)
		if !ok {
			return core.Outcome{Status: status}, false
		}
		if !stop() {
			return core.Outcome{Status: control.Cancelled, Written: true}, false
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Rest.answerDue(wait))
		defer cancel()
		stop = context.AfterFunc(ctx, c.abandon)
		onWritten()
	} else if n, err := c.Write(append(b, r.Body...)); err != nil && n < len(b)+len(r.Body) {
		if ctx.Err() == context.Canceled {
			return core.Outcome{Status: control.Cancelled}, false
		}
		return core.Outcome{Status: control.ConnectFailed}, false // the last byte was never sent: it cannot have run
	}
	c.onAnswerBegun = func() {
		if c.answerCtx != nil && r.Rest == nil && stop() { // after a streamed body, ctx has the client's deadline already
			ctx, stop = c.answerCtx, context.AfterFunc(c.answerCtx, c.abandon)
		}
	}
	o, reuse = c.readOwnAnswer(ctx, r, fields)
	o.Written = true
	if reply, ok := o.Reply.(*Reply); ok && reply.Long != nil && !stop() { // abandoned just as the stream began
		return core.Outcome{Status: control.Reset, Written: true}, false
	}
	if o.Status == control.Reset && ctx.Err() != nil { // closed by abandon
		o.Status = control.Timeout
		if ctx.Err() == context.Canceled {
			o.Status = control.Cancelled
		}
	}
	return o, reuse && stop()
}

// readOwnAnswer reads answers up to the request's own. Those of other requests are dropped.
func (c *conn) readOwnAnswer(ctx context.Context, r *Request, fields []string) (o core.Outcome, reuse bool) {
	for written := time.Now(); ; {
		var waited time.Duration
		c.readLimit.N = maxHeadBytes
		if _, err := c.in.Peek(1); err == nil {
			waited = time.Since(written)
		}
		o, reuse = c.readAnswer(r.Method, fields)
		o.TimeToFirstByte = waited
		reply, ok := o.Reply.(*Reply)
		if !ok {
			return o, false
		}
		if reply.Long != nil {
			c.equalOnly = true // a streamed body is not kept for comparison
			c.markAnswered()
			return o, reuse
		}
		c.gotAnswer = true
		c.unsolicited = c.unsolicited || c.in.Buffered() > 0
		if o.Status != control.OK || c.isOwnAnswer(reply.Body) {
			c.markAnswered()
			return o, reuse && !c.unsolicited
		}
		if !c.awaitNextAnswer(ctx) {
			c.stats.tracker.recordDrop(fingerprintOf(reply.Body), c.inFlight.resource, time.Now())
			return core.Outcome{Status: control.Reset}, false
		}
	}
}

// readAnswer reads the whole answer, unless it is a long one, before any of it is passed on: a truncated or
// malformed answer is a reset, and may be repeated where the class permits it, instead of reaching the client as
// half an answer. If bytes follow the answer, the connection is not used again.
func (c *conn) readAnswer(method string, fields []string) (o core.Outcome, reuse bool) {
	reset := core.Outcome{Status: control.Reset}
	c.readLimit.N = maxHeadBytes
	closes := c.announcesClose()
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	for err == nil && resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
		closes = c.announcesClose()
		resp, err = http.ReadResponse(c.in, &http.Request{Method: method}) // 1xx: the final answer is still to come
	}
	if err != nil {
		return reset, false
	}
	reply, err := c.readBody(resp, closes)
	if err != nil {
		return reset, false
	}
	o.Load = decodeLoad(resp.Header.Get("X-Server-Load"), fields)
	o.Reply = reply
	switch {
	case resp.StatusCode == http.StatusOK:
		o.Status = control.OK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		o.Status = control.Full
	default:
		o.Status = control.Error
	}
	// A target may answer twice. A duplicate refusal has no body to recognize it by, and taken for the next
	// request's answer it would say that this request never ran. For a long answer, its stream decides on reuse.
	keepAlive := reply.Long == nil && !resp.Close && c.in.Buffered() == 0
	c.openReplacement = keepAlive && o.Status != control.OK
	return o, keepAlive && !c.openReplacement
}

// announcesClose reports whether the next answer's head says that the connection will be closed. http.ReadResponse
// removes that header, and also sets Close for an answer whose end nothing marks.
func (c *conn) announcesClose() bool {
	for n := 1; n <= c.in.Size(); {
		if _, err := c.in.Peek(n); err != nil {
			return false
		}
		b, _ := c.in.Peek(c.in.Buffered())
		if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
			return closeHeader.Match(b[:end+2])
		}
		n = len(b) + 1
	}
	return false
}

var closeHeader = regexp.MustCompile(`(?i)\r\nconnection:[^\r]*\bclose\b[^\r]*\r\n`)

// readBody reads a whole body, except for a long one of an OK answer: that is streamed as it comes, its first
// bytes at once. A body of unknown length counts as long if it exceeds MaxBody or is slow to come.
func (c *conn) readBody(resp *http.Response, closes bool) (*Reply, error) {
	r := &Reply{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	long := resp.StatusCode == http.StatusOK
	switch n := resp.ContentLength; {
	case n > MaxLong, n > MaxBody && !long:
		return nil, errTooLong
	case n > MaxBody:
		c.readLimit.N += n
		r.Long = c.newStream(resp, c.paced(resp.Body), n)
		return r, nil
	case n >= 0:
		c.readLimit.N += n
		r.Body = make([]byte, n)
		_, err := io.ReadFull(resp.Body, r.Body)
		return r, err
	}
	c.readLimit.N += chunkedSizeFactor * MaxLong
	body := io.Reader(resp.Body)
	if len(resp.TransferEncoding) > 0 {
		body = availableReader{c.in, body}
	}
	marksEnd := closes || len(resp.TransferEncoding) > 0
	if long && marksEnd && c.onAnswerBegun != nil {
		c.onAnswerBegun()
	}
	prefix := readPrefix(c.paced(body))
	// A body without a length is streamed early only if it is chunked or the head announced the close: after a malformed
	// head nothing marks the end of the body, and it may never end.
	whole, complete, err := prefix.wait(long && marksEnd, c.mayBeDuplicate)
	switch {
	case err != nil:
		return nil, err
	case complete:
		r.Body = whole
	case !long:
		return nil, errTooLong
	default:
		r.Long = c.newStream(resp, prefix, MaxLong)
	}
	return r, nil
}

// loadReportKeys maps the settings' names of load fields to their keys in a load report.
var loadReportKeys = map[string]string{
	"rif": "inflight", "q": "queue", "busy": "util", "lat_ms": "latency_ms", "rate": "qps", "fail_rate": "eps",
}

// decodeLoad parses a load report. One that cannot be read completely yields none: a field taken for 0 would make
// the target look idle.
func decodeLoad(text string, fields []string) []float64 {
	if text == "" || len(fields) == 0 || !gjson.Valid(text) {
		return nil
	}
	report, load := gjson.Parse(text), make([]float64, len(fields))
	for i, f := range fields {
		v := report.Get(f)
		if !v.Exists() {
			v = report.Get(loadReportKeys[f])
		}
		if load[i] = v.Float(); v.Type != gjson.Number || !(load[i] >= 0 && load[i] <= math.MaxFloat64) {
			return nil
		}
	}
	return load
}
