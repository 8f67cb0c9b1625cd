package edge

import (
	"slices"
	"time"

	"gaugeyard/internal/directory"
)

// maxLinesPerTransition is how many events with the same transition in one update are logged one by one.
// More are logged as one line with a count, to bound the cost of a fleet-wide change: each balancer would write
// 270 lines a second, 1% of a fifth of a core, while half of 10,000 servers are replaced in a minute.
const maxLinesPerTransition = 16

// logEvents logs changes of the known state. from is the upstream, staleness that of the update.
// The state mutex must be held.
func (n *Node) logEvents(events []directory.Event, from string, staleness time.Duration) {
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
		n.log.Info("many: "+string(transition), "count", counts[transition], "revision", n.viewRevision.Load(), "from", from, "age_ms", staleness.Milliseconds())
	}
	n.logExpired(events, from)
	for i := range events {
		if !aggregated(events[i].Transition) {
			n.logEvent(&events[i], from, staleness)
		}
	}
}

func (n *Node) logEvent(event *directory.Event, from string, staleness time.Duration) {
	switch event.Transition {
	case directory.SettingsApplied:
		n.log.Info(string(event.Transition), "version", event.Version, "revision", event.Revision, "from", from, "age_ms", staleness.Milliseconds())
	case directory.SettingsRejected:
		n.log.Error(string(event.Transition), "version", event.Version, "revision", event.Revision, "from", from, "error", event.Err)
	case directory.ZoneEvacuated, directory.ZoneRestored:
		n.log.Info(string(event.Transition), "zone", event.Zone, "revision", event.Revision, "from", from, "age_ms", staleness.Milliseconds())
	default:
		n.log.Info(string(event.Transition), "backend", backendName(event.Backend.ID), "group", event.Backend.Group,
			"address", event.Backend.Address, "zone", event.Backend.Zone, "revision", event.Revision, "from", from, "age_ms", staleness.Milliseconds())
	}
}
