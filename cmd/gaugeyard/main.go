// Command gaugeyard runs a balancer and the operators' commands.
package main

import (
	"os"

	"gaugeyard/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
