// Command gaugeyard-platform runs a balancer on the users' platform.
package main

import (
	"os"

	"gaugeyard/internal/edge"
	"gaugeyard/platform"
)

func main() {
	os.Exit(edge.Main(os.Args[1:], os.Stdout, os.Stderr, platform.Adapt))
}
