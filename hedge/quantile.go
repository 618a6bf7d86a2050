package hedge

import "math"

const (
	shortestTime     = 0.001 // s; shorter answer times fall into the first bucket
	bucketsPerDouble = 4     // buckets for each doubling of the answer time: an estimate is at most 19 % too long
	bucketCount      = 64    // up to 55 s; longer answer times fall into the last bucket
	sampleMemory     = 400.0 // samples over which the weight of an old one falls to 1/e
)

// Quantile estimates quantiles of a stream of times in constant memory: a histogram with logarithmic buckets in which
// old samples fade. Its zero value is ready for use.
type Quantile struct {
	weights [bucketCount]float64
	total   float64
}

// Add takes one sample in.
func (q *Quantile) Add(sample Seconds) {
	const keep = 1 - 1/sampleMemory
	for i := range q.weights {
		q.weights[i] *= keep
	}
	q.weights[bucketOf(sample)]++
	q.total = q.total*keep + 1
}

// Samples is the number of samples held, old ones by the weight that is left of them.
func (q *Quantile) Samples() float64 { return q.total }

// At is the upper edge of the bucket that holds the quantile p, from 0 to 1; 0 without any sample.
func (q *Quantile) At(p float64) Seconds {
	if q.total == 0 {
		return 0
	}
	below := 0.0
	for i, weight := range q.weights {
		if below += weight; below >= p*q.total {
			return upperEdge(i)
		}
	}
	return upperEdge(bucketCount - 1)
}

func bucketOf(sample Seconds) int {
	if !(sample > shortestTime) {
		return 0
	}
	bucket := math.Ceil(bucketsPerDouble * math.Log2(sample/shortestTime))
	return int(min(bucket, bucketCount-1))
}

func upperEdge(bucket int) Seconds {
	return shortestTime * math.Exp2(float64(bucket)/bucketsPerDouble)
}
