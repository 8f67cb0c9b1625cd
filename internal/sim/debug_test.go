package sim

import (
	"fmt"
	"testing"
)

func TestDebug(t *testing.T) {
	d, _ := NewDeployment("litera")
	s, _ := ScenarioNamed("late-reordered-duplicated")
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
	w.runUntil(s.Length)
	for i, r := range w.truth.requests {
		if r.toldNotRun && r.runs > 0 {
			fmt.Println(i, r.kind, "sent", r.sent, "runs", r.runs, "ranAt", r.ranAt.address, r.log)
		}
	}
}
