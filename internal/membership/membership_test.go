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

// TestOneChangeKeepsAHolder guards the ground that all else stands on: after one
// join, the loss of one node, or of one zone, one of the old pair is in the new.
func TestOneChangeKeepsAHolder(t *testing.T) {
	zones := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 16).Draw(t, "count")
		var members []Member
		for i := range count {
			members = append(members, member(i, zones[i%len(zones)]))
		}
		gone := rapid.SampledFrom([]string{"node", "zone"}).Draw(t, "gone")
		struck := members[rapid.IntRange(0, count-1).Draw(t, "struck")]
		var rest []Member
		for _, m := range members {
			if m.ID != struck.ID && (gone == "node" || m.Zone != struck.Zone) {
				rest = append(rest, m)
			}
		}
		all, some := NewView(members, true), NewView(rest, true)
		for partition := range PartitionCount {
			large, small := all.PairAt(partition), some.PairAt(partition)
			if !small.Has(large.Owner) && !small.Has(large.Successor) {
				t.Fatalf("partition %d: %v and %v share none", partition, large, small)
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
	d.Listed([]netip.AddrPort{other.Address, third.Address})
	if d.Quorum(0) {
		t.Error("one of three is a majority")
	}
	d.Heard(time.Second, other, Report{Sequence: 5})
	if !d.Quorum(time.Second) || len(d.Live(time.Second)) != 2 {
		t.Error("two of three are no majority")
	}
	if fresh, _ := d.Heard(time.Second, other, Report{Sequence: 4, Absent: true}); fresh || len(d.Live(time.Second)) != 2 {
		t.Error("a heartbeat that was overtaken counts")
	}
	if len(d.Live(time.Second+DeadAfter+1)) != 1 {
		t.Error("a silent peer is alive")
	}
	// A peer that only listens may join and decide; it must count.
	d.Heard(3*time.Second, other, Report{Sequence: 6, Absent: true})
	if len(d.Live(3*time.Second)) != 1 || !d.Quorum(3*time.Second) {
		t.Error("a listening peer is in the view, or does not count")
	}
	d.GoOn(3*time.Second + DeadAfter + ViewSettle + 1)
	for _, target := range d.Targets(1) {
		if target.Address == other.Address && !target.GoneOn {
			t.Error("a peer that decisions went on without is not told")
		}
	}
	if _, broke := d.Heard(6*time.Second, other, Report{Sequence: 7, Breaks: 1}); !broke {
		t.Error("a break went unnoticed")
	}
	for _, target := range d.Targets(1) {
		if target.GoneOn {
			t.Error("a peer that knows is told again")
		}
	}
}

func TestContinuity(t *testing.T) {
	self := member(1, "a")
	alone, none := NewView([]Member{self}, true), NewView(nil, true)
	const lifetime = 45 * time.Second
	c := NewContinuity(self.ID, 0)
	c.Change(time.Second, alone)
	if c.Covers(0, 2*time.Second, lifetime) || !c.Covers(0, time.Minute, lifetime) {
		t.Error("a node covers a lifetime after it became one of the pair, not before")
	}
	c.Change(time.Minute, none)
	c.Change(time.Minute, alone)
	if c.Covers(0, time.Minute+time.Second, lifetime) {
		t.Error("a gap did not break continuity")
	}
	c.Grant(0, alone)
	if !c.Covers(0, time.Minute+time.Second, lifetime) {
		t.Error("a grant did not help")
	}
	c.Break(2*time.Minute, alone)
	if c.Covers(0, 2*time.Minute, lifetime) {
		t.Error("a break did not undo a grant")
	}
}
