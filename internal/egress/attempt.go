package egress

import (
	"context"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

// attempt carries out one attempt and reports its outcome. It runs in its own goroutine.
func (t *target) attempt(a core.Attempt) {
	a.Report(t.exchange(a))
}

// overBeforeSend reports whether an attempt is over when its connection is ready, and its status. Nothing is sent
// that nobody waits for, or that might run a second time.
func overBeforeSend(a core.Attempt) (control.Status, bool) {
	select {
	case <-a.ExchangeDone:
		return control.Cancelled, true
	default:
	}
	switch err := a.Ctx.Err(); {
	case err == context.DeadlineExceeded:
		return control.ConnectFailed, true
	case err != nil:
		return control.Cancelled, true
	case !a.SendBefore.IsZero() && time.Now().After(a.SendBefore):
		return control.NotSent, true
	}
	return 0, false
}

// newConnRequest returns the request for a connection for a message. A message that cannot be sent again goes out
// on an unused connection: on one that has carried an equal answer, its own answer could not be told from a
// duplicate of the earlier one, and would be lost.
func newConnRequest(id identity) *connRequest {
	return &connRequest{result: make(chan *conn, 1), identity: id, unusedOnly: !id.repeatable()}
}

// awaitConn waits for a connection for an attempt. If it returns none, nothing was sent, and status is how the
// attempt ended.
func (t *target) awaitConn(a core.Attempt, req *connRequest) (c *conn, status control.Status) {
	if !t.post(req) {
		return nil, control.ConnectFailed
	}
	select {
	case c = <-req.result:
	case <-t.ctx.Done(): // the target has left the route table
		return nil, control.ConnectFailed
	case <-a.ExchangeDone: // nothing was sent, so this holds even where sent attempts may not be cancelled
		t.post(cancelConnRequest{req})
		return nil, control.Cancelled
	case <-a.Ctx.Done():
		t.post(cancelConnRequest{req})
		if a.Ctx.Err() == context.DeadlineExceeded {
			return nil, control.ConnectFailed
		}
		return nil, control.Cancelled
	}
	if c == nil {
		return nil, control.ConnectFailed
	}
	if status, over := overBeforeSend(a); over {
		t.post(connReturned{c})
		return nil, status
	}
	return c, 0
}

// awaitConnInTime is awaitConn within the client's wait, which the context of a message whose body is still coming in
// does not bound. That the client's wait has ended says nothing of the target.
func (t *target) awaitConnInTime(a core.Attempt, r *Request, req *connRequest) (c *conn, status control.Status) {
	if r.Rest == nil {
		return t.awaitConn(a, req)
	}
	ctx, cancel := context.WithDeadline(a.Ctx, r.Rest.answerDue(a.ResponseTimeout))
	defer cancel()
	bounded := a
	bounded.Ctx = ctx
	c, status = t.awaitConn(bounded, req)
	if c == nil && ctx.Err() == context.DeadlineExceeded && a.Ctx.Err() == nil {
		status = control.NotSent
	}
	return c, status
}

// exchange carries out an attempt without reporting its outcome. The attempt's payload is a *Request.
func (t *target) exchange(a core.Attempt) core.Outcome {
	r := a.Payload.(*Request)
	req := newConnRequest(r.identity(a.Repeat))
	c, status := t.awaitConnInTime(a, r, req)
	if c == nil {
		return core.Outcome{Status: status}
	}
	sent := time.Now()
	c.inFlight, c.answerCtx = req.identity, a.AnswerCtx
	o, reuse := c.roundTrip(a.Ctx, r, t.site.LoadFields, a.OnBodySent, a.ResponseTimeout)
	c.answerTime = o.TimeToFirstByte
	if reply, ok := o.Reply.(*Reply); ok && reply.Long != nil {
		reply.Long.finish = func(reuse bool) { t.releaseConn(c, reuse) } // the connection is in use until the stream ends
		return o
	}
	if reuse {
		t.releaseConn(c, true)
		return o
	}
	c.Close()
	closed := connClosed{answered: c.gotAnswer || o.Reply != nil, openReplacement: c.openReplacement, unsolicited: c.unsolicited}
	if o.Status == control.Timeout && !c.gotAnswer {
		closed.unansweredSince = sent
	}
	t.post(closed)
	return o
}

// releaseConn returns a connection to the target after an attempt, or closes it if it can serve no further
// request. reuse tells that the answer came whole and does not rule out further use.
func (t *target) releaseConn(c *conn, reuse bool) {
	if reuse && !c.unsolicited && !c.unusable() {
		c.lastUsed, c.answered = time.Now(), true
		t.post(connReleased{c})
		return
	}
	c.Close()
	t.post(connClosed{answered: reuse, openReplacement: reuse && !c.unsolicited, unsolicited: c.unsolicited})
}
