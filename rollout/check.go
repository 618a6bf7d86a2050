package rollout

import (
	"fmt"
	"math"
)

// Count holds the outcomes of the requests of one class at some gateways.
type Count struct {
	Asked  uint64 `msgpack:"a"`
	Failed uint64 `msgpack:"f"` // errors, and rejections for reasons other than quota
	Late   uint64 `msgpack:"l"` // served later than the class's target time
}

// Limits say when a version is judged worse than the previous one.
type Limits struct {
	Enough uint64  `msgpack:"n"` // requests of a class required on each side before it is judged
	More   float64 `msgpack:"m"` // by how much the share of failed or late requests may exceed that of the other gateways
	Sure   float64 `msgpack:"s"` // standard deviations that the difference must exceed, so that it is not due to chance
}

// DefaultLimits suit a fleet whose gateways each serve a few requests per second.
var DefaultLimits = Limits{Enough: 100, More: 0.02, Sure: 3}

// Verdict is the result of a comparison.
type Verdict int

// The possible verdicts.
const (
	Inconclusive Verdict = iota // too few requests for a verdict
	Good
	Bad
)

// Judge compares the changed gateways with the others, class by class. The verdict is Bad if any class is worse.
// Otherwise a class with too few requests makes it Inconclusive.
func (l Limits) Judge(changed, others map[string]Count) (v Verdict, why string) {
	v = Good
	judged := false
	for _, class := range sortedKeys(changed) {
		a, b := changed[class], others[class]
		if a.Asked < l.Enough || b.Asked < l.Enough {
			if a.Asked > 0 && b.Asked > 0 && v == Good {
				v, why = Inconclusive, fmt.Sprintf("%s: %d and %d requests, %d are enough", class, a.Asked, b.Asked, l.Enough)
			}
			continue
		}
		judged = true
		for _, metric := range []struct {
			name string
			a, b uint64
		}{{"failed", a.Failed, b.Failed}, {"late", a.Late, b.Late}} {
			changedShare, otherShare := float64(metric.a)/float64(a.Asked), float64(metric.b)/float64(b.Asked)
			pooled := float64(metric.a+metric.b) / float64(a.Asked+b.Asked)
			deviation := math.Sqrt(pooled * (1 - pooled) * (1/float64(a.Asked) + 1/float64(b.Asked)))
			if changedShare > otherShare+l.More && changedShare-otherShare > l.Sure*deviation {
				return Bad, fmt.Sprintf("%s: %.1f %% %s, and %.1f %% at the others", class, 100*changedShare, metric.name, 100*otherShare)
			}
		}
	}
	if !judged && v == Good {
		return Inconclusive, "no class has enough requests on both sides"
	}
	return v, why
}
