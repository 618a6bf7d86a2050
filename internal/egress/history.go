package egress

import (
	"context"
	"errors"
	"hash/maphash"
	"os"
	"sync/atomic"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

const (
	ownAnswerLeast = 50 * time.Millisecond // that an answer like the one before is held back for another, at the least
	ownAnswerTimes = 8                     // or this many times as long as answers take
)

// history is what the connections of one target share about its answers.
type history struct {
	usual   atomic.Int64 // nanoseconds that an answer takes
	repeats atomic.Bool  // it gives different requests the same body
}

// fingerprint tells the requests and the answers of a connection apart. The zero value is that of none.
type fingerprint uint64

var fingerprintSeed = maphash.MakeSeed()

func fingerprintOf(parts ...[]byte) fingerprint {
	var h maphash.Hash
	h.SetSeed(fingerprintSeed)
	for _, part := range parts {
		h.Write(part)
	}
	return fingerprint(h.Sum64() | 1)
}

// ownAnswer is the answer to r, of which o is the first that came. A target may answer a request twice, the second time
// when the next one is under way on the connection, which would then take it for its own. Nothing in the protocol names
// the request that an answer is for; but a second answer has the body of the first. So where the body is that of the
// answer before, to another request, o is held back for a while: if another answer comes it is r's own. If none does,
// the target gives different requests the same body, and is not waited for again.
func (c *conn) ownAnswer(ctx context.Context, r *Request, fields []string, o core.Outcome, reuse bool) (core.Outcome, bool) {
	request, answer := fingerprintOf(r.target(), r.Body), fingerprint(0)
	reply, ok := o.Reply.(*Reply)
	if !ok || reply.Long != nil { // of a long one nothing is kept to compare
		c.lastRequest, c.lastAnswer = request, answer
		return o, reuse
	}
	if o.Status == control.OK {
		answer = fingerprintOf(reply.Body)
	}
	likeTheLast := answer != 0 && answer == c.lastAnswer && request != c.lastRequest
	c.lastRequest, c.lastAnswer = request, answer
	more := c.in.Buffered() > 0
	c.unasked = c.unasked || more
	if closes := !reuse && !more; !likeTheLast || closes || c.history.repeats.Load() {
		return o, reuse
	}
	c.budget.N = mostHead
	c.SetReadDeadline(time.Now().Add(c.holdBack(ctx)))
	if _, err := c.in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		c.history.repeats.Store(true)
		return o, false
	}
	c.SetReadDeadline(time.Time{})
	c.unasked = true
	own, _ := c.read(r.Method, fields) // a reset, where it closed the connection: o may be that of either request
	return own, false
}

// holdBack is how long an answer is held back: never so long that the request ends meanwhile.
func (c *conn) holdBack(ctx context.Context) time.Duration {
	wait := max(ownAnswerLeast, ownAnswerTimes*time.Duration(c.history.usual.Load()))
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	return wait
}

// target is the first line of r, with its method and path.
func (r *Request) target() []byte {
	for i, b := range r.Head {
		if b == '\r' {
			return r.Head[:i]
		}
	}
	return r.Head
}
