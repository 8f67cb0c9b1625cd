package sim

import (
	"slices"
	"time"

	"gaugeyard/internal/edit"
	"gaugeyard/internal/settings"
)

// Scenario is a sequence of events during a run.
type Scenario struct {
	Name string
	// Description is one line of text.
	Description string
	// Planned is set if the scenario has no unplanned failure of a balancer, a back end or the
	// network; no request may then end with an unknown outcome.
	Planned  bool
	Length   time.Duration
	Network  NetworkProfile
	schedule func(w *world)
}

// Start of the scenarios' events and lengths of the runs.
const (
	eventTime   = 25 * time.Second
	shortLength = 60 * time.Second
	longLength  = 100 * time.Second
)

// Scenarios lists every scenario.
var Scenarios = []Scenario{
	{Name: "steady", Description: "nothing happens", Planned: true, Length: shortLength, schedule: func(*world) {}},
	{Name: "news-surge", Description: "feeds double and lookups more than double in all zones at once", Planned: true, Length: shortLength, schedule: newsSurge},
	{Name: "overload", Description: "three times the capacity for 15 s", Planned: true, Length: longLength, schedule: overload},
	{Name: "rolling-restart-balancers", Description: "every balancer is stopped as planned and started again, one after the other", Planned: true, Length: 150 * time.Second, schedule: rollingRestart},
	{Name: "balancer-crash", Description: "one balancer dies", Length: shortLength, schedule: balancerCrash},
	{Name: "two-crashes", Description: "two balancers die 8 s apart", Length: longLength, schedule: twoCrashes},
	{Name: "balancer-and-backend-change-together", Description: "in one second a balancer stops as planned, a back end drains and another is added", Planned: true, Length: longLength, schedule: changeTogether},
	{Name: "backend-drain", Description: "a back end is drained, and a second one 5 s later", Planned: true, Length: longLength, schedule: backendDrain},
	{Name: "backend-crash", Description: "a back end dies", Length: longLength, schedule: backendCrash},
	{Name: "cold-start", Description: "a back end is drained, started anew and let in cold", Planned: true, Length: longLength, schedule: coldStart},
	{Name: "lying-load-reports", Description: "half of the back ends report no load, the others far too much", Planned: true, Length: shortLength, schedule: func(w *world) { w.falseLoadReports = true }},
	{Name: "store-outage", Description: "the store fails right after an edit; a balancer starts during the outage", Length: longLength, schedule: storeOutage},
	{Name: "store-lost-replies", Description: "writes take effect but their replies are lost", Planned: true, Length: shortLength, schedule: lostReplies},
	{Name: "store-restored", Description: "the store comes back from an older backup and replays old revisions", Planned: true, Length: shortLength, schedule: storeRestored},
	{Name: "operator-race", Description: "pairs of operators edit the same settings at the same moment", Planned: true, Length: shortLength, schedule: operatorRace},
	{Name: "lease-holder-pause", Description: "an operator's command is paused between read and write while others edit", Planned: true, Length: shortLength, schedule: pausedOperator},
	{Name: "zone-partition", Description: "one zone is cut off from the others for 20 s", Length: longLength, schedule: zonePartition},
	{Name: "balancer-freeze-and-resume", Description: "a balancer stands still for 6 s, twice", Length: longLength, schedule: pauseAndResume},
	{Name: "late-reordered-duplicated", Description: "1% loss, 5% duplicates, 5% reordered, late copies, while a balancer dies under overload", Length: longLength,
		Network: NetworkProfile{Loss: 0.01, Duplicate: 0.05, Reorder: 0.05, LateCopy: 0.05}, schedule: lateCopies},
	{Name: "everything", Description: "a mix of all of the above, drawn from the seed", Length: 150 * time.Second,
		Network: NetworkProfile{Loss: 0.003, Duplicate: 0.02, Reorder: 0.02, LateCopy: 0.01}, schedule: everything},
}

// FindScenario returns the named scenario and whether it exists.
func FindScenario(name string) (Scenario, bool) {
	index := slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })
	if index < 0 {
		return Scenario{}, false
	}
	return Scenarios[index], true
}

// setSurgeWindow starts the time in which surge imbalance and goodput are measured.
func (w *world) setSurgeWindow(length time.Duration) {
	w.observer.surgeFrom, w.observer.surgeUntil = w.Now, w.Now+length
}

func newsSurge(w *world) {
	const surgeLength = 10 * time.Second
	w.At(eventTime, func() {
		w.setSurgeWindow(surgeLength)
		w.openFeeds(int(float64(w.options.Deployment.Feeds)*w.options.Scale), surgeLength)
		w.rateFactor = 2.3
	})
	w.At(eventTime+2*surgeLength, func() { w.rateFactor = 1 })
}

const overloadLength = 15 * time.Second

func overload(w *world) {
	w.At(eventTime, func() {
		w.setSurgeWindow(overloadLength)
		w.rateFactor = w.overloadFactor()
	})
	w.At(eventTime+overloadLength, func() { w.rateFactor = 1 })
}

