package sim

import (
	"slices"
	"time"

	"gaugeyard/internal/edit"
	"gaugeyard/internal/settings"
)

// Scenario is a course of events.
type Scenario struct {
	Name string
	// About says in one line what happens.
	About string
	// Planned is set when nothing fails that operators did not plan; no request
	// may then end in an unknown outcome.
	Planned bool
	Length  time.Duration
	Network NetworkProfile
	events  func(w *world)
}

// Times at which the events of scenarios begin.
const (
	eventTime   = 25 * time.Second
	shortLength = 60 * time.Second
	longLength  = 100 * time.Second
)

// Scenarios lists every scenario.
var Scenarios = []Scenario{
	{Name: "steady", About: "nothing happens", Planned: true, Length: shortLength, events: func(*world) {}},
	{Name: "news-surge", About: "feeds double and lookups more than double in all zones at once", Planned: true, Length: shortLength, events: newsSurge},
	{Name: "overload", About: "three times the capacity for 15 s", Planned: true, Length: longLength, events: overload},
	{Name: "rolling-restart-balancers", About: "every balancer is stopped as planned and started again, one after the other", Planned: true, Length: 150 * time.Second, events: rollingRestart},
	{Name: "balancer-crash", About: "one balancer dies", Length: shortLength, events: balancerCrash},
	{Name: "two-crashes", About: "two balancers die 8 s apart", Length: longLength, events: twoCrashes},
	{Name: "balancer-and-backend-change-together", About: "in one second a balancer stops as planned, a back end drains and another is added", Planned: true, Length: longLength, events: changeTogether},
	{Name: "backend-drain", About: "a back end is drained, and a second one 5 s later", Planned: true, Length: longLength, events: backendDrain},
	{Name: "backend-crash", About: "a back end dies", Length: longLength, events: backendCrash},
	{Name: "cold-start", About: "a back end is drained, started anew and let in cold", Planned: true, Length: longLength, events: coldStart},
	{Name: "lying-load-reports", About: "half of the back ends report no load, the others far too much", Planned: true, Length: shortLength, events: func(w *world) { w.lyingLoad = true }},
	{Name: "store-outage", About: "the store fails right after an edit; a balancer starts during the outage", Length: longLength, events: storeOutage},
	{Name: "store-lost-replies", About: "writes take effect but their replies are lost", Planned: true, Length: shortLength, events: lostReplies},
	{Name: "store-restored", About: "the store comes back from an older backup and replays old revisions", Planned: true, Length: shortLength, events: storeRestored},
	{Name: "operator-race", About: "pairs of operators edit the same settings at the same moment", Planned: true, Length: shortLength, events: operatorRace},
	{Name: "lease-holder-pause", About: "an operator's command is paused between read and write while others edit", Planned: true, Length: shortLength, events: pausedOperator},
	{Name: "zone-partition", About: "one zone is cut off from the others for 20 s", Length: longLength, events: zonePartition},
	{Name: "balancer-freeze-and-resume", About: "a balancer stands still for 6 s, twice", Length: longLength, events: freezeAndResume},
	{Name: "late-reordered-duplicated", About: "1% loss, 5% duplicates, 5% reordered, late copies, while a balancer dies under overload", Length: longLength,
		Network: NetworkProfile{Loss: 0.01, Duplicate: 0.05, Reorder: 0.05, LateCopy: 0.05}, events: lateCopies},
	{Name: "everything", About: "a mix of all of the above, drawn from the seed", Length: 150 * time.Second,
		Network: NetworkProfile{Loss: 0.003, Duplicate: 0.02, Reorder: 0.02, LateCopy: 0.01}, events: everything},
}

// ScenarioNamed returns the scenario with the name.
func ScenarioNamed(name string) (Scenario, bool) {
	at := slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })
	if at < 0 {
		return Scenario{}, false
	}
	return Scenarios[at], true
}

// markSurge bounds the seconds in which the surge's imbalance is measured.
func (w *world) markSurge(length time.Duration) {
	w.truth.surgeFrom, w.truth.surgeUntil = w.Now, w.Now+length
}

func newsSurge(w *world) {
	const surgeLength = 10 * time.Second
	w.At(eventTime, func() {
		w.markSurge(surgeLength)
		w.openFeeds(int(float64(w.options.Deployment.Feeds)*w.options.Scale), surgeLength)
		w.loadFactor = 2.3
	})
	w.At(eventTime+2*surgeLength, func() { w.loadFactor = 1 })
}

const overloadLength = 15 * time.Second

func overload(w *world) {
	w.At(eventTime, func() {
		w.markSurge(overloadLength)
		w.loadFactor = w.overloadFactor()
	})
	w.At(eventTime+overloadLength, func() { w.loadFactor = 1 })
}

// overloadFactor is what the lookup rate is multiplied with to offer three times
// the capacity of the main servers.
func (w *world) overloadFactor() float64 {
	perFlow := float64(1+lookupsPerFlow) / 2
	return 3 * w.capacity() / (w.options.Deployment.LookupRate * w.options.Scale * perFlow)
}

