package sim

import (
	"time"

	"gaugeyard/internal/balancer"
)

// NetworkProfile sets the probability of each network fault, per datagram.
type NetworkProfile struct {
	Loss, Duplicate, Reorder float64
	// LateCopy is the probability that a copy of a caller's request arrives seconds later.
	LateCopy float64
}

const (
	// maxReorderDelay bounds the extra delay of a reordered datagram and of a duplicate.
	maxReorderDelay = 300 * time.Millisecond
	// minLateDelay and maxLateDelay bound the delay of a late copy.
	minLateDelay = 3 * time.Second
	maxLateDelay = 20 * time.Second
	// jitterShare is the maximum random delay, as a share of the base delay.
	jitterShare = 0.2
)

// network delivers datagrams between callers, balancers and back ends.
type network struct {
	world   *world
	profile NetworkProfile
	// isolatedZone is the zone that is partitioned from the others; empty if there is none.
	isolatedZone string
}

// delay returns the one-way delay between two zones; callers are in the empty zone.
func (n *network) delay(from, to string) time.Duration {
	deployment := n.world.options.Deployment
	base := deployment.ClientDelay
	switch {
	case from == to:
		base = deployment.ZoneDelay / 5
	case from != "" && to != "":
		base = deployment.ZoneDelay
	}
	return base + time.Duration(float64(base)*jitterShare*n.world.Random.Float64())
}

// isPartitioned reports whether a partition separates two zones; callers reach every zone.
func (n *network) isPartitioned(from, to string) bool {
	return n.isolatedZone != "" && from != "" && to != "" && from != to && (from == n.isolatedZone || to == n.isolatedZone)
}

// send delivers a datagram unless it is lost, with the profile's reordering and duplication.
func (n *network) send(from, to string, deliver func()) {
	if n.isPartitioned(from, to) || n.world.Chance(n.profile.Loss) {
		return
	}
	delay := n.delay(from, to)
	if n.world.Chance(n.profile.Reorder) {
		delay += n.world.Between(0, maxReorderDelay)
	}
	n.world.After(delay, deliver)
	if n.world.Chance(n.profile.Duplicate) {
		n.world.After(delay+n.world.Between(0, maxReorderDelay), deliver)
	}
}

// sendToBalancer delivers a datagram to a random balancer that the fabric lists and can reach.
func (n *network) sendToBalancer(from string, packet *balancer.Packet) {
	targets := n.world.listedNodes
	if from == n.isolatedZone && from != "" {
		targets = nil
		for _, candidate := range n.world.listedNodes {
			if candidate.zone == from {
				targets = append(targets, candidate)
			}
		}
	}
	if len(targets) == 0 {
		return
	}
	target := targets[n.world.Random.IntN(len(targets))]
	n.send(from, target.zone, func() { target.receive(&balancer.Datagram{Packet: packet}) })
}

// sendFromCaller sends a caller's datagram, and possibly a late copy if it is a request.
func (n *network) sendFromCaller(packet *balancer.Packet) {
	n.sendToBalancer("", packet)
	if packet.Kind == balancer.Request && n.world.Chance(n.profile.LateCopy) {
		n.world.After(n.world.Between(minLateDelay, maxLateDelay), func() { n.sendToBalancer("", packet) })
	}
}
