package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the time between two heartbeats to each peer.
	HeartbeatInterval = 400 * time.Millisecond
	// DeadAfter is the silence after which a peer leaves the view. A node that starts, or resumes
	// after a pause, listens this long before it joins.
	DeadAfter = 1500 * time.Millisecond
	// ViewSettle is how long a change of view must last before decisions follow from it. Members
	// that fail together are detected within it.
	ViewSettle = HeartbeatInterval + HeartbeatInterval/2
	// ForgetAfter is the silence after which a peer that is not listed no longer counts towards the
	// quorum.
	ForgetAfter = 10 * time.Second
)

// peer is the known state of another balancer.
type peer struct {
	// Member has the zero ID until the first heartbeat.
	Member
	lastReceived time.Duration
	listed       bool
	Report
	// decidedWithout is set while this node has decided without the peer, which has not yet
	// confirmed that it knows; invalidationsThen is the peer's Report.Invalidations at that time.
	decidedWithout    bool
	invalidationsThen uint32
	// introductionsLeft is the number of heartbeats to the peer that must still introduce this
	// node.
	introductionsLeft int
}

// Report is what a peer reports about itself in a heartbeat.
type Report struct {
	// Sequence numbers the heartbeats of one run of the peer.
	Sequence uint64
	// Absent is set while the peer listens before it joins, or leaves.
	Absent bool
	// Leaving is set once the peer has left for good. A peer that only listens may join and decide
	// at any time, and so counts towards the quorum.
	Leaving bool
	// Settled is set when everything that the peer holds is replicated.
	Settled bool
	// Invalidations counts how often the peer has marked its records as incomplete.
	Invalidations uint32
}

func (p *peer) alive(now time.Duration) bool {
	return p.ID != 0 && now-p.lastReceived <= DeadAfter
}

// Detector decides which peers are alive, from their heartbeats and the machine list. Peers are in
// order of address.
type Detector struct {
	self  Member
	peers []*peer
	// absent excludes this node from the view that it computes.
	absent bool
	// forgotten has the invalidationsThen of peers that were dropped while decidedWithout.
	forgotten map[ID]uint32
}

// NewDetector returns a detector for the node, which is not yet in its own view.
func NewDetector(self Member) *Detector {
	return &Detector{self: self, absent: true, forgotten: map[ID]uint32{}}
}

func (d *Detector) peerByID(id ID) *peer {
	for _, p := range d.peers {
		if p.ID == id {
			return p
		}
	}
	return nil
}

func (d *Detector) peerAt(address netip.AddrPort) *peer {
	index, known := slices.BinarySearchFunc(d.peers, address, func(p *peer, a netip.AddrPort) int {
		return p.Address.Compare(a)
	})
	if !known {
		p := &peer{Member: Member{Address: address}, introductionsLeft: introductionCount}
		d.peers = slices.Insert(d.peers, index, p)
	}
	return d.peers[index]
}

// Receive records a heartbeat. It returns accepted false, and changes nothing, for one that is older
// than the last or of this node itself. A new identifier at a known address is a restarted
// process without its predecessor's records. invalidated is set if the peer has invalidated its
// records since its last heartbeat.
func (d *Detector) Receive(now time.Duration, member Member, report Report) (accepted, invalidated bool) {
	if member.Address == d.self.Address {
		return false, false
	}
	p := d.peerAt(member.Address)
	if p.ID == member.ID && report.Sequence <= p.Sequence {
		return false, false
	}
	invalidated = p.ID == member.ID && report.Invalidations != p.Invalidations
	if p.ID != member.ID {
		p.introductionsLeft = introductionCount
		p.invalidationsThen, p.decidedWithout = d.forgotten[member.ID]
		delete(d.forgotten, member.ID)
	}
	if report.Invalidations != p.invalidationsThen {
		p.decidedWithout = false
	}
	p.Member = member
	p.Report = report
	p.lastReceived = now
	return true, invalidated
}

// SetMachineList replaces the addresses of the machine list. The list lags: it only adds addresses
// to send heartbeats to and members that count towards the quorum.
func (d *Detector) SetMachineList(addresses []netip.AddrPort) {
	for _, p := range d.peers {
		p.listed = false
	}
	for _, address := range addresses {
		if address != d.self.Address {
			d.peerAt(address).listed = true
		}
	}
}

