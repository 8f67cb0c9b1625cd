package sim

import (
	"time"

	"gaugeyard/internal/balancer"
)

// NetworkProfile says how the network treats datagrams.
type NetworkProfile struct {
	Loss, Duplicate, Reorder float64
	// LateCopy is the chance that a copy of a caller's datagram arrives much later.
	LateCopy float64
}

const (
	// reorderDelay bounds the extra delay of a reordered datagram.
	reorderDelay = 300 * time.Millisecond
	// lateLow and lateHigh bound the delay of a late copy.
	lateLow  = 3 * time.Second
	lateHigh = 20 * time.Second
	// jitter is the random part of every delay, as a share of it.
	jitter = 0.2
)

// network carries datagrams between the models.
type network struct {
	world   *world
	profile NetworkProfile
	// cutZone is the zone that is cut off from the others; empty is none.
	cutZone string
}

// delay returns the time between two zones; an empty zone is a caller's.
func (n *network) delay(from, to string) time.Duration {
	deployment := n.world.options.Deployment
	base := deployment.ClientDelay
	switch {
	case from == to:
		base = deployment.ZoneDelay / 5
	case from != "" && to != "":
		base = deployment.ZoneDelay
	}
	return base + time.Duration(float64(base)*jitter*n.world.Random.Float64())
}

// cut tells whether no datagram passes between two zones.
func (n *network) cut(from, to string) bool {
	return n.cutZone != "" && from != "" && to != "" && from != to && (from == n.cutZone || to == n.cutZone)
}

// send delivers once, twice, late or never.
func (n *network) send(from, to string, deliver func()) {
	if n.cut(from, to) || n.world.Chance(n.profile.Loss) {
		return
	}
	delay := n.delay(from, to)
	if n.world.Chance(n.profile.Reorder) {
		delay += n.world.Between(0, reorderDelay)
	}
	n.world.After(delay, deliver)
	if n.world.Chance(n.profile.Duplicate) {
		n.world.After(delay+n.world.Between(0, reorderDelay), deliver)
	}
}

// spray hands a datagram to a random balancer of those that the fabric knows.
func (n *network) spray(from string, packet *balancer.Packet) {
	targets := n.world.machines
	if from == n.cutZone && from != "" {
		targets = nil
		for _, candidate := range n.world.machines {
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

// fromCaller hands a caller's datagram to the fabric, and perhaps a late copy.
func (n *network) fromCaller(packet *balancer.Packet) {
	n.spray("", packet)
	if packet.Kind == balancer.Request && n.world.Chance(n.profile.LateCopy) {
		n.world.After(n.world.Between(lateLow, lateHigh), func() { n.spray("", packet) })
	}
}
