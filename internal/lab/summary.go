package lab

import (
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is what a set of samples comes to.
type Summary struct {
	Requests, Served, InTime    int
	Refused, Failed, Unanswered int
	Crossed                     int // served by another site
	P50, P99                    time.Duration
	WorthInTime                 float64 // share of the worth asked for
	LateRefusals                int     // refused after more than half of the deadline
	MoveGap                     time.Duration
}

// Share is the part of the requests served in time.
func (s Summary) Share() float64 { return float64(s.InTime) / float64(max(1, s.Requests)) }

// Summarise takes samples together; site is where they were asked.
func Summarise(samples []Sample, site string) Summary {
	h := hdrhistogram.New(1, 60_000_000, 3) // microseconds
	var sum Summary
	asked, won := 0.0, 0.0
	lastMove := time.Duration(-1)
	var moves []time.Duration
	for _, s := range samples {
		c := &Classes[s.Class]
		sum.Requests++
		asked += c.Worth
		switch {
		case s.Status == http.StatusOK:
			sum.Served++
			h.RecordValue(s.Took.Microseconds())
			if !strings.HasPrefix(s.Server, site+"-") {
				sum.Crossed++
			}
			if c.carriesMoveKey {
				moves = append(moves, s.At+s.Took)
			}
		case s.Status == http.StatusServiceUnavailable || s.Status == http.StatusTooManyRequests:
			sum.Refused++
			if s.Took > c.Deadline/2 {
				sum.LateRefusals++
			}
		case s.Status == 0:
			sum.Unanswered++
		default:
			sum.Failed++
		}
		if s.InTime() {
			sum.InTime++
			won += c.Worth
		}
	}
	sortDurations(moves)
	for _, m := range moves {
		if lastMove >= 0 {
			sum.MoveGap = max(sum.MoveGap, m-lastMove)
		}
		lastMove = m
	}
	sum.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	sum.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	if asked > 0 {
		sum.WorthInTime = won / asked
	}
	return sum
}

// Between keeps the samples sent in a span of the run.
func Between(samples []Sample, from, to time.Duration) (kept []Sample) {
	for _, s := range samples {
		if s.At >= from && s.At < to {
			kept = append(kept, s)
		}
	}
	return kept
}

// ServedBy keeps the samples that a site served.
func ServedBy(samples []Sample, site string) (kept []Sample) {
	for _, s := range samples {
		if strings.HasPrefix(s.Server, site+"-") {
			kept = append(kept, s)
		}
	}
	return kept
}
