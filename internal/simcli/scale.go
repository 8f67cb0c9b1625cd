package simcli

import (
	"encoding/json"
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gaugeyard/internal/sim"
)

// Defaults of the scale command.
const (
	defaultNodes = 60
	defaultCell  = 15
	defaultLoad  = 0.5
)

// scale measures every combination of nodes, cell and load.
func scale(command *scaleCommand, out, errOut io.Writer) int {
	var results []sim.ScaleResult
	encoder := json.NewEncoder(out)
	for _, nodes := range orDefault(command.Nodes, defaultNodes) {
		for _, cell := range orDefault(command.Cell, defaultCell) {
			for _, load := range orDefault(command.Load, defaultLoad) {
				result, err := sim.MeasureScale(sim.ScaleOptions{Nodes: nodes, Cell: cell, Load: load, Seed: command.Seed})
				if err == nil {
					err = encoder.Encode(result)
				}
				if err != nil {
					fmt.Fprintln(errOut, err)
					return exitInvalid
				}
				results = append(results, result)
			}
		}
	}
	if command.Plot == "" {
		return exitKept
	}
	if err := drawScale(results, command.Plot); err != nil {
		fmt.Fprintln(errOut, err)
		return exitInvalid
	}
	return exitKept
}

func orDefault[T any](values []T, fallback T) []T {
	if len(values) == 0 {
		return []T{fallback}
	}
	return values
}

// drawScale writes a plot of control bytes and convergence against nodes.
func drawScale(results []sim.ScaleResult, file string) error {
	picture := plot.New()
	picture.Title.Text = "Control traffic and convergence against the number of nodes"
	picture.X.Label.Text = "nodes"
	picture.Y.Label.Text = "bytes a second and node; convergence in ms"
	picture.X.Scale = plot.LogScale{}
	picture.X.Tick.Marker = plot.LogTicks{Prec: -1}
	picture.Y.Min = 0
	var median, largest, convergence plotter.XYs
	for _, r := range results {
		x := float64(r.Nodes)
		median = append(median, plotter.XY{X: x, Y: r.ControlBytesMedian})
		largest = append(largest, plotter.XY{X: x, Y: float64(r.ControlBytesMax)})
		convergence = append(convergence, plotter.XY{X: x, Y: r.Convergence * 1000})
	}
	if err := plotutil.AddLinePoints(picture, "median B/s", median, "largest second B", largest, "convergence ms", convergence); err != nil {
		return err
	}
	return picture.Save(18*vg.Centimeter, 11*vg.Centimeter, file)
}
