// Package sim runs whole fleets on a virtual clock, in one goroutine: the real
// decision core of package balancer, between models of callers, fabric, back
// ends, store, machine list and operators. An observer that sees what back ends
// really ran judges the promises. Equal options give equal runs.
package sim

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"math/rand/v2"
	"net/netip"
	"time"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

// Options select one run.
type Options struct {
	Deployment Deployment
	Scenario   Scenario
	Seed       uint64
	Strategy   balancer.Strategy
	Mechanisms balancer.Mechanisms
	// Operators switches parts of the operators' edit protocol off.
	Operators OperatorMechanisms
	// Scale multiplies the number of flows and requests; 0 means 1.
	Scale float64
}

// world is one run.
type world struct {
	options  Options
	now      time.Duration
	queue    eventQueue
	sequence uint64
	random   *rand.Rand
	trace    hash.Hash

	nodes     []*node
	backends  []*backend
	byAddress map[netip.AddrPort]*backend
	sessions  map[flow.Key]session
	machines  []*node
	store     *store
	network   network
	truth     *observer
	bodies    []body
	// nextCaller numbers callers' addresses.
	nextCaller uint32
	// loadFactor multiplies the request rate at present.
	loadFactor float64
	// lyingLoad makes half of the back ends report no load, and the others too much.
	lyingLoad bool
	snapshot  *settings.Snapshot
	// meter times the core; nil measures nothing.
	meter *meter
}

// event is something that happens at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(value any) { *q = append(*q, value.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// after runs a function when delay has passed.
func (w *world) after(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + max(delay, 0), w.sequence, run})
}

// at runs a function at a time from the start of the run.
func (w *world) at(when time.Duration, run func()) {
	w.after(when-w.now, run)
}

// every runs a function now and then at each interval.
func (w *world) every(interval time.Duration, run func()) {
	run()
	w.after(interval, func() { w.every(interval, run) })
}

// runUntil lets events happen until the time is reached.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// chance returns true with the probability.
func (w *world) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// between returns a random duration in [low, high).
func (w *world) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// traceKind says what a line of the trace records.
type traceKind uint64

const (
	traceAtBackend traceKind = iota
	traceAtCaller
	traceControl
	traceRun
)

// record adds one line to the trace, whose hash identifies the run.
func (w *world) record(kind traceKind, a, b uint64) {
	var line [32]byte
	binary.LittleEndian.PutUint64(line[0:], uint64(w.now))
	binary.LittleEndian.PutUint64(line[8:], uint64(kind))
	binary.LittleEndian.PutUint64(line[16:], a)
	binary.LittleEndian.PutUint64(line[24:], b)
	w.trace.Write(line[:])
}

// seedStream is the second half of the generator's seed, fixed for all runs.
const seedStream = 0x6761756765

func newWorld(options Options) *world {
	if options.Scale == 0 {
		options.Scale = 1
	}
	w := &world{
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, seedStream)),
		trace:      sha256.New(),
		byAddress:  map[netip.AddrPort]*backend{},
		sessions:   map[flow.Key]session{},
		loadFactor: 1,
	}
	w.truth = newObserver(w)
	w.store = newStore(w, options.Deployment.Tree)
	w.snapshot = settings.Resolve(options.Deployment.Tree, 1)
	w.network = network{world: w, profile: options.Scenario.Network}
	return w
}

// body is what a datagram carries beyond what the core reads.
type body struct {
	request *request
	// part of an answer in parts, or block of an upload.
	part, parts int
	result      result
	// sequence numbers notifications.
	sequence uint32
}

// result is what an answer says.
type result uint8

const (
	resultOK result = iota
	resultContinue
	resultNotRun
	resultIncomplete
)

// attach gives a packet its body, by reference in the packet's opaque data.
func (w *world) attach(packet *balancer.Packet, b body) *balancer.Packet {
	w.bodies = append(w.bodies, b)
	packet.Data = binary.LittleEndian.AppendUint32(nil, uint32(len(w.bodies)-1))
	return packet
}

// bodyOf returns the body of a packet.
func (w *world) bodyOf(packet *balancer.Packet) body {
	return w.bodies[binary.LittleEndian.Uint32(packet.Data)]
}
