package steering

import (
	"testing"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/settings"
)

// Back ends near their limit of flows are avoided while others have room, also in another part.
// Where none has room, flows are refused at once until one ends.
func TestBackEndsNearTheirLimitAreAvoided(t *testing.T) {
	f := newFleet(t)
	f.steerer.SetMembership(Membership{Count: 10, Fleet: 20})
	for _, s := range f.steerer.view.Settings.Services {
		for i := range s.Groups {
			s.Groups[i].Connections = 40
		}
	}
	// A balancer's share is 3 flows in its zone and half a flow elsewhere; it refuses from 12 and
	// 4 on.
	for caller := range 4*3 + 2*1 {
		f.opened(caller, feedAddress)
	}
	for id := settings.BackendID(1); id <= 6; id++ {
		if flows, want := f.state(id).flows, map[bool]int{true: 3, false: 1}[id <= 4]; flows != want {
			t.Errorf("back end %d has %d flows, want %d", id, flows, want)
		}
	}
	if counts := f.countParts(100, 5); counts["upload turn"]+counts["upload full"] != 5 {
		t.Errorf("a split service: %v", counts)
	}
	caller, decision := 200, Decision{}
	for ; caller < 400; caller++ {
		if decision = f.open(caller, feedAddress, 0); decision.Action != Forward {
			break
		}
		f.established(caller, feedAddress, decision.Backend.Tag, 1, 0)
	}
	if decision.Action != Refuse || decision.Reason != errkind.ConnectionsFull {
		t.Fatalf("after %d flows: %+v", caller-200, decision)
	}
	f.steerer.Steer(f.now, &Packet{Flow: key(200, feedAddress), Kind: Close, Tag: f.steerer.flows[key(200, feedAddress)].member.Tag, Acknowledged: 2})
	if decision := f.open(500, feedAddress, 0); decision.Action != Forward {
		t.Errorf("after one has ended: %+v", decision)
	}
}

// Balancers that do not exchange reports must neither exceed the limit of a back end nor refuse
// flows while a tenth of the capacity is free.
func TestLimitHoldsAcrossBalancers(t *testing.T) {
	const limit, balancers = 120, 6
	var all []*fleet
	for range balancers {
		f := newFleet(t)
		f.steerer.SetMembership(Membership{Count: balancers, Fleet: balancers})
		f.steerer.view.Settings.ServiceAt(feedAddress).Groups[0].Connections = limit
		all = append(all, f)
	}
	held := map[settings.BackendID]int{}
	// Four back ends in the zone with three quarters of the limit, two elsewhere with a quarter.
	const room = 4*limit*3/4 + 2*limit/4
	for caller := range room * 9 / 10 {
		f := all[key(caller, feedAddress).Hash()%balancers]
		held[f.opened(caller, feedAddress).ID]++
	}
	for id, flows := range held {
		if flows > limit {
			t.Errorf("back end %d holds %d flows", id, flows)
		}
	}
}

// A limit must be divided by the estimated size of the zone, of which a balancer knows only a
// part.
func TestLimitIsDividedByEstimatedZoneSize(t *testing.T) {
	const limit, zone = 2000, 198
	f := newFleet(t)
	f.steerer.SetMembership(Membership{Count: 25, Fleet: 33, ZoneSize: zone, FleetSize: 5 * zone})
	group := &settings.Group{Connections: limit}
	local, remote := f.directory.View().Member(1), f.directory.View().Member(5)
	held := 0
	for _, each := range []struct{ balancers, own int }{{zone, f.flowLimit(group, local)}, {4 * zone, f.flowLimit(group, remote)}} {
		held += each.balancers * each.own
	}
	// Each balancer of other zones may round its share up by less than a flow.
	if held > limit+5*zone {
		t.Errorf("all balancers together place %d flows there", held)
	}
}

// flowLimit returns how many flows this balancer places at a back end before it avoids it.
func (f *fleet) flowLimit(group *settings.Group, member *directory.Member) int {
	own := 0
	for !f.steerer.connectionsOf(group, member).SoftLimitReached(own) {
		own++
	}
	return own
}
