package egress

import (
	"bytes"
	"context"
	"encoding/binary"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"junctionring/control"
)

const (
	minOwnAnswerWait    = 50 * time.Millisecond // minimum wait for a request's own answer after another request's
	ownAnswerWaitFactor = 8                     // or this many times the average answer time, if longer
	maxPastAnswers      = 128                   // distinct answers, after which a connection carries no differing request
	pastAnswerPrefix    = 16                    // bytes kept of each of them
)

// answerStats holds what the connections of one target share about its answers.
type answerStats struct {
	meanTime atomic.Int64   // average nanoseconds that an answer takes
	tracker  *answerTracker // of the target's site; may be nil
}

// identity identifies what a request asks of a target, as far as the answer depends on it.
type identity struct {
	request  fingerprint // equal for requests that may have the same answer; zero: none may, as it can't be sent again
	resource fingerprint // equal for safe requests that differ only in headers, and for others with the same path
}

// repeatable reports whether the request may be sent again if its answer was lost.
func (id identity) repeatable() bool { return id.request != 0 }

// identity returns the identity of r. Two requests may have the same answer if they are equal except for
// X-Request-ID, and are safe or have the same idempotency key.
func (r *Request) identity(repeat control.Repeat) identity {
	id := identity{resource: fingerprintOf(r.requestLine())}
	if repeat == control.Safe {
		id.resource = fingerprintOf(r.requestLine(), r.Body)
	}
	if r.Rest == nil && (repeat == control.Safe || repeat == control.Keyed && r.Key != "") {
		before, after := r.headAroundRequestID()
		id.request = fingerprintOf(before, after, r.Body, binary.BigEndian.AppendUint64(nil, r.Customer))
	}
	return id
}

var requestIDHeader = []byte("\r\n" + http.CanonicalHeaderKey("X-Request-ID") + ":")

// headAroundRequestID returns the parts of r's head before and after its X-Request-ID.
func (r *Request) headAroundRequestID() (before, after []byte) {
	before, after, found := bytes.Cut(r.Head, requestIDHeader)
	if found {
		_, after, _ = bytes.Cut(after, []byte("\r\n"))
	}
	return before, after
}

// requestLine is the first line of r, with its method and path.
func (r *Request) requestLine() []byte {
	line, _, _ := bytes.Cut(r.Head, []byte("\r\n"))
	return line
}

// pastAnswer is an answer that came on a connection, with the request that it was given to.
type pastAnswer struct {
	answer, request, resource fingerprint
	length                    int // in bytes
	prefix                    [pastAnswerPrefix]byte
}

func newPastAnswer(body []byte, id identity) pastAnswer {
	a := pastAnswer{answer: fingerprintOf(body), request: id.request, resource: id.resource, length: len(body)}
	copy(a.prefix[:], body)
	return a
}

// mayBecome reports whether an answer of which only a part has come may be a duplicate of a.
func (a *pastAnswer) matchesPartial(partial []byte) bool {
	n := min(len(partial), pastAnswerPrefix)
	return len(partial) <= a.length && bytes.Equal(partial[:n], a.prefix[:n])
}

// isOwnAnswer reports whether an answer belongs to the request under way. A target may answer a request twice, the
// second time while a later request is under way on the connection. Nothing in the protocol names the request that
// an answer is for, but a duplicate has the body of the first answer. So a body that came on this connection
// before belongs to another request, unless that request was equal and no other answer is buffered.
func (c *conn) isOwnAnswer(body []byte) bool {
	present := newPastAnswer(body, c.inFlight)
	for _, past := range c.pastAnswers {
		if past.answer == present.answer {
			c.equalOnly = true // the request's own answer may still come
			return past.request.matches(c.inFlight.request) && c.in.Buffered() == 0
		}
	}
	c.addPastAnswer(present)
	if c.stats.tracker.record(present.answer, c.inFlight.request, time.Now()) {
		c.gaveCommon = true
	}
	return true
}

