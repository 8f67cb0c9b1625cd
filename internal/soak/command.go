package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

// Bounds of the options.
const (
	maxBalancers = 120
	maxMinutes   = 120
)

// common holds the options of all commands that run schedules.
type common struct {
	Program   string  `arg:"--program" default:"bin/gaugeyard-platform" help:"path of gaugeyard-platform"`
	Folder    string  `arg:"--folder" help:"takes settings files and logs (default: a new temporary one)"`
	Network   uint8   `arg:"--network" default:"90" help:"all addresses are 127.NETWORK.x.y"`
	Balancers int     `arg:"--balancers" default:"6"`
	Minutes   float64 `arg:"--minutes" default:"2"`
	Sabotage  string  `arg:"--sabotage" help:"break a rule on purpose"`
	Untimed   bool    `arg:"--untimed" help:"leave out rules that have a time bound"`
	Overlap   bool    `arg:"--overlap" default:"true" help:"troubles come in series and overlap; --overlap=false draws the schedules of before"`
	JSON      bool    `arg:"--json" help:"print the result as JSON"`
	Plot      string  `arg:"--plot" help:"draw latencies and troubles into this SVG or PNG file"`
}

type runCommand struct {
	common
	Seed *uint64 `arg:"--seed" help:"draws the schedule (default: a new one)"`
}

type replayCommand struct {
	common
	Seed uint64 `arg:"positional,required"`
}

type regressionsCommand struct {
	common
}

type listCommand struct{}

type arguments struct {
	Run         *runCommand         `arg:"subcommand:run" help:"run the schedule of a seed"`
	Replay      *replayCommand      `arg:"subcommand:replay" help:"run the schedule of a seed again"`
	Regressions *regressionsCommand `arg:"subcommand:regressions" help:"run again all that ever failed"`
	List        *listCommand        `arg:"subcommand:list" help:"name the troubles and the ways to break rules on purpose"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "gaugeyard-soak runs balancers as real processes over loopback, lets things fail and judges the rules."
}

var errRunFailed = errors.New("a rule was violated or a process failed")

// Main runs the command line and returns the exit status: 0 if no rule was violated and no
// process failed, 1 otherwise, 2 for invalid arguments.
func Main(args []string, out, errOut io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "gaugeyard-soak"}, &parsed)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(out)
		return exitOK
	}
	if err == nil && parser.Subcommand() == nil {
		err = errors.New("missing command: run, replay, regressions or list")
	}
	if err == nil {
		err = parsed.check()
	}
	if err != nil {
		fmt.Fprintln(errOut, "usage:", err)
		return exitInvalid
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := parsed.run(ctx, out, errOut); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}

// check returns an error that names the first invalid option.
func (a *arguments) check() error {
	var options *common
	switch {
	case a.Run != nil:
		options = &a.Run.common
	case a.Replay != nil:
		options = &a.Replay.common
	case a.Regressions != nil:
		options = &a.Regressions.common
	default:
		return nil
	}
	if options.Balancers < 2 || options.Balancers > maxBalancers {
		return fmt.Errorf("--balancers=%d: must be within 2 to %d", options.Balancers, maxBalancers)
	}
	if options.Minutes <= 0 || options.Minutes > maxMinutes {
		return fmt.Errorf("--minutes=%v: must be more than 0 and at most %d", options.Minutes, maxMinutes)
	}
	if _, known := Sabotages[options.Sabotage]; options.Sabotage != "" && !known {
		return fmt.Errorf("--sabotage=%s: allowed are %s", options.Sabotage, strings.Join(slices.Sorted(maps.Keys(Sabotages)), ", "))
	}
	return nil
}

func (a *arguments) run(ctx context.Context, out, errOut io.Writer) error {
	switch {
	case a.Run != nil:
		seed := rand.Uint64N(1 << 32)
		if a.Run.Seed != nil {
			seed = *a.Run.Seed
		}
		return a.Run.run(ctx, seed, out, errOut)
	case a.Replay != nil:
		return a.Replay.run(ctx, a.Replay.Seed, out, errOut)
	case a.Regressions != nil:
		return a.Regressions.runAll(ctx, out, errOut)
	}
	return printList(out)
}

func printList(out io.Writer) error {
	fmt.Fprintln(out, "troubles:")
	for _, kind := range slices.Concat(Kinds, SeriesKinds) {
		fmt.Fprintln(out, " ", kind)
	}
	fmt.Fprintln(out, "ways to break a rule on purpose:")
	for _, name := range slices.Sorted(maps.Keys(Sabotages)) {
		fmt.Fprintf(out, "  %-16s %s\n", name, Sabotages[name])
	}
	return nil
}

// runAll runs every regression.
func (c *regressionsCommand) runAll(ctx context.Context, out, errOut io.Writer) error {
	regressions, err := Regressions()
	if err != nil {
		return err
	}
	var failures error
	for _, regression := range regressions {
		options := c.common
		options.Minutes, options.Balancers, options.Overlap = regression.Length.Minutes(), regression.Balancers, regression.Overlap
		fmt.Fprintf(out, "seed %d: %s\n", regression.Seed, regression.Cause)
		failures = errors.Join(failures, options.run(ctx, regression.Seed, out, errOut))
	}
	fmt.Fprintf(out, "%d regressions\n", len(regressions))
	return failures
}

// run runs the schedule of a seed and prints the result. Progress is logged to events.log and
// copied to errOut if that is a terminal.
func (c *common) run(ctx context.Context, seed uint64, out, errOut io.Writer) error {
	folder := c.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "gaugeyard-soak-"); err != nil {
			return err
		}
	}
	folder = filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	events, err := os.Create(filepath.Join(folder, "events.log"))
	if err != nil {
		return err
	}
	defer events.Close()
	var progress io.Writer = events
	if isTerminal(errOut) {
		progress = io.MultiWriter(events, errOut)
	}
	length := time.Duration(c.Minutes * float64(time.Minute))
	result, err := Run(ctx, Options{
		Seed: seed, Schedule: c.schedule(seed, length), Overlap: c.Overlap, Length: length, Program: c.Program, Folder: folder,
		Network: c.Network, Balancers: c.Balancers, Sabotage: c.Sabotage, Untimed: c.Untimed, Progress: progress,
	})
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := result.SavePlot(c.Plot); err != nil {
			return err
		}
	}
	write := result.Write
	if c.JSON {
		write = result.WriteJSON
	}
	if err := write(out); err != nil {
		return err
	}
	if result.Failed() {
		return errRunFailed
	}
	return nil
}

// schedule returns the schedule of a seed.
func (c *common) schedule(seed uint64, length time.Duration) []Event {
	if c.Overlap {
		return GenerateOverlappingSchedule(seed, length, c.Balancers)
	}
	return GenerateSchedule(seed, length, c.Balancers)
}

// isTerminal reports whether out is a character device, such as a terminal.
func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
