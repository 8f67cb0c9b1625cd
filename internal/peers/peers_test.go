package peers

import (
	"net/netip"
	"testing"
	"time"
)

const maxStaleness = 1600 * time.Millisecond

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 8166)
}

// rankedAddresses returns count addresses in order of rank.
func rankedAddresses(count int) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, count)
	for number := range count {
		at := 0
		for at < len(addresses) && HashOf(addresses[at]) < HashOf(address(number)) {
			at++
		}
		addresses = append(addresses[:at], append([]netip.AddrPort{address(number)}, addresses[at:]...)...)
	}
	return addresses
}

func newHello(control netip.AddrPort, zone string, age time.Duration) *Hello {
	return &Hello{Control: control, Zone: zone, Started: 1, Revision: 5, StoreAge: age}
}

func TestUpstreamIsLowestFreshRankInZone(t *testing.T) {
	ranked := rankedAddresses(4)
	for _, test := range []struct {
		name   string
		change func(hellos []*Hello)
		want   int
	}{
		{"all are fresh", func([]*Hello) {}, 0},
		{"the lowest is stale", func(h []*Hello) { h[0].StoreAge = 2 * maxStaleness }, 1},
		{"the lowest leaves", func(h []*Hello) { h[0].Leaving = true }, 1},
		{"the lowest is in another zone", func(h []*Hello) { h[0].Zone = "b" }, 0},
		{"all lower ones are stale", func(h []*Hello) { h[0].StoreAge, h[1].StoreAge = 2*maxStaleness, 2*maxStaleness }, -1},
	} {
		table := New(Introduction{Control: ranked[2], Zone: "a"})
		hellos := []*Hello{newHello(ranked[0], "a", 0), newHello(ranked[1], "a", 0), newHello(ranked[3], "a", 0)}
		test.change(hellos)
		for _, h := range hellos {
			table.Receive(time.Second, h)
		}
		peer, found := table.Upstream(time.Second, maxStaleness)
		if found != (test.want >= 0) || found && peer.Control != ranked[test.want] {
			t.Errorf("%s: upstream %v %v", test.name, peer, found)
		}
	}
}

// TestLargeZoneFollowsOwnZone checks that peers of other zones are followed only if the zone is
// small or has no peer of lower rank.
func TestLargeZoneFollowsOwnZone(t *testing.T) {
	ranked := rankedAddresses(smallZone + 3)
	self := len(ranked) - 1
	table := New(Introduction{Control: ranked[self], Zone: "a"})
	table.Receive(0, newHello(ranked[0], "b", 0))
	for _, control := range ranked[1:self] {
		table.Receive(0, newHello(control, "a", 0))
	}
	if peer, found := table.Upstream(0, maxStaleness); !found || peer.Control != ranked[1] {
		t.Errorf("upstream %v %v", peer, found)
	}
	first := New(Introduction{Control: ranked[1], Zone: "a"})
	for _, control := range ranked[2:] {
		first.Receive(0, newHello(control, "a", 0))
	}
	if peer, found := first.Upstream(0, maxStaleness); found {
		t.Errorf("the lowest rank of all follows %v", peer)
	}
	first.Receive(0, newHello(ranked[0], "b", 0))
	if peer, found := first.Upstream(0, maxStaleness); !found || peer.Control != ranked[0] {
		t.Errorf("the lowest rank of the zone follows %v %v", peer, found)
	}
}

// TestRefusingPeerIsSkipped checks that a peer that refused is not followed for refusalPeriod, and
// the next rank is.
func TestRefusingPeerIsSkipped(t *testing.T) {
	ranked := rankedAddresses(3)
	table := New(Introduction{Control: ranked[2], Zone: "a"})
	table.Receive(0, newHello(ranked[0], "a", 0))
	table.Receive(0, newHello(ranked[1], "a", 0))
	table.RecordRefusal(0, ranked[0])
	if peer, found := table.Upstream(time.Second, maxStaleness); !found || peer.Control != ranked[1] {
		t.Errorf("upstream %v %v", peer, found)
	}
	table.Receive(refusalPeriod, newHello(ranked[0], "a", 0))
	if peer, found := table.Upstream(refusalPeriod, maxStaleness); !found || peer.Control != ranked[0] {
		t.Errorf("after refusalPeriod, upstream %v %v", peer, found)
	}
}

// TestAnswerRefreshesPeer checks that an answer counts like a hello.
func TestAnswerRefreshesPeer(t *testing.T) {
	ranked := rankedAddresses(2)
	table := New(Introduction{Control: ranked[1], Zone: "a"})
	table.Receive(0, newHello(ranked[0], "a", 0))
	table.RecordAnswer(2*time.Second, ranked[0], 300*time.Millisecond, 9)
	if peer, found := table.Upstream(2*time.Second, maxStaleness); !found || peer.Revision != 9 {
		t.Error("a peer that has just answered is not followed")
	}
}

