package peers

import (
	"net/netip"
	"testing"
	"time"
)

const maxAge = 1600 * time.Millisecond

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 8166)
}

// byRank returns count addresses in order of rank.
func byRank(count int) []netip.AddrPort {
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

func hello(control netip.AddrPort, zone string, age time.Duration) *Hello {
	return &Hello{Control: control, Zone: zone, Started: 1, Revision: 5, StoreAge: age}
}

func TestUpstreamIsTheLowestFreshRankOfTheZone(t *testing.T) {
	ranked := byRank(4)
	for _, test := range []struct {
		name   string
		change func(hellos []*Hello)
		want   int
	}{
		{"all are well", func([]*Hello) {}, 0},
		{"the lowest is stale", func(h []*Hello) { h[0].StoreAge = 2 * maxAge }, 1},
		{"the lowest leaves", func(h []*Hello) { h[0].Leaving = true }, 1},
		{"the lowest is elsewhere", func(h []*Hello) { h[0].Zone = "b" }, 0},
		{"all lower ones are stale", func(h []*Hello) { h[0].StoreAge, h[1].StoreAge = 2*maxAge, 2*maxAge }, -1},
	} {
		table := New(Introduction{Control: ranked[2], Zone: "a"})
		hellos := []*Hello{hello(ranked[0], "a", 0), hello(ranked[1], "a", 0), hello(ranked[3], "a", 0)}
		test.change(hellos)
		for _, h := range hellos {
			table.Heard(time.Second, h)
		}
		peer, found := table.Upstream(time.Second, maxAge)
		if found != (test.want >= 0) || found && peer.Control != ranked[test.want] {
			t.Errorf("%s: upstream %v %v", test.name, peer, found)
		}
	}
}

// TestLargeZonesFollowTheirOwn: only where nobody of the zone comes before by rank, or the zone
// is small, are balancers elsewhere followed.
func TestLargeZonesFollowTheirOwn(t *testing.T) {
	ranked := byRank(smallZone + 3)
	self := len(ranked) - 1
	table := New(Introduction{Control: ranked[self], Zone: "a"})
	table.Heard(0, hello(ranked[0], "b", 0))
	for _, control := range ranked[1:self] {
		table.Heard(0, hello(control, "a", 0))
	}
	if peer, found := table.Upstream(0, maxAge); !found || peer.Control != ranked[1] {
		t.Errorf("upstream %v %v", peer, found)
	}
	first := New(Introduction{Control: ranked[1], Zone: "a"})
	for _, control := range ranked[2:] {
		first.Heard(0, hello(control, "a", 0))
	}
	if peer, found := first.Upstream(0, maxAge); found {
		t.Errorf("the first of all follows %v", peer)
	}
	first.Heard(0, hello(ranked[0], "b", 0))
	if peer, found := first.Upstream(0, maxAge); !found || peer.Control != ranked[0] {
		t.Errorf("the first of its zone follows %v %v", peer, found)
	}
}

// TestAPeerThatRefusedIsNotFollowedForAWhile: the next rank is.
func TestAPeerThatRefusedIsNotFollowedForAWhile(t *testing.T) {
	ranked := byRank(3)
	table := New(Introduction{Control: ranked[2], Zone: "a"})
	table.Heard(0, hello(ranked[0], "a", 0))
	table.Heard(0, hello(ranked[1], "a", 0))
	table.Refused(0, ranked[0])
	if peer, found := table.Upstream(time.Second, maxAge); !found || peer.Control != ranked[1] {
		t.Errorf("upstream %v %v", peer, found)
	}
	table.Heard(refusedTime, hello(ranked[0], "a", 0))
	if peer, found := table.Upstream(refusedTime, maxAge); !found || peer.Control != ranked[0] {
		t.Errorf("later, upstream %v %v", peer, found)
	}
}

// TestAnAnswerIsAsGoodAsAHello.
func TestAnAnswerIsAsGoodAsAHello(t *testing.T) {
	ranked := byRank(2)
	table := New(Introduction{Control: ranked[1], Zone: "a"})
	table.Heard(0, hello(ranked[0], "a", 0))
	table.Answered(2*time.Second, ranked[0], 300*time.Millisecond, 9)
	if peer, found := table.Upstream(2*time.Second, maxAge); !found || peer.Revision != 9 {
		t.Error("a peer that has just answered is not followed")
	}
}

// TestAgesGrowWithSilence: a peer that says nothing more becomes too old to follow
// before it counts as dead.
func TestAgesGrowWithSilence(t *testing.T) {
	ranked := byRank(2)
	table := New(Introduction{Control: ranked[1], Zone: "a"})
	table.Heard(0, hello(ranked[0], "a", time.Second))
	if _, found := table.Upstream(500*time.Millisecond, maxAge); !found {
		t.Error("fresh beliefs are not followed")
	}
	if _, found := table.Upstream(700*time.Millisecond, maxAge); found {
		t.Error("beliefs confirmed 1.7 s ago are followed")
	}
}

// TestNobodyFollowsInACircle, however many balancers a zone has, and few ask the store.
func TestNobodyFollowsInACircle(t *testing.T) {
	const count = 400
	roots := 0
	for number := range count {
		table := New(Introduction{Control: address(number), Zone: "a"})
		for other := range count {
			table.Heard(0, hello(address(other), "a", 0))
		}
		peer, found := table.Upstream(0, maxAge)
		switch {
		case !found:
			roots++
		case peer.rank().Compare(table.rank()) >= 0:
			t.Fatalf("balancer %d follows a higher rank", number)
		}
		if len(table.peers) > maxZonePeers {
			t.Fatalf("a table of %d peers", len(table.peers))
		}
	}
	if roots == 0 || roots > 3*count/maxZonePeers {
		t.Errorf("%d of %d balancers ask the store", roots, count)
	}
}

func TestHeardTellsNewRunsFromOldOnes(t *testing.T) {
	table := New(Introduction{Control: address(1), Zone: "a"})
	first := hello(address(2), "a", 0)
	if !table.Heard(0, first) || table.Heard(0, first) {
		t.Error("the first hello is new, the second is not")
	}
	// A restart after the time of day jumped back has an earlier start.
	restarted := *first
	restarted.Started = 0
	if !table.Heard(0, &restarted) {
		t.Error("a restart with an earlier time of day is not noticed")
	}
	if table.Heard(0, hello(address(1), "a", 0)) {
		t.Error("a balancer hears itself")
	}
	if table.Heard(0, &Hello{}) {
		t.Error("a hello without an address is taken")
	}
}

func TestSilentPeersAreForgotten(t *testing.T) {
	table := New(Introduction{Control: address(1), Zone: "a"})
	table.Heard(0, hello(address(2), "a", 0))
	if len(table.Alive(2*aliveTime)) != 0 {
		t.Error("a silent peer is alive")
	}
	table.Forget(forgetTime + time.Second)
	if len(table.Round(0, 0)) != 0 {
		t.Error("a silent peer is not forgotten")
	}
}

func TestFreshestKnowsMore(t *testing.T) {
	table := New(Introduction{Control: address(1), Zone: "a"})
	table.Heard(0, hello(address(2), "b", 0))
	newer := hello(address(3), "a", 0)
	newer.Revision = 9
	table.Heard(0, newer)
	if peer, found := table.Freshest(0, 5); !found || peer.Control != address(3) {
		t.Errorf("freshest %v %v", peer, found)
	}
	if _, found := table.Freshest(0, 9); found {
		t.Error("a peer that knows as much is asked")
	}
}

// TestASenderWithoutAPlaceIsNotNew: else two balancers greet each other for ever.
func TestASenderWithoutAPlaceIsNotNew(t *testing.T) {
	table := New(Introduction{Control: address(0), Zone: "a"})
	for round := range 3 {
		for other := 1; other <= 3*maxOtherPeers; other++ {
			isNew := table.Heard(0, hello(address(other), "b", 0))
			if round > 0 && isNew {
				t.Fatalf("balancer %d is new in round %d", other, round)
			}
		}
	}
}

// TestNearestLeadsToNeighbours: a balancer that looks for its neighbours is told of
// those nearest to itself, not to the one that is asked.
func TestNearestLeadsToNeighbours(t *testing.T) {
	table := New(Introduction{Control: address(0), Zone: "a"})
	for other := 1; other <= 20; other++ {
		table.Heard(0, hello(address(other), "a", 0))
	}
	nearest := table.ForAsker(0, hello(address(99), "a", 0))
	if len(nearest) != sampleSize {
		t.Fatalf("%d are named", len(nearest))
	}
	far := HashOf(nearest[len(nearest)-1].Control) ^ HashOf(address(99))
	closer := 0
	for other := 1; other <= 20; other++ {
		if HashOf(address(other))^HashOf(address(99)) < far {
			closer++
		}
	}
	if closer != sampleSize-1 {
		t.Errorf("%d balancers are closer than the last one named", closer)
	}
}

// TestHellosStayWithinTheBudget: at full tables loads are told less often, and every
// peer is greeted often enough to count as alive.
func TestHellosStayWithinTheBudget(t *testing.T) {
	for _, test := range []struct {
		zone, others, loads, most int
	}{{3, 4, 18, fullBudget}, {24, 8, 32, fullBudget}, {24, 8, 0, fullBudget}} {
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
				if gap := round - last[target.Control]; time.Duration(gap)*HelloInterval > aliveTime {
					t.Errorf("%+v: %v waits %d rounds for a hello", test, target.Control, gap)
				}
				last[target.Control] = round
				if target.Full {
					full[target.Control]++
					bytes += helloBytes + loadBytes*test.loads
				}
			}
		}
		if perSecond := int(float64(bytes) / (rounds * HelloInterval.Seconds())); perSecond > test.most {
			t.Errorf("%+v: full hellos take %d bytes a second", test, perSecond)
		}
		if len(last) != test.zone+test.others || len(full) != len(last) {
			t.Errorf("%+v: %d are greeted, %d hear loads", test, len(last), len(full))
		}
	}
}

