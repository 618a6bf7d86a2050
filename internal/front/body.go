package front

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bodyIdleTimeout = 2 * time.Second // a client is silent so long at most, within its body
	minBodyRate     = 16 << 10        // bytes a second
	longBodyPrefix  = 4 << 10         // of a body that is known to be long
)

// Body is a message's body as it comes in, at the client's pace: it may be slow, and may not stop.
type Body struct {
	r               *http.Request
	control         *http.ResponseController
	started         time.Time
	limit, received int64

	mu     sync.Mutex // held while it is read
	eof    bool
	closed atomic.Bool
}

// NewBody begins to read a request's body, of at most so many bytes.
func NewBody(w http.ResponseWriter, r *http.Request, limit int64) *Body {
	return &Body{r: r, control: http.NewResponseController(w), started: time.Now(), limit: limit}
}

// Read implements io.Reader. A client that sends nothing for bodyWait, or less than bodyPace all in all, has
// stopped.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	b.control.SetReadDeadline(time.Now().Add(bodyIdleTimeout)) // where it is not supported, a client may be slow
	n, err := b.r.Body.Read(p)
	b.eof = err == io.EOF
	if b.received += int64(n); b.received > b.limit {
		return 0, errBodyTooLarge
	}
	if err == nil && time.Since(b.started) > bodyIdleTimeout+time.Duration(float64(b.received)/minBodyRate*float64(time.Second)) {
		err = errBodyTooSlow
	}
	return n, err
}

// Close ends the reading: no Read is under way when it returns, and none will read on.
func (b *Body) Close() {
	b.closed.Store(true)
	if b.mu.TryLock() {
		eof := b.eof
		b.mu.Unlock()
		if eof { // net/http reads on by itself by now
			return
		}
	}
	b.control.SetReadDeadline(pastTime)
	b.mu.Lock() // until it has taken that in
	defer b.mu.Unlock()
	// The answer goes out now. net/http reads off a part of what still comes, and without time for that would close
	// on unread bytes at once: a reset, which may take the answer with it.
	b.control.SetReadDeadline(time.Now().Add(lingerTimeout))
}

var (
	errBodyClosed   = errors.New("nobody reads the body any more")
	errBodyTooLarge = errors.New("the body is too large")
	errBodyTooSlow  = errors.New("the body comes too slowly")
)

// ReadBody takes a body in, whole where it is no longer than the limit. Of a longer one, where at most long may come,
// it returns the beginning, and rest reads on.
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
	}
	if err := shedErrorOf(r); err != nil {
		return nil, nil, err
	}
	maxSize := max(limit, longLimit)
	b := NewBody(w, r, maxSize)
	if r.ContentLength > limit {
		body = make([]byte, min(limit, longBodyPrefix)) // it is kept while the rest goes by
		_, err = io.ReadFull(b, body)
		rest = b
	} else if body, err = io.ReadAll(io.LimitReader(b, limit+1)); int64(len(body)) > limit {
		rest = b
	}
	if errors.Is(err, errBodyTooLarge) {
		return nil, nil, &RequestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if err != nil {
		return nil, nil, cmp.Or(shedErrorOf(r), BadRequest("the body is cut short"))
	}
	if rest == nil {
		b.control.SetReadDeadline(time.Time{})
	}
	return body, rest, nil
}