// TestStalenessGrowsWithSilence checks that a silent peer becomes too stale to follow before it
// counts as dead.
func TestStalenessGrowsWithSilence(t *testing.T) {
	ranked := rankedAddresses(2)
	table := New(Introduction{Control: ranked[1], Zone: "a"})
	table.Receive(0, newHello(ranked[0], "a", time.Second))
	if _, found := table.Upstream(500*time.Millisecond, maxStaleness); !found {
		t.Error("a fresh view is not followed")
	}
	if _, found := table.Upstream(700*time.Millisecond, maxStaleness); found {
		t.Error("a view confirmed 1.7 s ago is followed")
	}
}

// TestNoFollowCycles checks that every balancer of a large zone follows a lower rank, and that few
// read the store.
func TestNoFollowCycles(t *testing.T) {
	const count = 400
	storeReaders := 0
	for number := range count {
		table := New(Introduction{Control: address(number), Zone: "a"})
		for other := range count {
			table.Receive(0, newHello(address(other), "a", 0))
		}
		peer, found := table.Upstream(0, maxStaleness)
		switch {
		case !found:
			storeReaders++
		case peer.rank().Compare(table.rank()) >= 0:
			t.Fatalf("balancer %d follows a higher rank", number)
		}
		if len(table.peers) > maxZonePeers {
			t.Fatalf("a table of %d peers", len(table.peers))
		}
	}
	if storeReaders == 0 || storeReaders > 3*count/maxZonePeers {
		t.Errorf("%d of %d balancers read the store", storeReaders, count)
	}
}

func TestReceiveDetectsRestart(t *testing.T) {
	table := New(Introduction{Control: address(1), Zone: "a"})
	first := newHello(address(2), "a", 0)
	if !table.Receive(0, first) || table.Receive(0, first) {
		t.Error("the first hello is not new, or the second is")
	}
	// A restart after the clock was set back has an earlier start time.
	restarted := *first
	restarted.Started = 0
	if !table.Receive(0, &restarted) {
		t.Error("a restart with an earlier start time is not detected")
	}
	if table.Receive(0, newHello(address(1), "a", 0)) {
		t.Error("a balancer accepts its own hello")
	}
	if table.Receive(0, &Hello{}) {
		t.Error("a hello without an address is accepted")
	}
}

func TestSilentPeersAreForgotten(t *testing.T) {
	table := New(Introduction{Control: address(1), Zone: "a"})
	table.Receive(0, newHello(address(2), "a", 0))
	if len(table.Alive(2*aliveTimeout)) != 0 {
		t.Error("a silent peer is alive")
	}
	table.Forget(forgetTimeout + time.Second)
	if len(table.Round(0, 0)) != 0 {
		t.Error("a silent peer is not forgotten")
	}
}

func TestNewestRequiresHigherRevision(t *testing.T) {
	table := New(Introduction{Control: address(1), Zone: "a"})
	table.Receive(0, newHello(address(2), "b", 0))
	newer := newHello(address(3), "a", 0)
	newer.Revision = 9
	table.Receive(0, newer)
	if peer, found := table.Newest(0, 5); !found || peer.Control != address(3) {
		t.Errorf("newest %v %v", peer, found)
	}
	if _, found := table.Newest(0, 9); found {
		t.Error("a peer with the same revision is returned")
	}
}

// TestSenderBeyondTableLimitIsNotNew guards against two balancers that reply to each other without
// end.
func TestSenderBeyondTableLimitIsNotNew(t *testing.T) {
	table := New(Introduction{Control: address(0), Zone: "a"})
	for round := range 3 {
		for other := 1; other <= 3*maxOtherPeers; other++ {
			isNew := table.Receive(0, newHello(address(other), "b", 0))
			if round > 0 && isNew {
				t.Fatalf("balancer %d is new in round %d", other, round)
			}
		}
	}
}

// TestIntroductionsForNamesNearestPeers checks that introductions are the peers nearest to the
// requester, not to the sender.
func TestIntroductionsForNamesNearestPeers(t *testing.T) {
	table := New(Introduction{Control: address(0), Zone: "a"})
	for other := 1; other <= 20; other++ {
		table.Receive(0, newHello(address(other), "a", 0))
	}
	nearest := table.IntroductionsFor(0, newHello(address(99), "a", 0))
	if len(nearest) != sampleSize {
		t.Fatalf("%d introductions", len(nearest))
	}
	farthest := HashOf(nearest[len(nearest)-1].Control) ^ HashOf(address(99))
	closer := 0
	for other := 1; other <= 20; other++ {
		if HashOf(address(other))^HashOf(address(99)) < farthest {
			closer++
		}
	}
	if closer != sampleSize-1 {
		t.Errorf("%d balancers are closer than the last one introduced", closer)
	}
}

