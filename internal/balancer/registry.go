package balancer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

// Health is the state of a back end as this node observes it.
type Health int32

// The states of a back end.
const (
	// Active back ends take new flows.
	Active Health = iota
	// Quarantined back ends missed several deadlines in a row. They take no new
	// flows until they respond or quarantineTime has passed.
	Quarantined
)

// String returns the state's name.
func (h Health) String() string {
	return [...]string{"active", "quarantined"}[h]
}

const (
	// quarantineAfter is the number of consecutive missed deadlines that
	// quarantines a back end.
	quarantineAfter = 3
	// quarantineTime is how long a quarantined back end takes no new flows.
	quarantineTime = 5 * time.Second
	// latencySmoothing is the weight of a new sample in the smoothed service time.
	latencySmoothing = 0.1
	// maxReportBias is the largest fraction by which a load report reduces a back
	// end's share. It is small because reports may be stale or wrong.
	maxReportBias = 0.1
	// downAfter is the time without a response after which a back end that missed
	// 2*quarantineAfter deadlines in a row is considered down.
	downAfter = 5 * time.Second
	// minRetries is the number of retransmissions allowed regardless of the budget.
	minRetries = 10
)

// backend is the state of a back end on this node. It is safe for concurrent use.
type backend struct {
	id              settings.BackendID
	address         netip.AddrPort
	inFlight        atomic.Int64
	missedDeadlines atomic.Int32
	health          atomic.Int32
	// lastResponse is when the last datagram arrived from the back end.
	lastResponse atomic.Int64
	// quarantinedUntil is when the quarantine ends.
	quarantinedUntil atomic.Int64
	// serviceTime is the smoothed time from forward to answer, in nanoseconds.
	serviceTime atomic.Int64
	// utilization is the last reported utilization, times 1000.
	utilization atomic.Int64
	// requests and retries feed the retry budget; decayRetries halves them.
	requests, retries atomic.Int64
	// flows counts this node's own flows, as *atomic.Int64 by service address.
	flows sync.Map
}

// flowCount returns the counter of this node's own flows of a service.
func (b *backend) flowCount(service netip.AddrPort) *atomic.Int64 {
	if counter, known := b.flows.Load(service); known {
		return counter.(*atomic.Int64)
	}
	counter, _ := b.flows.LoadOrStore(service, new(atomic.Int64))
	return counter.(*atomic.Int64)
}

// recordActivity records a datagram from the back end and ends any quarantine.
func (b *backend) recordActivity(now time.Duration) {
	b.lastResponse.Store(int64(now))
	b.missedDeadlines.Store(0)
	b.health.Store(int32(Active))
}

// down reports whether the back end has left so many requests unanswered, and not
// responded for so long, that its flows may be placed anew.
func (b *backend) down(now time.Duration) bool {
	return b.missedDeadlines.Load() >= 2*quarantineAfter && now-time.Duration(b.lastResponse.Load()) > downAfter
}

// recordServiceTime adds a sample to the smoothed service time.
func (b *backend) recordServiceTime(elapsed time.Duration) {
	old := b.serviceTime.Load()
	if old == 0 {
		b.serviceTime.Store(int64(elapsed))
		return
	}
	b.serviceTime.Store(old + int64(latencySmoothing*float64(int64(elapsed)-old)))
}

// recordMissedDeadline records an unanswered request and reports whether it moved
// the back end from active to quarantined.
func (b *backend) recordMissedDeadline(now time.Duration) bool {
	if b.missedDeadlines.Add(1) < quarantineAfter {
		return false
	}
	b.quarantinedUntil.Store(int64(now + quarantineTime))
	return b.health.Swap(int32(Quarantined)) != int32(Quarantined)
}

func (b *backend) quarantined(now time.Duration) bool {
	return Health(b.health.Load()) == Quarantined && int64(now) < b.quarantinedUntil.Load()
}

// takeRetry takes one retransmission from the back end's retry budget and reports
// whether one was available. budget is the allowed ratio of retransmissions to
// requests.
func (b *backend) takeRetry(budget float64) bool {
	allowed := minRetries + budget*float64(b.requests.Load())
	if float64(b.retries.Load()) >= allowed {
		return false
	}
	b.retries.Add(1)
	return true
}

// registry holds every back end seen in settings, flows or answers, including those
// removed from the settings.
type registry struct {
	sync.RWMutex
	byID      map[settings.BackendID]*backend
	byAddress map[netip.AddrPort]*backend
}

