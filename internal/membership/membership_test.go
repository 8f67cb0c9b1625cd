package membership

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func member(number int, zone string) Member {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+number))
	return Member{ID: IDOf(address, 1), Zone: zone, Address: address}
}

// TestOneChangeKeepsOneOfPair guards the basis of replication: after one join, or the loss of one
// node or one zone, one of the old pair is in the new one.
func TestOneChangeKeepsOneOfPair(t *testing.T) {
	zones := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 16).Draw(t, "count")
		var members []Member
		for i := range count {
			members = append(members, member(i, zones[i%len(zones)]))
		}
		scope := rapid.SampledFrom([]string{"node", "zone"}).Draw(t, "gone")
		failed := members[rapid.IntRange(0, count-1).Draw(t, "struck")]
		var rest []Member
		for _, m := range members {
			if m.ID != failed.ID && (scope == "node" || m.Zone != failed.Zone) {
				rest = append(rest, m)
			}
		}
		viewBefore, viewAfter := NewView(members, true), NewView(rest, true)
		for partition := range PartitionCount {
			before, after := viewBefore.PairAt(partition), viewAfter.PairAt(partition)
			if !after.Has(before.Owner) && !after.Has(before.Successor) {
				t.Fatalf("partition %d: %v and %v have no member in common", partition, before, after)
			}
		}
	})
}

func TestPairIsInTwoZones(t *testing.T) {
	view := NewView([]Member{member(1, "a"), member(2, "a"), member(3, "b")}, true)
	for partition := range PartitionCount {
		pair := view.PairAt(partition)
		owner, _ := view.Member(pair.Owner)
		successor, _ := view.Member(pair.Successor)
		if owner.Zone == successor.Zone {
			t.Fatalf("partition %d: both in zone %s", partition, owner.Zone)
		}
	}
}

func TestDetector(t *testing.T) {
	self, other, third := member(1, "a"), member(2, "b"), member(3, "c")
	d := NewDetector(self)
	d.Join()
	d.SetMachineList([]netip.AddrPort{other.Address, third.Address})
	if d.HasQuorum(0) {
		t.Error("one of three is a quorum")
	}
	d.Receive(time.Second, other, Report{Sequence: 5})
	if !d.HasQuorum(time.Second) || len(d.Live(time.Second)) != 2 {
		t.Error("two of three are no quorum")
	}
	if accepted, _ := d.Receive(time.Second, other, Report{Sequence: 4, Absent: true}); accepted || len(d.Live(time.Second)) != 2 {
		t.Error("an older heartbeat was accepted")
	}
	if len(d.Live(time.Second+DeadAfter+1)) != 1 {
		t.Error("a silent peer is alive")
	}
	// A peer that only listens may join and decide, and so counts towards the quorum.
	d.Receive(3*time.Second, other, Report{Sequence: 6, Absent: true})
	if len(d.Live(3*time.Second)) != 1 || !d.HasQuorum(3*time.Second) {
		t.Error("a listening peer is in the view, or does not count towards the quorum")
	}
	d.MarkDecidedWithout(3*time.Second + DeadAfter + ViewSettle + 1)
	for _, target := range d.Targets(1) {
		if target.Address == other.Address && !target.DecidedWithout {
			t.Error("DecidedWithout is not set for a peer that is out of the view")
		}
	}
	if _, invalidated := d.Receive(6*time.Second, other, Report{Sequence: 7, Invalidations: 1}); !invalidated {
		t.Error("an invalidation was not reported")
	}
	for _, target := range d.Targets(1) {
		if target.DecidedWithout {
			t.Error("DecidedWithout is still set after the peer invalidated its records")
		}
	}
}

func TestContinuity(t *testing.T) {
	self := member(1, "a")
	alone, none := NewView([]Member{self}, true), NewView(nil, true)
	const lifetime = 45 * time.Second
	c := NewContinuity(self.ID, 0)
	c.Change(time.Second, alone)
	if c.HasCompleteHistory(0, 2*time.Second, lifetime) || !c.HasCompleteHistory(0, time.Minute, lifetime) {
		t.Error("the history must be complete one lifetime after the node joined the pair, not before")
	}
	c.Change(time.Minute, none)
	c.Change(time.Minute, alone)
	if c.HasCompleteHistory(0, time.Minute+time.Second, lifetime) {
		t.Error("the history is complete after a gap")
	}
	c.MarkComplete(0, alone)
	if !c.HasCompleteHistory(0, time.Minute+time.Second, lifetime) {
		t.Error("the history is incomplete after MarkComplete")
	}
	c.Invalidate(2*time.Minute, alone)
	if c.HasCompleteHistory(0, 2*time.Minute, lifetime) {
		t.Error("the history is complete after Invalidate")
	}
}
