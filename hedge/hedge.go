// Package hedge decides when a request is sent to a second server while the first is still at work on it: a hedged
// request, after Jeffrey Dean and Luiz André Barroso, "The Tail at Scale", Communications of the ACM 56(2), 2013. It
// does not choose the server, send or cancel anything: it does no I/O, reads no clock and starts no goroutine.
//
// A copy is due once the first attempt has been out for longer than nearly all answers of its class take. Copies are
// paid from a budget that grows with the requests, so that they stay a small share of the load whatever happens, and
// none is sent while servers are crowded: there the copy would delay others more than it helps. Where requests are slow
// because of their own work, a copy is as slow: while copies seldom answer before the first attempt, only a few go out,
// to learn whether that has changed.
package hedge

import (
	"math"
	"slices"
)

// Seconds is a time or a duration, as in package control.
type Seconds = float64

const (
	delayQuantile    = 0.95 // of the answer times of a class; a first attempt may be out for so long
	minSamples       = 40.0 // answers of a class before its quantile is relied on
	budgetPerRequest = 0.05 // copies that each request earns
	maxBudget        = 4.0  // copies that may be saved up
	minWinShare      = 0.5  // share of the copies that must answer first for the whole budget to be earned
	winWeight        = 0.15 // of the last copy in that share
	trialBudgetShare = 0.1  // of the budget that is earned while fewer do
	overloadLimit    = 0.05 // overload from which on no copy is sent
	minTypicalTimes  = 1.0  // typical answer times that must be left for a copy to be of use
)

// Class is what a class of requests allows.
type Class struct {
	Allowed bool // two copies of a request may be out at once
}

// Conditions are what the caller knows of a request whose copy is due.
type Conditions struct {
	Overload float64 // of the servers; 0: none
	Left     Seconds // until an answer is worth nothing
	Typical  Seconds // that an answer of the class takes
	Capped   bool    // the customer may have no further attempt out
}

// Hedger keeps the requests that may be hedged, the answer times of their classes and the budget. A nil Hedger
// never hedges. It is not safe for concurrent use.
type Hedger struct {
	classes  []classState
	budget   float64
	winShare float64 // share of the late copies that answered before the first attempt
}

type classState struct {
	Class
	times   Quantile
	pending []pendingAttempt // first attempts out, oldest first
}

type pendingAttempt struct {
	request uint64
	sent    Seconds
}

// New makes a Hedger for these classes, or nil where none of them allows a second copy.
func New(classes []Class) *Hedger {
	if !slices.ContainsFunc(classes, func(c Class) bool { return c.Allowed }) {
		return nil
	}
	h := &Hedger{classes: make([]classState, len(classes)), budget: maxBudget, winShare: 1}
	for i, c := range classes {
		h.classes[i].Class = c
	}
	return h
}

// Sent notes that the first attempt of a request has gone out.
func (h *Hedger) Sent(now Seconds, request uint64, class int) {
	if h == nil {
		return
	}
	earned := budgetPerRequest
	if h.winShare < minWinShare {
		earned *= trialBudgetShare
	}
	h.budget = min(maxBudget, h.budget+earned)
	if c := &h.classes[class]; c.Allowed {
		c.pending = append(c.pending, pendingAttempt{request, now})
	}
}

// Answered takes in how long an attempt was out before its answer came, or before it was given up: at least so long
// would the answer have taken.
func (h *Hedger) Answered(class int, took Seconds) {
	if h != nil && h.classes[class].Allowed {
		h.classes[class].times.Add(took)
	}
}

// Ended notes that a request has its final answer, or will not be hedged any more.
func (h *Hedger) Ended(request uint64, class int) {
	if h == nil {
		return
	}
	c := &h.classes[class]
	matches := func(w pendingAttempt) bool { return w.request == request }
	if i := slices.IndexFunc(c.pending, matches); i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
	}
}

// Delay is how long a first attempt of a class may be out before a copy is due; infinite while too little is known.
func (h *Hedger) Delay(class int) Seconds {
	if h == nil || h.classes[class].times.Samples() < minSamples {
		return math.Inf(1)
	}
	return h.classes[class].times.At(delayQuantile)
}

// Next is when the next copy is due; infinite where none is.
func (h *Hedger) Next() Seconds {
	next := math.Inf(1)
	if h == nil {
		return next
	}
	for i := range h.classes {
		if w := h.classes[i].pending; len(w) > 0 {
			next = min(next, w[0].sent+h.Delay(i))
		}
	}
	return next
}

// Due takes the requests out whose copies are due. Each is to be put to Allow.
func (h *Hedger) Due(now Seconds) (requests []uint64) {
	if h == nil {
		return nil
	}
	for i := range h.classes {
		c, delay := &h.classes[i], h.Delay(i)
		for len(c.pending) > 0 && c.pending[0].sent+delay <= now {
			requests = append(requests, c.pending[0].request)
			c.pending = c.pending[1:]
		}
	}
	return requests
}

// Allow tells whether a copy that is due may be sent.
func (h *Hedger) Allow(c Conditions) bool {
	return h != nil && h.budget >= 1 && !c.Capped && c.Overload < overloadLimit && c.Left >= minTypicalTimes*c.Typical
}

// Spend pays for a copy that was sent.
func (h *Hedger) Spend() { h.budget-- }

// Judged takes in whether a copy answered before the first attempt. Where copies begin to lose, what was saved up for
// them is lost too.
func (h *Hedger) Judged(won bool) {
	result := 0.0
	if won {
		result = 1
	}
	h.winShare += (result - h.winShare) * winWeight
	if h.winShare < minWinShare {
		h.budget = min(1, h.budget)
	}
}

// Reconfigure takes the classes over that hold from now on. from names, for each, the one whose answer times it begins
// with; -1 for none. It returns what decides from now on: a nil Hedger turns into one where a class allows copies now.
func (h *Hedger) Reconfigure(classes []Class, from []int) *Hedger {
	if h == nil {
		return New(classes)
	}
	old := h.classes
	h.classes = make([]classState, len(classes))
	for i, c := range classes {
		if f := from[i]; f >= 0 && f < len(old) {
			h.classes[i].times = old[f].times
		}
		if i < len(old) {
			h.classes[i].pending = old[i].pending
		}
		h.classes[i].Class = c
	}
	return h
}
