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
	minOwnAnswerWait    = 50 * time.Millisecond // that a request's own answer is waited for behind another's, at the least
	ownAnswerWaitFactor = 8                     // or this many times as long as answers take
	maxPastAnswers      = 128                   // different answers on a connection, after which it is not used again
	pastAnswerPrefix    = 16                    // bytes of each of them
)

// history is what the connections of one target share about its answers.
type answerStats struct {
	meanTime atomic.Int64   // nanoseconds that an answer takes
	tracker  *answerTracker // of the target's site; nil: none
}

// question is what is asked of a target, as far as answers depend on it.
type identity struct {
	request  fingerprint // equal for requests that may have the same answer; zero: no other may, as it can't be sent again
	resource fingerprint // equal for safe requests that differ in their headers alone, and for others with one path
}

// canRepeat tells whether what is asked may be sent again where its answer was lost.
func (id identity) repeatable() bool { return id.request != 0 }

// question tells what r asks. Two requests may have the same answer if they are equal but for their X-Request-ID, and
// safe, or keyed with the same key.
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

// aroundRequestID is the head of r without its X-Request-ID.
func (r *Request) headAroundRequestID() (before, after []byte) {
	before, after, found := bytes.Cut(r.Head, requestIDHeader)
	if found {
		_, after, _ = bytes.Cut(after, []byte("\r\n"))
	}
	return before, after
}

// target is the first line of r, with its method and path.
func (r *Request) requestLine() []byte {
	line, _, _ := bytes.Cut(r.Head, []byte("\r\n"))
	return line
}

// givenAnswer is an answer that came on a connection, and what it was given to.
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

// beginsWith tells whether an answer of which some has come may be g again.
func (a *pastAnswer) mayBecome(partial []byte) bool {
	n := min(len(partial), pastAnswerPrefix)
	return len(partial) <= a.length && bytes.Equal(partial[:n], a.prefix[:n])
}

// ownAnswer tells whether an answer is that to the request that is under way. A target may answer a request twice, the
// second time when a later one is under way on the connection. Nothing in the protocol names the request that an answer
// is for; but a second answer has the body of the first. So a body that came on this connection before is another's,
// unless that request was equal, and no other answer is there.
func (c *conn) isOwnAnswer(body []byte) bool {
	present := newPastAnswer(body, c.inFlight)
	for _, past := range c.pastAnswers {
		if past.answer == present.answer {
			c.equalOnly = true // the request's own may still come
			return past.request.matches(c.inFlight.request) && c.in.Buffered() == 0
		}
	}
	c.addPastAnswer(present)
	if c.stats.tracker.record(present.answer, c.inFlight.request, time.Now()) {
		c.gaveCommon = true
	}
	return true
}

// remember keeps an answer. Where no more can be kept the connection is bound to the requests that it has had.
func (c *conn) addPastAnswer(present pastAnswer) {
	if len(c.pastAnswers) < maxPastAnswers {
		c.pastAnswers = append(c.pastAnswers, present)
	}
	c.equalOnly = c.equalOnly || len(c.pastAnswers) == maxPastAnswers
}

// noteAnswered notes that the request under way was answered.
func (c *conn) markAnswered() {
	if !c.answered {
		c.onlyRequest = c.inFlight.request
	} else if !c.onlyRequest.matches(c.inFlight.request) {
		c.onlyRequest = 0
	}
}

// unused tells whether no request has been answered on a connection yet.
func (c *conn) unused() bool { return !c.answered }

// tellsApart tells whether a second answer to an earlier request would be known from that to the next one.
func (c *conn) distinguishes(next identity) bool {
	if c.unused() || c.onlyRequest.matches(next.request) {
		return true
	}
	return c.stats.tracker.hasEnoughSamples() && !c.servesEqualOnly() && !c.hasConflictingAnswer(next)
}

// soleUse tells whether a connection is of use only for requests that are equal to those before on it.
func (c *conn) servesEqualOnly() bool { return c.equalOnly || c.hasCommonAnswer() }

// spent tells whether a connection that could be used again is of use to nobody: only an equal request could go out on
// it, and there is none.
func (c *conn) unusable() bool { return c.onlyRequest == 0 && c.servesEqualOnly() }

// ambiguous tells whether a common answer came on the connection: a second one of it could not be told from the next
// request's own.
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

// contests tells whether the connection gave another request an answer on a resource where different ones may have the same.
func (c *conn) hasConflictingAnswer(next identity) bool {
	if !c.stats.tracker.mayShareAnswers(next.resource) {
		return false
	}
	return slices.ContainsFunc(c.pastAnswers, func(a pastAnswer) bool {
		return a.resource == next.resource && !a.request.matches(next.request)
	})
}

// mayBeAnothers tells whether an answer that comes slowly, and of which some is there, may be a second one to an earlier
// request: it must not be passed on before that is known.
func (c *conn) mayBeDuplicate(partial []byte) bool {
	return slices.ContainsFunc(c.pastAnswers, func(a pastAnswer) bool {
		return !a.request.matches(c.inFlight.request) && a.mayBecome(partial)
	})
}

// awaitAnother waits for a further answer behind one that was another request's. It returns false where none comes. One
// that comes shows that the target answers twice; silence, or the connection's end, may have other reasons.
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

// ownAnswerDue is when a request's own answer is given up that has not come behind another's. One that may be sent again
// is left the time for that, and one that may not has all that it has: zero.
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
