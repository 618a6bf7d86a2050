package scale

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	confidence    = 0.95
	predictWithin = 0.15 // of what is measured at a size that the fit has not seen
)

// Figure is one measured thing of a row. In the steady phase what is spent counts by the second.
type Figure struct {
	Name string
	of   func(Row) float64
}

// Figures are all of them.
var Figures = []Figure{
	{"cpu_s", func(r Row) float64 { return r.rate(r.CPU) }},
	{"bytes", func(r Row) float64 { return r.rate(r.Bytes) }},
	{"messages", func(r Row) float64 { return r.rate(r.Messages) }},
	{"heap", func(r Row) float64 { return r.Heap }},
	{"resident", func(r Row) float64 { return r.Resident }},
}

func (r Row) rate(sum float64) float64 {
	if r.Phase == Steady && r.Seconds > 0 {
		return sum / r.Seconds
	}
	return sum
}

// Line is a fitted line: base + slope x driver, with the half-widths of the confidence intervals.
type Line struct {
	Base, Slope         float64
	BaseHalf, SlopeHalf float64
	R2                  float64
	N                   int
}

// At is what the line says at a value of the driver.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// FitLine fits a line by least squares. It needs three points for an interval.
func FitLine(x, y []float64) (l Line) {
	l.N = len(x)
	if l.N < 2 {
		return l
	}
	l.Base, l.Slope = stat.LinearRegression(x, y, nil, false)
	l.R2 = stat.RSquared(x, y, nil, l.Base, l.Slope)
	if l.N < 3 {
		l.BaseHalf, l.SlopeHalf = math.Inf(1), math.Inf(1)
		return l
	}
	n, mean := float64(l.N), stat.Mean(x, nil)
	left, spread := 0.0, 0.0
	for i := range x {
		off := y[i] - l.At(x[i])
		left += off * off
		spread += (x[i] - mean) * (x[i] - mean)
	}
	sigma := math.Sqrt(left / (n - 2))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 2}.Quantile(1 - (1-confidence)/2)
	l.SlopeHalf = t * sigma / math.Sqrt(spread)
	l.BaseHalf = t * sigma * math.Sqrt(1/n+mean*mean/spread)
	return l
}

// Check is a line's word on a size that it has not seen, beside what was measured there.
type Check struct {
	Value               int
	Predicted, Measured float64
}

// Off is by how much of the measured the prediction is off.
func (c Check) Off() float64 { return (c.Predicted - c.Measured) / c.Measured }

// Holds tells whether the prediction is near enough.
func (c Check) Holds() bool { return math.Abs(c.Off()) <= predictWithin }

// Fit is the line of one figure of one role, and its checks.
type Fit struct {
	Scenario, Build, Vary string
	Role                  Kind
	Phase                 Phase
	Figure                string
	Line                  Line
	Values                []int // that it was fitted to
	Checks                []Check
}

// FitAll fits every figure of every role.
func FitAll(rows []Row) (fits []Fit) {
	type key struct {
		scenario, build string
		role            Kind
		phase           Phase
	}
	groups, order := map[key][]Row{}, []key(nil)
	for _, r := range rows {
		k := key{r.Scenario, r.Build, r.Role, r.Phase}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	for _, k := range order {
		for _, f := range Figures {
			if fit, any := fitOne(groups[k], f); any {
				fits = append(fits, fit)
			}
		}
	}
	return fits
}

// fitOne fits one figure; false: it is nothing everywhere.
func fitOne(rows []Row, f Figure) (fit Fit, any bool) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Value, b.Value) })
	first := rows[0]
	fit = Fit{Scenario: first.Scenario, Build: first.Build, Vary: first.Vary, Role: first.Role, Phase: first.Phase, Figure: f.Name}
	var x, y []float64
	for _, r := range rows {
		any = any || f.of(r) != 0
		if !r.HeldOut {
			x, y = append(x, float64(r.Value)), append(y, f.of(r))
			fit.Values = append(fit.Values, r.Value)
		}
	}
	fit.Line = FitLine(x, y)
	for _, r := range rows {
		if r.HeldOut {
			fit.Checks = append(fit.Checks, Check{r.Value, fit.Line.At(float64(r.Value)), f.of(r)})
		}
	}
	return fit, any
}

// WriteFits writes fits as a table for people.
func WriteFits(to io.Writer, fits []Fit) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SCENARIO\tBUILD\tROLE\tPHASE\tFIGURE\tBASE\tSLOPE\tTIMES\tR2\tSIZES\tPREDICTED, MEASURED")
	for _, f := range fits {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.4g ±%.2g\t%.4g ±%.2g\t%s\t%.4f\t%v\t", f.Scenario, f.Build, f.Role, f.Phase, f.Figure,
			f.Line.Base, f.Line.BaseHalf, f.Line.Slope, f.Line.SlopeHalf, f.Vary, f.Line.R2, f.Values)
		for _, c := range f.Checks {
			word := "holds"
			if !c.Holds() {
				word = "NOT LINEAR"
			}
			fmt.Fprintf(w, "%d: %.4g, %.4g (%+.1f %%) %s ", c.Value, c.Predicted, c.Measured, 100*c.Off(), word)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// WritePredictions writes what each line says at some values of its driver.
func WritePredictions(to io.Writer, fits []Fit, at []int) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "SCENARIO\tROLE\tPHASE\tFIGURE")
	for _, x := range at {
		fmt.Fprintf(w, "\t%d", x)
	}
	fmt.Fprintln(w)
	for _, f := range fits {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s", f.Scenario, f.Role, f.Phase, f.Figure)
		for _, x := range at {
			fmt.Fprintf(w, "\t%.4g", f.Line.At(float64(x)))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
