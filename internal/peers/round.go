package peers

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/steering"
)

const (
	// UrgentInterval is the time between rounds while a balancer has no view or no live peer, and
	// urgentTargets is the number of targets in such a round.
	UrgentInterval = 50 * time.Millisecond
	urgentTargets  = 6
	// seedSearchTime is how long after its start a balancer without live peers stays in urgent
	// rounds although it has a view. After a loss of power seeds may start later, and can only
	// introduce balancers that sent them a hello.
	seedSearchTime = 10 * time.Second
	// maxPeersEveryRound is the maximum number of zone peers that all get a hello in every round.
	// Of more, each gets one in every second round.
	maxPeersEveryRound = 12
	// otherPeersPerRound is the number of peers of other zones that get a hello in each round.
	otherPeersPerRound = 2
	// roundsPerZoneSearch is the number of rounds between requests for introductions to peers of
	// other zones, while few live peers of the own zone are known. Without them a balancer that
	// knows enough peers elsewhere to contact no seeds may never find its own zone: of 300 balancers in
	// six zones 26 knew fewer than 8 of the 49 others of theirs after 10 s.
	roundsPerZoneSearch = 4
	// replyAfter is the silence after which a peer is asked for a hello.
	replyAfter = HelloInterval * 5
	// fullHelloBudget bounds the full hellos that a balancer sends, in bytes per second; short ones
	// add up to 1,000 at full tables. A full hello has about helloBytes, and loadBytes for each
	// load.
	fullHelloBudget = 3000
	helloBytes      = 150
	loadBytes       = 12
	// MaxLoads is the maximum number of loads in a hello.
	MaxLoads = 32
	// MaxSuspects is the maximum number of suspects in a hello.
	MaxSuspects = 16
	// MaxUnresponsiveReports is the maximum number of unresponsive back ends in a hello, since a
	// quarter of a service's may fail at once. They take about 20 bytes each, and a hello at all
	// limits fits one datagram.
	MaxUnresponsiveReports = 24
	// MaxFailures is the maximum number of failing back ends in a hello.
	MaxFailures = 16
	// MaxBaselines is the maximum number of addresses with a baseline in a hello.
	MaxBaselines = 4
	// LoadUnit is the unit of the counts in a Load or Failure, in requests.
	LoadUnit = 1.0 / 16
	// loadLifetime is how long the loads of a hello are used.
	loadLifetime = 8 * time.Second
)

// Target is one recipient of a round of hellos.
type Target struct {
	Control netip.AddrPort
	// ReplyRequested asks for a hello in return: the peer's table may not hold this balancer.
	ReplyRequested bool
	// Full is set if a full hello is due.
	Full bool
}

// Round returns the recipients of the next round of hellos: the peers of the zone, alternating if
// there are many, and some of other zones in rotation. loads is the number of loads in a full
// hello. Full hellos are as frequent as fullHelloBudget allows.
func (t *Table) Round(now time.Duration, loads int) []Target {
	t.round++
	zonePeers, otherPeers := t.splitByZone()
	var targets []Target
	for i, control := range zonePeers {
		if len(zonePeers) <= maxPeersEveryRound || (i+t.round)%2 == 0 {
			targets = append(targets, Target{Control: control, ReplyRequested: t.needsReply(now, control)})
		}
	}
	searchesZone := t.round%roundsPerZoneSearch == 0 && t.countZonePeers(t.Alive(now)) < smallZone
	for i := range min(otherPeersPerRound, len(otherPeers)) {
		control := otherPeers[(t.round*otherPeersPerRound+i)%len(otherPeers)]
		targets = append(targets, Target{Control: control, ReplyRequested: searchesZone || t.needsReply(now, control)})
	}
	interval := uint64(fullHelloInterval(len(targets), loads))
	for i := range targets {
		peer := t.peers[targets[i].Control]
		peer.hellosSent++
		// The hash spreads full hellos over the rounds.
		targets[i].Full = (peer.hellosSent+uint64(peer.hash))%interval == 0
	}
	return targets
}