// overloadFactor returns the factor by which the lookup rate offers three times the capacity of
// the main servers.
func (w *world) overloadFactor() float64 {
	perFlow := float64(1+maxLookupsPerFlow) / 2
	return 3 * w.capacity() / (w.options.Deployment.LookupRate * w.options.Scale * perFlow)
}

// capacity returns the requests per second that the main servers can run.
func (w *world) capacity() float64 {
	deployment := w.options.Deployment
	mean := (minServiceTime + maxServiceTime) / 2
	return float64(deployment.MainServers*2) * w.options.Scale / mean.Seconds()
}

func rollingRestart(w *world) {
	w.At(eventTime, func() { w.restartFrom(0) })
}

func (w *world) restartFrom(index int) {
	if index == len(w.nodes) {
		return
	}
	n := w.nodes[index]
	n.leave(func() {
		w.After(2*time.Second, func() {
			n.start(false)
			w.After(5*time.Second, func() { w.restartFrom(index + 1) })
		})
	})
}

func (w *world) crashNode(index int) {
	n := w.nodes[index]
	if !n.up {
		return
	}
	w.observer.ownedByCrashed += n.core.Status(w.Now).Owned
	n.crash()
}

func balancerCrash(w *world) {
	w.At(eventTime, func() { w.crashNode(1) })
}

func twoCrashes(w *world) {
	w.At(eventTime, func() { w.crashNode(1) })
	w.At(eventTime+8*time.Second, func() { w.crashNode(4) })
	w.At(eventTime+20*time.Second, func() { w.nodes[1].start(false) })
}

// setState returns an edit that sets the state of a back end.
func (w *world) setState(b *backend, state string) func(settings.Tree) {
	return func(tree settings.Tree) {
		// The path and the value are valid, so the edit cannot fail.
		_ = tree.Set(w.backendPath(b), settings.KeyState, state)
	}
}

func changeTogether(w *world) {
	w.At(eventTime, func() { w.edit(0, w.setState(w.backends[9], "drain"), nil) })
	w.At(eventTime+20*time.Second, func() {
		w.nodes[2].leave(func() { w.After(2*time.Second, func() { w.nodes[2].start(false) }) })
		w.edit(0, w.setState(w.backends[3], "drain"), nil)
		w.edit(100*time.Millisecond, w.setState(w.backends[9], "active"), func(result edit.Result) {
			if result == edit.Conflict {
				w.edit(0, w.setState(w.backends[9], "active"), nil)
			}
		})
	})
}

func backendDrain(w *world) {
	w.At(eventTime, func() { w.edit(0, w.setState(w.backends[2], "drain"), nil) })
	w.At(eventTime+5*time.Second, func() { w.edit(0, w.setState(w.backends[15], "drain"), nil) })
}

func backendCrash(w *world) {
	w.At(eventTime, func() { w.backends[5].crash() })
}

func coldStart(w *world) {
	b := w.backends[4]
	w.At(eventTime, func() { w.edit(0, w.setState(b, "drain"), nil) })
	w.At(eventTime+5*time.Second, func() {
		// The flows stay; only the warm-up starts again.
		b.started = w.Now
		w.edit(0, w.setState(b, "active"), nil)
	})
}

func (w *world) changeWeight(value string) func(settings.Tree) {
	return func(tree settings.Tree) {
		_ = tree.Set(w.backendPath(w.backends[7]), settings.KeyWeight, value)
	}
}

func storeOutage(w *world) {
	w.At(eventTime, func() {
		w.edit(0, w.changeWeight("2"), func(edit.Result) { w.store.down = true })
	})
	w.At(eventTime+5*time.Second, func() { w.crashNode(3) })
	w.At(eventTime+15*time.Second, func() { w.nodes[3].start(false) })
	w.At(eventTime+45*time.Second, func() { w.store.recover() })
}

func lostReplies(w *world) {
	w.At(eventTime, func() { w.store.repliesToLose = 3 })
	for i := range 4 {
		w.At(eventTime+time.Duration(i)*3*time.Second, func() { w.edit(0, w.changeWeight([]string{"2", "3", "0.5", "1"}[i]), nil) })
	}
}

func storeRestored(w *world) {
	for i := range 4 {
		w.At(eventTime+time.Duration(i)*time.Second, func() { w.edit(0, w.changeWeight([]string{"2", "3", "0.5", "1"}[i]), nil) })
	}
	w.At(eventTime+10*time.Second, func() { w.store.restore(2) })
}

func operatorRace(w *world) {
	for i := range 6 {
		w.At(eventTime+time.Duration(i)*2*time.Second, func() {
			w.edit(50*time.Millisecond, w.changeWeight([]string{"2", "3", "0.5"}[i%3]), nil)
			w.edit(50*time.Millisecond, w.setState(w.backends[i], []string{"drain", "active"}[i%2]), nil)
		})
	}
}

