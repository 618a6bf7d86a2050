package front

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"junctionring/internal/egress"
)

const (
	bodyIdleTimeout = 2 * time.Second // longest time without a byte of a body that is being read
	minBodyRate     = 16 << 10        // bytes per second, average over the whole body
	longBodyPrefix  = 4 << 10         // bytes kept of a body whose declared length is above the limit
)

// Body reads a request's body as the client sends it. It tolerates slow clients, but not ones that stall.
type Body struct {
	r        *http.Request
	conn     *conn // nil: unknown
	control  *http.ResponseController
	started  time.Time
	limit    int64
	received atomic.Int64

	mu     sync.Mutex // held during Read
	eof    bool
	closed atomic.Bool
}

// NewBody returns a reader of a request's body that accepts at most limit bytes.
func NewBody(w http.ResponseWriter, r *http.Request, limit int64) *Body {
	return &Body{r: r, conn: connOf(r), control: http.NewResponseController(w), started: time.Now(), limit: limit}
}

// Read implements io.Reader. It fails if the client sends nothing for bodyIdleTimeout, or if the average rate
// since the start is below minBodyRate.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	b.control.SetReadDeadline(time.Now().Add(bodyIdleTimeout)) // if unsupported, only the average rate counts
	n, err := b.r.Body.Read(p)
	b.eof = err == io.EOF
	received := b.received.Add(int64(n))
	if received > b.limit {
		return 0, errBodyTooLarge
	}
	if err == nil && time.Since(b.started) >
		bodyIdleTimeout+time.Duration(float64(received)/minBodyRate*float64(time.Second)) {
		err = errBodyTooSlow
	}
	return n, err
}

// Close stops reading. When it returns, no Read is in progress, and every later Read fails.
func (b *Body) Close() {
	b.closed.Store(true)
	if b.mu.TryLock() {
		eof := b.eof
		b.mu.Unlock()
		if eof { // net/http has started its own background read
			return
		}
	}
	b.control.SetReadDeadline(pastTime)
	b.mu.Lock() // wait until the Read in progress has returned
	defer b.mu.Unlock()
	b.control.SetReadDeadline(time.Now().Add(lingerTimeout)) // net/http discards a part of what is still to come
}

// Finish stops reading once the handler has written the response. It sends that, and discards the rest of the body.
func (b *Body) Finish() {
	b.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.eof {
		if b.conn != nil {
			b.conn.takeBodyStalled()
			b.conn.setAwaitingBody(false)
			b.conn.markLingering()
		}
		b.control.Flush()
		linger(b.control, b.r.Body)
	}
}

// linger discards what the client still sends of a body after its response was sent. A close over unread bytes resets
// the connection, which may lose the response, and a client that reads only once it has written everything would wait
// in vain. It ends with the body, once nothing has arrived for lingerTimeout, or after lingerMaxTime.
func linger(control interface{ SetReadDeadline(time.Time) error }, body io.Reader) {
	buffer := egress.BufferPool{}.Get()
	defer egress.BufferPool{}.Put(buffer)
	for latest := time.Now().Add(lingerMaxTime); time.Now().Before(latest); {
		control.SetReadDeadline(time.Now().Add(lingerTimeout))
		if _, err := body.Read(buffer); err != nil {
			return
		}
	}
}

var (
	errBodyClosed   = errors.New("read of a request body after Close")
	errBodyTooLarge = errors.New("request body exceeds its size limit")
	errBodyTooSlow  = errors.New("request body arrives below the minimum rate")
)

// ReadBody reads a request's body. A body of up to limit bytes is returned whole. Of a longer one, of up to longLimit
// bytes, it returns the beginning, and rest reads the remainder.
func ReadBody(w http.ResponseWriter, r *http.Request, limit, longLimit int64) (body []byte, rest *Body, err error) {
	if r.ContentLength > max(limit, longLimit) {
		return nil, nil, &RequestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	if c := connOf(r); c != nil {
		c.setAwaitingBody(true)
		defer c.setAwaitingBody(false)
		if r.ContentLength < 0 || r.ContentLength > limit {
			c.recordInputWait()
		}
	}
	if err := shedErrorOf(r); err != nil {
		return nil, nil, err
	}
	maxSize := max(limit, longLimit)
	b := NewBody(w, r, maxSize)
	if r.ContentLength > limit {
		if err = reserve(r, streamMemory); err == nil {
			body = make([]byte, min(limit, longBodyPrefix)) // kept in memory while the remainder is streamed
			_, err = io.ReadFull(b, body)
			rest = b
		}
	} else {
		var more bool
		if body, more, err = readWhole(r, b, limit); more {
			rest = b
		}
	}
	if errors.Is(err, errBodyTooLarge) {
		return nil, nil, &RequestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if err != nil {
		return nil, nil, bodyError(r, err)
	}
	if rest == nil {
		b.control.SetReadDeadline(time.Time{})
	}
	return body, rest, nil
}

// bodyError returns the error for a request whose body could not be read.
func bodyError(r *http.Request, err error) error {
	if c := connOf(r); c != nil && c.takeBodyStalled() {
		return errBodyStalled
	}
	if errors.Is(err, errNoBodyMemory) {
		return err
	}
	return cmp.Or(shedErrorOf(r), BadRequest("the body is cut short"))
}
