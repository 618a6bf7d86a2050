package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	"junctionring/control"
	"junctionring/internal/core"
)

// MaxBody is the most that a body may hold, either way.
const MaxBody = 64 << 10

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
	in      *bufio.Reader
	used    time.Time
}

func newConn(nc net.Conn, address string) *conn {
	return &conn{Conn: nc, address: address, in: bufio.NewReaderSize(nc, 4096), used: time.Now()}
}

// alive looks whether the target has closed an idle connection (or written to it unasked) without waiting.
// A request written to a closed one would end as a reset, which may have run.
func (c *conn) alive() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// roundTrip writes the request and reads the whole answer. The connection may be used again if reuse.
func (c *conn) roundTrip(ctx context.Context, r *Request, fields []string) (o core.Outcome, reuse bool) {
	stop := context.AfterFunc(ctx, func() { c.Close() }) // giving up is closing
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
	o, reuse = c.read(r.Method, fields)
	if o.Status == control.Reset && ctx.Err() != nil { // closed by us
		o.Status = control.Timeout
		if ctx.Err() == context.Canceled {
			o.Status = control.Cancelled
		}
	}
	return o, reuse && stop()
}

// read takes the whole answer in before anything of it is passed on: a cut one is a reset, and may be
// repeated where the class permits it, instead of reaching the client as half an answer.
func (c *conn) read(method string, fields []string) (o core.Outcome, reuse bool) {
	reset := core.Outcome{Status: control.Reset}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return reset, false
	}
	body, err := readBody(resp)
	if err != nil {
		return reset, false
	}
	o.Load = decodeLoad(resp.Header.Get("X-Server-Load"), fields)
	o.Reply = &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}
	switch {
	case resp.StatusCode == http.StatusOK && len(body) <= MaxBody:
		o.Status = control.OK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		o.Status = control.Full
	default:
		o.Status = control.Error
	}
	return o, !resp.Close && c.in.Buffered() == 0 && len(body) <= MaxBody
}

func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	if n := resp.ContentLength; n >= 0 && n <= MaxBody {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
}

// loadNames tells how the settings' names of a load report's fields stand in the report itself.
var loadNames = map[string]string{
	"rif": "inflight", "q": "queue", "busy": "util", "lat_ms": "latency_ms", "rate": "qps", "fail_rate": "eps",
}

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
		load[i] = v.Float()
	}
	return load
}
