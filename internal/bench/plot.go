package bench

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth   = 18 * vg.Centimeter
	plotHeight  = 12 * vg.Centimeter
	curvePoints = 400 // points of each drawn distribution
)

type point struct{ x, y float64 }

type line struct {
	name   string
	points []point
}

type chart struct {
	title, x, y string
	logX        bool
	lines       []line
}

// savePlot draws a chart and saves it in the format of the path's extension.
func savePlot(path string, c chart) error {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text, p.Y.Label.Text = c.x, c.y
	p.Legend.Top = true
	if c.logX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		p.Legend.Top = false
	}
	for i, l := range c.lines {
		xy := make(plotter.XYs, len(l.points))
		for k, v := range l.points {
			xy[k].X, xy[k].Y = v.x, v.y
		}
		if len(xy) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		drawn.Color, drawn.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// curve is a named set of values whose distribution is drawn.
type curve struct {
	name   string
	values []float64
}

// saveCurves writes the cumulative distributions of the curves' values as name.csv and name.png. It sorts the values.
func saveCurves(name, title string, curves []curve) error {
	lines := [][]string{{"share"}}
	c := chart{title: title, x: "response / own time", y: "share of the jobs", logX: true}
	for _, v := range curves {
		lines[0] = append(lines[0], v.name)
		c.lines = append(c.lines, line{name: v.name})
	}
	for step := 1; step <= curvePoints; step++ {
		share := float64(step) / curvePoints
		cells := []string{formatFloat(share)}
		for i, v := range curves {
			if step == 1 {
				slices.Sort(v.values)
			}
			at := quantile(v.values, share)
			cells = append(cells, formatFloat(at))
			if at > 0 {
				c.lines[i].points = append(c.lines[i].points, point{at, share})
			}
		}
		lines = append(lines, cells)
	}
	if err := writeCSV(name+".csv", lines); err != nil {
		return err
	}
	return savePlot(name+".png", c)
}

// quantile returns a quantile of sorted values, 0 without values.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
