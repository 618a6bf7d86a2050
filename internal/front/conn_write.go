package front

import (
	"errors"
	"io"
	"os"
	"time"
)

const (
	defaultWriteTimeout = 10 * time.Second // a client that takes no piece of its answer in for so long has stopped reading
	writeChunkSize      = 16 << 10
)

// Write implements net.Conn. A client that does not read its answer keeps its connection for a bounded time: each
// piece has to go out within the server's limit.
func (c *conn) Write(b []byte) (written int, err error) {
	for len(b) > 0 && err == nil {
		var n int
		n, err = c.writeChunk(b[:min(len(b), writeChunkSize)])
		written += n
		b = b[n:]
	}
	return written, err
}

func (c *conn) writeChunk(chunk []byte) (int, error) {
	c.TCPConn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	n, err := c.TCPConn.Write(chunk)
	if n > 0 {
		c.markAnswered()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.onWriteTimeout()
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom: that of net.TCPConn would write past Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
