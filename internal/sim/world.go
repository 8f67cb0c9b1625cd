// Package sim runs whole fleets on a virtual clock, in one goroutine: the real
// decision core of package balancer, between models of callers, fabric, back
// ends, store, machine list and operators. An observer that sees what back ends
// really ran judges the promises. Equal options give equal runs.
package sim

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net/netip"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/virtual"
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
	options Options
	virtual.Clock
	trace hash.Hash

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
	binary.LittleEndian.PutUint64(line[0:], uint64(w.Now))
	binary.LittleEndian.PutUint64(line[8:], uint64(kind))
	binary.LittleEndian.PutUint64(line[16:], a)
	binary.LittleEndian.PutUint64(line[24:], b)
	w.trace.Write(line[:])
}

func newWorld(options Options) *world {
	if options.Scale == 0 {
		options.Scale = 1
	}
	w := &world{
		options:    options,
		Clock:      virtual.New(options.Seed),
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
