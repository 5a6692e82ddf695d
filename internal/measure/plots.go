package measure

import (
	"fmt"
	"image/color"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

var colours = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff},
	color.RGBA{R: 0x3d, G: 0x8b, B: 0x3d, A: 0xff},
}

// Plots writes the plots of the results as SVG files into a folder.
func Plots(dir string, results []Result) error {
	for k := Kind(0); k < KindCount; k++ {
		if err := plotCompletion(dir, k, results); err != nil {
			return err
		}
	}
	if err := plotUnusable(dir, results); err != nil {
		return err
	}
	return plotZoneLoss(dir, results)
}

// plotCompletion draws the distribution of completion times of one kind over all seeds.
func plotCompletion(dir string, k Kind, results []Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Completion time of %s", k)
	p.X.Label.Text, p.Y.Label.Text = "seconds from arrival", "percentile"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, r := range results {
		var all []float64
		for _, m := range r.Runs {
			all = append(all, m.completion[k]...)
		}
		slices.Sort(all)
		var points plotter.XYs
		for q := 1; q <= 199 && len(all) > 0; q++ {
			at := all[int(float64(q)/200*float64(len(all)-1))]
			points = append(points, plotter.XY{X: max(0.1, at), Y: float64(q) / 2})
		}
		if err := addLine(p, r.Name, i, points); err != nil {
			return err
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, fmt.Sprintf("completion-%s.svg", k)))
}

// plotUnusable draws the share of unusable free accelerators by seed, in order of the share.
func plotUnusable(dir string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Free accelerators that the largest waiting shape cannot use"
	p.X.Label.Text, p.Y.Label.Text = "seeds, in order of the share", "share of free accelerators [%]"
	p.Y.Min = 0
	for i, r := range results {
		var all []float64
		for _, m := range r.Runs {
			all = append(all, 100*m.unusable/max(1, m.free))
		}
		slices.Sort(all)
		var points plotter.XYs
		for n, v := range all {
			points = append(points, plotter.XY{X: float64(n + 1), Y: v})
		}
		if err := addLine(p, r.Name, i, points); err != nil {
			return err
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, "fragmentation.svg"))
}

// plotZoneLoss draws the starts a minute from 15 minutes before a zone is taken out to 30 minutes after, as the median
// over all seeds.
func plotZoneLoss(dir string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Starts a minute around ten minutes of zone loss"
	p.X.Label.Text, p.Y.Label.Text = "minutes from the loss", "starts, median over seeds"
	p.Y.Min = 0
	for i, r := range results {
		out := int(r.Runs[0].workload.OutAt.Minutes())
		var points plotter.XYs
		for minute := out - 15; minute < out+30; minute++ {
			var all []float64
			for _, m := range r.Runs {
				if minute >= 0 && minute < len(m.startsPerMinute) {
					all = append(all, float64(m.startsPerMinute[minute]))
				}
			}
			points = append(points, plotter.XY{X: float64(minute - out), Y: percentile(all, 0.5)})
		}
		if err := addLine(p, r.Name, i, points); err != nil {
			return err
		}
	}
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, "zone-loss.svg"))
}

// addLine adds a result's line to a plot, in the color of the result's index.
func addLine(p *plot.Plot, name string, i int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = colours[i%len(colours)]
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
