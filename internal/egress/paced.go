package egress

import (
	"io"
	"net"
	"time"

	"junctionring/internal/cpushare"
	"junctionring/internal/socket"
)

// streamShares are the shares of answers that come in several pieces.
var streamShares = cpushare.Options{
	Own: 0.002, OwnBurst: 2 * time.Millisecond,
	Shared: 0.4, SharedBurst: 20 * time.Millisecond,
	MinCost: 10 * time.Microsecond,
	MaxCost: 5 * time.Millisecond,
}

// maxPassOnCost is the most that passing a piece on costs: for the rest of the time it waits for the client.
const maxPassOnCost = 100 * time.Microsecond

// pacedReader reads an answer's body, and limits the processor time for that and for what is done with each piece.
type pacedReader struct {
	c        *conn
	body     io.Reader
	meter    *cpushare.Meter
	readTime time.Duration // of the last piece, if it was there already
	readAt   time.Time     // when the last piece had been read; zero: none yet
}

// paced returns a reader of an answer's body within the shares of streams.
func (c *conn) paced(body io.Reader) io.Reader {
	if c.streams == nil {
		return body
	}
	return &pacedReader{c: c, body: body, meter: c.streams.NewMeter()}
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if !p.readAt.IsZero() {
		now := time.Now()
		time.Sleep(p.meter.Delay(p.readTime+min(now.Sub(p.readAt), maxPassOnCost), now))
	}
	available, began := p.c.hasInput(), time.Now()
	n, err := p.body.Read(b)
	p.readTime, p.readAt = 0, time.Now()
	if available {
		p.readTime = p.readAt.Sub(began)
	}
	return n, err
}

// hasInput reports whether there is something to read on the connection.
func (c *conn) hasInput() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	return c.in.Buffered() > 0 || ok && socket.Queued(tcp) > 0
}
