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

// stopQueue is how many requests to stop may wait to be handled.
const stopQueue = 2

const (
	// gcPercent is how much the heap may grow between two collections. The process
	// allocates little, so that a small heap costs it little processor time.
	gcPercent = 25
	// startGCPercent is that until the settings are known. Their decoding allocates several times
	// what the heap of a process that starts has, and with a small one each megabyte is a collection:
	// settings 0.56 s after a start in the median with 25, 0.45 s with 100 (0.045 of a core).
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

// Main runs the process with the adapter of a platform and returns its exit code.
func Main(args []string, out, errOut io.Writer, adapt func(config *Config, rejected func(err error)) Adapter) int {
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

// run serves until SIGTERM or an interrupt has led to the end of a planned stop.
// An interrupt during the stop ends it at once; SIGHUP reads the settings file again.
func run(path string, config Config, out, errOut io.Writer, adapt func(config *Config, rejected func(err error)) Adapter) int {
	debug.SetGCPercent(startGCPercent)
	node, err := New(config, out)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	node.onSettingsKnown = func() { debug.SetGCPercent(gcPercent) }
	node.adapter = adapt(&config, node.rejected)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer node.listenSignals(path, cancel)()
	if err := node.Run(ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}

// listenSignals carries out what signals ask for until the function that it returns is called. Requests to stop have a
// queue and a goroutine of their own: the runtime drops a signal whose queue is full, and a reload may wait for long.
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

// handleReloads reads the settings file again when asked to, and looks now and then whether it changed without
// that. A request that waits stands for all that come meanwhile.
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

// handleStops starts a planned stop. Asked again meanwhile, it goes on: open flows still pass here, and a supervisor that
// repeats itself must not cut them. An interrupt then ends the process at once, for an operator at a terminal.
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

// rejected counts and logs a part of the desired state that cannot be used. Of settings the last good one
// stays in force; the entry of a back end names none.
func (n *Node) rejected(err error) {
	n.metrics.entriesRejected[errkind.Of(err)].Inc()
	n.logFlow(&n.exceptionLines, "entry rejected", "revision", n.viewRevision.Load(), "error", err)
}
