package hedge_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"junctionring/hedge"
)

// favorable are conditions under which only the budget can prevent a copy.
var favorable = hedge.Conditions{Left: 1, Typical: 0.1}

// newTrainedHedger returns a Hedger that has recorded answers of class 0 that took a tenth of a second.
func newTrainedHedger() *hedge.Hedger {
	h := hedge.New([]hedge.Class{{Allowed: true}, {}})
	for range 100 {
		h.Answered(0, 0.1)
		h.Answered(1, 0.1)
	}
	return h
}

func TestQuantileOfKnownDistributions(t *testing.T) {
	const bucketWidth = 1.19 // resolution of the estimate, plus a margin for chance
	rng := rand.New(rand.NewPCG(1, 2))
	for name, c := range map[string]struct {
		draw func() float64
		want func(p float64) float64
	}{
		"exponential": {rng.ExpFloat64, func(p float64) float64 { return -math.Log(1 - p) }},
		"uniform":     {rng.Float64, func(p float64) float64 { return p }},
		"lognormal": {func() float64 { return math.Exp(rng.NormFloat64()) }, func(p float64) float64 {
			return math.Exp(math.Sqrt2 * math.Erfinv(2*p-1))
		}},
	} {
		var q hedge.Quantile
		for range 5000 {
			q.Add(c.draw())
		}
		for _, p := range []float64{0.5, 0.9, 0.95} {
			if got, want := q.At(p), c.want(p); got < want/1.3 || got > want*bucketWidth*1.3 {
				t.Errorf("%s: the quantile %v is %.3f, want about %.3f", name, p, got, want)
			}
		}
	}
}

func TestQuantileForgetsOldSamples(t *testing.T) {
	var q hedge.Quantile
	if q.At(0.95) != 0 {
		t.Error("the quantile of no samples is not 0")
	}
	for range 2000 {
		q.Add(3)
	}
	for range 2000 {
		q.Add(0.1)
	}
	if got := q.At(0.95); got > 0.12 {
		t.Errorf("the quantile is %v long after all times fell to 0.1", got)
	}
	q.Add(math.NaN())
	q.Add(-1)
	q.Add(1e9)
	if got := q.At(1); got < 55 {
		t.Errorf("a time beyond all buckets is counted as %v", got)
	}
}

func TestNilHedgerNeverHedges(t *testing.T) {
	h := hedge.New([]hedge.Class{{}, {}})
	if h != nil {
		t.Fatal("New returned a Hedger although no class allows a second copy")
	}
	h.Sent(0, 1, 0)
	h.Answered(0, 1)
	h.Ended(1, 0)
	if h.Due(100) != nil || h.Allow(favorable) || !math.IsInf(h.Next(), 1) || !math.IsInf(h.Delay(0), 1) {
		t.Error("a nil Hedger hedges")
	}
}

func TestCopyIsDueAfterTheSlowestAnswersOfItsClass(t *testing.T) {
	h := newTrainedHedger()
	delay := h.Delay(0)
	if delay < 0.1 || delay > 0.12 {
		t.Fatalf("a delay of %v, want about 0.1", delay)
	}
	h.Sent(5, 1, 0)
	h.Sent(5, 2, 1) // class 1 allows no copies
	h.Sent(5.05, 3, 0)
	if got := h.Next(); got != 5+delay {
		t.Errorf("the next copy is due at %v, want %v", got, 5+delay)
	}
	if got := h.Due(5 + delay - 1e-9); got != nil {
		t.Errorf("copies due before the delay has passed: %v", got)
	}
	if got := h.Due(5 + delay); !slices.Equal(got, []uint64{1}) {
		t.Errorf("due: %v, want request 1", got)
	}
	h.Ended(3, 0)
	if got := h.Due(100); got != nil {
		t.Errorf("copies due for requests that were answered or returned before: %v", got)
	}
}

func TestNothingIsDueBeforeTheTimesAreKnown(t *testing.T) {
	h := hedge.New([]hedge.Class{{Allowed: true}})
	h.Sent(0, 1, 0)
	for range 10 {
		h.Answered(0, 0.1)
	}
	if h.Due(1e6) != nil || !math.IsInf(h.Next(), 1) {
		t.Error("a copy is due after ten answers")
	}
}

func TestCopiesStayASmallShareOfTheRequests(t *testing.T) {
	h, copies := newTrainedHedger(), 0
	for i := range uint64(1000) { // every request is slow
		h.Sent(float64(i), i, 0)
		for range h.Due(float64(i) + 0.9) {
			if h.Allow(favorable) {
				h.Spend()
				copies++
			}
		}
	}
	if copies < 40 || copies > 60 {
		t.Errorf("%d copies of 1000 requests, want about 50", copies)
	}
}

// simulate sends requests that are all slow and records the same result for every copy. It returns the number of copies.
func simulate(h *hedge.Hedger, from, requests int, won bool) (copies int) {
	for i := range requests {
		now := float64(from + i)
		h.Sent(now, uint64(from+i), 0)
		for range h.Due(now + 0.9) {
			if h.Allow(favorable) {
				h.Spend()
				h.Judged(won)
				copies++
			}
		}
	}
	return copies
}

func TestCopiesThatNeverWinBecomeTrials(t *testing.T) {
	h := newTrainedHedger()
	losing := simulate(h, 0, 2000, false)
	if losing < 5 || losing > 20 {
		t.Errorf("%d copies of 2000 requests although none answered first, want a few trials", losing)
	}
	simulate(h, 2000, 2000, true)
	if winning := simulate(h, 4000, 2000, true); winning < 80 {
		t.Errorf("%d copies of 2000 requests although all answer first again", winning)
	}
}

func TestNoCopyWhereItWouldNotHelp(t *testing.T) {
	h := newTrainedHedger()
	if !h.Allow(favorable) {
		t.Fatal("a copy is refused under favorable conditions")
	}
	for name, worsen := range map[string]func(*hedge.Conditions){
		"servers are overloaded":         func(c *hedge.Conditions) { c.Overload = 0.5 },
		"too late":                       func(c *hedge.Conditions) { c.Left = 0.05 },
		"the customer is at its limit":   func(c *hedge.Conditions) { c.Capped = true },
		"answers take longer than usual": func(c *hedge.Conditions) { c.Typical = 2 },
	} {
		c := favorable
		worsen(&c)
		if h.Allow(c) {
			t.Errorf("%s: a copy is allowed nevertheless", name)
		}
	}
}
