package emulator

import (
	"cmp"
	"slices"
	"time"

	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

const (
	// probeInterval is how often routers ask for readiness.
	probeInterval = 500 * time.Millisecond
	// probeMisses is after how many misses a balancer is out.
	probeMisses = 2
)

// router hands the packets of a zone's clients to the zone's balancers.
type router struct {
	world   *world
	zone    string
	members []*member
}

// member is a balancer as a router sees it.
type member struct {
	node   *node
	in     bool
	misses int
}

func (r *router) add(n *node) {
	r.members = append(r.members, &member{node: n})
}

// probe asks each balancer whether it is ready.
func (r *router) probe() {
	for _, m := range r.members {
		if m.node.answersReady() {
			m.in, m.misses = true, 0
			continue
		}
		m.misses++
		if m.misses >= probeMisses {
			m.in = false
		}
	}
}

// eligible returns the balancers that packets go to: those that are in; all when
// fewer than half are; of other zones when none is.
func (r *router) eligible() []*node {
	in := r.nodes(true)
	if len(in) == 0 {
		for _, zone := range r.world.zones {
			if in := r.world.routers[zone].nodes(true); len(in) > 0 {
				return in
			}
		}
	}
	if 2*len(in) < len(r.members) {
		return r.nodes(false)
	}
	return in
}

func (r *router) nodes(onlyIn bool) []*node {
	var nodes []*node
	for _, m := range r.members {
		if m.in || !onlyIn {
			nodes = append(nodes, m.node)
		}
	}
	return nodes
}

// pick returns the balancer for a flow's packets now.
func (r *router) pick(hash uint64) *node {
	nodes := r.eligible()
	if len(nodes) == 0 {
		return nil
	}
	if !r.world.options.Steady {
		return nodes[hash%uint64(len(nodes))]
	}
	return slices.MaxFunc(nodes, func(a, b *node) int {
		return cmp.Compare(weight(hash, a), weight(hash, b))
	})
}

// weight ranks a balancer for a flow at steady routers.
func weight(hash uint64, n *node) uint64 {
	return placement.Mix(hash, uint64(settings.BackendIDOf(n.control)))
}

// toBalancer carries a client's packet.
func (w *world) toBalancer(c *clientFlow, d *datagram) {
	target := w.routers[c.zone].pick(c.key.Hash())
	if target == nil {
		return
	}
	w.send("", target.zone, func() { target.receive(d) })
}
