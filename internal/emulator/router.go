package emulator

import (
	"cmp"
	"slices"
	"time"

	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

const (
	// probeInterval is how often routers probe readiness.
	probeInterval = 500 * time.Millisecond
	// maxFailedProbes is after how many consecutive failures a balancer is inactive.
	maxFailedProbes = 2
)

// router forwards the packets of a zone's clients to the zone's balancers.
type router struct {
	world   *world
	zone    string
	members []*member
}

// member is a balancer as a router sees it.
type member struct {
	node         *node
	active       bool
	failedProbes int
}

func (r *router) add(n *node) {
	r.members = append(r.members, &member{node: n})
}

func (r *router) probe() {
	for _, m := range r.members {
		if m.node.isReady() {
			m.active, m.failedProbes = true, 0
			continue
		}
		m.failedProbes++
		if m.failedProbes >= maxFailedProbes {
			m.active = false
		}
	}
}

// eligible returns the balancers that packets go to: the active ones; all if fewer than half are
// active; those of the first other zone with active ones if none is.
func (r *router) eligible() []*node {
	active := r.memberNodes(true)
	if len(active) == 0 {
		for _, zone := range r.world.zones {
			if active := r.world.routers[zone].memberNodes(true); len(active) > 0 {
				return active
			}
		}
	}
	if 2*len(active) < len(r.members) {
		return r.memberNodes(false)
	}
	return active
}

func (r *router) memberNodes(activeOnly bool) []*node {
	var nodes []*node
	for _, m := range r.members {
		if m.active || !activeOnly {
			nodes = append(nodes, m.node)
		}
	}
	return nodes
}

// pick returns the balancer for a flow's packets at present, or nil if there is none.
func (r *router) pick(hash uint64) *node {
	nodes := r.eligible()
	if len(nodes) == 0 {
		return nil
	}
	if !r.world.options.Steady {
		return nodes[hash%uint64(len(nodes))]
	}
	return slices.MaxFunc(nodes, func(a, b *node) int {
		return cmp.Compare(rendezvousWeight(hash, a), rendezvousWeight(hash, b))
	})
}

// rendezvousWeight ranks a balancer for a flow at steady routers.
func rendezvousWeight(hash uint64, n *node) uint64 {
	return placement.Mix(hash, uint64(settings.BackendIDOf(n.control)))
}

// sendToBalancer sends a client's packet through its zone's router.
func (w *world) sendToBalancer(c *clientFlow, d *datagram) {
	target := w.routers[c.zone].pick(c.key.Hash())
	if target == nil {
		return
	}
	w.send("", target.zone, func() { target.receive(d) })
}
