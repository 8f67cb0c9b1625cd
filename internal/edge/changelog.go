package edge

import (
	"slices"
	"time"

	"gaugeyard/internal/directory"
)

// maxEventLines is how many back ends that changed together in one way have a line each. While 45% of 10,000
// servers are replaced in a minute, each balancer would write 270 lines a second, which on a fifth of a core is 1% of it.
const maxLinesPerTransition = 16

// logEvents logs what changed of what is believed.
func (n *Node) logEvents(events []directory.Event, from string, age time.Duration) {
	counts := map[directory.Transition]int{}
	for i := range events {
		counts[events[i].Transition]++
	}
	aggregated := func(transition directory.Transition) bool { return counts[transition] > maxLinesPerTransition }
	var transitions []directory.Transition
	for transition := range counts {
		if aggregated(transition) {
			transitions = append(transitions, transition)
		}
	}
	slices.Sort(transitions)
	for _, transition := range transitions {
		n.log.Info("many: "+string(transition), "count", counts[transition], "revision", n.viewRevision.Load(), "from", from, "age_ms", age.Milliseconds())
	}
	n.logExpired(events, from)
	for i := range events {
		if !aggregated(events[i].Transition) {
			n.logEvent(&events[i], from, age)
		}
	}
}

func (n *Node) logEvent(event *directory.Event, from string, age time.Duration) {
	switch event.Transition {
	case directory.SettingsApplied:
		n.log.Info(string(event.Transition), "version", event.Version, "revision", event.Revision, "from", from, "age_ms", age.Milliseconds())
	case directory.SettingsRefused:
		n.log.Error(string(event.Transition), "version", event.Version, "revision", event.Revision, "from", from, "error", event.Err)
	case directory.ZoneEvacuated, directory.ZoneRestored:
		n.log.Info(string(event.Transition), "zone", event.Zone, "revision", event.Revision, "from", from, "age_ms", age.Milliseconds())
	default:
		n.log.Info(string(event.Transition), "backend", backendName(event.Backend.ID), "group", event.Backend.Group,
			"address", event.Backend.Address, "zone", event.Backend.Zone, "revision", event.Revision, "from", from, "age_ms", age.Milliseconds())
	}
}
