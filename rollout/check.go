package rollout

import (
	"fmt"
	"math"
)

// Count is what became of the requests of one class at some gateways.
type Count struct {
	Asked  uint64 `msgpack:"a"`
	Failed uint64 `msgpack:"f"` // errors, and refusals for other reasons than quota
	Late   uint64 `msgpack:"l"` // served after the class's aim
}

// Limits say when a version is judged worse than the one before.
type Limits struct {
	Enough uint64  `msgpack:"n"` // requests of a class on each side before it is judged
	More   float64 `msgpack:"m"` // by how much the share of failed or of late may be above the others'
	Sure   float64 `msgpack:"s"` // standard deviations by which it must be more than chance
}

// DefaultLimits fit a fleet with some requests a second at each gateway.
var DefaultLimits = Limits{Enough: 100, More: 0.02, Sure: 3}

// Verdict is what a comparison comes to.
type Verdict int

// What a comparison may come to.
const (
	Inconclusive Verdict = iota // to tell
	Good
	Bad
)

// Judge compares the changed gateways with the others, class by class. One class that is worse is enough; one that
// has too few requests leaves the whole undecided, unless another is worse.
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