// TestABalancerThatKnowsNothingIsToldWhoDoes before it is told its neighbours.
func TestABalancerThatKnowsNothingIsToldWhoDoes(t *testing.T) {
	table := New(Introduction{Control: address(1), Zone: "a"})
	for i := 2; i < 20; i++ {
		ignorant := hello(address(i), "a", 0)
		ignorant.Revision = 0
		table.Heard(0, ignorant)
	}
	table.Heard(0, hello(address(20), "b", 0))
	asker := hello(address(30), "a", 0)
	ignorant := *asker
	ignorant.Revision = 0
	named := table.ForAsker(0, &ignorant)
	if len(named) != sampleSize || named[0].Control != address(20) || !named[0].Knows || named[1].Knows {
		t.Errorf("named to one that knows nothing: %+v", named)
	}
	for _, other := range table.ForAsker(0, asker) {
		if other.Control == asker.Control {
			t.Error("the asker is named to itself")
		}
	}
}

// TestOneThatKnowsAndHearsNobodyHurriesForAWhile: seeds may start later than all who look for them.
func TestOneThatKnowsAndHearsNobodyHurriesForAWhile(t *testing.T) {
	table := New(Introduction{Control: address(1), Zone: "a"})
	table.Introduce(0, Introduction{Control: address(2)})
	for _, c := range []struct {
		now         time.Duration
		knows, want bool
	}{{0, false, true}, {time.Second, true, true}, {aloneTime, true, false}, {aloneTime, false, true}} {
		if got := table.Hurries(c.now, c.knows); got != c.want {
			t.Errorf("after %v, knowing %v: hurries %v", c.now, c.knows, got)
		}
	}
	table.Heard(time.Second, hello(address(2), "a", 0))
	if table.Hurries(time.Second, true) || !table.Hurries(time.Second, false) {
		t.Error("one that has heard another one hurries, or one that knows nothing does not")
	}
}

