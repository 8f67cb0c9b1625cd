// Command bound computes an upper bound of the worth of a day on the users' bench, for any
// balancer, and so how much of the loss was avoidable:
//
//	bound SITE REPORT...
//
// REPORT is what the bench writes with --report for a day of the site file SITE. For each
// day it prints the worth earned and its upper bound, by part, by class and by window.
//
// The bound has only the losses that the protocol makes unavoidable:
//
//   - A packet that a router sends to a balancer that is down is lost. The caller
//     retransmits at fixed times until its packets reach a running balancer. A balancer
//     runs as soon as its machine does, and routers eject a dead one as early as their
//     probes allow.
//   - While the store is silent, balancers read settings from running peers. Once none runs,
//     no balancer has settings until the store answers again.
//   - Machines in use are paid for, and so is a connection for each request with its own
//     flow.
//
// It ignores start-up times, runs lost with their server, requests sent to a silent server
// before that can be detected, cold and slow servers, queues, lost packets, and all other
// prices. It assumes that requests begin evenly within each window of the report, and that
// the time of their work is log-normal with the mean and spread of the site file.
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
