package steering

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/flow"
	"gaugeyard/internal/settings"
)

const (
	zoneBalancers = 28
	zoneServers   = 40
	zoneRate      = 350 // flows a second in the zone
	simulatedTime = 20 * time.Second
	helloInterval = 500 * time.Millisecond
	answerLatency = 20 * time.Millisecond
)

// zoneOf returns the balancers of one zone with the same view, and the service's address.
func zoneOf(t testing.TB, balancers, servers int) ([]*Steerer, netip.AddrPort) {
	t.Helper()
	dir, address := zoneDirectory(t, servers)
	return steerersOf(dir, balancers), address
}

// steerersOf returns balancers of one zone with the view of the directory.
func steerersOf(dir *directory.Directory, balancers int) []*Steerer {
	var zone []*Steerer
	for range balancers {
		s := New(Config{Zone: "a", FlowLife: time.Minute})
		s.SetView(dir.View())
		zone = append(zone, s)
	}
	return zone
}

// zoneDirectory returns a directory with the servers of one zone.
func zoneDirectory(t testing.TB, servers int) (*directory.Directory, netip.AddrPort) {
	t.Helper()
	address := netip.MustParseAddrPort("198.18.0.1:443")
	tree := settings.Tree{"": settings.Values{settings.KeyLoadFactor: "1.5"}, "feed/any": settings.Values{}}
	for path, value := range map[settings.Path][2]string{"feed": {"address", address.String()}, "feed/any/0": {"discover", "feed"}} {
		if err := tree.Set(path, settings.Key(value[0]), value[1]); err != nil {
			t.Fatal(err)
		}
	}
	listing := &directory.Listing{Revision: 1, Settings: &directory.Settings{Version: 1, Revision: 1, Tree: tree}}
	for id := range servers {
		listing.Records = append(listing.Records, directory.Record{Revision: 1, Backend: directory.Backend{
			ID: settings.BackendID(id + 1), Group: "feed", Zone: "a", Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80),
		}})
	}
	dir := directory.New(time.Minute)
	dir.Replace(0, listing)
	return dir, address
}

// flowEnd is the last packet of a flow.
type flowEnd struct {
	at     time.Duration
	via    *Steerer
	packet Packet
}

// All balancers of a large zone receive the same loads, half a second old. They must not all send
// their next flows to the least loaded back end.
func TestManyBalancersDoNotOverloadOneBackEnd(t *testing.T) {
	zone, address := zoneOf(t, zoneBalancers, zoneServers)
	taken := map[settings.BackendID]int{}
	worst, total := 0.0, 0
	simulateZone(t, zone, address, zoneRate, func(now time.Duration, id settings.BackendID) {
		if now > simulatedTime/4 {
			taken[id]++
			total++
		}
	})
	for _, count := range taken {
		worst = max(worst, float64(count*zoneServers)/float64(total))
	}
	if worst > 1.15 {
		t.Errorf("the busiest back end gets %.2f times the mean", worst)
	}
}

// simulateZone opens short flows through randomly chosen balancers of a zone and calls taken with
// the back end of each. Balancers exchange loads every helloInterval.
func simulateZone(t *testing.T, zone []*Steerer, address netip.AddrPort, rate time.Duration, taken func(now time.Duration, id settings.BackendID)) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	var ends []flowEnd
	next, second := helloInterval, time.Second
	for now, caller := time.Second, 0; now < simulatedTime; now += time.Second / rate {
		for _, s := range zone {
			s.Pulse(now)
		}
		if now >= next {
			next += helloInterval
			exchangeLoads(zone, now)
		}
		if now >= second {
			second += time.Second
			for _, s := range zone {
				s.Tick(now)
			}
		}
		for len(ends) > 0 && ends[0].at <= now {
			end := ends[0]
			ends = ends[1:]
			end.via.Steer(now, &end.packet)
		}
		caller++
		s := zone[random.IntN(len(zone))]
		key := flow.Key{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)}), 1024), Service: address}
		decision := s.Steer(now, &Packet{Flow: key, Kind: Open, Sequence: 1})
		if decision.Backend == nil {
			t.Fatalf("no back end was chosen: %v", decision.Reason)
		}
		tag := decision.Backend.Tag
		s.Steer(now, &Packet{Flow: key, Kind: Established, Tag: tag, Sequence: 2, Acknowledged: 1, Payload: 100})
		ends = append(ends, flowEnd{now + answerLatency, s, Packet{Flow: key, Kind: Close, Tag: tag, Sequence: 102, Acknowledged: 600}})
		taken(now, decision.Backend.ID)
	}
}

// exchangeLoads passes each balancer the sum of the other balancers' loads.
func exchangeLoads(zone []*Steerer, now time.Duration) {
	sum := map[settings.BackendID]Load{}
	own := make([]map[settings.BackendID]Load, len(zone))
	for i, s := range zone {
		own[i] = map[settings.BackendID]Load{}
		for _, load := range s.RecentLoad(zoneServers) {
			own[i][load.Backend] = load.Load
			sum[load.Backend] = sum[load.Backend].Plus(load.Load)
		}
	}
	for i, s := range zone {
		others := map[directory.Tag]Load{}
		for id, load := range sum {
			others[directory.TagOf(id)] = subtract(load, own[i][id])
		}
		s.SetPeerLoads(others)
		s.SetMembership(Membership{Index: i, Count: len(zone)})
	}
}

// subtract returns the load less a part of it.
func subtract(load, part Load) Load {
	return load.Plus(Load{-part.Requests, -part.Steady, -part.Failures, -part.Answers, -part.TotalLatency})
}

// Long flows that are opened at the same moment must be spread, though no balancer has received
// the others' loads yet.
func TestSimultaneousFlowsAreSpread(t *testing.T) {
	const flows = 320
	zone, address := zoneOf(t, zoneBalancers, zoneServers)
	for i, s := range zone {
		s.SetMembership(Membership{Index: i, Count: len(zone)})
	}
	random := rand.New(rand.NewPCG(3, 4))
	taken := map[settings.BackendID]int{}
	most := 0
	for caller := range flows {
		s := zone[random.IntN(len(zone))]
		key := flow.Key{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)}), 1024), Service: address}
		decision := s.Steer(time.Second, &Packet{Flow: key, Kind: Open, Sequence: 1})
		if decision.Backend == nil {
			t.Fatalf("no back end was chosen: %v", decision.Reason)
		}
		taken[decision.Backend.ID]++
		most = max(most, taken[decision.Backend.ID])
	}
	if mean := flows / zoneServers; most > mean*5/4 {
		t.Errorf("one back end gets %d flows, the mean is %d", most, mean)
	}
}