// TestChainsAreShortAndFewAskTheStore in a fleet of zones larger than the tables.
func TestChainsAreShortAndFewAskTheStore(t *testing.T) {
	const zones, perZone, fewest, longest = 6, 40, 4, 8
	ranked := byRank(zones * perZone)
	zoneOf := func(i int) string { return string(rune('a' + i%zones)) }
	upstream := map[netip.AddrPort]netip.AddrPort{}
	asking := 0
	for i, self := range ranked {
		table := New(Introduction{Control: self, Zone: zoneOf(i)})
		for j, other := range ranked {
			table.Heard(0, hello(other, zoneOf(j), 0))
		}
		if peer, found := table.Upstream(0, maxAge); found {
			upstream[self] = peer.Control
		} else {
			asking++
		}
	}
	if asking > fewest {
		t.Errorf("%d of %d ask the store", asking, len(ranked))
	}
	for _, control := range ranked {
		length := 0
		for next, found := upstream[control]; found && length <= longest; next, found = upstream[next] {
			length++
		}
		if length > longest {
			t.Fatalf("the chain from %v is longer than %d", control, longest)
		}
	}
}

// TestEveryBalancerFindsItsZone in a fleet of large zones whose members know three seeds alone at
// first: one that knows enough others, but none or few of its own zone, asks on.
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
		told := hello(from.self.Control, from.self.Zone, 0)
		told.Reply, told.Others = reply, others
		isNew := to.Heard(now, told)
		if isNew || reply {
			answer := hello(to.self.Control, to.self.Zone, 0)
			answer.Others = to.ForAsker(now, told)
			from.Heard(now, answer)
		}
	}
	now := time.Duration(0)
	for range rounds {
		for _, self := range order {
			table := tables[self]
			if table.NeedsIntroductions(now) {
				for seed := range 3 {
					table.Introduce(now, Introduction{Control: address(seed)})
				}
			}
			sample := table.Sample(now)
			for _, target := range table.Round(now, 8) {
				deliver(now, table, tables[target.Control], target.Reply, sample)
			}
		}
		now += HelloInterval
	}
	few := 0
	for _, self := range order {
		if _, count, _ := tables[self].Place(now); count < smallZone {
			few++
		}
	}
	if few > 0 {
		t.Errorf("%d of %d balancers know fewer than %d of their zone", few, len(order), smallZone)
	}
}

