package tagged

import (
	"context"
	"io"
	"math/rand/v2"
	"time"
)

// RunConfig configures Run.
type RunConfig struct {
	WorldConfig
	Duration time.Duration
	// DrainAt, EditAt, CompactAt and SilentAt are the times of scheduled actions since the
	// balancers were ready; 0 is never. SilentFor is how long the store stays silent.
	DrainAt, EditAt, CompactAt, SilentAt, SilentFor time.Duration
}

// editedRoutes is the number of routes that the edit at EditAt adds.
const editedRoutes = 100

// Run runs the platform with the given balancers and returns the report. It writes progress
// to out.
func Run(ctx context.Context, config RunConfig, out io.Writer) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := NewWorld(ctx, config.WorldConfig, out)
	if err != nil {
		return Report{}, err
	}
	if err := w.AwaitReady(ctx); err != nil {
		return Report{}, err
	}
	w.schedule(&config)
	runCtx, stop := context.WithTimeout(ctx, config.Duration)
	defer stop()
	w.Serve(runCtx)
	return w.Report(), nil
}

// schedule starts timers for the configured actions.
func (w *World) schedule(config *RunConfig) {
	after := func(at time.Duration, do func()) {
		if at > 0 {
			time.AfterFunc(at, do)
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	after(config.EditAt, func() { w.AddRoutes(editedRoutes) })
	after(config.DrainAt, func() {
		w.ReplaceServer(random, false)
		w.ReplaceServer(random, true)
	})
	after(config.CompactAt, w.CompactStore)
	after(config.SilentAt, func() { w.SilenceStore(config.SilentFor) })
}
