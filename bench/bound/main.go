// Command bound tells what no balancer could have saved of a day on the users' bench, and so
// how much of what was lost could have been:
//
//	bound SITE REPORT...
//
// REPORT is what the bench writes with --report for a day of the site file SITE. For each
// day it prints the worth that was got and an upper bound of it, by the parts that count, by
// class and by moment.
//
// The bound counts as lost only what the protocol makes lost, whoever balances:
//
//   - A packet that its router hands to a balancer that does not run is lost. The caller sends
//     again at fixed times; until the flow's packets can reach a running balancer, nothing
//     can answer it. A balancer runs again when its machine does, without any time for its
//     own start, and routers leave a dead one out as early as their probes allow.
//   - While the store answers nobody, balancers learn from others that run. After a moment at which
//     none runs nobody knows the settings until the store answers again.
//   - Machines in use are paid for, and so is a connection for each request that uses a flow
//     of its own.
//
// Left out, so that the bound is above what can be reached: the time of a start, runs lost
// with their server, requests that meet a server before anybody can know that it is silent,
// servers that are cold or slow, queues, lost packets, and all other prices. Requests are
// taken to begin evenly within each window of the report, and the time of a request's work
// to be log-normal with the mean and spread of the site file.
package main

import (
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) < 2 {
		return fmt.Errorf("usage: bound SITE REPORT [REPORT ...]")
	}
	site, err := readSite(args[0])
	if err != nil {
		return err
	}
	for _, name := range args[1:] {
		report, err := readReport(name)
		if err != nil {
			return err
		}
		result, err := bound(site, report)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		result.print(out, name)
	}
	return nil
}
