package egress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/socket"
)

// MaxBody is the most that a body may hold, either way.
const MaxBody = 64 << 10

const (
	mostHead  = 16 << 10 // bytes of an answer's head, with all 1xx answers in front
	mostChunk = 4        // a chunked body may take so many times its size
)

// Request is an exchange's message to its egress target, encoded once; only the time that is left is
// written anew for each attempt.
type Request struct {
	Method string
	Head   []byte // request line and headers, without X-Timeout and the empty line
	Body   []byte
}

// Reply is a peer's whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// conn is one connection to a target; one attempt at a time travels on it. It does not send anything by
// itself: net/http's Transport would write a request again on a fresh connection, unseen by the core, which
// could put two attempts out.
type conn struct {
	net.Conn
	address string
	abort   bool             // giving up resets it
	budget  io.LimitedReader // what may still be read of the present answer: some never end
	in      *bufio.Reader
	used    time.Time
}

func newConn(nc net.Conn, address string) *conn {
	c := &conn{Conn: nc, address: address, budget: io.LimitedReader{R: nc}, used: time.Now()}
	c.in = bufio.NewReaderSize(&c.budget, 4096)
	return c
}

// alive looks whether the target has closed an idle connection (or written to it unasked) without waiting.
// A request written to a closed one would end as a reset, which may have run.
func (c *conn) alive() bool { return socket.Quiet(c.Conn) }

// giveUp ends the wait for an answer: giving up is closing.
func (c *conn) giveUp() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.abort {
		tcp.SetLinger(0)
	}
	c.Close()
}

// roundTrip writes the request and reads the whole answer. The connection may be used again if reuse.
func (c *conn) roundTrip(ctx context.Context, r *Request, fields []string) (o core.Outcome, reuse bool) {
	stop := context.AfterFunc(ctx, c.giveUp)
	defer stop()
	b := make([]byte, 0, len(r.Head)+len(r.Body)+64)
	b = append(b, r.Head...)
	if deadline, ok := ctx.Deadline(); ok {
		b = append(b, "X-Timeout: "...)
		b = strconv.AppendInt(b, max(1, time.Until(deadline).Milliseconds()), 10)
		b = append(b, "m\r\n"...)
	}
	b = append(b, "\r\n"...)
	b = append(b, r.Body...)
	if n, err := c.Write(b); err != nil && n < len(b) {
		if ctx.Err() == context.Canceled {
			return core.Outcome{Status: control.Cancelled}, false
		}
		return core.Outcome{Status: control.ConnectFailed}, false // the last byte never went out
	}
	written, first := time.Now(), time.Time{}
	c.budget.N = mostHead
	if _, err := c.in.Peek(1); err == nil {
		first = time.Now()
	}
	if o, reuse = c.read(r.Method, fields); !first.IsZero() {
		o.Waited = first.Sub(written)
	}
	o.Written = true
	if o.Status == control.Reset && ctx.Err() != nil { // closed by us
		o.Status = control.Timeout
		if ctx.Err() == context.Canceled {
			o.Status = control.Cancelled
		}
	}
	return o, reuse && stop()
}

// read takes the whole answer in before anything of it is passed on: a cut or spoilt one is a reset, and may
// be repeated where the class permits it, instead of reaching the client as half an answer. Nothing that lies
// behind the answer is read as the next one: the connection is then not used again.
func (c *conn) read(method string, fields []string) (o core.Outcome, reuse bool) {
	reset := core.Outcome{Status: control.Reset}
	c.budget.N = mostHead
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	for err == nil && resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(c.in, &http.Request{Method: method}) // 1xx: the answer is still to come
	}
	if err != nil {
		return reset, false
	}
	body, err := c.readBody(resp)
	if err != nil {
		return reset, false
	}
	o.Load = decodeLoad(resp.Header.Get("X-Server-Load"), fields)
	o.Reply = &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}
	switch {
	case resp.StatusCode == http.StatusOK:
		o.Status = control.OK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		o.Status = control.Full
	default:
		o.Status = control.Error
	}
	return o, !resp.Close && c.in.Buffered() == 0
}

var errNoEnd = errors.New("the answer is too long, or nothing says where it ends")

func (c *conn) readBody(resp *http.Response) ([]byte, error) {
	switch n := resp.ContentLength; {
	case n > MaxBody:
		return nil, errNoEnd
	case n >= 0:
		c.budget.N += n
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	case len(resp.TransferEncoding) == 0 && resp.ProtoAtLeast(1, 1) && resp.Header.Get("Connection") != "close":
		return nil, errNoEnd // the end of the connection would end it, but it is to stay open
	}
	c.budget.N += mostChunk * MaxBody
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	if err == nil && len(body) > MaxBody {
		err = errNoEnd
	}
	return body, err
}

// loadNames tells how the settings' names of a load report's fields stand in the report itself.
var loadNames = map[string]string{
	"rif": "inflight", "q": "queue", "busy": "util", "lat_ms": "latency_ms", "rate": "qps", "fail_rate": "eps",
}

// decodeLoad reads a load report. One that cannot be read whole is none: a field taken for 0 would make the
// target look idle.
func decodeLoad(text string, fields []string) []float64 {
	if text == "" || len(fields) == 0 || !gjson.Valid(text) {
		return nil
	}
	report, load := gjson.Parse(text), make([]float64, len(fields))
	for i, f := range fields {
		v := report.Get(f)
		if !v.Exists() {
			v = report.Get(loadNames[f])
		}
		if load[i] = v.Float(); v.Type != gjson.Number || !(load[i] >= 0 && load[i] <= math.MaxFloat64) {
			return nil
		}
	}
	return load
}
