// Package quota estimates the level of a token bucket from the totals that a shared counter keeps for fixed windows of
// time. It keeps no state, does not call the counter and does not admit or refuse requests.
package quota

import "math"

// previousExponent sets how steeply the estimated level falls as the total of the previous window approaches the refill
// of that window. Steady use well below the refill rate leaves the bucket nearly full, use above it empties the bucket,
// and use at exactly that rate may leave it at any level.
const previousExponent = 4

// Bucket is a token bucket: it starts full, is refilled at Rate units per second and holds at most Burst units. A
// request for more units than it holds is refused and takes nothing from it.
type Bucket struct {
	Rate, Burst float64
}

// AtWindowStart estimates the level at the start of a window from the total of the previous window, which was length
// seconds long.
func (b Bucket) AtWindowStart(length, previous float64) float64 {
	utilization := previous / (b.Rate * length)
	return b.Burst * max(0, 1-math.Pow(max(0, utilization), previousExponent))
}

// After estimates the level the given number of seconds after it was start, if units were drawn evenly in the meantime.
func (b Bucket) After(start, seconds, units float64) float64 {
	return min(b.Burst, max(0, start+b.Rate*seconds-units))
}

// Bounds returns the lowest and the highest possible level the given number of seconds into a window of which only the
// total is known, for units drawn evenly.
func (b Bucket) Bounds(seconds, total float64) (least, greatest float64) {
	return b.After(0, seconds, total), b.After(b.Burst, seconds, total)
}
