// Command gaugeyard-sim runs fleets on a virtual clock and prints what it measured.
package main

import (
	"os"

	"gaugeyard/internal/simcli"
)

func main() {
	os.Exit(simcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
