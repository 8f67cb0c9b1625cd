package sim

import (
	"slices"
	"time"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

const (
	// measureStart is when sampling begins; the initial feeds are open by then.
	measureStart = 20 * time.Second
	// drainGrace is the time after the start of a drain in which new flows are still allowed.
	drainGrace = 3 * time.Second
	// activeFlowTimeout is the idle time after which a flow without a feed is no longer active.
	activeFlowTimeout = 10 * time.Second
)

// observer records the ground truth: what back ends ran, independent of the balancers' state.
type observer struct {
	world    *world
	requests []*request
	feeds    []*feedSession
	// firstBackend holds the back end that received the first datagram of each flow.
	firstBackend map[flow.Key]*backend
	moved        map[flow.Key]bool
	// openedAt is when the caller of each flow opened it.
	openedAt map[flow.Key]time.Duration

	misrouted, wrongAnswers, newWorkAfterDrain int
	lostWithBackend                            int
	editsMade, conflicts, overwrittenEdits     int
	appliedTwice, reverts                      int
	acceptedEdits                              map[int]bool
	// acceptedAt is when each revision was accepted.
	acceptedAt  map[uint64]time.Duration
	convergence time.Duration
	queueTimes  []time.Duration
	// imbalance and slotImbalance have one sample per second.
	imbalance, slotImbalance []float64
	surgeImbalance           []float64
	busySamples              map[*backend]int
	surgeFrom, surgeUntil    time.Duration
	// ownedByCrashed is the number of flows that crashed balancers owned.
	ownedByCrashed int64
}

func newObserver(w *world) *observer {
	return &observer{
		world:         w,
		firstBackend:  map[flow.Key]*backend{},
		moved:         map[flow.Key]bool{},
		openedAt:      map[flow.Key]time.Duration{},
		acceptedEdits: map[int]bool{},
		acceptedAt:    map[uint64]time.Duration{1: 0},
		busySamples:   map[*backend]int{},
	}
}

func (o *observer) newRequest(kind requestKind, repeatable bool, deadline time.Duration) *request {
	r := &request{kind: kind, repeatable: repeatable, deadline: deadline, sent: o.world.Now}
	if kind != kindFeed {
		o.requests = append(o.requests, r)
	}
	return r
}

// recordFlow records the back end of a flow's datagrams and detects flows that moved.
func (o *observer) recordFlow(b *backend, packet *balancer.Packet) {
	first := o.firstBackend[packet.Flow]
	if first == nil {
		o.firstBackend[packet.Flow] = b
		// A flow opened before the drain whose first datagrams were lost is no new work:
		// it was placed here earlier, and its requests may have run here.
		if b.drainingSince > 0 && o.openedAt[packet.Flow] > b.drainingSince+drainGrace {
			o.newWorkAfterDrain++
		}
		return
	}
	if first == b || o.moved[packet.Flow] {
		return
	}
	if !first.up || first.incarnation > 1 {
		o.lostWithBackend++
		return
	}
	o.moved[packet.Flow] = true
}

// recordRun records that a back end began to execute a request.
func (o *observer) recordRun(b *backend, r *request) {
	r.runs++
	r.ranOn = b
	o.world.recordTrace(traceRun, uint64(b.address.Port()), uint64(r.runs))
}

// recordOutcome records the outcome that the caller of a request saw.
func (o *observer) recordOutcome(r *request, final outcome) {
	r.outcome = final
	if final == outcomeNotRun {
		r.reportedNotRun = true
	}
}

func (o *observer) recordQueueTime(wait time.Duration) {
	o.queueTimes = append(o.queueTimes, wait)
}

func (o *observer) recordEdit(snapshot *settings.Snapshot, id int) {
	if o.acceptedEdits[id] {
		o.appliedTwice++
	}
	o.acceptedEdits[id] = true
	o.acceptedAt[snapshot.Revision] = o.world.Now
	for _, b := range o.world.backends {
		configured := snapshot.Backends[settings.BackendIDOf(b.address)]
		switch {
		case configured == nil || !configured.Draining:
			b.drainingSince = 0
		case b.drainingSince == 0:
			b.drainingSince = o.world.Now
		}
	}
}

// recordRevision records the revision in force on a balancer and how long it took to arrive.
func (o *observer) recordRevision(n *node) {
	revision := n.core.Snapshot().Revision
	if revision < n.revision {
		o.reverts++
	}
	for r := n.revision + 1; r <= revision && n.revision > 0; r++ {
		since := max(o.acceptedAt[r], n.reachableSince)
		o.convergence = max(o.convergence, o.world.Now-since)
	}
	n.revision = revision
}

// sample records the imbalance of the past second.
func (o *observer) sample() {
	if o.world.Now < measureStart {
		return
	}
	var flows, slots []float64
	for _, b := range o.world.backends[:o.world.options.Deployment.MainServers] {
		busy := o.busySamples[b]
		o.busySamples[b] = 0
		if !b.up || b.hung || b.drainingSince > 0 || o.world.Now-b.started < 3*warmUpTime && b.started > 0 {
			continue
		}
		// Back ends of twice the weight should carry twice the flows.
		weight := o.world.store.head().snapshot.Backends[settings.BackendIDOf(b.address)].Weight
		flows = append(flows, float64(b.activeFlows())/weight)
		slots = append(slots, float64(busy)/weight)
	}
	ratio := peakToMean(flows)
	o.imbalance = append(o.imbalance, ratio)
	o.slotImbalance = append(o.slotImbalance, peakToMean(slots))
	if o.world.Now > o.surgeFrom && o.world.Now <= o.surgeUntil {
		o.surgeImbalance = append(o.surgeImbalance, ratio)
	}
}

// sampleSlots adds the slots in use to the samples of the current second.
func (o *observer) sampleSlots() {
	for _, b := range o.world.backends {
		o.busySamples[b] += b.busySlots
	}
}

func (b *backend) activeFlows() int {
	count := 0
	for _, f := range b.flows {
		if f.feed != nil || b.world.Now-f.lastSeen < activeFlowTimeout {
			count++
		}
	}
	return count
}

func peakToMean(values []float64) float64 {
	total, peak := 0.0, 0.0
	for _, value := range values {
		total += value
		peak = max(peak, value)
	}
	if total == 0 {
		return 1
	}
	return peak * float64(len(values)) / total
}

// finish accounts for revisions that have not arrived and feeds that are silent at the end.
func (o *observer) finish() {
	for _, n := range o.world.nodes {
		if !n.up || n.paused || n.revision == 0 {
			continue
		}
		for r := n.revision + 1; r <= o.world.store.head().snapshot.Revision; r++ {
			o.convergence = max(o.convergence, o.world.Now-max(o.acceptedAt[r], n.reachableSince))
		}
	}
	for _, s := range o.feeds {
		if s.established && o.world.Now-s.lastUpdate > feedTimeout {
			s.broken = true
		}
	}
}

// brokenFlows counts flows that moved to another back end and feeds that were interrupted,
// while their back end stayed up.
func (o *observer) brokenFlows() int {
	broken := len(o.moved)
	for _, s := range o.feeds {
		first := o.firstBackend[s.key]
		if s.broken && !o.moved[s.key] && first != nil && first.up && first.incarnation == 1 {
			broken++
		}
	}
	return broken
}

// count returns the number of requests that satisfy the condition.
func (o *observer) count(condition func(*request) bool) int {
	count := 0
	for _, r := range o.requests {
		if condition(r) {
			count++
		}
	}
	return count
}

// queuePercentile returns a quantile, from 0 to 1, of the time that requests waited for a slot.
func (o *observer) queuePercentile(quantile float64) time.Duration {
	if len(o.queueTimes) == 0 {
		return 0
	}
	sorted := slices.Clone(o.queueTimes)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}
