package peers

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"
)

func TestCapacityOf(t *testing.T) {
	for _, test := range []struct {
		cores, linkMbps float64
		want            Capacity
	}{
		{0, 0, CapacityLow}, {0, 1000, CapacityLow}, {0.045, 10, CapacityLow}, {0.045, 1000, CapacityLow}, {math.NaN(), 1000, CapacityLow},
		{0.152, 10, CapacityMedium}, {0.152, 1000, CapacityMedium}, {0.8, 10, CapacityMedium}, {0.8, 0, CapacityMedium}, {0.8, math.NaN(), CapacityMedium},
		{0.8, 200, CapacityHigh}, {4, 1000, CapacityHigh},
	} {
		if got := CapacityOf(test.cores, test.linkMbps); got != test.want {
			t.Errorf("%v cores behind %v Mbit/s: class %d, want %d", test.cores, test.linkMbps, got, test.want)
		}
	}
}

// mixedFleet returns balancers of one zone and their tables. One balancer in every has
// CapacityHigh.
func mixedFleet(count, every int) (balancers []Introduction, tables map[netip.AddrPort]*Table) {
	tables = map[netip.AddrPort]*Table{}
	for number := range count {
		balancer := Introduction{Control: address(number), Zone: "a"}
		if number%every == 0 {
			balancer.Capacity = CapacityHigh
		}
		balancers = append(balancers, balancer)
	}
	for _, self := range balancers {
		tables[self.Control] = New(self)
		for _, other := range balancers {
			tables[self.Control].Receive(0, helloFrom(other))
		}
	}
	return balancers, tables
}

// helloFrom returns a hello of a balancer with a staleness of 0.
func helloFrom(balancer Introduction) *Hello {
	msg := newHello(balancer.Control, balancer.Zone, 0)
	msg.Capacity = balancer.Capacity
	return msg
}

// TestHighCapacityBalancersAreFollowed checks that the few balancers of high capacity are followed
// by no more than each serves, and that nearly only they read the store.
func TestHighCapacityBalancersAreFollowed(t *testing.T) {
	for _, test := range []struct{ count, every int }{{28, 14}, {28, 28}, {400, 14}, {400, 400}} {
		const maxFollowers = 48
		balancers, tables := mixedFleet(test.count, test.every)
		followers, maxSeen, lowReaders := map[netip.AddrPort]int{}, 0, 0
		for _, self := range balancers {
			peer, found := tables[self.Control].Upstream(0, maxStaleness)
			if !found {
				if self.Capacity < CapacityHigh {
					lowReaders++
				}
				continue
			}
			if peer.rank().Compare(RankOf(self)) >= 0 {
				t.Fatalf("%+v: %v follows a higher rank", test, self)
			}
			followers[peer.Control]++
			maxSeen = max(maxSeen, followers[peer.Control])
		}
		if maxSeen > maxFollowers {
			t.Errorf("%+v: %d balancers follow the same one", test, maxSeen)
		}
		// A balancer whose table has no peer of high capacity falls back to the hash.
		allowed := test.count / maxZonePeers
		if test.every <= 14 {
			allowed = test.count / 100
		}
		if lowReaders > allowed {
			t.Errorf("%+v: %d without high capacity read the store", test, lowReaders)
		}
		t.Logf("%+v: at most %d follow the same one, %d without high capacity read the store", test, maxSeen, lowReaders)
	}
}

