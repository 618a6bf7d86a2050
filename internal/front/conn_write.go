package front

import (
	"errors"
	"io"
	"os"
	"time"
)

const (
	defaultWriteTimeout = 10 * time.Second // without progress on a chunk, the client has stopped reading
	writeChunkSize      = 16 << 10         // bytes
)

// Write implements net.Conn. Each chunk has to be written within the server's write timeout, so that a client that
// does not read its response holds its connection for a bounded time only.
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

// ReadFrom implements io.ReaderFrom. The method of net.TCPConn would bypass Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