// capacity is how many requests a second the main servers can run.
func (w *world) capacity() float64 {
	deployment := w.options.Deployment
	mean := (serviceTimeLow + serviceTimeHigh) / 2
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
	w.truth.heldByCrashed += n.core.Status(w.Now).Owned
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

// setState returns an edit that drains a back end or lets it in.
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
		// It keeps its flows; only what it has warmed up is gone.
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
	w.At(eventTime, func() { w.store.lose = 3 })
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
	w.At(eventTime, func() { w.network.cutZone = w.options.Deployment.Zones[1] })
	w.At(eventTime+length, func() { w.heal() })
}

// heal ends a partition.
func (w *world) heal() {
	for _, n := range w.nodes {
		if n.zone == w.network.cutZone {
			n.reachableSince = w.Now
		}
	}
	w.network.cutZone = ""
	w.store.recover()
}

func freezeAndResume(w *world) {
	const length = 6 * time.Second
	w.At(eventTime, func() { w.nodes[0].freeze(length) })
	w.At(eventTime+15*time.Second, func() { w.nodes[5].freeze(length) })
}

func lateCopies(w *world) {
	w.At(eventTime, func() { w.loadFactor = w.overloadFactor() })
	w.At(eventTime+5*time.Second, func() { w.crashNode(2) })
	w.At(eventTime+overloadLength, func() { w.loadFactor = 1 })
	w.At(eventTime+30*time.Second, func() { w.nodes[2].start(false) })
}

// FaultKind is one thing that can go wrong, or that operators do.
type FaultKind int

// The kinds of faults that a schedule can hold.
const (
	FaultCrash FaultKind = iota
	FaultLeave
	FaultFreeze
	FaultDrain
	FaultUndrain
	FaultEdit
	FaultLostReply
	FaultStoreOutage
	FaultPartition
	FaultOverload
	FaultLyingLoad
	// FaultKinds is the number of kinds.
	FaultKinds
)

// Fault is one entry of a schedule.
type Fault struct {
	At   time.Duration
	Kind FaultKind
	// Node and Backend choose what it strikes, modulo their numbers.
	Node, Backend int
	Length        time.Duration
}

// Scheduled returns a scenario in which the faults happen.
func Scheduled(name string, length time.Duration, network NetworkProfile, faults []Fault) Scenario {
	return Scenario{Name: name, Length: length, Network: network, events: func(w *world) {
		for _, fault := range faults {
			w.At(fault.At, func() { w.strike(fault) })
		}
	}}
}

// everything draws a schedule from the seed.
func everything(w *world) {
	for at := eventTime; at < 110*time.Second; at += w.Between(2*time.Second, 9*time.Second) {
		// The order of the draws is kept: found seeds are tests.
		fault := Fault{At: at}
		fault.Node = w.Random.IntN(len(w.nodes))
		fault.Backend = w.Random.IntN(len(w.backends))
		fault.Length = w.Between(2*time.Second, 8*time.Second)
		fault.Kind = FaultKind(w.Random.IntN(int(FaultKinds)))
		w.At(at, func() { w.strike(fault) })
	}
}

// strike carries out one fault now.
func (w *world) strike(fault Fault) {
	n := w.nodes[fault.Node%len(w.nodes)]
	b := w.backends[fault.Backend%len(w.backends)]
	length := fault.Length
	switch fault.Kind {
	case FaultCrash:
		w.crashAndStart(n, length)
	case FaultLeave:
		w.leaveAndStart(n, length)
	case FaultFreeze:
		w.freezeIfServing(n, length)
	case FaultDrain:
		w.edit(0, w.setState(b, "drain"), nil)
	case FaultUndrain:
		w.edit(0, w.setState(b, "active"), nil)
	case FaultEdit:
		w.edit(w.Between(0, length), w.changeWeight("3"), nil)
	case FaultLostReply:
		w.store.lose++
	case FaultStoreOutage:
		w.store.down = true
		w.After(length, w.store.recover)
	case FaultPartition:
		w.partitionFor(length)
	case FaultOverload:
		w.loadFactor = 2
		w.After(length, func() { w.loadFactor = 1 })
	case FaultLyingLoad:
		w.lyingLoad = !w.lyingLoad
	}
}

func (w *world) crashAndStart(n *node, length time.Duration) {
	if !n.healthy() {
		return
	}
	n.crash()
	w.After(length, func() { n.start(false) })
}

func (w *world) leaveAndStart(n *node, length time.Duration) {
	if n.healthy() {
		n.leave(func() { w.After(length, func() { n.start(false) }) })
	}
}

func (w *world) freezeIfServing(n *node, length time.Duration) {
	if n.healthy() {
		n.freeze(length)
	}
}

func (w *world) partitionFor(length time.Duration) {
	if w.network.cutZone != "" {
		return
	}
	w.network.cutZone = w.options.Deployment.Zones[w.Random.IntN(len(w.options.Deployment.Zones))]
	w.After(length, w.heal)
}