// TestHighCapacityBalancersMeetAcrossZones checks that balancers of high capacity find each other
// through introductions from three seeds, so that one reads the store for all.
func TestHighCapacityBalancersMeetAcrossZones(t *testing.T) {
	for _, test := range []struct{ zones, perZone, ablePerZone, most int }{{3, 28, 2, 1}, {4, 17, 2, 1}, {3, 28, 0, 1}, {6, 60, 4, 2}} {
		tables := map[netip.AddrPort]*Table{}
		var balancers []Introduction
		for i := range test.zones * test.perZone {
			balancer := Introduction{Control: address(i), Zone: string(rune('a' + i%test.zones))}
			if i/test.zones < test.ablePerZone {
				balancer.Capacity = CapacityHigh
			}
			balancers = append(balancers, balancer)
			tables[balancer.Control] = New(balancer)
		}
		now := time.Duration(0)
		for range 20 {
			for _, self := range balancers {
				table := tables[self.Control]
				if table.NeedsSeeds(now) {
					for seed := range 3 {
						table.Introduce(now, Introduction{Control: address(10 + seed)})
					}
				}
				if peer, found := table.Upstream(now, maxStaleness); found {
					// The followed peer answers calls, even if its hellos are rare.
					table.RecordAnswer(now, peer.Control, 0, 1)
				}
				msg := helloFrom(self)
				msg.Introductions = table.Sample(now)
				for _, target := range table.Round(now, 8) {
					other := tables[target.Control]
					msg.ReplyRequested = target.ReplyRequested
					if isNew := other.Receive(now, msg); isNew || target.ReplyRequested {
						answer := helloFrom(other.self)
						answer.Introductions = other.IntroductionsFor(now, msg)
						table.Receive(now, answer)
					}
				}
			}
			now += HelloInterval
		}
		now -= HelloInterval
		storeReaders := 0
		for _, self := range balancers {
			if _, found := tables[self.Control].Upstream(now, maxStaleness); !found {
				storeReaders++
			}
		}
		if storeReaders > test.most {
			t.Errorf("%+v: %d read the store", test, storeReaders)
		}
	}
}

// TestFallbackToHashWithoutHighCapacity covers the loss of the peer of high capacity: it is dead,
// leaving, stale or refuses followers.
func TestFallbackToHashWithoutHighCapacity(t *testing.T) {
	const later = time.Second
	for _, removeHigh := range []func(table *Table, high Introduction){
		func(*Table, Introduction) {},
		func(table *Table, high Introduction) {
			msg := helloFrom(high)
			msg.Leaving = true
			table.Receive(later, msg)
		},
		func(table *Table, high Introduction) {
			msg := helloFrom(high)
			msg.StoreAge = maxStaleness + 1
			table.Receive(later, msg)
		},
		func(table *Table, high Introduction) {
			table.Receive(later, helloFrom(high))
			table.RecordRefusal(later, high.Control)
		},
	} {
		ranked := rankedAddresses(4)
		high := Introduction{Control: ranked[3], Zone: "a", Capacity: CapacityHigh}
		table := New(Introduction{Control: ranked[1], Zone: "a"})
		table.Receive(0, helloFrom(high))
		if peer, found := table.Upstream(0, maxStaleness); !found || peer.Control != high.Control {
			t.Fatalf("upstream %v %v, want the one of high capacity", peer, found)
		}
		removeHigh(table, high)
		table.Receive(later, newHello(ranked[0], "a", 0))
		table.Receive(later, newHello(ranked[2], "a", 0))
		if peer, found := table.Upstream(later+maxStaleness/2+time.Second, maxStaleness+time.Second); !found || peer.Control != ranked[0] {
			t.Errorf("upstream %v %v, want the first by hash", peer, found)
		}
	}
}

// TestCapacityChangeEndsFollowCycle covers a restart with a lower capacity, after which two
// balancers may follow each other. Staleness ends the cycle, since no third party confirms their
// views, and so does the first hello.
func TestCapacityChangeEndsFollowCycle(t *testing.T) {
	ranked := rankedAddresses(2)
	changed, other := Introduction{Control: ranked[1], Zone: "a"}, Introduction{Control: ranked[0], Zone: "a"}
	before := changed
	before.Capacity = CapacityHigh
	ofChanged, ofOther := New(changed), New(other)
	ofChanged.Receive(0, helloFrom(other))
	ofOther.Receive(0, helloFrom(before))
	_, changedFollows := ofChanged.Upstream(0, maxStaleness)
	_, otherFollows := ofOther.Upstream(0, maxStaleness)
	if !changedFollows || !otherFollows {
		t.Fatal("the two do not follow each other")
	}
	// Both answer each other repeatedly with the staleness of their views.
	for now := time.Duration(0); now <= maxStaleness+HelloInterval; now += HelloInterval {
		ofChanged.RecordAnswer(now, other.Control, now, 1)
		ofOther.RecordAnswer(now, changed.Control, now, 1)
	}
	const late = maxStaleness + HelloInterval
	_, changedFollows = ofChanged.Upstream(late, maxStaleness)
	_, otherFollows = ofOther.Upstream(late, maxStaleness)
	if changedFollows || otherFollows {
		t.Error("the two still follow each other with stale views")
	}
	ofOther.Receive(0, helloFrom(changed))
	if _, found := ofOther.Upstream(0, maxStaleness); found {
		t.Error("a balancer of lower capacity is followed after its hello")
	}
}

