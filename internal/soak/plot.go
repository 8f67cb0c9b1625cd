package soak

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	pictureWidth  = 28 * vg.Centimeter
	pictureHeight = 12 * vg.Centimeter
	dotRadius     = 1
)

// unansweredMs is the latency at which unanswered requests are drawn.
const unansweredMs = 10_000

// SavePlot plots the latency of each request over time, with unanswered requests at the top
// and a vertical line for each fault. The extension of path selects the format.
func (r *Result) SavePlot(path string) error {
	picture := plot.New()
	picture.Title.Text = "requests of the soak"
	picture.X.Label.Text = "s; grey lines: troubles"
	picture.Y.Label.Text = "ms until the answer; top: without an answer"
	picture.Y.Scale = plot.LogScale{}
	picture.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	var answered, missing plotter.XYs
	for _, outcome := range r.Report.Outcomes {
		at := outcome.SentS - r.start.Seconds()
		if outcome.Answered {
			answered = append(answered, plotter.XY{X: at, Y: max(0.1, outcome.LatencyMs)})
		} else {
			missing = append(missing, plotter.XY{X: at, Y: unansweredMs})
		}
	}
	for _, event := range r.Schedule {
		at := event.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0.1}, {X: at, Y: unansweredMs}})
		if err != nil {
			return err
		}
		line.Color = color.Gray{Y: 200}
		picture.Add(line)
	}
	for _, dots := range []struct {
		points plotter.XYs
		color  color.Color
	}{{answered, color.RGBA{B: 160, A: 255}}, {missing, color.RGBA{R: 200, A: 255}}} {
		if len(dots.points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(dots.points)
		if err != nil {
			return err
		}
		scatter.GlyphStyle.Color, scatter.GlyphStyle.Radius = dots.color, vg.Points(dotRadius)
		picture.Add(scatter)
	}
	return picture.Save(pictureWidth, pictureHeight, path)
}
