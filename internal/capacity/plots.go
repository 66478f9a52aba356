package capacity

import (
	"fmt"
	"image/color"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/threadwall/threadwall/internal/yardstick"
)

// Sizes of the plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 9    // points
	cutSeconds = 10   // bars of a TTFT are cut off at this height
	halfGroup  = 0.5  // half the width of a workload on the X axis
	legendRoom = 1.35 // factor on the Y axis, so that the legend covers no bars
)

var barColors = []color.Color{
	color.Gray{Y: 190},
	color.Gray{Y: 150},
	color.RGBA{R: 120, G: 160, B: 200, A: 255},
	color.RGBA{R: 40, G: 40, B: 40, A: 255},
	color.RGBA{R: 200, G: 90, B: 40, A: 255},
}

var lineColors = []color.Color{
	color.Gray{Y: 130},
	color.RGBA{R: 40, G: 110, B: 180, A: 255},
	color.RGBA{R: 200, G: 90, B: 40, A: 255},
	color.RGBA{R: 110, G: 175, B: 225, A: 255},
	color.RGBA{R: 130, G: 40, B: 20, A: 255},
	color.RGBA{R: 60, G: 140, B: 70, A: 255},
}

// PlotPolicies draws a metric of each policy on each workload as bars, to name.svg in dir. The
// results must be grouped by workload, with the same policies for each.
func PlotPolicies(dir, name, title string, results []*yardstick.Result, metric func(*yardstick.Result) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top, p.Legend.Left = true, true
	var workloads, policies []string
	values := map[string]plotter.Values{}
	for _, r := range results {
		if len(workloads) == 0 || workloads[len(workloads)-1] != r.Workload {
			workloads = append(workloads, r.Workload)
		}
		if values[r.Policy] == nil {
			policies = append(policies, r.Policy)
		}
		values[r.Policy] = append(values[r.Policy], metric(r))
	}
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(values[policy], vg.Points(barWidth))
		if err != nil {
			return eris.Wrapf(err, "plot %s", name)
		}
		bars.Color = barColors[i%len(barColors)]
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(workloads...)
	p.X.Min, p.X.Max = -halfGroup, float64(len(workloads)-1)+halfGroup
	p.Y.Max *= legendRoom
	return save(p, dir, name)
}

// Point is a measured value Y at X.
type Point struct{ X, Y float64 }

// Line is a series of points.
type Line struct {
	Name   string // in the legend; a line without a name is not in it
	Points []Point
}

// PlotLine draws one line without a legend, to name.svg in dir. The axis labels are x and y.
func PlotLine(dir, name, title, x, y string, points []Point) error {
	return PlotLines(dir, name, title, x, y, []Line{{Points: points}})
}

// PlotLines draws lines over shared axes that begin at 0, to name.svg in dir. The axis labels are
// x and y.
func PlotLines(dir, name, title, x, y string, lines []Line) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.X.Min, p.Y.Min = 0, 0
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		var xys plotter.XYs
		for _, pt := range l.Points {
			xys = append(xys, plotter.XY{X: pt.X, Y: pt.Y})
		}
		line, dots, err := plotter.NewLinePoints(xys)
		if err != nil {
			return eris.Wrapf(err, "plot %s", name)
		}
		p.Add(line, dots)
		if l.Name == "" {
			continue
		}
		line.Color = lineColors[i%len(lineColors)]
		dots.Color = line.Color
		p.Legend.Add(l.Name, line, dots)
	}
	return save(p, dir, name)
}

func save(p *plot.Plot, dir, name string) error {
	return eris.Wrapf(p.Save(plotWidth, plotHeight, filepath.Join(dir, name+".svg")), "plot %s", name)
}

// Plots runs the measurements and draws the plots of docs/plots into dir.
func Plots(dir string) error {
	var results []*yardstick.Result
	for _, w := range yardstick.Workloads(1) {
		for _, p := range append(yardstick.Baselines(), yardstick.Product()) {
			results = append(results, yardstick.Run(w, p))
		}
	}
	hit := func(r *yardstick.Result) float64 { return r.HitRate() }
	p99 := func(r *yardstick.Result) float64 { return min(r.Percentile(99)/1000, cutSeconds) }
	if err := PlotPolicies(dir, "hit-rate", "Prefix hit rate", results, hit); err != nil {
		return err
	}
	if err := PlotPolicies(dir, "ttft-p99", fmt.Sprintf("TTFT p99 in seconds, cut at %d", cutSeconds), results, p99); err != nil {
		return err
	}
	var decide, updates []Point
	for _, replicas := range []int{9, 40, 153, 300, 600} {
		decide = append(decide, Point{X: float64(replicas), Y: Decide(replicas, 100_000).P50})
	}
	for _, vms := range []int{2, 8, 15, 22} {
		row, err := MeasureUpdates(UpdatesSpec{VMs: vms, Targets: 153, Dispatches: 1.5, Workspaces: 10, Span: updatesSpan})
		if err != nil {
			return err
		}
		updates = append(updates, Point{X: float64(vms), Y: row.BytesIn})
	}
	if err := PlotLine(dir, "decide", "Decision, 100,000 cache view entries", "replicas", "p50 in microseconds", decide); err != nil {
		return err
	}
	return PlotLine(dir, "news", "Updates between VMs of a domain", "VMs", "bytes/s in, and as much out", updates)
}
