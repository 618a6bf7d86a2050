package spread

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"junctionring/internal/lab"
)

// Text is the figures as a table for people.
func (f Figures) Text() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, f.Asked)) }
	fmt.Fprintf(w, "requests\t%d\tin time %.2f %%, refused %.2f %%, failed %.2f %%, unanswered %d\n", f.Asked, share(f.InTime), share(f.Refused), share(f.Failed), f.Unanswered)
	fmt.Fprintf(w, "latency\tp50 %v\tp99 %v\n", f.P50.Round(time.Millisecond), f.P99.Round(time.Millisecond))
	for _, e := range f.Even {
		fmt.Fprintf(w, "load over capacity, %v\tCV %.3f\tchance %.3f (%.2f x), perfect %.3f; highest %.2f, lowest %.2f of the mean; %d windows\n", e.Window, e.CV, e.Chance, e.CV/e.Chance, e.Perfect, e.Highest, e.Lowest, e.Windows)
	}
	fmt.Fprintf(w, "herds\t%d\t", len(f.Herds))
	for i, h := range f.Herds[:min(3, len(f.Herds))] {
		fmt.Fprintf(w, "%s%s: %d where %.1f is the mean", map[bool]string{true: "; "}[i > 0], h.Server, h.Came, h.Mean)
	}
	fmt.Fprintf(w, "\nwithout work beyond 2 s\t%d server-seconds\tthe longest %v\n", f.Idle, f.LongestIdle.Round(10*time.Millisecond))
	fmt.Fprintf(w, "refused while a server stood idle\t%d\t%.2f %% of all\n", f.RefusedWithRoom, share(f.RefusedWithRoom))
	fmt.Fprintf(w, "connections\t%d opened\t%.3f a request; the most at one server %.2f x the mean for its capacity\n", f.Opened, float64(f.Opened)/float64(max(1, f.Asked)), f.HighestOpen)
	fmt.Fprintf(w, "cold servers that fell\t%d\t%s\n", len(f.Fallen), strings.Join(f.Fallen, ", "))
	w.Flush()
	return b.String()
}

// arrival and sample are the rows of the raw data. Times are seconds since the load began.
type arrival struct {
	At     float64 `parquet:"at_s"`
	Begun  float64 `parquet:"begun_s,optional"`
	Ended  float64 `parquet:"ended_s,optional"`
	Server string  `parquet:"server,dict"`
	Class  string  `parquet:"class,dict"`
	Ran    bool    `parquet:"ran"`
}

type sample struct {
	At      float64 `parquet:"at_s"`
	Took    float64 `parquet:"took_s"`
	Class   string  `parquet:"class,dict"`
	Status  int32   `parquet:"status"`
	Gateway string  `parquet:"gateway,dict"`
	Server  string  `parquet:"server,dict"`
}

// Save keeps the raw data as Parquet, and draws load over capacity by server over time.
func (w *World) Save(samples []lab.Sample, begun time.Time) error {
	var arrivals []arrival
	since := func(t time.Time) float64 {
		if t.IsZero() {
			return 0
		}
		return t.Sub(begun).Seconds()
	}
	all := w.Record.All()
	for _, a := range all {
		arrivals = append(arrivals, arrival{since(a.At), since(a.Begun), since(a.Ended), a.Server, a.Class, a.Ran})
	}
	if err := parquet.WriteFile(filepath.Join(w.o.Dir, "arrivals.parquet"), arrivals); err != nil {
		return err
	}
	var asked []sample
	for _, s := range samples {
		asked = append(asked, sample{s.At.Seconds(), s.Took.Seconds(), lab.Classes[s.Class].Name, int32(s.Status), s.Gateway, s.Server})
	}
	if err := parquet.WriteFile(filepath.Join(w.o.Dir, "samples.parquet"), asked); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "load over capacity by server", "s", "of its capacity"
	for _, s := range w.servers {
		var points plotter.XYs
		for at := begun; at.Before(begun.Add(settle + w.o.For)); at = at.Add(time.Second) {
			n := 0
			for _, a := range all {
				if a.Server == s.ID && !a.At.Before(at) && a.At.Before(at.Add(time.Second)) {
					n++
				}
			}
			if s.usable(at, at.Add(time.Second)) {
				points = append(points, plotter.XY{X: at.Sub(begun).Seconds(), Y: float64(n) / s.Capacity})
			}
		}
		if len(points) == 0 {
			continue
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		l.Color = color.RGBA{30, 90, 160, 60}
		p.Add(l)
	}
	if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, filepath.Join(w.o.Dir, "load.png")); err != nil {
		return err
	}
	return nil
}

// Write keeps text beside the raw data.
func (w *World) Write(name, text string) error {
	return os.WriteFile(filepath.Join(w.o.Dir, name), []byte(text), 0o644)
}