// Join adds this node to its own view.
func (d *Detector) Join() { d.absent = false }

// Withdraw removes this node from its own view.
func (d *Detector) Withdraw() { d.absent = true }

// Joined reports whether this node is in its own view.
func (d *Detector) Joined() bool { return !d.absent }

// Resume treats every peer that was alive at lastTick as received at now, for a node that was
// paused in between.
func (d *Detector) Resume(lastTick, now time.Duration) {
	for _, p := range d.peers {
		if p.alive(lastTick) {
			p.lastReceived = now
		}
	}
}

// Forget drops unlisted peers that have never sent a heartbeat or none for ForgetAfter.
func (d *Detector) Forget(now time.Duration) {
	d.peers = slices.DeleteFunc(d.peers, func(p *peer) bool {
		drop := !p.listed && (p.ID == 0 || now-p.lastReceived > ForgetAfter)
		if drop && p.decidedWithout {
			d.forgotten[p.ID] = p.invalidationsThen
		}
		return drop
	})
}

// MarkDecidedWithout records that this node decides from now on without the peers that have been
// out of the view for ViewSettle. Heartbeats report this to a peer that returns, since it may lack records.
// The caller must have a quorum.
func (d *Detector) MarkDecidedWithout(now time.Duration) {
	for _, p := range d.peers {
		if p.ID == 0 || p.decidedWithout || p.Leaving || now-p.lastReceived <= DeadAfter+ViewSettle {
			continue
		}
		p.decidedWithout = true
		p.invalidationsThen = p.Invalidations
	}
}

// Live returns the members of the view at now, in order of identifier.
func (d *Detector) Live(now time.Duration) []Member {
	var members []Member
	if !d.absent {
		members = append(members, d.self)
	}
	for _, p := range d.peers {
		if p.alive(now) && !p.Absent {
			members = append(members, p.Member)
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// HasQuorum reports whether this node receives heartbeats from a majority of the members it knows,
// itself included. Peers that have left for good do not count.
func (d *Detector) HasQuorum(now time.Duration) bool {
	known, alive := 1, 1
	for _, p := range d.peers {
		if p.Leaving {
			continue
		}
		known++
		if p.alive(now) {
			alive++
		}
	}
	return 2*alive > known
}

// AllSettled reports whether every other live member of the view is settled.
func (d *Detector) AllSettled(now time.Duration) bool {
	for _, p := range d.peers {
		if p.alive(now) && !p.Absent && !p.Settled {
			return false
		}
	}
	return true
}

// IsOverdue reports whether the peer is unknown or its last heartbeat is late, before it counts as
// dead.
func (d *Detector) IsOverdue(id ID, now time.Duration) bool {
	p := d.peerByID(id)
	return p == nil || now-p.lastReceived > ViewSettle
}

const (
	// introductionCount is the number of heartbeats that introduce this node to a new peer.
	introductionCount = 3
	// introductionRounds is the number of rounds between introductions to all peers.
	introductionRounds = 10
)

// Target is a peer that heartbeats are sent to.
type Target struct {
	Address netip.AddrPort
	// DecidedWithout is set if the heartbeat must report that this node decided without the peer.
	DecidedWithout bool
	// Introduce is set if the heartbeat must introduce this node; otherwise its identifier is
	// enough.
	Introduce bool
}

// Targets returns every known peer, for one round of heartbeats.
func (d *Detector) Targets(round uint64) []Target {
	targets := make([]Target, 0, len(d.peers))
	for _, p := range d.peers {
		introduce := p.introductionsLeft > 0 || p.ID == 0 || round%introductionRounds == 0
		p.introductionsLeft = max(0, p.introductionsLeft-1)
		targets = append(targets, Target{p.Address, p.decidedWithout, introduce})
	}
	return targets
}

// Known returns the peer that has introduced itself with the identifier.
func (d *Detector) Known(id ID) (Member, bool) {
	if p := d.peerByID(id); p != nil && id != 0 {
		return p.Member, true
	}
	return Member{}, false
}
