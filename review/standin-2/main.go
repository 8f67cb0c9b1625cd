// Command standin-2 plays the platform for the scripts of the second review: the store, servers, routers and
// clients on loopback. It starts the balancers as separate processes with the command and the settings of the
// deploy file, and judges what clients and servers see.
//
// # Usage
//
//	standin-2 SCENARIO RECORD    # in the repository's root, after the build; TROUBLE=0 leaves out the disruption
//
// The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenarios are the cases by name.
var scenarios = map[string]func(w *world){
	"port-reuse":      portReuse,
	"foreign-entries": foreignEntries,
	"group-leaves":    groupLeaves,
	"old-snapshot":    oldSnapshot,
}

// theWorld is ended by fatal.
var theWorld *world

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENARIO RECORD")
		os.Exit(exitFailed)
	}
	w := newWorld(os.Args[2])
	theWorld = w
	scenarios[os.Args[1]](w)
	w.stopAll()
	w.recordf("rules broken: %d times", w.violations)
	os.RemoveAll(w.folder)
	if w.violations > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// fatal ends all processes and the case, which could not run.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	if theWorld != nil {
		theWorld.recordf("the case could not run: %v", err)
		for _, b := range theWorld.balancers {
			if b.command != nil && b.command.Process != nil {
				_ = b.command.Process.Kill()
			}
		}
	}
	os.Exit(exitFailed)
}

func newWorld(path string) *world {
	record, err := os.Create(path)
	if err != nil {
		fatal(err)
	}
	folder, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		fatal(err)
	}
	w := &world{
		network: freeNetwork(), folder: folder, begun: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: record,
		runs: map[string]int{}, requests: map[string]bool{}, resets: map[endpoints]*server{},
		// The bounds of the small sites.
		bounds: map[string]any{"contactMs": 4000, "configApplyMs": 3000, "drainMs": 3000, "graceS": 6, "flowTtlS": 60},
	}
	w.store = newStore()
	w.router = newRouter(w)
	w.recordf("trouble: %v", w.trouble)
	return w
}

// freeNetwork returns the second byte of loopback addresses that no other run uses. It holds a port of the network
// until the process ends.
func freeNetwork() byte {
	for range 50 {
		network := byte(20 + rand.IntN(200))
		if _, err := net.Listen("tcp4", fmt.Sprintf("127.%d.240.2:%d", network, storePort)); err == nil {
			return network
		}
	}
	fatal(fmt.Errorf("no free network"))
	return 0
}