// AllLive returns all live peers, the recipients of urgent reports.
func (t *Table) AllLive(now time.Duration) []Target {
	alive := t.Alive(now)
	targets := make([]Target, 0, len(alive))
	for _, peer := range alive {
		targets = append(targets, Target{Control: peer.Control})
	}
	return targets
}

// fullHelloInterval returns n such that one in n hellos is full.
func fullHelloInterval(targets, loads int) int {
	bytes := float64(targets) / HelloInterval.Seconds() * float64(helloBytes+loadBytes*loads)
	return max(1, int(math.Ceil(bytes/fullHelloBudget)))
}

// splitByZone returns the peers of the own zone and of other zones, each in order of address. A
// peer of unknown zone counts as one of the own.
func (t *Table) splitByZone() (zonePeers, otherPeers []netip.AddrPort) {
	for address, peer := range t.peers {
		if peer.Zone == t.self.Zone || peer.Zone == "" {
			zonePeers = append(zonePeers, address)
		} else {
			otherPeers = append(otherPeers, address)
		}
	}
	slices.SortFunc(zonePeers, netip.AddrPort.Compare)
	slices.SortFunc(otherPeers, netip.AddrPort.Compare)
	return zonePeers, otherPeers
}

func (t *Table) needsReply(now time.Duration, control netip.AddrPort) bool {
	peer := t.peers[control]
	return peer == nil || !peer.receivedHello || now-peer.lastReceived > replyAfter
}

// NeedsUrgentRound reports whether the next round is urgent. now is the time since the balancer's
// start; hasView is set once it has a view.
func (t *Table) NeedsUrgentRound(now time.Duration, hasView bool) bool {
	return !hasView || now < seedSearchTime && len(t.Alive(now)) == 0
}

// UrgentRound returns the recipients of an urgent round: some of the known balancers in rotation,
// high capacity first.
func (t *Table) UrgentRound() []Target {
	all := slices.SortedFunc(maps.Keys(t.peers), func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(t.peers[b].Capacity, t.peers[a].Capacity), a.Compare(b))
	})
	var targets []Target
	for i := range min(urgentTargets, len(all)) {
		targets = append(targets, Target{Control: all[(t.round*urgentTargets+i)%len(all)], ReplyRequested: true})
	}
	t.round++
	return targets
}

// Loads sums the recent loads and failures that peers reported for each back end. The order of
// summation is fixed, since the last digits of a sum depend on it.
func (t *Table) Loads(now time.Duration) map[directory.Tag]steering.Load {
	loads := map[directory.Tag]steering.Load{}
	for _, control := range slices.SortedFunc(maps.Keys(t.peers), netip.AddrPort.Compare) {
		if peer := t.peers[control]; peer.receivedHello {
			peer.addLoads(now, loads)
			peer.addFailures(now, loads)
		}
	}
	return loads
}

// addLoads adds the decayed loads of the peer's last full hello.
func (p *Peer) addLoads(now time.Duration, loads map[directory.Tag]steering.Load) {
	if len(p.loads) == 0 || now-p.loadsAt > loadLifetime {
		return
	}
	decay := steering.DecayOver(now - p.loadsAt)
	for _, load := range p.loads {
		loads[load.Tag] = loads[load.Tag].Plus(load.toSteering().Decayed(decay))
	}
}

// addFailures adds the decayed failures that the peer reported last. They also arrive in urgent
// hellos, and so from peers that send no loads.
func (p *Peer) addFailures(now time.Duration, loads map[directory.Tag]steering.Load) {
	if len(p.failures) == 0 {
		return
	}
	decay := steering.DecayOver(now - p.failuresAt)
	for _, failure := range p.failures {
		failed := steering.Load{Failures: float64(failure.Count) * LoadUnit}
		loads[failure.Tag] = loads[failure.Tag].Plus(failed.Decayed(decay))
	}
}
