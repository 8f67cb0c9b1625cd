// Package simcli implements the command line of gaugeyard-sim.
package simcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/alexflint/go-arg"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/sim"
)

// Exit statuses.
const (
	exitOK        = 0
	exitViolation = 1
	exitInvalid   = 2
)

type runCommand struct {
	Deployment string   `arg:"--deployment" default:"litera" help:"litera, forecast or all"`
	Scenario   string   `arg:"--scenario" default:"all" help:"a name from list, or all"`
	Seed       uint64   `arg:"--seed" default:"1"`
	Seeds      int      `arg:"--seeds" default:"1" help:"run so many seeds from --seed on"`
	Strategy   string   `arg:"--strategy" default:"replicated" help:"replicated, owner, consistent or modulo"`
	Without    []string `arg:"--without,separate" help:"a mechanism to turn off; see list"`
	Scale      float64  `arg:"--scale" default:"1" help:"multiplies flows and requests"`
	LoadFactor string   `arg:"--load-factor" help:"the placement dial in place of the deployment's"`
}

type listCommand struct{}

type arguments struct {
	Run      *runCommand      `arg:"subcommand:run" help:"run scenarios; one JSON object a line; status 1 when a promise broke"`
	Platform *platformCommand `arg:"subcommand:platform" help:"run fleets on the users' platform; one JSON object a line; status 1 when a rule broke"`
	List     *listCommand     `arg:"subcommand:list" help:"list deployments, scenarios, strategies and mechanisms"`
}

// Main runs the command line and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "gaugeyard-sim"}, &parsed)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitInvalid
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, err)
		return exitInvalid
	case parsed.List != nil:
		list(out)
		return exitOK
	case parsed.Platform != nil:
		return runPlatform(parsed.Platform, out, errOut)
	case parsed.Run != nil:
		return run(parsed.Run, out, errOut)
	}
	parser.WriteHelp(errOut)
	return exitInvalid
}

func list(out io.Writer) {
	fmt.Fprintln(out, "deployments:", strings.Join(sim.DeploymentNames, ", "))
	fmt.Fprintln(out, "strategies: replicated, owner, consistent, modulo")
	fmt.Fprintln(out, "mechanisms:", strings.Join(mechanismNames(), ", "))
	fmt.Fprintln(out, "scenarios:")
	for _, scenario := range sim.Scenarios {
		fmt.Fprintf(out, "  %-38s %s\n", scenario.Name, scenario.Description)
	}
}

func run(command *runCommand, out, errOut io.Writer) int {
	plans, err := plan(command)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitInvalid
	}
	status := exitOK
	encoder := json.NewEncoder(out)
	for _, options := range plans {
		result := sim.Run(options)
		if len(result.Violations) > 0 {
			status = exitViolation
		}
		if err := encoder.Encode(result); err != nil {
			fmt.Fprintln(errOut, err)
			return exitInvalid
		}
	}
	return status
}

// plan returns the options of each run that the command selects.
func plan(command *runCommand) ([]sim.Options, error) {
	strategy, err := balancer.ParseStrategy(command.Strategy)
	if err != nil {
		return nil, err
	}
	base := sim.Options{Strategy: strategy, Scale: command.Scale}
	for _, name := range command.Without {
		if err := disableMechanism(&base, name); err != nil {
			return nil, err
		}
	}
	scenarios := sim.Scenarios
	if command.Scenario != "all" {
		scenario, found := sim.FindScenario(command.Scenario)
		if !found {
			return nil, fmt.Errorf("unknown scenario %q: gaugeyard-sim list shows the names", command.Scenario)
		}
		scenarios = []sim.Scenario{scenario}
	}
	names := sim.DeploymentNames
	if command.Deployment != "all" {
		names = []string{command.Deployment}
	}
	var plans []sim.Options
	for _, name := range names {
		deployment, err := sim.NewDeployment(name)
		if err != nil {
			return nil, err
		}
		if command.LoadFactor != "" {
			if err := deployment.Tree.Set("", settings.KeyLoadFactor, command.LoadFactor); err != nil {
				return nil, err
			}
		}
		for _, scenario := range scenarios {
			for seed := range max(1, command.Seeds) {
				options := base
				options.Deployment, options.Scenario, options.Seed = deployment, scenario, command.Seed+uint64(seed)
				plans = append(plans, options)
			}
		}
	}
	return plans, nil
}

// mechanismNames returns the names that --without accepts: the field names of
// balancer.Mechanisms and sim.OperatorMechanisms in kebab case, without the prefix No.
func mechanismNames() []string {
	var names []string
	for _, t := range []reflect.Type{reflect.TypeFor[balancer.Mechanisms](), reflect.TypeFor[sim.OperatorMechanisms]()} {
		for i := range t.NumField() {
			names = append(names, kebabCase(strings.TrimPrefix(t.Field(i).Name, "No")))
		}
	}
	slices.Sort(names)
	return names
}

func kebabCase(name string) string {
	var text strings.Builder
	for i, letter := range name {
		if i > 0 && letter >= 'A' && letter <= 'Z' {
			text.WriteByte('-')
		}
		text.WriteString(strings.ToLower(string(letter)))
	}
	return text.String()
}

func disableMechanism(options *sim.Options, name string) error {
	for _, v := range []reflect.Value{reflect.ValueOf(&options.Mechanisms).Elem(), reflect.ValueOf(&options.Operators).Elem()} {
		for i := range v.NumField() {
			if kebabCase(strings.TrimPrefix(v.Type().Field(i).Name, "No")) == name {
				v.Field(i).SetBool(true)
				return nil
			}
		}
	}
	return fmt.Errorf("unknown mechanism %q: want one of %s", name, strings.Join(mechanismNames(), ", "))
}
