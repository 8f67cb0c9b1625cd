package edge

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/hangup"
)

// Exit codes of the process.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

// stopQueue bounds the stop signals that wait to be handled.
const stopQueue = 2

const (
	// gcPercent is the heap growth between two garbage collections, in percent. It is low since the process
	// allocates little.
	gcPercent = 25
	// startGCPercent applies until the settings are known. Decoding them allocates several times the heap of
	// a process that has just started, and gcPercent would delay the start with collections: settings are
	// known after 0.56 s in place of 0.45 s at 0.045 of a core.
	startGCPercent = 100
)

type arguments struct {
	Settings string `arg:"--settings,env:GAUGEYARD_SETTINGS,required" help:"settings file of the process (YAML)"`
	Check    bool   `arg:"--check" help:"check the settings file and end"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "gaugeyard-platform runs a balancer on a platform whose packets carry tags."
}

// Main runs the process and returns its exit code. adapt returns the adapter of the platform.
func Main(args []string, out, errOut io.Writer, adapt func(config *Config, report Report) Adapter) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "gaugeyard-platform"}, &parsed)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	switch err := parser.Parse(args); {
	case err == arg.ErrHelp:
		parser.WriteHelp(out)
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, err)
		return exitInvalid
	}
	config, faults := LoadConfig(parsed.Settings)
	for _, fault := range faults {
		fmt.Fprintln(errOut, fault)
	}
	if len(faults) > 0 {
		return exitInvalid
	}
	if parsed.Check {
		return exitOK
	}
	return run(parsed.Settings, config, out, errOut, adapt)
}

// run serves until the planned stop that SIGTERM or an interrupt starts is over. An interrupt during the
// stop ends the process at once. SIGHUP reloads the settings file.
func run(path string, config Config, out, errOut io.Writer, adapt func(config *Config, report Report) Adapter) int {
	debug.SetGCPercent(startGCPercent)
	node, err := New(config, out)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	node.onSettingsKnown = func() { debug.SetGCPercent(gcPercent) }
	node.adapter = adapt(&config, Report{Rejected: node.rejected, Corrected: node.corrected})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer node.listenSignals(path, cancel)()
	if err := node.Run(ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}

// listenSignals handles signals until end is called. Stop signals have their own queue and goroutine: the
// runtime drops a signal whose queue is full, and a reload may block for long.
func (n *Node) listenSignals(path string, cancel context.CancelFunc) (end func()) {
	stops := make(chan os.Signal, stopQueue)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	done := make(chan struct{})
	go n.handleReloads(hangup.Received(), done, path)
	go n.handleStops(stops, done, cancel)
	return func() {
		signal.Stop(stops)
		close(done)
	}
}

// handleReloads reloads the settings file on each signal, and at intervals if the file has changed. One
// pending signal covers all that arrive meanwhile.
func (n *Node) handleReloads(reloads <-chan os.Signal, done <-chan struct{}, path string) {
	poll := time.NewTicker(reloadPoll)
	defer poll.Stop()
	for {
		select {
		case <-done:
			return
		case <-reloads:
			n.reload(path, true)
		case <-poll.C:
			n.reload(path, false)
		}
	}
}

// handleStops starts a planned stop at the first signal. A further SIGTERM is ignored, so that a supervisor
// that repeats it does not break open flows. An interrupt during the stop ends the process at once.
func (n *Node) handleStops(stops <-chan os.Signal, done <-chan struct{}, cancel context.CancelFunc) {
	stopping := false
	for {
		select {
		case <-done:
			return
		case received := <-stops:
			if stopping && received == os.Interrupt {
				cancel()
				return
			}
			stopping = true
			n.Leave()
		}
	}
}

// rejected counts and logs an entry of the desired state that cannot be used. The last valid settings stay in
// force; an invalid entry of a back end names no usable server.
func (n *Node) rejected(err error) {
	n.metrics.entriesRejected[errkind.Of(err)].Inc()
	n.logFlow(&n.exceptionLines, "entry rejected", "revision", n.viewRevision.Load(), "error", err)
}

// corrected counts and logs a value that was replaced, or a part that was left out, of an entry that is used.
func (n *Node) corrected(err error) {
	n.metrics.entriesCorrected.Inc()
	n.logFlow(&n.exceptionLines, "entry corrected", "revision", n.viewRevision.Load(), "error", err)
}
