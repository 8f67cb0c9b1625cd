// Command variant writes a changed copy of a site file of the users' bench, to test days on
// other deployments:
//
//	go run ./bench/variant SITE VARIANT > FILE
//
// The copy keeps the site's days. Files that it names (wire) must be in the same folder.
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

// edit replaces all matches of a regular expression.
type edit struct {
	pattern string
	with    string
}

// variants are the changes by name.
var variants = map[string][]edit{
	// Routers hash consistently: only the flows of an added or removed node move.
	"steady": {{`hash = "mod"`, `hash = "steady"`}},
	// Shorter limits for applying changes.
	"hasty": {
		{`(?m)^config_ms = .*$`, `config_ms = 1500`}, {`(?m)^drain_ms = .*$`, `drain_ms = 1500`},
		{`(?m)^touch_ms = .*$`, `touch_ms = 3000`}, {`(?m)^grace_s = .*$`, `grace_s = 4.0`},
	},
	// Machines with less CPU time and bandwidth.
	"weak": {{`cpu_share = [0-9.]+`, `cpu_share = 0.15`}, {`link_mbps = [0-9.]+`, `link_mbps = 20.0`}},
	// Higher latency between zones and to clients.
	"far": {{`(?m)^cross_zone_ms = .*$`, `cross_zone_ms = 12.0`}, {`(?m)^client_ms = .*$`, `client_ms = 8.0`}},
	// One machine in each zone.
	"sparse": {{`(zone = "[^"]+"), count = [0-9]+, spare = [0-9]+`, `$1, count = 1, spare = 1`}},
	// Servers with a queue of one and a long cold start.
	"tight": {{`queue = [0-9]+`, `queue = 1`}, {`cold_s = [0-9.]+`, `cold_s = 8.0`}, {`cold_x = [0-9.]+`, `cold_x = 3.0`}},
	// Servers with two slots and a long cold start, so that most slots are in use.
	"lean": {{`slots = [0-9]+`, `slots = 2`}, {`cold_s = [0-9.]+`, `cold_s = 5.0`}, {`cold_x = [0-9.]+`, `cold_x = 2.5`}},
	// A store with low rate limits.
	"scarce": {{`(?m)^writes_per_s = .*$`, `writes_per_s = 10.0`}, {`(?m)^reads_per_s = .*$`, `reads_per_s = 25.0`}},
	// More servers than fit in one page of a listing.
	"crowded": {{`(\{ zone = "[^"]+", count = )[0-9]+( \})`, `${1}100${2}`}},
	// Servers that start during traffic accept only 2, 4 or 8 new flows a second until warm.
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
		return fmt.Errorf("unknown variant %q; variants: %s", args[1], names)
	}
	site, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	text := string(site)
	for _, edit := range edits {
		pattern := regexp.MustCompile(edit.pattern)
		if !pattern.MatchString(text) {
			return fmt.Errorf("variant %s: file %s has no match for pattern %s", args[1], args[0], edit.pattern)
		}
		text = pattern.ReplaceAllString(text, edit.with)
	}
	_, err = io.WriteString(out, text)
	return err
}
