// Command gaugeyard-standin runs the small stand-ins for what surrounds
// gaugeyard: store, machine list, fabric, back ends and callers.
package main

import (
	"os"

	"gaugeyard/internal/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
