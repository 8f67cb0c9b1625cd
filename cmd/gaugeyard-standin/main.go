// Command gaugeyard-standin runs test doubles of the systems around gaugeyard:
// store, machine list, fabric, back ends and callers.
package main

import (
	"os"

	"gaugeyard/internal/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