// TestUrgentRoundStartsWithHighCapacity checks the order of an urgent round, and that a balancer's
// own hello takes precedence over introductions.
func TestUrgentRoundStartsWithHighCapacity(t *testing.T) {
	table := New(Introduction{Control: address(0), Zone: "a"})
	for number := 1; number < 20; number++ {
		table.Introduce(0, Introduction{Control: address(number), Zone: "a"})
	}
	table.Introduce(0, Introduction{Control: address(15), Capacity: CapacityHigh})
	if first := table.UrgentRound()[0].Control; first != address(15) {
		t.Errorf("first target: %v", first)
	}
	requested := map[netip.AddrPort]bool{address(15): true}
	for range 3 {
		for _, target := range table.UrgentRound() {
			requested[target.Control] = true
		}
	}
	if len(requested) < 18 {
		t.Errorf("%d of 19 balancers were targets", len(requested))
	}
	table.Receive(0, newHello(address(15), "a", 0))
	table.Introduce(0, Introduction{Control: address(15), Capacity: CapacityHigh})
	if table.peers[address(15)].Capacity != CapacityLow {
		t.Error("an introduction replaced the capacity in the balancer's own hello")
	}
}

// TestNeighboursIgnoreCapacity guards against a dependency of neighbours, and so of the warm-up of
// back ends, on capacities.
func TestNeighboursIgnoreCapacity(t *testing.T) {
	_, mixed := mixedFleet(100, 10)
	_, uniform := mixedFleet(100, 1)
	for control, table := range mixed {
		got, want := table.Neighbours(0), uniform[control].Neighbours(0)
		if got.Own != want.Own || !slices.Equal(got.Live, want.Live) || got.Truncated != want.Truncated {
			t.Fatalf("neighbours of %v differ by capacity", control)
		}
	}
}

// TestFewListStoreAtFleetStart bounds the balancers that list the store at once when all start:
// more would saturate its link.
func TestFewListStoreAtFleetStart(t *testing.T) {
	for _, test := range []struct{ zones, perZone, ablePerZone int }{{1, 198, 10}, {1, 400, 20}, {1, 198, 0}} {
		listing := 0
		for zone := range test.zones {
			var balancers []Introduction
			for i := range test.perZone {
				balancer := Introduction{Control: address(zone*test.perZone + i), Zone: "a"}
				if i < test.ablePerZone {
					balancer.Capacity = CapacityHigh
				}
				balancers = append(balancers, balancer)
			}
			for _, self := range balancers {
				table := New(self)
				for _, other := range balancers {
					table.Receive(0, helloFrom(other))
				}
				if !table.HasHigherCapacity(0) && !table.HasLowerRank(0) {
					listing++
				}
			}
		}
		if maxListing := test.zones * test.perZone * 9 / 100; listing > maxListing {
			t.Errorf("%+v: %d list the store, want at most %d", test, listing, maxListing)
		}
	}
}

// TestHigherCapacityPeerElsewhereIsRetained checks that the only peer of higher capacity, in
// another zone, is kept at any hash distance and followed.
func TestHigherCapacityPeerElsewhereIsRetained(t *testing.T) {
	for high := range 40 {
		self := Introduction{Control: address(1000), Zone: "a", Capacity: CapacityMedium}
		table := New(self)
		for number := range 40 {
			other := Introduction{Control: address(number), Zone: "b", Capacity: CapacityMedium}
			if number == high {
				other.Capacity = CapacityHigh
			}
			table.Receive(0, helloFrom(other))
		}
		if len(table.peers) != maxOtherPeers {
			t.Errorf("%d peers of other zones", len(table.peers))
		}
		if peer, found := table.Upstream(0, maxStaleness); !found || peer.Control != address(high) || !table.HasHigherCapacity(0) {
			t.Errorf("the balancer of high capacity, %d, is not followed: %v", high, found)
		}
	}
}