func pausedOperator(w *world) {
	w.At(eventTime, func() { w.edit(12*time.Second, w.changeWeight("9"), nil) })
	for i := range 3 {
		w.At(eventTime+time.Duration(2+i)*2*time.Second, func() { w.edit(0, w.setState(w.backends[i], "drain"), nil) })
	}
}

func zonePartition(w *world) {
	const length = 20 * time.Second
	w.At(eventTime, func() { w.network.isolatedZone = w.options.Deployment.Zones[1] })
	w.At(eventTime+length, func() { w.heal() })
}

// heal ends a partition.
func (w *world) heal() {
	for _, n := range w.nodes {
		if n.zone == w.network.isolatedZone {
			n.reachableSince = w.Now
		}
	}
	w.network.isolatedZone = ""
	w.store.recover()
}

func pauseAndResume(w *world) {
	const length = 6 * time.Second
	w.At(eventTime, func() { w.nodes[0].pause(length) })
	w.At(eventTime+15*time.Second, func() { w.nodes[5].pause(length) })
}

func lateCopies(w *world) {
	w.At(eventTime, func() { w.rateFactor = w.overloadFactor() })
	w.At(eventTime+5*time.Second, func() { w.crashNode(2) })
	w.At(eventTime+overloadLength, func() { w.rateFactor = 1 })
	w.At(eventTime+30*time.Second, func() { w.nodes[2].start(false) })
}

// FaultKind is a kind of failure or operator action.
type FaultKind int

// The kinds of faults in a schedule.
const (
	FaultCrash FaultKind = iota
	FaultLeave
	FaultPause
	FaultDrain
	FaultUndrain
	FaultEdit
	FaultLostReply
	FaultStoreOutage
	FaultPartition
	FaultOverload
	FaultFalseLoad
	// FaultKinds is the number of kinds.
	FaultKinds
)

// Fault is one entry of a schedule.
type Fault struct {
	At   time.Duration
	Kind FaultKind
	// Node and Backend select the target, modulo the number of nodes and back ends.
	Node, Backend int
	Length        time.Duration
}

// NewFaultScenario returns a scenario that injects the faults at their times.
func NewFaultScenario(name string, length time.Duration, network NetworkProfile, faults []Fault) Scenario {
	return Scenario{Name: name, Length: length, Network: network, schedule: func(w *world) {
		for _, fault := range faults {
			w.At(fault.At, func() { w.inject(fault) })
		}
	}}
}

// everything draws a schedule of faults from the seed.
func everything(w *world) {
	for at := eventTime; at < 110*time.Second; at += w.Between(2*time.Second, 9*time.Second) {
		// The order of the draws must not change: tests rely on the schedules of certain seeds.
		fault := Fault{At: at}
		fault.Node = w.Random.IntN(len(w.nodes))
		fault.Backend = w.Random.IntN(len(w.backends))
		fault.Length = w.Between(2*time.Second, 8*time.Second)
		fault.Kind = FaultKind(w.Random.IntN(int(FaultKinds)))
		w.At(at, func() { w.inject(fault) })
	}
}

// inject starts a fault now.
func (w *world) inject(fault Fault) {
	n := w.nodes[fault.Node%len(w.nodes)]
	b := w.backends[fault.Backend%len(w.backends)]
	length := fault.Length
	switch fault.Kind {
	case FaultCrash:
		w.crashAndRestart(n, length)
	case FaultLeave:
		w.leaveAndRestart(n, length)
	case FaultPause:
		w.pauseIfHealthy(n, length)
	case FaultDrain:
		w.edit(0, w.setState(b, "drain"), nil)
	case FaultUndrain:
		w.edit(0, w.setState(b, "active"), nil)
	case FaultEdit:
		w.edit(w.Between(0, length), w.changeWeight("3"), nil)
	case FaultLostReply:
		w.store.repliesToLose++
	case FaultStoreOutage:
		w.store.down = true
		w.After(length, w.store.recover)
	case FaultPartition:
		w.partitionFor(length)
	case FaultOverload:
		w.rateFactor = 2
		w.After(length, func() { w.rateFactor = 1 })
	case FaultFalseLoad:
		w.falseLoadReports = !w.falseLoadReports
	}
}

func (w *world) crashAndRestart(n *node, length time.Duration) {
	if !n.healthy() {
		return
	}
	n.crash()
	w.After(length, func() { n.start(false) })
}

func (w *world) leaveAndRestart(n *node, length time.Duration) {
	if n.healthy() {
		n.leave(func() { w.After(length, func() { n.start(false) }) })
	}
}

func (w *world) pauseIfHealthy(n *node, length time.Duration) {
	if n.healthy() {
		n.pause(length)
	}
}

func (w *world) partitionFor(length time.Duration) {
	if w.network.isolatedZone != "" {
		return
	}
	w.network.isolatedZone = w.options.Deployment.Zones[w.Random.IntN(len(w.options.Deployment.Zones))]
	w.After(length, w.heal)
}
