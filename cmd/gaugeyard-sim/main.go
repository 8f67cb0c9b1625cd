// Command gaugeyard-sim simulates fleets of balancers on a virtual clock and prints
// measurements.
package main

import (
	"os"

	"gaugeyard/internal/simcli"
)

func main() {
	os.Exit(simcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
