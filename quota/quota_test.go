package quota_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"junctionring/quota"
)

// exactBucket is a token bucket that tracks its true level.
type exactBucket struct {
	quota.Bucket
	level, at float64
}

func (e *exactBucket) take(at, units float64) bool {
	e.level = min(e.Burst, e.level+e.Rate*(at-e.at))
	e.at = at
	if e.level < units {
		return false
	}
	e.level -= units
	return true
}

// simulate draws single units at random times from an exact bucket, at a multiple of its rate, for some windows of
// length seconds and part seconds of another. It returns the totals of the last whole window and of the part after it,
// and the true level.
func simulate(rng *rand.Rand, b quota.Bucket, length, part, multiple float64) (previous, current, level float64) {
	e := exactBucket{Bucket: b, level: b.Burst}
	const windows = 5
	start := windows * length
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (b.Rate * multiple)
		if at > start+part {
			e.take(start+part, 0)
			return previous, current, e.level
		}
		if !e.take(at, 1) {
			continue // a gateway refuses the request, so no total includes it
		}
		switch {
		case at > start:
			current++
		case at > start-length:
			previous++
		}
	}
}

// Under steady use, the estimate is on average within an eighth of the burst of an exact bucket, except near the full
// rate: there two totals cannot distinguish a nearly full bucket from a nearly empty one, and the estimate is too low.
func TestEstimateFollowsAnExactBucket(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, b := range []quota.Bucket{{Rate: 5, Burst: 16}, {Rate: 12, Burst: 27}, {Rate: 18, Burst: 18}} {
		for multiple, within := range map[float64]float64{0.1: 0.05, 0.3: 0.1, 0.6: 0.125, 0.9: 0.45, 1.5: 0.125, 4: 0.125} {
			length := b.Burst / b.Rate * math.Ceil(3*b.Rate/b.Burst)
			bias := 0.0
			const runs = 400
			for range runs {
				part := length * rng.Float64()
				previous, current, level := simulate(rng, b, length, part, multiple)
				bias += (b.After(b.AtWindowStart(length, previous), part, current) - level) / b.Burst / runs
			}
			if math.Abs(bias) > within {
				t.Errorf("%+v at %.1f of its rate: mean error %.3f of the burst, want at most %.3f", b, multiple, bias, within)
			}
		}
	}
}

// For any totals, even impossible ones, the level lies between 0 and the burst, does not rise as the totals rise, and
// stays within the bounds that the current total alone gives.
func TestLevelStaysInBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 10000 {
		b := quota.Bucket{Rate: 0.1 + 30*rng.Float64(), Burst: 1 + 60*rng.Float64()}
		length, part := 3+10*rng.Float64(), 13*rng.Float64()
		previous, current := 300*rng.Float64(), 300*rng.Float64()
		level := b.After(b.AtWindowStart(length, previous), part, current)
		least, greatest := b.Bounds(part, current)
		if least < 0 || level < least || level > greatest || greatest > b.Burst {
			t.Fatalf("%+v: level %v outside of %v to %v (burst %v)", b, level, least, greatest, b.Burst)
		}
		if more := b.After(b.AtWindowStart(length, previous+1), part, current+1); more > level {
			t.Fatalf("%+v: level %v rises to %v as the totals rise", b, level, more)
		}
	}
}

// After a window without use the bucket counts as full, and after one that used the whole refill as empty.
func TestWindowStart(t *testing.T) {
	b := quota.Bucket{Rate: 4, Burst: 10}
	for previous, want := range map[float64]float64{-1: 10, 0: 10, 12: 0, 100: 0} {
		if got := b.AtWindowStart(3, previous); math.Abs(got-want) > 1e-9 {
			t.Errorf("after a window of %v units: %v, want %v", previous, got, want)
		}
	}
}
