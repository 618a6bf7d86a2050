package scale

import (
	"fmt"
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

var (
	inkLine     = color.RGBA{30, 90, 160, 255}
	inkMeasured = color.RGBA{30, 90, 160, 255}
	inkHeldOut  = color.RGBA{200, 80, 30, 255}
)

// PlotFits draws each fitted line with what was measured, one file for each.
func PlotFits(dir string, fits []Fit, rows []Row) error {
	for _, f := range fits {
		if err := plotFit(dir, f, rows); err != nil {
			return fmt.Errorf("%s, %s, %s: %w", f.Scenario, f.Role, f.Figure, err)
		}
	}
	return nil
}

func plotFit(dir string, f Fit, rows []Row) error {
	var fitted, heldOut, line plotter.XYs
	for _, r := range rows {
		if r.Scenario != f.Scenario || r.Build != f.Build || r.Role != f.Role || r.Phase != f.Phase {
			continue
		}
		x := float64(r.Value)
		point := plotter.XY{X: x, Y: figure(f.Figure).of(r)}
		if r.HeldOut {
			heldOut = append(heldOut, point)
		} else {
			fitted = append(fitted, point)
		}
		line = append(line, plotter.XY{X: x, Y: f.Line.At(x)})
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s, %s", f.Scenario, f.Role, f.Phase)
	p.X.Label.Text, p.Y.Label.Text = f.Vary, f.Figure
	p.Add(plotter.NewGrid())
	l, err := plotter.NewLine(line)
	if err != nil {
		return err
	}
	l.Color = inkLine
	p.Add(l)
	for _, points := range []struct {
		name string
		xys  plotter.XYs
		ink  color.Color
	}{{"fitted", fitted, inkMeasured}, {"held out", heldOut, inkHeldOut}} {
		if len(points.xys) == 0 {
			continue
		}
		s, err := plotter.NewScatter(points.xys)
		if err != nil {
			return err
		}
		s.Color, s.Radius = points.ink, vg.Points(3)
		p.Add(s)
		p.Legend.Add(points.name, s)
	}
	name := fmt.Sprintf("%s-%s-%s-%s-%s.png", f.Scenario, f.Build, f.Role, f.Phase, f.Figure)
	return p.Save(6*vg.Inch, 4*vg.Inch, filepath.Join(dir, name))
}

func figure(name string) Figure {
	for _, f := range Figures {
		if f.Name == name {
			return f
		}
	}
	return Figure{Name: name, of: func(Row) float64 { return 0 }}
}
