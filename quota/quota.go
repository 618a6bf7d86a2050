// Package quota estimates the level of a token bucket from the totals that a shared counter keeps for fixed windows of
// time. It keeps no state, calls no counter and decides nothing.
package quota

import "math"

// previousExponent sets how sharply the estimate falls as the use of the previous window nears what the bucket was
// refilled with in it. A steady use at the full rate may have left any level, one well below it leaves the bucket
// nearly full, and one above it empties the bucket.
const previousExponent = 4

// Bucket is a token bucket: it starts full, is refilled at Rate units a second and holds Burst units at most. Units
// that it does not hold when they are asked for take nothing from it.
type Bucket struct {
	Rate, Burst float64
}

// AtWindowStart estimates the level at the start of a window from the total of the window before it, which was length
// seconds long.
func (b Bucket) AtWindowStart(length, previous float64) float64 {
	utilization := previous / (b.Rate * length)
	return b.Burst * max(0, 1-math.Pow(max(0, utilization), previousExponent))
}

// After estimates the level some seconds after it was start, if units were drawn evenly in between.
func (b Bucket) After(start, seconds, units float64) float64 {
	return min(b.Burst, max(0, start+b.Rate*seconds-units))
}

// Bounds returns the least and the greatest level, some seconds into a window of which only the total is known, for
// units drawn evenly.
func (b Bucket) Bounds(seconds, total float64) (least, greatest float64) {
	return b.After(0, seconds, total), b.After(b.Burst, seconds, total)
}
