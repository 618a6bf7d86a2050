// Package hedge decides when a copy of a request is sent to a second server while the first attempt is still in flight:
// a hedged request, after Jeffrey Dean and Luiz André Barroso, "The Tail at Scale", Communications of the ACM 56(2),
// 2013. It does not choose servers or send or cancel attempts: it does no I/O, reads no clock and starts no goroutine.
//
// A copy is due once the first attempt has been in flight for longer than nearly all answers of its class take. Copies
// spend a budget that grows with the number of requests, so that they always remain a small share of the load. None is
// sent while servers are overloaded, where a copy would delay other requests more than it helps its own. Where requests
// are slow because of their own work, a copy is just as slow: while copies seldom answer before the first attempt, only
// a few are sent, to detect when that changes.
package hedge

import (
	"math"
	"slices"
)

// Seconds is a point in time or a duration, as in package control.
type Seconds = float64

const (
	delayQuantile    = 0.95 // quantile of a class's answer times after which a copy is due
	minSamples       = 40.0 // answers of a class that its quantile must be based on
	budgetPerRequest = 0.05 // copies added to the budget per request
	maxBudget        = 4.0  // copies that the budget holds at most
	minWinShare      = 0.5  // share of the copies that must answer first for the full budget to be added
	winWeight        = 0.15 // weight of the latest copy in that share
	trialBudgetShare = 0.1  // share of the budget that is added while fewer copies answer first
	overloadLimit    = 0.05 // overload at and above which no copy is sent
	minTypicalTimes  = 1.0  // typical answer times that must remain for a copy to be useful
)

// Class is the hedging policy of a class of requests.
type Class struct {
	Allowed bool // two attempts of a request may be in flight at once
}

// Conditions describe a request whose copy is due, as far as the caller knows.
type Conditions struct {
	Overload float64 // overload of the servers; 0: none
	Left     Seconds // until an answer is no longer of use
	Typical  Seconds // typical answer time of the class
	Capped   bool    // the customer may have no further attempt in flight
}

// Hedger tracks the requests that may be hedged, the answer times of their classes and the budget. A nil Hedger never
// hedges. It is not safe for concurrent use.
type Hedger struct {
	classes  []classState
	budget   float64
	winShare float64 // average share of recent copies that answered before the first attempt
}

type classState struct {
	Class
	times   Quantile
	pending []pendingAttempt // first attempts in flight, oldest first
}

type pendingAttempt struct {
	request uint64
	sent    Seconds
}

// New returns a Hedger for these classes, or nil if none of them allows a second copy.
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

// Sent records that the first attempt of a request was sent.
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

// Answered records how long an attempt was in flight until it was answered or cancelled. For a cancelled attempt this is
// a lower bound of the answer time.
func (h *Hedger) Answered(class int, took Seconds) {
	if h != nil && h.classes[class].Allowed {
		h.classes[class].times.Add(took)
	}
}

// Ended records that a request has its final answer or can no longer be hedged.
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

// Delay returns how long a first attempt of a class may be in flight before a copy is due; infinite while there are too
// few samples.
func (h *Hedger) Delay(class int) Seconds {
	if h == nil || h.classes[class].times.Samples() < minSamples {
		return math.Inf(1)
	}
	return h.classes[class].times.At(delayQuantile)
}

// Next returns when the next copy is due; infinite if none is.
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

// Due removes and returns the requests whose copies are due. The caller must ask Allow for each of them.
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

// Allow reports whether a copy that is due may be sent.
func (h *Hedger) Allow(c Conditions) bool {
	return h != nil && h.budget >= 1 && !c.Capped && c.Overload < overloadLimit && c.Left >= minTypicalTimes*c.Typical
}

// Spend deducts a copy that was sent from the budget.
func (h *Hedger) Spend() { h.budget-- }

// Judged records whether a copy answered before the first attempt. Once too few do, the accumulated budget is reduced to
// one copy.
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

// Reconfigure replaces the classes. from[i] is the old class whose answer times the new class i starts with, -1 for
// none. The caller must use the returned Hedger from then on: a nil one is replaced if a class now allows copies.
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
