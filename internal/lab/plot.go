package lab

import (
	"fmt"
	"image/color"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Event is something that a play did, for the plots.
type Event struct {
	At   time.Duration
	Text string
}

var ink = []color.Color{color.RGBA{30, 90, 160, 255}, color.RGBA{200, 80, 30, 255}, color.RGBA{60, 140, 60, 255}}

// line is one curve of a plot.
type line struct {
	name   string
	points plotter.XYs
}

// PlotRun draws what was served in time, what crossed, and latencies over time, as three PNG files.
func PlotRun(dir, title, site string, samples []Sample, events []Event) error {
	const step = time.Second
	end := time.Duration(0)
	for _, s := range samples {
		end = max(end, s.At)
	}
	var inTime, crossed, p50, p99, moves line
	inTime.name, crossed.name, p50.name, p99.name, moves.name = "all", "a second", "p50", "p99", "moves"
	for at := time.Duration(0); at < end; at += step {
		part := Between(samples, at, at+step)
		if len(part) == 0 {
			continue
		}
		x, sum := (at + step/2).Seconds(), Summarise(part, site)
		add := func(l *line, y float64) { l.points = append(l.points, plotter.XY{X: x, Y: y}) }
		add(&inTime, sum.Share())
		add(&crossed, float64(sum.Crossed))
		add(&p50, sum.P50.Seconds()*1000)
		add(&p99, sum.P99.Seconds()*1000)
		only := slices.DeleteFunc(slices.Clone(part), func(s Sample) bool { return s.Key == "" })
		if len(only) > 0 {
			add(&moves, Summarise(only, site).Share())
		}
	}
	for _, p := range []struct {
		file, y string
		lines   []line
	}{
		{"in-time.png", "served in time, share", []line{inTime, moves}},
		{"crossings.png", "served over the link, a second", []line{crossed}},
		{"latency.png", "latency, ms", []line{p50, p99}},
	} {
		if err := draw(filepath.Join(dir, p.file), title, p.y, p.lines, events); err != nil {
			return fmt.Errorf("%s: %w", p.file, err)
		}
	}
	return nil
}

func draw(path, title, y string, lines []line, events []Event) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", y
	p.Add(plotter.NewGrid())
	top := 1.0
	for i, l := range lines {
		c, err := plotter.NewLine(l.points)
		if err != nil {
			return err
		}
		c.Color, c.Width = ink[i%len(ink)], vg.Points(1.5)
		p.Add(c)
		p.Legend.Add(l.name, c)
		for _, xy := range l.points {
			top = max(top, xy.Y)
		}
	}
	p.Y.Min, p.Y.Max = 0, top*1.1
	for _, e := range events {
		x := e.At.Seconds()
		mark, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top * 1.1}})
		if err != nil {
			return err
		}
		mark.Color, mark.Dashes = color.Gray{110}, []vg.Length{vg.Points(3), vg.Points(3)}
		words, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: top * 1.03}}, Labels: []string{" " + e.Text}})
		if err != nil {
			return err
		}
		p.Add(mark, words)
	}
	return p.Save(9*vg.Inch, 4*vg.Inch, path)
}
