package bbrexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Table writes the rows as a table.
func Table(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "site\tday\tpairs\tbefore\tafter\tdifference\twindows\tserved\tprice of pools\tbroken\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%+.3f ± %.3f\t%+.3f ± %.3f\t%+.3f\t%+.4f\t%d, %d\t\n", r.Site, r.Day, r.Pairs,
			r.Before.Value, r.After.Value, r.Worth.Value, r.Worth.Error, r.Windows.Value, r.Windows.Error,
			r.Served.Value, r.Pools.Value, r.Broken[0], r.Broken[1])
	}
	return w.Flush()
}

// Size of the plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot writes a plot with each pair as a point, its worth before on one axis and after
// on the other. The file's extension, such as svg, selects the format.
func Plot(file string, pairs []Pair) error {
	p := plot.New()
	p.Title.Text = "Worth of a day by pairs of trials"
	p.X.Label.Text = "before"
	p.Y.Label.Text = "after"
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	same := plotter.NewFunction(func(x float64) float64 { return x })
	p.Add(same)
	points := make(map[string]plotter.XYs)
	var days []string
	for _, pair := range pairs {
		day := pair.Before.Day
		if points[day] == nil {
			days = append(days, day)
		}
		points[day] = append(points[day], plotter.XY{X: pair.Before.Worth, Y: pair.After.Worth})
	}
	for i, day := range days {
		scatter, err := plotter.NewScatter(points[day])
		if err != nil {
			return err
		}
		scatter.GlyphStyle = draw.GlyphStyle{Color: plotutil.Color(i), Radius: vg.Points(3), Shape: plotutil.Shape(i)}
		p.Add(scatter)
		p.Legend.Add(day, scatter)
	}
	return p.Save(plotWidth, plotHeight, file)
}
