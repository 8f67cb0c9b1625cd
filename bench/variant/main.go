// Command variant writes a changed copy of a site file of the users' bench, so that days
// can be hunted on deployments that nobody has seen:
//
//	go run ./bench/variant SITE VARIANT > FILE
//
// The copy keeps the site's days; files that it names (wire) must lie beside it.
package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
)

// edit replaces what an expression matches.
type edit struct {
	pattern string
	with    string
}

// variants are the changes by name.
var variants = map[string][]edit{
	// Routers move only the flows of the node that comes or goes.
	"steady": {{`hash = "mod"`, `hash = "steady"`}},
	// Everything must be in force in half of the time.
	"hasty": {
		{`(?m)^config_ms = .*$`, `config_ms = 1500`}, {`(?m)^drain_ms = .*$`, `drain_ms = 1500`},
		{`(?m)^touch_ms = .*$`, `touch_ms = 3000`}, {`(?m)^grace_s = .*$`, `grace_s = 4.0`},
	},
	// Machines with half of the processor behind a tenth of the link.
	"weak": {{`cpu_share = [0-9.]+`, `cpu_share = 0.15`}, {`link_mbps = [0-9.]+`, `link_mbps = 20.0`}},
	// Zones far from each other.
	"far": {{`(?m)^cross_zone_ms = .*$`, `cross_zone_ms = 12.0`}, {`(?m)^client_ms = .*$`, `client_ms = 8.0`}},
	// One machine in each zone.
	"sparse": {{`(zone = "[^"]+"), count = [0-9]+, spare = [0-9]+`, `$1, count = 1, spare = 1`}},
	// Servers with a short queue that shed early, and start cold for long.
	"tight": {{`queue = [0-9]+`, `queue = 1`}, {`cold_s = [0-9.]+`, `cold_s = 8.0`}, {`cold_x = [0-9.]+`, `cold_x = 3.0`}},
	// Servers with two slots that start cold for long: most slots are in use on each day.
	"lean": {{`slots = [0-9]+`, `slots = 2`}, {`cold_s = [0-9.]+`, `cold_s = 5.0`}, {`cold_x = [0-9.]+`, `cold_x = 2.5`}},
	// A store that allows few calls and answers slowly.
	"scarce": {{`(?m)^writes_per_s = .*$`, `writes_per_s = 10.0`}, {`(?m)^reads_per_s = .*$`, `reads_per_s = 25.0`}},
	// More servers than the store lists at once.
	"crowded": {{`(\{ zone = "[^"]+", count = )[0-9]+( \})`, `${1}100${2}`}},
	// Servers that start during traffic take so many new flows a second until they are warm.
	"cold2": {{`cold_s = [0-9.]+`, `cold_s = 10.0, cold_per_s = 2.0`}},
	"cold4": {{`cold_s = [0-9.]+`, `cold_s = 4.0, cold_per_s = 4.0`}},
	"cold8": {{`cold_s = [0-9.]+`, `cold_s = 6.0, cold_per_s = 8.0`}},
	// Many routes.
	"routes": {{`(?m)^idle_routes = .*$`, `idle_routes = 600`}},
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func run(args []string, out io.Writer) error {
	names := strings.Join(slices.Sorted(maps.Keys(variants)), ", ")
	if len(args) != 2 {
		return fmt.Errorf("usage: variant SITE VARIANT; variants: %s", names)
	}
	edits, known := variants[args[1]]
	if !known {
		return fmt.Errorf("variant %q: allowed are %s", args[1], names)
	}
	site, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	text := string(site)
	for _, edit := range edits {
		pattern := regexp.MustCompile(edit.pattern)
		if !pattern.MatchString(text) {
			return fmt.Errorf("variant %s: nothing in %s matches %s", args[1], args[0], edit.pattern)
		}
		text = pattern.ReplaceAllString(text, edit.with)
	}
	_, err = io.WriteString(out, text)
	return err
}
