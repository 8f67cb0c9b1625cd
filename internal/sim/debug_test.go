package sim

import (
	"fmt"
	"gaugeyard/internal/membership"
	"os"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	d, _ := NewDeployment("litera")
	s, _ := ScenarioNamed(os.Getenv("SC"))
	o := Options{Deployment: d, Scenario: s, Seed: 1}
	w := newWorld(o)
	w.build()
	for _, n := range w.nodes {
		n.start(true)
	}
	w.every(machineInterval, w.updateMachines)
	w.every(loadInterval, func() {
		for _, b := range w.backends {
			b.report()
		}
	})
	w.at(trafficStart, w.startTraffic)
	s.events(w)
	if os.Getenv("PART") != "" {
		p := 0
		fmt.Sscan(os.Getenv("PART"), &p)
		w.every(500*time.Millisecond, func() {
			for _, n := range w.nodes {
				if n.up {
					x := n.core.DebugPartition(p, w.now-n.started)
					fmt.Println("PP", w.now, n.address.Port(), x)
				}
			}
		})
	}
	w.runUntil(s.Length)
	for i, r := range w.truth.requests {
		if os.Getenv("W") == "u" && r.outcome == outcomeUnknown || r.toldNotRun && r.runs > 0 || r.runs > 1 {
			fmt.Println(i, membership.PartitionOf(r.hash), r.kind, "sent", r.sent, "runs", r.runs, "ranAt", r.ranAt != nil, r.log)
		}
	}
}
