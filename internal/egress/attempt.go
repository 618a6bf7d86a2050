package egress

import (
	"context"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

// attempt carries one attempt out, in its own goroutine.
func (t *target) attempt(a core.Attempt) {
	a.Report(t.exchange(a))
}

// tooLate tells whether an attempt is over as its connection comes: nothing goes out that nobody wants, or that might
// run a second time.
func tooLate(a core.Attempt) (control.Status, bool) {
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

// newLease asks for a connection for a request. One that can't be sent again goes out on an unused connection: its answer
// would be lost on one that gave the same before, where it could not be told from a second one to that request.
func newLease(q question) *lease {
	return &lease{got: make(chan *conn, 1), question: q, newOnly: !q.canRepeat()}
}

// awaitConn waits for a connection for an attempt. Without one nothing was sent, and status is how the attempt ended.
func (t *target) awaitConn(a core.Attempt, l *lease) (c *conn, status control.Status) {
	if !t.post(l) {
		return nil, control.ConnectFailed
	}
	select {
	case c = <-l.got:
	case <-t.ctx.Done(): // it has left the list
		return nil, control.ConnectFailed
	case <-a.ExchangeDone: // also where an attempt that is out may not be called off
		t.post(unlease{l})
		return nil, control.Cancelled
	case <-a.Ctx.Done():
		t.post(unlease{l})
		if a.Ctx.Err() == context.DeadlineExceeded {
			return nil, control.ConnectFailed
		}
		return nil, control.Cancelled
	}
	if c == nil {
		return nil, control.ConnectFailed
	}
	if status, late := tooLate(a); late {
		t.post(unused{c})
		return nil, status
	}
	return c, 0
}

// exchange carries an attempt out but for its report; its payload is a *Request.
func (t *target) exchange(a core.Attempt) core.Outcome {
	r := a.Payload.(*Request)
	l := newLease(r.question(a.Repeat))
	c, status := t.awaitConn(a, l)
	if c == nil {
		return core.Outcome{Status: status}
	}
	sent := time.Now()
	c.asked = l.question
	o, reuse := c.roundTrip(a.Ctx, r, t.site.LoadFields, a.OnBodySent, a.ResponseTimeout)
	c.waited = o.TimeToFirstByte
	if reply, ok := o.Reply.(*Reply); ok && reply.Long != nil {
		reply.Long.finish = func(reuse bool) { t.giveBack(c, reuse) } // the connection is in use until then
		return o
	}
	if reuse {
		t.giveBack(c, true)
		return o
	}
	c.Close()
	e := ended{heard: c.heard || o.Reply != nil, replace: c.replace, unasked: c.unasked}
	if o.Status == control.Timeout && !c.heard {
		e.silent = sent
	}
	t.post(e)
	return o
}

// giveBack returns a connection to the target after an attempt, or closes it where it is of no more use. reuse: its answer came
// whole, and bars no further use of it.
func (t *target) giveBack(c *conn, reuse bool) {
	if reuse && !c.unasked && !c.spent() {
		c.used, c.answered = time.Now(), true
		t.post(back{c})
		return
	}
	c.Close()
	t.post(ended{heard: reuse, replace: reuse && !c.unasked, unasked: c.unasked})
}
