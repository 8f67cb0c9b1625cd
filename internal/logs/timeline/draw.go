package timeline

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gaugeyard/internal/logs"
)

const (
	pictureWidth  = 24 * vg.Centimeter
	pictureHeight = 12 * vg.Centimeter
)

// Draw plots the numbers of running balancers, of those with the newest settings and of those
// without the store over time. The file's extension (.svg, .png, .pdf) selects the format.
func (d *Timeline) Draw(file string) error {
	picture := plot.New()
	picture.Title.Text = "Balancers over the day"
	picture.X.Label.Text = "seconds since " + d.From.Format(logs.ClockFormat)
	picture.Y.Label.Text = "balancers"
	picture.Y.Min = 0
	var running, newest, withoutStore plotter.XYs
	for _, sample := range d.Samples {
		x := sample.At.Sub(d.From).Seconds()
		running = append(running, plotter.XY{X: x, Y: float64(sample.Running)})
		newest = append(newest, plotter.XY{X: x, Y: float64(sample.Newest)})
		withoutStore = append(withoutStore, plotter.XY{X: x, Y: float64(sample.StoreUnreachable)})
	}
	if len(running) > 0 {
		if err := plotutil.AddLines(picture, "running", running, "with the newest settings", newest, "without the store", withoutStore); err != nil {
			return err
		}
	}
	return picture.Save(pictureWidth, pictureHeight, file)
}
