package bbrload

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot writes a plot of the share of jobs that were completed over time, with a line
// for each class and report. The file's extension, such as svg, selects the format.
func Plot(file string, reports ...*Report) error {
	p := plot.New()
	p.Title.Text = "Jobs completed"
	p.X.Label.Text = "seconds from the first submission"
	p.Y.Label.Text = "share of the jobs"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = false, false
	p.Add(plotter.NewGrid())
	var lines []any
	for _, r := range reports {
		for _, class := range r.Classes() {
			lines = append(lines, r.Name+" "+class, r.completionCurve(class))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

// completionCurve returns the share of a class's jobs that were completed over time.
func (r *Report) completionCurve(class string) plotter.XYs {
	jobs := float64(max(1, r.Summarize(class).Jobs))
	points := plotter.XYs{{X: 0, Y: 0}}
	for i, seconds := range r.CompletionSeconds(class) {
		points = append(points, plotter.XY{X: seconds, Y: float64(i+1) / jobs})
	}
	return points
}
