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
	bodyWait  = 2 * time.Second // a client is silent so long at most, within its body
	bodyPace  = 16 << 10        // bytes a second
	firstPart = 4 << 10         // of a body that is known to be long
)

// Body is a message's body as it comes in, at the client's pace: it may be slow, and may not stop.
type Body struct {
	r       *http.Request
	control *http.ResponseController
	begun   time.Time
	most, n int64

	mu   sync.Mutex // held while it is read
	eof  bool
	over atomic.Bool
}

// NewBody begins to read a request's body, of at most so many bytes.
func NewBody(w http.ResponseWriter, r *http.Request, most int64) *Body {
	return &Body{r: r, control: http.NewResponseController(w), begun: time.Now(), most: most}
}

// Read implements io.Reader. A client that sends nothing for bodyWait, or less than bodyPace all in all, has
// stopped.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over.Load() {
		return 0, errLeft
	}
	b.control.SetReadDeadline(time.Now().Add(bodyWait)) // where it is not supported, a client may be slow
	n, err := b.r.Body.Read(p)
	b.eof = err == io.EOF
	if b.n += int64(n); b.n > b.most {
		return 0, errLong
	}
	if err == nil && time.Since(b.begun) > bodyWait+time.Duration(float64(b.n)/bodyPace*float64(time.Second)) {
		err = errSlow
	}
	return n, err
}

// Close ends the reading: no Read is under way when it returns, and none will read on.
func (b *Body) Close() {
	b.over.Store(true)
	if b.mu.TryLock() {
		eof := b.eof
		b.mu.Unlock()
		if eof { // net/http reads on by itself by now
			return
		}
	}
	b.control.SetReadDeadline(past)
	b.mu.Lock() // until it has taken that in
	defer b.mu.Unlock()
	// The answer goes out now. net/http reads off a part of what still comes, and without time for that would close
	// on unread bytes at once: a reset, which may take the answer with it.
	b.control.SetReadDeadline(time.Now().Add(lingerFor))
}

var (
	errLeft = errors.New("nobody reads the body any more")
	errLong = errors.New("the body is too large")
	errSlow = errors.New("the body comes too slowly")
)

// ReadBody takes a body in, whole where it is no longer than the limit. Of a longer one, where at most long may come,
// it returns the beginning, and rest reads on.
func ReadBody(w http.ResponseWriter, r *http.Request, limit, long int64) (body []byte, rest *Body, err error) {
	if r.ContentLength > max(limit, long) {
		return nil, nil, &RequestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	if c := connOf(r); c != nil {
		c.awaitsBody(true)
		defer c.awaitsBody(false)
	}
	if err := shedOf(r); err != nil {
		return nil, nil, err
	}
	most := max(limit, long)
	b := NewBody(w, r, most)
	if r.ContentLength > limit {
		body = make([]byte, min(limit, firstPart)) // it is kept while the rest goes by
		_, err = io.ReadFull(b, body)
		rest = b
	} else if body, err = io.ReadAll(io.LimitReader(b, limit+1)); int64(len(body)) > limit {
		rest = b
	}
	if errors.Is(err, errLong) {
		return nil, nil, &RequestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if err != nil {
		return nil, nil, cmp.Or(shedOf(r), BadRequest("the body is cut short"))
	}
	if rest == nil {
		b.control.SetReadDeadline(time.Time{})
	}
	return body, rest, nil
}
