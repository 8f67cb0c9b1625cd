// Package sim simulates whole fleets on a virtual clock in one goroutine. It runs the real decision
// core of package balancer with models of callers, network, back ends, store, machine list and
// operators. An observer checks the guarantees against what back ends really ran. Equal options
// give equal runs.
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

// Options configures one run.
type Options struct {
	Deployment Deployment
	Scenario   Scenario
	Seed       uint64
	Strategy   balancer.Strategy
	Mechanisms balancer.Mechanisms
	// Operators disables parts of the operators' edit protocol.
	Operators OperatorMechanisms
	// Scale multiplies the number of flows and requests; 0 means 1.
	Scale float64
}

// world is the state of one run.
type world struct {
	options Options
	virtual.Clock
	trace hash.Hash

	nodes       []*node
	backends    []*backend
	byAddress   map[netip.AddrPort]*backend
	sessions    map[flow.Key]session
	listedNodes []*node
	store       *store
	network     network
	observer    *observer
	bodies      []body
	// callerCount is the number of callers so far; addresses derive from it.
	callerCount uint32
	// rateFactor multiplies the rate of lookups.
	rateFactor float64
	// falseLoadReports makes half of the back ends report no load and the others far too much.
	falseLoadReports bool
	snapshot         *settings.Snapshot
}

// traceKind is the kind of a trace entry.
type traceKind uint64

const (
	traceAtBackend traceKind = iota
	traceAtCaller
	traceControl
	traceRun
)

// recordTrace adds an entry to the trace, whose hash identifies the run.
func (w *world) recordTrace(kind traceKind, a, b uint64) {
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
		rateFactor: 1,
	}
	w.observer = newObserver(w)
	w.store = newStore(w, options.Deployment.Tree)
	w.snapshot = settings.Resolve(options.Deployment.Tree, 1)
	w.network = network{world: w, profile: options.Scenario.Network}
	return w
}

// body is the payload of a datagram, which the core does not read.
type body struct {
	request *request
	// part is the index of an answer's part or an upload's block, parts their number.
	part, parts int
	result      result
	// sequence is the number of a notification.
	sequence uint32
}

// result is the status in an answer.
type result uint8

const (
	resultOK result = iota
	resultContinue
	resultNotRun
	resultIncomplete
)

// attachBody stores a payload and puts its index into the packet's opaque data.
func (w *world) attachBody(packet *balancer.Packet, b body) *balancer.Packet {
	w.bodies = append(w.bodies, b)
	packet.Data = binary.LittleEndian.AppendUint32(nil, uint32(len(w.bodies)-1))
	return packet
}

// bodyOf returns the payload of a packet.
func (w *world) bodyOf(packet *balancer.Packet) body {
	return w.bodies[binary.LittleEndian.Uint32(packet.Data)]
}
