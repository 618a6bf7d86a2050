package hedge

import "math"

const (
	shortestTime     = 0.001 // s; shorter answer times are counted in the first bucket
	bucketsPerDouble = 4     // buckets for each doubling of the answer time: an estimate is at most 19 % too long
	bucketCount      = 64    // up to 55 s; longer answer times are counted in the last bucket
	sampleMemory     = 400.0 // samples after which the weight of an old one has fallen to 1/e
)

// Quantile estimates quantiles of a stream of times in constant memory: a histogram with logarithmic buckets in which
// the weight of old samples decays. Its zero value is ready for use.
type Quantile struct {
	weights [bucketCount]float64
	total   float64
}

// Add records one sample.
func (q *Quantile) Add(sample Seconds) {
	const keep = 1 - 1/sampleMemory
	for i := range q.weights {
		q.weights[i] *= keep
	}
	q.weights[bucketOf(sample)]++
	q.total = q.total*keep + 1
}

// Samples returns the total weight of the samples, in which a new one counts 1 and old ones less.
func (q *Quantile) Samples() float64 { return q.total }

// At returns the upper edge of the bucket that holds the quantile p, from 0 to 1; 0 if there are no samples.
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