// TestHellosStayWithinTheBudget checks that full hellos become rarer at full tables, and that every
// peer gets hellos often enough to see this balancer alive.
func TestHellosStayWithinTheBudget(t *testing.T) {
	for _, test := range []struct {
		zone, others, loads, maxBytes int
	}{{3, 4, 18, fullHelloBudget}, {24, 8, 32, fullHelloBudget}, {24, 8, 0, fullHelloBudget}} {
		table := New(Introduction{Control: address(1), Zone: "a"})
		for i := range test.zone + test.others {
			zone := "a"
			if i >= test.zone {
				zone = "b"
			}
			table.Introduce(0, Introduction{Control: address(2 + i), Zone: zone})
		}
		const rounds = 120
		bytes := 0
		last, full := map[netip.AddrPort]int{}, map[netip.AddrPort]int{}
		for round := range rounds {
			for _, target := range table.Round(0, test.loads) {
				if gap := round - last[target.Control]; time.Duration(gap)*HelloInterval > aliveTimeout {
					t.Errorf("%+v: %v waits %d rounds for a hello", test, target.Control, gap)
				}
				last[target.Control] = round
				if target.Full {
					full[target.Control]++
					bytes += helloBytes + loadBytes*test.loads
				}
			}
		}
		if perSecond := int(float64(bytes) / (rounds * HelloInterval.Seconds())); perSecond > test.maxBytes {
			t.Errorf("%+v: full hellos take %d bytes per second", test, perSecond)
		}
		if len(last) != test.zone+test.others || len(full) != len(last) {
			t.Errorf("%+v: %d peers get hellos, %d get full ones", test, len(last), len(full))
		}
	}
}

// TestIntroductionsForPreferInformedPeers checks that a balancer without a view is introduced to
// peers that have one before its neighbours.
func TestIntroductionsForPreferInformedPeers(t *testing.T) {
	table := New(Introduction{Control: address(1), Zone: "a"})
	for i := 2; i < 20; i++ {
		uninformed := newHello(address(i), "a", 0)
		uninformed.Revision = 0
		table.Receive(0, uninformed)
	}
	table.Receive(0, newHello(address(20), "b", 0))
	requester := newHello(address(30), "a", 0)
	uninformed := *requester
	uninformed.Revision = 0
	introductions := table.IntroductionsFor(0, &uninformed)
	if len(introductions) != sampleSize || introductions[0].Control != address(20) || !introductions[0].HasView || introductions[1].HasView {
		t.Errorf("introductions without a view: %+v", introductions)
	}
	for _, other := range table.IntroductionsFor(0, requester) {
		if other.Control == requester.Control {
			t.Error("the requester is introduced to itself")
		}
	}
}

// TestNeedsUrgentRound covers a balancer that has a view but no live peer, as when seeds start
// later than the others.
func TestNeedsUrgentRound(t *testing.T) {
	table := New(Introduction{Control: address(1), Zone: "a"})
	table.Introduce(0, Introduction{Control: address(2)})
	for _, c := range []struct {
		now           time.Duration
		hasView, want bool
	}{{0, false, true}, {time.Second, true, true}, {seedSearchTime, true, false}, {seedSearchTime, false, true}} {
		if got := table.NeedsUrgentRound(c.now, c.hasView); got != c.want {
			t.Errorf("after %v, with a view %v: urgent %v", c.now, c.hasView, got)
		}
	}
	table.Receive(time.Second, newHello(address(2), "a", 0))
	if table.NeedsUrgentRound(time.Second, true) || !table.NeedsUrgentRound(time.Second, false) {
		t.Error("with a live peer, a round is urgent with a view or not urgent without one")
	}
}

