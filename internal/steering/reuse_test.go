package steering

import (
	"fmt"
	"testing"
	"time"

	"gaugeyard/internal/settings"
)

// These tests guard against treating a flow as an earlier one between the same addresses: the earlier
// flow was closed through other balancers, and its record still exists here.

// reopened returns two flows of one caller between the same addresses. The first passed through balancer 0, was
// closed through balancer 1 unless closedHere, and its caller then opened the second one through balancer 1 at
// another back end. With adopted, the first was opened through balancer 1 as well.
func reopened(t *testing.T, adopted, closedHere bool) (z *zone, first, second *caller) {
	for others := 0; ; others++ {
		z = newZone(t, 2)
		for i := range others {
			z.balancers[1].opened(100+i, feedAddress)
		}
		first = z.caller(1, 5000)
		through := 0
		if adopted {
			through = 1
		}
		first.receiveAnswer(first.open(through, 0).Backend.ID)
		first.send(through, true)
		first.send(0, true)
		z.now += time.Second
		closing := 1
		if closedHere {
			closing = 0
		}
		first.close(closing)
		z.now += 2 * time.Second
		second = z.caller(1, 0x91234567)
		placed := second.open(1, 0).Backend.ID
		second.positions[placed] += 1 << 30
		second.receiveAnswer(placed)
		if placed != first.backend {
			return z, first, second
		}
	}
}

// close sends a packet that ends the caller's side of the flow.
func (c *caller) close(through int) {
	c.zone.steer(through, Packet{
		Flow: key(c.number, feedAddress), Kind: Close, Tag: c.tag, Sequence: c.sequence + 100, Acknowledged: c.positions[c.backend] + 1,
	}, true)
}

func TestReusedPortDoesNotLeadToTheEarlierFlowsBackend(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		for _, closedHere := range []bool{false, true} {
			for _, packets := range []int{0, 1, 2} {
				t.Run(fmt.Sprintf("adopted %v, closed here %v, after %d packets", adopted, closedHere, packets), func(t *testing.T) {
					z, first, second := reopened(t, adopted, closedHere)
					for range packets {
						second.send(1, true)
						second.receiveAnswer(second.backend)
					}
					for range 3 {
						decision := second.send(0, true)
						if decision.Action != Forward || decision.Backend.ID != second.backend {
							t.Errorf("a packet of a flow at %d, after one at %d: %+v", second.backend, first.backend, decision)
						}
						z.now += searchInterval
					}
					if rec := z.balancers[0].steerer.flows[key(1, feedAddress)]; rec == nil || rec.closed || rec.backend.id != second.backend {
						t.Errorf("record %+v", rec)
					}
				})
			}
		}
	}
}

// The earlier flow's record must not keep its state, such as closed, for a new flow at the same back end.
func TestReusedPortAtTheSameBackendStartsANewRecord(t *testing.T) {
	f := newFleet(t)
	member := f.opened(1, feedAddress)
	packet := Packet{Flow: key(1, feedAddress), Kind: Close, Tag: member.Tag, Sequence: 3, Acknowledged: 1}
	f.steerer.Steer(f.now, &packet)
	packet.Kind, packet.Sequence, packet.Acknowledged, packet.Payload = Established, 1<<30, 1<<31, 10
	decision := f.steerer.Steer(f.now, &packet)
	if rec := f.steerer.flows[packet.Flow]; decision.Backend != member || decision.Replaced != nil || rec.closed || !rec.requestPending || member.ID != rec.backend.id {
		t.Errorf("decision %+v, record %+v", decision, rec)
	}
	if count := f.state(member.ID).flows; count != 1 {
		t.Errorf("%d flows are counted", count)
	}
}

// A flow that went on elsewhere for more than positionWindow stays at its back end, also if another one shares the tag.
func TestFarPositionKeepsTheBackendOfASharedTag(t *testing.T) {
	f := newFleet(t)
	shared := settings.BackendID(2) << 32
	f.announce(shared, "feed", "a", false)
	for _, id := range []settings.BackendID{2, shared} {
		f.steerer.addRecord(&record{key: key(int(id&0xff)+1, feedAddress), member: f.directory.View().Member(id), backend: f.state(id), acknowledged: 1, sequence: 1})
	}
	for _, id := range []settings.BackendID{2, shared} {
		packet := Packet{Flow: key(int(id&0xff)+1, feedAddress), Kind: Established, Tag: 2, Sequence: 1 << 22, Acknowledged: 1 << 23}
		if decision := f.steerer.Steer(f.now, &packet); decision.Backend.ID != id {
			t.Errorf("back end %x: %+v", id, decision)
		}
	}
}

// Another balancer may have placed the new flow, whose copy then comes here.
func TestCopyOfAFlowFromAReusedPortWaits(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		f := newFleet(t)
		if adopted {
			f.established(1, feedAddress, 2, 1, 0)
		} else {
			f.opened(1, feedAddress)
		}
		copied := Packet{Flow: key(1, feedAddress), Kind: Open, Attempt: 1, Sequence: 1 << 30}
		if decision := f.steerer.Steer(f.now, &copied); decision.Action != Wait {
			t.Errorf("adopted %v: %+v", adopted, decision)
		}
		copied.Waited = true
		if decision := f.steerer.Steer(f.now, &copied); decision.Action != Forward || !decision.Placed {
			t.Errorf("adopted %v, after the wait: %+v", adopted, decision)
		}
	}
}

// The last packet of the earlier flow may arrive after the opening packet of the new one.
func TestLatePacketOfTheEarlierFlowKeepsTheOpeningRecord(t *testing.T) {
	f := newFleet(t)
	placed := f.open(1, feedAddress, 0).Backend
	late := Packet{Flow: key(1, feedAddress), Kind: Established, Tag: 11, Sequence: 1 << 30, Acknowledged: 1 << 31}
	if decision := f.steerer.Steer(f.now, &late); decision.Action != Forward || decision.Backend.ID != settings.BackendID(11) {
		t.Errorf("the late packet: %+v", decision)
	}
	if rec := f.steerer.flows[late.Flow]; rec == nil || !rec.opening || rec.member != placed {
		t.Errorf("record %+v", rec)
	}
}

// A search for the earlier flow must not decide for the new one.
func TestSearchOfTheEarlierFlowDoesNotAnswerForTheNewOne(t *testing.T) {
	f := newFleet(t)
	earlier := Packet{Flow: key(1, feedAddress), Kind: Established, Tag: openingTag(2, 500), Sequence: 501, Acknowledged: 1 << 28}
	for range maxSearches {
		f.steerer.Steer(f.now, &earlier)
		f.advance(searchInterval)
	}
	next := Packet{Flow: earlier.Flow, Kind: Established, Tag: openingTag(3, 1<<30), Sequence: 1<<30 + 1, Acknowledged: 1 << 31}
	if decision := f.steerer.Steer(f.now, &next); decision.Action != Wait {
		t.Errorf("the first packet: %+v", decision)
	}
	next.Waited = true
	if decision := f.steerer.Steer(f.now, &next); decision.Action != Drop {
		t.Errorf("the first packet, after one search without an answer: %+v", decision)
	}
	f.advance(searchInterval)
	next.Waited = false
	f.steerer.Steer(f.now, &next)
	next.Waited = true
	if decision := f.steerer.Steer(f.now, &next); decision.Action != Forward || decision.Backend.ID != 3 {
		t.Errorf("the first packet, after two searches: %+v", decision)
	}
}
