package membership

import (
	"net/netip"
	"slices"
	"time"
)

// Timing of the failure detector.
const (
	// HeartbeatInterval is the time between two heartbeats to each peer.
	HeartbeatInterval = 400 * time.Millisecond
	// DeadAfter is the silence after which a peer leaves the view. A node that
	// starts, or resumes after a pause, listens this long before it joins.
	DeadAfter = 1500 * time.Millisecond
	// ViewSettle is how long a change of view must stand before decisions follow
	// from it. Members that fall silent together are noticed within it.
	ViewSettle = HeartbeatInterval + HeartbeatInterval/2
	// ForgetAfter is the silence after which a peer that the machine list does
	// not name no longer counts towards the quorum.
	ForgetAfter = 10 * time.Second
)

// peer is what the detector knows of another balancer.
type peer struct {
	// Member has the zero ID until the first heartbeat.
	Member
	heard  time.Duration
	listed bool
	Report
	// goneOn is set when this node decided without the peer, which has not yet
	// confirmed that it knows; breaksThen is the peer's count of breaks then.
	goneOn     bool
	breaksThen uint32
	// introductions is how many heartbeats to the peer must still say who this
	// node is.
	introductions int
}

// Report is what a peer says of itself in a heartbeat.
type Report struct {
	// Sequence numbers the heartbeats of one run of the peer.
	Sequence uint64
	// Absent is set while the peer listens before it joins, or leaves.
	Absent bool
	// Leaving is set once the peer has left for good. A peer that only listens
	// may join and decide at any moment, and so counts towards the quorum.
	Leaving bool
	// Settled is set when everything that the peer holds is held twice.
	Settled bool
	// Breaks counts how often the peer has stopped to vouch for its records.
	Breaks uint32
}

func (p *peer) alive(now time.Duration) bool {
	return p.ID != 0 && now-p.heard <= DeadAfter
}

// Detector decides which peers are alive from their heartbeats and the machine
// list. Peers are kept in order of address.
type Detector struct {
	self  Member
	peers []*peer
	// absent keeps this node out of the view that it computes.
	absent bool
	// forgotten has the breaksThen of peers that were dropped while goneOn.
	forgotten map[ID]uint32
}

// NewDetector returns a detector for the node, which is not yet in its own view.
func NewDetector(self Member) *Detector {
	return &Detector{self: self, absent: true, forgotten: map[ID]uint32{}}
}

func (d *Detector) find(id ID) *peer {
	for _, p := range d.peers {
		if p.ID == id {
			return p
		}
	}
	return nil
}

func (d *Detector) at(address netip.AddrPort) *peer {
	index, known := slices.BinarySearchFunc(d.peers, address, func(p *peer, a netip.AddrPort) int {
		return p.Address.Compare(a)
	})
	if !known {
		p := &peer{Member: Member{Address: address}, introductions: introductions}
		d.peers = slices.Insert(d.peers, index, p)
	}
	return d.peers[index]
}

// Heard records a heartbeat. A new identifier at a known address is a process
// that was started again and has lost what its predecessor knew. It is not fresh
// when a newer one has overtaken it, and then changes nothing; broke tells that
// the peer has stopped to vouch for its records since the last one.
func (d *Detector) Heard(now time.Duration, member Member, report Report) (fresh, broke bool) {
	if member.Address == d.self.Address {
		return false, false
	}
	p := d.at(member.Address)
	if p.ID == member.ID && report.Sequence <= p.Sequence {
		return false, false
	}
	broke = p.ID == member.ID && report.Breaks != p.Breaks
	if p.ID != member.ID {
		p.introductions = introductions
		p.breaksThen, p.goneOn = d.forgotten[member.ID]
		delete(d.forgotten, member.ID)
	}
	if report.Breaks != p.breaksThen {
		p.goneOn = false
	}
	p.Member = member
	p.Report = report
	p.heard = now
	return true, broke
}

// Listed replaces what the machine list says. The list lags: it only adds
// addresses to send heartbeats to and members that count towards the quorum.
func (d *Detector) Listed(addresses []netip.AddrPort) {
	for _, p := range d.peers {
		p.listed = false
	}
	for _, address := range addresses {
		if address != d.self.Address {
			d.at(address).listed = true
		}
	}
}

// Join puts this node into its own view, and Withdraw takes it out.
func (d *Detector) Join() { d.absent = false }

// Withdraw takes this node out of its own view.
func (d *Detector) Withdraw() { d.absent = true }

// Joined tells whether this node is in its own view.
func (d *Detector) Joined() bool { return !d.absent }

// Resume treats every peer that was alive at the moment of the last tick as
// heard now, for a node that stood still since then.
func (d *Detector) Resume(lastTick, now time.Duration) {
	for _, p := range d.peers {
		if p.alive(lastTick) {
			p.heard = now
		}
	}
}

// Forget drops peers that are neither listed nor heard from.
func (d *Detector) Forget(now time.Duration) {
	d.peers = slices.DeleteFunc(d.peers, func(p *peer) bool {
		drop := !p.listed && (p.ID == 0 || now-p.heard > ForgetAfter)
		if drop && p.goneOn {
			d.forgotten[p.ID] = p.breaksThen
		}
		return drop
	})
}

// GoOn notes that this node decides from now on without the peers that have been
// out of the view for ViewSettle; each must be told, should it come back, that records may exist that it
// lacks. It is called while this node hears a majority.
func (d *Detector) GoOn(now time.Duration) {
	for _, p := range d.peers {
		if p.ID == 0 || p.goneOn || p.Leaving || now-p.heard <= DeadAfter+ViewSettle {
			continue
		}
		p.goneOn = true
		p.breaksThen = p.Breaks
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

// Quorum tells whether this node hears a majority of the members it knows,
// itself included. Peers that have left for good do not count.
func (d *Detector) Quorum(now time.Duration) bool {
	known, heard := 1, 1
	for _, p := range d.peers {
		if p.Leaving {
			continue
		}
		known++
		if p.alive(now) {
			heard++
		}
	}
	return 2*heard > known
}

// AllSettled tells whether every live member of the view is settled.
func (d *Detector) AllSettled(now time.Duration) bool {
	for _, p := range d.peers {
		if p.alive(now) && !p.Absent && !p.Settled {
			return false
		}
	}
	return true
}

// Overdue tells whether the peer's last heartbeat is late, before it counts as dead.
func (d *Detector) Overdue(id ID, now time.Duration) bool {
	p := d.find(id)
	return p == nil || now-p.heard > ViewSettle
}

const (
	// introductions is how many heartbeats to a new peer say who this node is.
	introductions = 3
	// introduceEvery is every how many rounds all peers are told again.
	introduceEvery = 10
)

// Target is a peer that heartbeats are sent to.
type Target struct {
	Address netip.AddrPort
	// GoneOn is set when the peer must be told that this node decided without it.
	GoneOn bool
	// Introduce is set when the heartbeat must say who this node is; the rest of
	// the time the identifier is enough.
	Introduce bool
}

// Targets returns every known peer, for one round of heartbeats.
func (d *Detector) Targets(round uint64) []Target {
	targets := make([]Target, 0, len(d.peers))
	for _, p := range d.peers {
		introduce := p.introductions > 0 || p.ID == 0 || round%introduceEvery == 0
		p.introductions = max(0, p.introductions-1)
		targets = append(targets, Target{p.Address, p.goneOn, introduce})
	}
	return targets
}

// Known returns the peer that has introduced itself with the identifier.
func (d *Detector) Known(id ID) (Member, bool) {
	if p := d.find(id); p != nil && id != 0 {
		return p.Member, true
	}
	return Member{}, false
}
