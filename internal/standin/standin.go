// Package standin is the command line of the stand-ins for the platform's store, machine
// list, network, back ends and callers.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"gaugeyard/internal/discovery"

	"gaugeyard/internal/standin/backend"
	"gaugeyard/internal/standin/caller"
	"gaugeyard/internal/standin/fabric"
	"gaugeyard/internal/standin/machines"
	"gaugeyard/internal/standin/store"
	"gaugeyard/internal/standin/tagged"
)

type storeCommand struct {
	Listen   string        `arg:"--listen,required" help:"IP:port for HTTP"`
	Interval time.Duration `arg:"--write-interval" default:"20ms" help:"minimum time between two writes"`
}

type machinesCommand struct {
	Listen   string        `arg:"--listen,required" help:"IP:port for HTTP"`
	Lag      time.Duration `arg:"--lag" default:"1s" help:"delay until a change is listed"`
	Balancer []string      `arg:"--balancer,separate,required" placeholder:"ZONE,DATA,PEER,ADMIN"`
}

type fabricCommand struct {
	Service  []netip.AddrPort `arg:"--service,separate,required"`
	Return   netip.AddrPort   `arg:"--return,required" help:"receives datagrams of back ends"`
	Deliver  netip.AddrPort   `arg:"--deliver,required" help:"receives answers of balancers"`
	Machines string           `arg:"--machines,required" help:"URL of the machine list"`
}

type backendCommand struct {
	Address  netip.AddrPort   `arg:"--address,required"`
	Report   netip.AddrPort   `arg:"--report,required" help:"IP:port for HTTP: /metrics /record"`
	Return   netip.AddrPort   `arg:"--return,required"`
	Service  []netip.AddrPort `arg:"--service,separate,required"`
	Slots    int              `arg:"--slots" default:"2"`
	Work     time.Duration    `arg:"--work" default:"10ms"`
	Interval time.Duration    `arg:"--interval" default:"200ms"`
}

type callerCommand struct {
	Name     string        `arg:"--name" default:"caller"`
	Feed     string        `arg:"--feed" help:"address of the feed service"`
	Run      string        `arg:"--run" help:"address of the request service"`
	Upload   string        `arg:"--upload" help:"address of the upload service"`
	Feeds    int           `arg:"--feeds"`
	Runs     int           `arg:"--runs"`
	Uploads  int           `arg:"--uploads"`
	Bytes    int           `arg:"--upload-bytes" default:"20000"`
	Duration time.Duration `arg:"--duration" default:"5s"`
	Pause    time.Duration `arg:"--pause" default:"20ms"`
	Stall    time.Duration `arg:"--stall" default:"8s"`
}

