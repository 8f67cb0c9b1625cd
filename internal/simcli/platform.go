package simcli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"gaugeyard/internal/emulator"
)

type platformCommand struct {
	Scenario  string   `arg:"--scenario" default:"all" help:"a name from --list, or all"`
	Seed      uint64   `arg:"--seed" default:"1"`
	Seeds     int      `arg:"--seeds" default:"1" help:"run so many seeds from --seed on"`
	Without   []string `arg:"--without,separate" help:"a mechanism to turn off; see --list"`
	Steady    bool     `arg:"--steady" help:"routers that move only the flows of a balancer that comes or goes"`
	Balancers int      `arg:"--balancers" default:"3" help:"balancers in each zone"`
	Zones     int      `arg:"--zones" default:"3"`
	Trace     string   `arg:"--trace" placeholder:"IP:PORT" help:"print what happens to the flow of one caller"`
	List      bool     `arg:"--list" help:"list scenarios and mechanisms"`
}

// runPlatform runs the platform emulator and writes one JSON object per line.
func runPlatform(command *platformCommand, out, errOut io.Writer) int {
	if command.List {
		listPlatform(out)
		return exitOK
	}
	options, scenarios, err := planPlatform(command, errOut)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitInvalid
	}
	status := exitOK
	encoder := json.NewEncoder(out)
	for _, scenario := range scenarios {
		for i := range command.Seeds {
			options.Scenario, options.Seed = scenario, command.Seed+uint64(i)
			result := emulator.Run(options)
			if len(result.Violations) > 0 {
				status = exitViolation
			}
			if err := encoder.Encode(result); err != nil {
				fmt.Fprintln(errOut, err)
				return exitInvalid
			}
		}
	}
	return status
}

func planPlatform(command *platformCommand, trace io.Writer) (emulator.Options, []emulator.Scenario, error) {
	options := emulator.Options{Steady: command.Steady, BalancersPerZone: command.Balancers, Zones: command.Zones}
	const maxCount = 60
	if command.Balancers < 1 || command.Balancers > maxCount || command.Zones < 1 || command.Zones > maxCount {
		return options, nil, fmt.Errorf("--balancers and --zones must be between 1 and %d", maxCount)
	}
	if command.Trace != "" {
		caller, err := netip.ParseAddrPort(command.Trace)
		if err != nil {
			return options, nil, fmt.Errorf("--trace: %w", err)
		}
		options.Traced = caller
		options.Trace = func(at time.Duration, line string) { fmt.Fprintf(trace, "%9.4f s  %s\n", at.Seconds(), line) }
	}
	for _, name := range command.Without {
		field := reflect.ValueOf(&options.Without).Elem().FieldByNameFunc(func(field string) bool { return strings.EqualFold(field, name) })
		if !field.IsValid() {
			return options, nil, fmt.Errorf("--without %q: unknown mechanism; want one of %s", name, strings.Join(platformMechanisms(), ", "))
		}
		field.SetBool(true)
	}
	if command.Scenario == "all" {
		return options, emulator.Scenarios, nil
	}
	scenario, found := emulator.Find(command.Scenario)
	if !found {
		return options, nil, fmt.Errorf("--scenario %q: unknown scenario; --list shows the names", command.Scenario)
	}
	return options, []emulator.Scenario{scenario}, nil
}

func platformMechanisms() []string {
	structType := reflect.TypeFor[emulator.Without]()
	var names []string
	for i := range structType.NumField() {
		names = append(names, strings.ToLower(structType.Field(i).Name))
	}
	slices.Sort(names)
	return names
}

func listPlatform(out io.Writer) {
	fmt.Fprintln(out, "mechanisms:", strings.Join(platformMechanisms(), ", "))
	fmt.Fprintln(out, "scenarios:")
	for _, scenario := range emulator.Scenarios {
		fmt.Fprintf(out, "  %-26s %s\n", scenario.Name, scenario.About)
	}
}