// get returns the back end with the identifier, or nil.
func (r *registry) get(id settings.BackendID) *backend {
	r.RLock()
	defer r.RUnlock()
	return r.byID[id]
}

// getOrAdd returns the back end at the address and adds it if it is new. It returns
// nil if the address is not valid.
func (r *registry) getOrAdd(address netip.AddrPort) *backend {
	if !address.IsValid() {
		return nil
	}
	r.RLock()
	known := r.byAddress[address]
	r.RUnlock()
	if known != nil {
		return known
	}
	r.Lock()
	defer r.Unlock()
	if known := r.byAddress[address]; known != nil {
		return known
	}
	if r.byID == nil {
		r.byID = map[settings.BackendID]*backend{}
		r.byAddress = map[netip.AddrPort]*backend{}
	}
	added := &backend{id: settings.BackendIDOf(address), address: address}
	r.byID[added.id] = added
	r.byAddress[address] = added
	return added
}

func (r *registry) recordUtilization(address netip.AddrPort, utilization float64) {
	if target := r.getOrAdd(address); target != nil {
		target.utilization.Store(int64(utilization * 1000))
	}
}

// decayRetries halves the counts of all retry budgets.
func (r *registry) decayRetries() {
	r.RLock()
	defer r.RUnlock()
	for _, b := range r.byID {
		b.requests.Store(b.requests.Load() / 2)
		b.retries.Store(b.retries.Load() / 2)
	}
}

// candidates returns the service's back ends for placement, in two slices of the
// same order. The slices belong to effects and are overwritten by the next call.
func (c *Core) candidates(now time.Duration, service *settings.Service, effects *Effects) ([]placement.Candidate, []*backend) {
	effects.candidates = effects.candidates[:0]
	effects.backends = effects.backends[:0]
	nodes := max(len(c.view.Members), 1)
	for _, configured := range c.backendsOf(service) {
		target := c.registry.getOrAdd(configured.Address)
		candidate := placement.Candidate{
			ID:            configured.ID,
			Weight:        configured.Weight,
			Ramp:          c.ramp(now, configured, target),
			Flows:         int(target.flowCount(service.Address).Load()),
			InFlight:      int(target.inFlight.Load()),
			FlowLimit:     nodeShare(configured.Connections, nodes),
			InFlightLimit: inFlightLimit(configured, nodes),
			Closed:        configured.Draining && !c.config.Mechanisms.NoDrain || target.quarantined(now),
		}
		c.adjustForExperiment(&candidate, target)
		effects.candidates = append(effects.candidates, candidate)
		effects.backends = append(effects.backends, target)
	}
	return effects.candidates, effects.backends
}

// backendsOf returns the back ends that may serve a service.
func (c *Core) backendsOf(service *settings.Service) []*settings.Backend {
	if !c.config.Mechanisms.NoServiceCheck {
		return service.Backends
	}
	var all []*settings.Backend
	for _, other := range c.snapshot.Services {
		all = append(all, other.Backends...)
	}
	return all
}

func (c *Core) adjustForExperiment(candidate *placement.Candidate, target *backend) {
	if c.config.Mechanisms.NoAdmission {
		candidate.FlowLimit, candidate.InFlightLimit = 1<<30, 1<<30
	}
	if c.config.Mechanisms.NoOwnCounts {
		// Use the load report instead of this node's own counts.
		candidate.Flows = 0
		candidate.InFlight = int(target.utilization.Load())
	}
}

// nodeShare returns one node's share of a limit that all nodes share, rounded up.
func nodeShare(limit, nodes int) int {
	return (limit + nodes - 1) / nodes
}

func inFlightLimit(configured *settings.Backend, nodes int) int {
	return nodeShare(int(float64(configured.Slots)*configured.QueueFactor), nodes)
}

// minRamp is the fraction of its share with which a back end begins slow start.
const minRamp = 0.1

// ramp returns the fraction of its share that a back end may fill now, in (0, 1].
func (c *Core) ramp(now time.Duration, configured *settings.Backend, target *backend) float64 {
	ramp := 1.0
	if since, ramping := c.rampStarts[configured.ID]; ramping && configured.SlowStart > 0 && !c.config.Mechanisms.NoSlowStart {
		ramp = min(1, max(minRamp, float64(now-since)/float64(configured.SlowStart)))
	}
	overload := float64(target.utilization.Load())/1000 - 1
	return ramp * (1 - maxReportBias*min(1, max(0, overload/configured.QueueFactor)))
}