// TestFailuresCountAlsoFromPeersThatTellNoLoads: an urgent hello may be all that one hears of them.
func TestFailuresCountAlsoFromPeersThatTellNoLoads(t *testing.T) {
	const later = time.Minute
	table := New(Introduction{Control: address(0), Zone: "a"})
	urgent := hello(address(1), "a", 0)
	urgent.Full, urgent.Failures = false, []Failure{{Tag: 7, Units: uint32(1 / LoadUnit)}}
	table.Heard(later, urgent)
	if load := table.Loads(later)[7]; load.Failures != 1 {
		t.Errorf("load %+v", load)
	}
	short := hello(address(1), "a", 0)
	short.Full = false
	table.Heard(later, short)
	if load := table.Loads(later + time.Second)[7]; load.Failures < 0.6 || load.Failures > 0.8 {
		t.Errorf("a second later %+v", load)
	}
}

// TestNeighboursAreThoseOfTheZone: live ones by rank, and how many are silent or leave.
func TestNeighboursAreThoseOfTheZone(t *testing.T) {
	table := New(Introduction{Control: address(0), Zone: "a"})
	for i, zone := range []string{"a", "a", "b", "a"} {
		table.Heard(0, &Hello{Control: address(i + 1), Zone: zone, Started: 1, Leaving: i == 3})
	}
	table.Introduce(0, Introduction{Control: address(9), Zone: "a"})
	neighbours := table.Neighbours(time.Second)
	if neighbours.Own != uint64(HashOf(address(0))) || len(neighbours.Live) != 2 || neighbours.Silent != 1 || neighbours.Bounded {
		t.Errorf("%+v", neighbours)
	}
	if neighbours = table.Neighbours(2 * aliveTime); len(neighbours.Live) != 0 || neighbours.Silent != 3 {
		t.Errorf("once all are silent: %+v", neighbours)
	}
	for i := range 2 * maxZonePeers {
		table.Heard(0, &Hello{Control: address(20 + i), Zone: "a", Started: 1})
	}
	if neighbours = table.Neighbours(0); !neighbours.Bounded {
		t.Errorf("of more than the table holds: %+v", neighbours)
	}
}
