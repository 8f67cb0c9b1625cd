// Package cli parses the command line of gaugeyard and runs the command.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"

	"gaugeyard/internal/datapath"
	"gaugeyard/internal/operator"
)

// balancerCommand holds the flags of a balancer. They are strings because
// datapath.LoadConfig validates them and reports all errors at once.
type balancerCommand struct {
	Config    string  `arg:"--config" help:"settings file (YAML) with the same names as the flags"`
	Zone      *string `arg:"--zone" help:"zone of this machine"`
	Cell      *string `arg:"--cell" help:"cell of this machine: the balancers that own flows together [default: main]"`
	Data      *string `arg:"--data" help:"IP:port for datagrams of the fabric"`
	Peer      *string `arg:"--peer" help:"IP:port for other balancers"`
	Admin     *string `arg:"--admin" help:"IP:port on loopback for operators: /healthz /status /metrics /settings"`
	Deliver   *string `arg:"--deliver" help:"IP:port where the fabric takes answers to callers"`
	Store     *string `arg:"--store" help:"URL of the key-value service"`
	Machines  *string `arg:"--machines" help:"URL of the machine list"`
	Peers     *string `arg:"--peers" help:"IP:port of other balancers, separated by commas"`
	Workers   *string `arg:"--workers" help:"workers on each socket [default: 4]"`
	LogFormat *string `arg:"--log-format" help:"text or json [default: text]"`
	Bootstrap *string `arg:"--bootstrap" help:"true when no balancer of this fleet has run before"`
}

// flags returns the flags that were given.
func (c *balancerCommand) flags() []datapath.Flag {
	var flags []datapath.Flag
	for _, flag := range []struct {
		name  string
		value *string
	}{
		{"zone", c.Zone}, {"cell", c.Cell}, {"data", c.Data}, {"peer", c.Peer}, {"admin", c.Admin}, {"deliver", c.Deliver},
		{"store", c.Store}, {"machines", c.Machines}, {"peers", c.Peers}, {"workers", c.Workers},
		{"log-format", c.LogFormat}, {"bootstrap", c.Bootstrap},
	} {
		if flag.value != nil {
			flags = append(flags, datapath.Flag{Name: flag.name, Value: *flag.value})
		}
	}
	return flags
}

type arguments struct {
	Balancer  *balancerCommand           `arg:"subcommand:balancer" help:"run a balancer"`
	Get       *operator.GetCommand       `arg:"subcommand:get" help:"print effective settings and where each comes from"`
	Set       *operator.SetCommand       `arg:"subcommand:set" help:"give a node settings of its own"`
	Unset     *operator.UnsetCommand     `arg:"subcommand:unset" help:"let a node inherit again, or remove it"`
	Apply     *operator.ApplyCommand     `arg:"subcommand:apply" help:"replace the tree by a file"`
	Diff      *operator.DiffCommand      `arg:"subcommand:diff" help:"print what apply would change"`
	History   *operator.HistoryCommand   `arg:"subcommand:history" help:"list accepted edits"`
	Validate  *operator.ValidateCommand  `arg:"subcommand:validate" help:"check a file"`
	Status    *operator.StatusCommand    `arg:"subcommand:status" help:"print the state of balancers and back ends"`
	Drain     *operator.DrainCommand     `arg:"subcommand:drain" help:"end new flows to a back end"`
	Undrain   *operator.UndrainCommand   `arg:"subcommand:undrain" help:"let new flows to a back end again"`
	Evacuate  *operator.EvacuateCommand  `arg:"subcommand:evacuate" help:"end new flows to a zone"`
	Restore   *operator.RestoreCommand   `arg:"subcommand:restore" help:"let new flows to a zone again"`
	Republish *operator.RepublishCommand `arg:"subcommand:republish" help:"write what is in force back to a store that lost it"`
	Explain   *explainCommand            `arg:"subcommand:explain" help:"tell from logs what became of a flow, and why"`
	Timeline  *timelineCommand           `arg:"subcommand:timeline" help:"tell from logs what balancers believed when"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "gaugeyard balances long-lived sessions at layer 4 and never drops them."
}

// Main runs the command line and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "gaugeyard"}, &parsed)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return operator.ExitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return operator.ExitOK
	case err != nil:
		fmt.Fprintln(errOut, err)
		return operator.ExitInvalid
	case parsed.Balancer != nil:
		return runBalancer(parsed.Balancer, errOut)
	}
	switch {
	case parsed.Explain != nil:
		return parsed.Explain.run(stdin, out, errOut)
	case parsed.Timeline != nil:
		return parsed.Timeline.run(stdin, out, errOut)
	}
	command, ok := parser.Subcommand().(operator.Command)
	if !ok {
		parser.WriteHelp(errOut)
		return operator.ExitInvalid
	}
	return operator.Execute(command, out, errOut)
}

// runBalancer runs a balancer. SIGTERM or SIGINT starts a graceful shutdown; a
// second signal stops it immediately.
func runBalancer(command *balancerCommand, errOut io.Writer) int {
	config, configErrs := datapath.LoadConfig(command.Config, command.flags())
	for _, configErr := range configErrs {
		fmt.Fprintln(errOut, configErr)
	}
	if len(configErrs) > 0 {
		return operator.ExitInvalid
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "gaugeyard", Output: errOut, JSONFormat: config.LogFormat == "json"})
	node, err := datapath.New(config, log)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return operator.ExitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		node.Leave()
		<-signals
		cancel()
	}()
	if err := node.Run(ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return operator.ExitFailed
	}
	return operator.ExitOK
}