// addPastAnswer keeps an answer. When no more can be kept, only requests equal to the earlier ones may be sent on
// the connection.
func (c *conn) addPastAnswer(present pastAnswer) {
	if len(c.pastAnswers) < maxPastAnswers {
		c.pastAnswers = append(c.pastAnswers, present)
	}
	c.equalOnly = c.equalOnly || len(c.pastAnswers) == maxPastAnswers
}

// markAnswered records that the request under way was answered.
func (c *conn) markAnswered() {
	if !c.answered {
		c.onlyRequest = c.inFlight.request
	} else if !c.onlyRequest.matches(c.inFlight.request) {
		c.onlyRequest = 0
	}
}

// unused reports whether no request has been answered on the connection yet.
func (c *conn) unused() bool { return !c.answered }

// distinguishes reports whether a duplicate answer to an earlier request could be told from the answer to the next
// one.
func (c *conn) distinguishes(next identity) bool {
	if c.unused() || c.onlyRequest.matches(next.request) {
		return true
	}
	return c.stats.tracker.hasEnoughSamples() && !c.servesEqualOnly() && !c.hasConflictingAnswer(next)
}

// servesEqualOnly reports whether only requests equal to the earlier ones may be sent on the connection.
func (c *conn) servesEqualOnly() bool { return c.equalOnly || c.hasCommonAnswer() }

// unusable reports whether no request may be sent on a connection that is otherwise fit for reuse: only one equal
// to the earlier requests could be, and there is none.
func (c *conn) unusable() bool { return c.onlyRequest == 0 && c.servesEqualOnly() }

// hasCommonAnswer reports whether a common answer came on the connection: a duplicate of it could not be told from
// the next request's own answer.
func (c *conn) hasCommonAnswer() bool {
	tracker := c.stats.tracker
	if c.gaveCommon || tracker == nil {
		return c.gaveCommon
	}
	if changes := tracker.changes.Load(); c.changesSeen != changes {
		c.changesSeen = changes
		c.gaveCommon = tracker.anyCommon(c.pastAnswers, time.Now())
	}
	return c.gaveCommon
}

// hasConflictingAnswer reports whether the connection gave another request an answer on a resource where different
// requests may have the same one.
func (c *conn) hasConflictingAnswer(next identity) bool {
	if !c.stats.tracker.mayShareAnswers(next.resource) {
		return false
	}
	return slices.ContainsFunc(c.pastAnswers, func(a pastAnswer) bool {
		return a.resource == next.resource && !a.request.matches(next.request)
	})
}

// mayBeDuplicate reports whether an answer that comes slowly, and of which a part is there, may be a duplicate of
// the answer to an earlier request: it must not be passed on before that is known.
func (c *conn) mayBeDuplicate(partial []byte) bool {
	return slices.ContainsFunc(c.pastAnswers, func(a pastAnswer) bool {
		return !a.request.matches(c.inFlight.request) && a.matchesPartial(partial)
	})
}

// awaitNextAnswer waits for a further answer after one that was another request's, and reports whether one comes.
// If one does, the target answers twice; silence, or the end of the connection, may have other reasons.
func (c *conn) awaitNextAnswer(ctx context.Context) bool {
	c.SetReadDeadline(c.ownAnswerDeadline(ctx))
	c.readLimit.N = maxHeadBytes
	_, err := c.in.Peek(1)
	c.SetReadDeadline(time.Time{})
	if err == nil {
		c.unsolicited = true
		return true
	}
	return false
}

// ownAnswerDeadline is when to stop waiting for a request's own answer after another request's. A request that may
// be sent again is left time for that; one that may not waits for all its remaining time, without a deadline here:
// zero.
func (c *conn) ownAnswerDeadline(ctx context.Context) time.Time {
	if !c.inFlight.repeatable() {
		return time.Time{}
	}
	wait := max(minOwnAnswerWait, ownAnswerWaitFactor*time.Duration(c.stats.meanTime.Load()))
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	return time.Now().Add(wait)
}
