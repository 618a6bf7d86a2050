package front

import (
	"fmt"
	"net/http"
)

// maxHeadFields is the largest number of fields in a request's head. What a head costs once net/http has parsed it
// depends on its fields far more than on its bytes.
const maxHeadFields = 128

// headScan counts the lines of a request's head as they arrive, before net/http parses them.
type headScan struct {
	lines   int
	atStart bool // of a line
	ended   bool
}

// exceeds counts the lines in bytes that arrived, and reports whether the head has too many fields.
func (s *headScan) exceeds(arrived []byte) bool {
	for _, b := range arrived {
		if s.ended {
			break
		}
		switch b {
		case '\n':
			s.ended = s.atStart && s.lines > 0
			s.lines++
			s.atStart = true
		case '\r':
		default:
			s.atStart = false
		}
	}
	return s.lines > maxHeadFields+2 // the request line and the empty line are no fields
}

// fieldCount returns the number of fields in a parsed head.
func fieldCount(h http.Header) (n int) {
	for _, values := range h {
		n += len(values)
	}
	return n
}

var errTooManyFields = &RequestError{http.StatusRequestHeaderFieldsTooLarge, "the head has too many fields"}

// rejectHead answers a request whose head is not read any further, and discards what still comes of it, so that the
// answer is not lost in a reset. net/http closes the connection then.
func (c *conn) rejectHead(e *RequestError) {
	text := fmt.Sprintf("%s\n", e.Text)
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s",
		e.Status, http.StatusText(e.Status), len(text), text)
	c.TCPConn.CloseWrite()
	linger(c.TCPConn, c.TCPConn)
}