type platformCommand struct {
	Store     netip.AddrPort `arg:"--store,required" help:"IP:port of the store"`
	Balancer  []string       `arg:"--balancer,separate,required" placeholder:"ZONE,DATA,READY"`
	ReadyPath string         `arg:"--ready-path" default:"/readiness"`
	Network   uint8          `arg:"--network" default:"50" help:"servers and clients use 127.NETWORK.x.y"`
	Duration  time.Duration  `arg:"--duration" default:"10s"`
	DrainAt   time.Duration  `arg:"--drain-at"`
	EditAt    time.Duration  `arg:"--edit-at"`
	CompactAt time.Duration  `arg:"--compact-at"`
	SilentAt  time.Duration  `arg:"--silent-at"`
	SilentFor time.Duration  `arg:"--silent-for" default:"3s"`
}

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"simulate a platform whose packets carry tags, and check its rules"`
	Store    *storeCommand    `arg:"subcommand:store"`
	Machines *machinesCommand `arg:"subcommand:machines"`
	Fabric   *fabricCommand   `arg:"subcommand:fabric"`
	Backend  *backendCommand  `arg:"subcommand:backend"`
	Caller   *callerCommand   `arg:"subcommand:caller"`
	Judge    *judgeCommand    `arg:"subcommand:judge" help:"compare what callers were told with what back ends ran"`
}

// Main runs the command line until SIGTERM or SIGINT and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "gaugeyard-standin"}, &parsed)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(out)
		return 0
	}
	if err != nil || parser.Subcommand() == nil {
		fmt.Fprintln(errOut, "usage:", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, parsed, out); err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	return 0
}

func run(ctx context.Context, parsed arguments, out io.Writer) error {
	switch {
	case parsed.Store != nil:
		return serve(ctx, parsed.Store.Listen, store.New(parsed.Store.Interval))
	case parsed.Machines != nil:
		return runMachines(ctx, parsed.Machines)
	case parsed.Fabric != nil:
		c := parsed.Fabric
		running, err := fabric.New(fabric.Config{Services: c.Service, Return: c.Return, Deliver: c.Deliver, Machines: c.Machines})
		if err != nil {
			return err
		}
		return running.Run(ctx)
	case parsed.Backend != nil:
		c := parsed.Backend
		running, err := backend.New(backend.Config{Address: c.Address, Report: c.Report, Return: c.Return,
			Services: c.Service, Slots: c.Slots, Work: c.Work, Interval: c.Interval})
		if err != nil {
			return err
		}
		return running.Run(ctx)
	}
	if parsed.Judge != nil {
		return judge(parsed.Judge, out)
	}
	if parsed.Platform != nil {
		return runPlatform(ctx, parsed.Platform, out)
	}
	c := parsed.Caller
	report, err := caller.Run(ctx, caller.Config{Name: c.Name, Feed: c.Feed, Run: c.Run, Upload: c.Upload, Feeds: c.Feeds,
		Runs: c.Runs, Uploads: c.Uploads, UploadBytes: c.Bytes, Duration: c.Duration, Pause: c.Pause, StallTimeout: c.Stall})
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(report)
}

// errRuleViolated means that the report has a violation of a rule.
var errRuleViolated = errors.New("at least one rule was violated")

// runPlatform runs the platform for its duration and prints the report as JSON. It returns
// errRuleViolated if any rule was violated.
func runPlatform(ctx context.Context, c *platformCommand, out io.Writer) error {
	config := tagged.RunConfig{
		WorldConfig: tagged.WorldConfig{Store: c.Store, ReadyPath: c.ReadyPath, Network: c.Network},
		Duration:    c.Duration, DrainAt: c.DrainAt, EditAt: c.EditAt, CompactAt: c.CompactAt, SilentAt: c.SilentAt, SilentFor: c.SilentFor,
	}
	for _, text := range c.Balancer {
		parts := strings.Split(text, ",")
		if len(parts) != 3 {
			return fmt.Errorf("--balancer=%q: must be ZONE,DATA,READY", text)
		}
		data, dataErr := netip.ParseAddrPort(parts[1])
		ready, readyErr := netip.ParseAddrPort(parts[2])
		if err := errors.Join(dataErr, readyErr); err != nil {
			return fmt.Errorf("--balancer=%q: %w", text, err)
		}
		config.Balancers = append(config.Balancers, tagged.Balancer{Zone: parts[0], Data: data, Ready: ready})
	}
	report, err := tagged.Run(ctx, config, out)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errRuleViolated
	}
	return nil
}

func runMachines(ctx context.Context, c *machinesCommand) error {
	var list []discovery.Machine
	for _, text := range c.Balancer {
		parts := strings.Split(text, ",")
		if len(parts) != 4 {
			return fmt.Errorf("--balancer=%q: must be ZONE,DATA,PEER,ADMIN", text)
		}
		group := discovery.TargetGroup{
			Targets: []string{parts[3]},
			Labels:  discovery.MachineLabels{Zone: parts[0], Data: parts[1], Peer: parts[2]},
		}
		machine, err := group.Machine()
		if err != nil {
			return err
		}
		list = append(list, machine)
	}
	running := machines.New(list, c.Lag)
	go running.Run(ctx)
	return serve(ctx, c.Listen, running)
}

// serve serves HTTP at an address until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}
