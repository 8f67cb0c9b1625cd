package sim

import (
	"slices"
	"time"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

const (
	// warmUp is when measuring begins: the flows of the start are open by then.
	warmUp = 20 * time.Second
	// drainGrace is how long a leaving back end may still get new flows.
	drainGrace = 3 * time.Second
	// activeTime is how long ago an active flow's last datagram was at most.
	activeTime = 10 * time.Second
)

// observer sees everything, and judges by what back ends ran, not by what
// balancers say.
type observer struct {
	world    *world
	requests []*request
	feeds    []*feedSession
	// firstAt is the back end that each flow's first datagram reached.
	firstAt map[flow.Key]*backend
	moved   map[flow.Key]bool
	// beganAt is when each flow's caller opened it.
	beganAt map[flow.Key]time.Duration

	misrouted, wrongAnswers, newWorkAfterDrain int
	lostWithBackend                            int
	editsMade, conflicts, overwrittenEdits     int
	appliedTwice, reverts                      int
	editSeen                                   map[int]bool
	// acceptedAt is when each revision was accepted.
	acceptedAt  map[uint64]time.Duration
	convergence time.Duration
	queueTimes  []time.Duration
	// imbalance and slotImbalance have one sample a second.
	imbalance, slotImbalance []float64
	surgeImbalance           []float64
	busySamples              map[*backend]int
	surgeFrom, surgeUntil    time.Duration
	// heldByCrashed counts the flows that crashed balancers owned.
	heldByCrashed int64
}

func newObserver(w *world) *observer {
	return &observer{
		world:       w,
		firstAt:     map[flow.Key]*backend{},
		moved:       map[flow.Key]bool{},
		beganAt:     map[flow.Key]time.Duration{},
		editSeen:    map[int]bool{},
		acceptedAt:  map[uint64]time.Duration{1: 0},
		busySamples: map[*backend]int{},
	}
}

func (o *observer) newRequest(kind requestKind, repeatable bool, deadline time.Duration) *request {
	r := &request{kind: kind, repeatable: repeatable, deadline: deadline, sent: o.world.Now}
	if kind != kindFeed {
		o.requests = append(o.requests, r)
	}
	return r
}

// sawFlow notes the first datagram of a flow at a back end.
func (o *observer) sawFlow(b *backend, packet *balancer.Packet) {
	first := o.firstAt[packet.Flow]
	if first == nil {
		o.firstAt[packet.Flow] = b
		// A flow that began before the drain, and whose first datagrams were lost,
		// is no new work: it was placed here, and its requests may have run here.
		if b.drainedAt > 0 && o.beganAt[packet.Flow] > b.drainedAt+drainGrace {
			o.newWorkAfterDrain++
		}
		return
	}
	if first == b || o.moved[packet.Flow] {
		return
	}
	if !first.up || first.run > 1 {
		o.lostWithBackend++
		return
	}
	o.moved[packet.Flow] = true
}

// ran notes that a back end began to execute a request.
func (o *observer) ran(b *backend, r *request) {
	r.runs++
	r.ranAt = b
	o.world.record(traceRun, uint64(b.address.Port()), uint64(r.runs))
}

// ended notes what a request's caller was told.
func (o *observer) ended(r *request, how outcome) {
	r.outcome = how
	if how == outcomeNotRun {
		r.toldNotRun = true
	}
}

func (o *observer) queued(wait time.Duration) {
	o.queueTimes = append(o.queueTimes, wait)
}

func (o *observer) editAccepted(snapshot *settings.Snapshot, id int) {
	if o.editSeen[id] {
		o.appliedTwice++
	}
	o.editSeen[id] = true
	o.acceptedAt[snapshot.Revision] = o.world.Now
	for _, b := range o.world.backends {
		configured := snapshot.Backends[settings.BackendIDOf(b.address)]
		switch {
		case configured == nil || !configured.Draining:
			b.drainedAt = 0
		case b.drainedAt == 0:
			b.drainedAt = o.world.Now
		}
	}
}

// sawRevision notes the revision in force on a balancer.
func (o *observer) sawRevision(n *node) {
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

// sample takes the measurements of one second.
func (o *observer) sample() {
	if o.world.Now < warmUp {
		return
	}
	var flows, slots []float64
	for _, b := range o.world.backends[:o.world.options.Deployment.MainServers] {
		busy := o.busySamples[b]
		o.busySamples[b] = 0
		if !b.up || b.frozen || b.drainedAt > 0 || o.world.Now-b.started < 3*coldTime && b.started > 0 {
			continue
		}
		// A back end of twice the weight is meant to carry twice the flows.
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

// sampleSlots adds up the slots in use, several times a second.
func (o *observer) sampleSlots() {
	for _, b := range o.world.backends {
		o.busySamples[b] += b.busy
	}
}

func (b *backend) activeFlows() int {
	count := 0
	for _, f := range b.flows {
		if f.feed != nil || b.world.Now-f.lastSeen < activeTime {
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

// finish judges what is still open at the end.
func (o *observer) finish() {
	for _, n := range o.world.nodes {
		if !n.up || n.frozen || n.revision == 0 {
			continue
		}
		for r := n.revision + 1; r <= o.world.store.head().snapshot.Revision; r++ {
			o.convergence = max(o.convergence, o.world.Now-max(o.acceptedAt[r], n.reachableSince))
		}
	}
	for _, s := range o.feeds {
		if s.established && o.world.Now-s.lastUpdate > stallTime {
			s.broken = true
		}
	}
}

// brokenFlows counts flows that moved to another back end and feeds that
// stalled, while their back end stood.
func (o *observer) brokenFlows() int {
	broken := len(o.moved)
	for _, s := range o.feeds {
		first := o.firstAt[s.key]
		if s.broken && !o.moved[s.key] && first != nil && first.up && first.run == 1 {
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

// queuePercentile returns a percentile of the time that requests waited for a slot.
func (o *observer) queuePercentile(share float64) time.Duration {
	if len(o.queueTimes) == 0 {
		return 0
	}
	sorted := slices.Clone(o.queueTimes)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