// TestUpstreamChainsAreShort bounds the chains of followers and the readers of the store in zones
// larger than the tables.
func TestUpstreamChainsAreShort(t *testing.T) {
	const zones, perZone, maxStoreReaders, maxLength = 6, 40, 4, 8
	ranked := rankedAddresses(zones * perZone)
	zoneOf := func(i int) string { return string(rune('a' + i%zones)) }
	upstream := map[netip.AddrPort]netip.AddrPort{}
	storeReaders := 0
	for i, self := range ranked {
		table := New(Introduction{Control: self, Zone: zoneOf(i)})
		for j, other := range ranked {
			table.Receive(0, newHello(other, zoneOf(j), 0))
		}
		if peer, found := table.Upstream(0, maxStaleness); found {
			upstream[self] = peer.Control
		} else {
			storeReaders++
		}
	}
	if storeReaders > maxStoreReaders {
		t.Errorf("%d of %d balancers read the store", storeReaders, len(ranked))
	}
	for _, control := range ranked {
		length := 0
		for next, found := upstream[control]; found && length <= maxLength; next, found = upstream[next] {
			length++
		}
		if length > maxLength {
			t.Fatalf("the chain from %v is longer than %d", control, maxLength)
		}
	}
}

// TestEveryBalancerFindsItsZone guards against balancers that know enough peers elsewhere to
// contact no seeds, but too few of their own zone.
func TestEveryBalancerFindsItsZone(t *testing.T) {
	const zones, perZone, rounds = 6, 50, 20
	tables := map[netip.AddrPort]*Table{}
	var order []netip.AddrPort
	for i := range zones * perZone {
		self := address(i)
		order = append(order, self)
		tables[self] = New(Introduction{Control: self, Zone: string(rune('a' + i%zones))})
	}
	deliver := func(now time.Duration, from, to *Table, reply bool, others []Introduction) {
		msg := newHello(from.self.Control, from.self.Zone, 0)
		msg.ReplyRequested, msg.Introductions = reply, others
		isNew := to.Receive(now, msg)
		if isNew || reply {
			answer := newHello(to.self.Control, to.self.Zone, 0)
			answer.Introductions = to.IntroductionsFor(now, msg)
			from.Receive(now, answer)
		}
	}
	now := time.Duration(0)
	for range rounds {
		for _, self := range order {
			table := tables[self]
			if table.NeedsSeeds(now) {
				for seed := range 3 {
					table.Introduce(now, Introduction{Control: address(seed)})
				}
			}
			sample := table.Sample(now)
			for _, target := range table.Round(now, 8) {
				deliver(now, table, tables[target.Control], target.ReplyRequested, sample)
			}
		}
		now += HelloInterval
	}
	belowSmallZone := 0
	for _, self := range order {
		if _, count, _ := tables[self].Position(now); count < smallZone {
			belowSmallZone++
		}
	}
	if belowSmallZone > 0 {
		t.Errorf("%d of %d balancers know fewer than %d balancers of their zone", belowSmallZone, len(order), smallZone)
	}
}

// TestFailuresCountWithoutLoads checks that failures of an urgent hello count for a peer that never
// sent a full one.
func TestFailuresCountWithoutLoads(t *testing.T) {
	const later = time.Minute
	table := New(Introduction{Control: address(0), Zone: "a"})
	urgent := newHello(address(1), "a", 0)
	urgent.Full, urgent.Failures = false, []Failure{{Tag: 7, Count: uint32(1 / LoadUnit)}}
	table.Receive(later, urgent)
	if load := table.Loads(later)[7]; load.Failures != 1 {
		t.Errorf("load %+v", load)
	}
	short := newHello(address(1), "a", 0)
	short.Full = false
	table.Receive(later, short)
	if load := table.Loads(later + time.Second)[7]; load.Failures < 0.6 || load.Failures > 0.8 {
		t.Errorf("a second later %+v", load)
	}
}

// TestNeighboursAreInOwnZone checks the live neighbours, and the count of those that are silent or
// leaving.
func TestNeighboursAreInOwnZone(t *testing.T) {
	table := New(Introduction{Control: address(0), Zone: "a"})
	for i, zone := range []string{"a", "a", "b", "a"} {
		table.Receive(0, &Hello{Control: address(i + 1), Zone: zone, Started: 1, Leaving: i == 3})
	}
	table.Introduce(0, Introduction{Control: address(9), Zone: "a"})
	neighbours := table.Neighbours(time.Second)
	if neighbours.Own != uint64(HashOf(address(0))) || len(neighbours.Live) != 2 || neighbours.Silent != 1 || neighbours.Truncated {
		t.Errorf("%+v", neighbours)
	}
	if neighbours = table.Neighbours(2 * aliveTimeout); len(neighbours.Live) != 0 || neighbours.Silent != 3 {
		t.Errorf("after aliveTimeout: %+v", neighbours)
	}
	for i := range 2 * maxZonePeers {
		table.Receive(0, &Hello{Control: address(20 + i), Zone: "a", Started: 1})
	}
	if neighbours = table.Neighbours(0); !neighbours.Truncated {
		t.Errorf("zone larger than the table: %+v", neighbours)
	}
}
