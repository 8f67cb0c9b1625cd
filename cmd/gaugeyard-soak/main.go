// Command gaugeyard-soak runs balancers as processes and injects failures.
package main

import (
	"os"

	"gaugeyard/internal/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
