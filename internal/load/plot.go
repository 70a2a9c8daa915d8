package load

import (
	"math"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// maxNines cuts the curve where only single values are left.
const maxNines = 5

// PlotLatencies draws the distribution of waits of every stream of the reports; the
// ending of path, such as .svg or .png, chooses the format.
func PlotLatencies(path string, reports ...*Report) error {
	p := newPlot("waits from the intended sending", "share that waits longer, in powers of ten", "ms")
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	var lines []any
	for _, r := range reports {
		for _, s := range r.Streams {
			if points := curve(s.Latency); len(points) > 0 {
				lines = append(lines, label(r, s, len(reports)), points)
			}
		}
	}
	return draw(p, path, lines)
}

// curve puts a distribution on an axis of nines: 1 is the 90th percentile, 2 the
// 99th.
func curve(w Latency) plotter.XYs {
	var points plotter.XYs
	for _, at := range w.Curve {
		nines := -math.Log10(1 - at.Percent/100)
		if at.Ms <= 0 || math.IsInf(nines, 0) || nines > maxNines {
			continue
		}
		points = append(points, plotter.XY{X: nines, Y: at.Ms})
	}
	return points
}

// PlotRates draws arrivals and answers a second of every stream of a report.
func PlotRates(path string, r *Report) error {
	p := newPlot("arrivals and answers by the second of arrival", "s", "a second")
	var lines []any
	for _, s := range r.Streams {
		var sent, answered plotter.XYs
		for i, second := range s.Series {
			sent = append(sent, plotter.XY{X: float64(i), Y: float64(second.Sent)})
			answered = append(answered, plotter.XY{X: float64(i), Y: float64(second.Answered)})
		}
		if len(sent) > 0 {
			lines = append(lines, s.Name+" sent", sent, s.Name+" answered", answered)
		}
	}
	return draw(p, path, lines)
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = true
	return p
}

func label(r *Report, s StreamReport, reports int) string {
	if reports == 1 {
		return s.Name
	}
	return r.Experiment.Name + ": " + s.Name
}

func draw(p *plot.Plot, path string, lines []any) error {
	if len(lines) == 0 {
		p.Y.Scale = plot.LinearScale{}
		p.Y.Tick.Marker = plot.DefaultTicks{}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, path))
}
