package front

import (
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"junctionring/internal/socket"
)

// A head's line that leaves room for a single byte in net/http's buffer of 4,096 is read on: that read is not the one
// which only looks whether the client leaves. The rest is sent once all before it has been read, so the order is the
// same each time.
func TestLongLineOfAHeadIsReadOn(t *testing.T) {
	s, address := served(t, "here")
	const buffer, first = 4096, "GET /table-view/1 HTTP/1.1\r\nHost: g\r\n"
	for _, kept := range []bool{false, true} { // net/http sets other times for the first head of a connection
		c := dialed(t, address)
		var near *conn
		if kept {
			c.ask(t, request)
		}
		for near == nil {
			l := s.slots.Load()
			l.mu.Lock()
			for k := range l.conns {
				if k.RemoteAddr().String() == c.LocalAddr().String() {
					near = k
				}
			}
			l.mu.Unlock()
		}
		line := "X-Long: " + strings.Repeat("x", buffer-1-len("X-Long: "))
		if _, err := io.WriteString(c, first+line); err != nil {
			t.Fatal(err)
		}
		for unread := true; unread; unread = !socket.Quiet(near.TCPConn) { // what was written lies there at once
			runtime.Gosched()
		}
		began := time.Now()
		if got := c.ask(t, "yyyyyyyy\r\n\r\n"); got != "here" {
			t.Errorf("kept %t: %q", kept, got)
		}
		if took := time.Since(began); took > headerWait/2 {
			t.Errorf("kept %t: held up for %v", kept, took)
		}
	}
}
