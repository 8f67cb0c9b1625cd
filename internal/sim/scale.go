package sim

import (
	"math"
	"runtime"
	"slices"
	"strconv"
	"time"

	"gaugeyard/internal/balancer"
	"gaugeyard/internal/settings"
)

// meter adds up the processor time that cores take. Its figures depend on the
// machine; they go into reports, never into verdicts.
type meter struct {
	control, data time.Duration
}

// measure runs one step of a core and counts its time.
func (m *meter) measure(event balancer.Event, step func()) {
	if m == nil {
		step()
		return
	}
	started := time.Now()
	step()
	elapsed := time.Since(started)
	if isData(event) {
		m.data += elapsed
		return
	}
	m.control += elapsed
}

func isData(event balancer.Event) bool {
	switch e := event.(type) {
	case *balancer.Datagram:
		return true
	case *balancer.PeerMessage:
		return e.Message.Relay != nil
	}
	return false
}

// ScaleOptions select one measurement of hollow nodes: real cores, many cells
// in one process. Cells share nothing but the store.
type ScaleOptions struct {
	Nodes, Cell int
	// Load multiplies a cell's flows and requests.
	Load float64
	Seed uint64
}

// ScaleResult is what one measurement found, per node.
type ScaleResult struct {
	Nodes int     `json:"nodes"`
	Cell  int     `json:"cell"`
	Load  float64 `json:"load"`
	// FlowsPerNode counts flows held, copies included; NewFlows is a second.
	FlowsPerNode       float64 `json:"flows_per_node"`
	NewFlowsPerNode    float64 `json:"new_flows_per_node_s"`
	ControlBytesMedian float64 `json:"control_bytes_per_node_s_median"`
	ControlBytesMax    int     `json:"control_bytes_per_node_s_max"`
	ControlCPU         float64 `json:"control_cpu_share_of_core"`
	DataCPU            float64 `json:"data_cpu_share_of_core"`
	StateBytes         float64 `json:"state_bytes_per_node"`
	Convergence        float64 `json:"settings_convergence_s"`
	CrashBrokenShare   float64 `json:"crash_broken_share"`
	UnknownShare       float64 `json:"unknown_share"`
}

const (
	scaleEdit   = 25 * time.Second
	scaleCrash  = 30 * time.Second
	scaleLength = 60 * time.Second
)

// MeasureScale runs the cells one after the other and keeps them all, so that
// memory is measured with every node in place.
func MeasureScale(options ScaleOptions) (ScaleResult, error) {
	deployment, err := NewDeployment("litera")
	if err != nil {
		return ScaleResult{}, err
	}
	deployment.BalancersPerZone = max(1, options.Cell/len(deployment.Zones))
	// Servers grow with the load, so that cells are never overloaded.
	slots := strconv.Itoa(max(2, int(math.Ceil(2*options.Load))))
	if err := deployment.Tree.Set("", settings.KeySlots, slots); err != nil {
		return ScaleResult{}, err
	}
	cell := deployment.BalancersPerZone * len(deployment.Zones)
	cells := max(1, options.Nodes/cell)
	scenario := Scenario{Name: "scale", Length: scaleLength, events: func(w *world) {
		w.At(scaleEdit, func() { w.edit(0, w.changeWeight("2"), nil) })
		w.At(scaleCrash, func() { w.crashNode(1) })
	}}
	before := heapBytes()
	result := ScaleResult{Nodes: cells * cell, Cell: cell, Load: options.Load}
	var worlds []*world
	for i := range cells {
		o := Options{Deployment: deployment, Scenario: scenario, Seed: options.Seed + uint64(i), Scale: options.Load}
		w := newWorld(o)
		w.meter = &meter{}
		w.run()
		worlds = append(worlds, w)
		w.releaseModels()
	}
	result.StateBytes = float64(heapBytes()-before) / float64(result.Nodes)
	result.summarize(worlds)
	runtime.KeepAlive(worlds)
	return result, nil
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// releaseModels drops what is not a node's state, so that memory is the cores'.
func (w *world) releaseModels() {
	w.DropEvents()
	w.bodies, w.sessions = nil, nil
	for _, b := range w.backends {
		b.flows, b.waiting = nil, nil
	}
}

func (r *ScaleResult) summarize(worlds []*world) {
	var means []float64
	var held, broken, requests, unknown int
	for _, w := range worlds {
		for _, n := range w.nodes {
			means = append(means, float64(n.control.total)/w.Now.Seconds())
			r.ControlBytesMax = max(r.ControlBytesMax, n.control.largest)
			r.FlowsPerNode += float64(n.core.FlowCount())
		}
		r.NewFlowsPerNode += float64(len(w.truth.firstAt)) / w.Now.Seconds()
		r.ControlCPU += w.meter.control.Seconds() / w.Now.Seconds()
		r.DataCPU += w.meter.data.Seconds() / w.Now.Seconds()
		r.Convergence = max(r.Convergence, w.truth.convergence.Seconds())
		held += int(w.truth.heldByCrashed)
		broken += w.truth.brokenFlows()
		requests += len(w.truth.requests)
		unknown += w.truth.count(func(q *request) bool { return q.outcome == outcomeUnknown })
	}
	slices.Sort(means)
	nodes := float64(r.Nodes)
	r.ControlBytesMedian = means[len(means)/2]
	r.FlowsPerNode /= nodes
	r.NewFlowsPerNode /= nodes
	r.ControlCPU /= nodes
	r.DataCPU /= nodes
	r.CrashBrokenShare = float64(broken) / float64(max(1, held))
	r.UnknownShare = float64(unknown) / float64(max(1, requests))
}
