package steering

import (
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/settings"
)

// announceAt announces a server at the address of another one.
func (f *fleet) announceAt(id, at settings.BackendID, group string) {
	f.revision++
	backend := directory.Backend{ID: id, Group: group, Zone: "a", Slots: 2, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(at)}), 80)}
	f.directory.Apply(f.now, &directory.Changes{Revision: f.revision, Records: []directory.Record{{Backend: backend, Revision: f.revision}}})
	f.steerer.SetView(f.directory.View())
}

// When another back end answers at the address, idle and pending flows are reset, whether or not
// requests may be repeated, and later packets are refused.
func TestFlowsAreResetWhenTheAddressIsReused(t *testing.T) {
	answersHere := func(f *fleet) {
		f.established(95, splitAddress, 21, 1, 0)
		f.established(95, splitAddress, 21, 5, 0)
	}
	answersElsewhere := func(f *fleet) {
		f.steerer.SetPeerLoads(map[directory.Tag]Load{21: {Requests: 1, Answers: 1}})
	}
	for _, group := range []string{"feed", "upload"} {
		for _, answer := range []func(*fleet){answersHere, answersElsewhere} {
			f := newSilentFleet(t)
			for caller := 30; caller < 35; caller++ {
				f.established(caller, splitAddress, 1, 1, 0)
			}
			f.established(31, splitAddress, 1, 1, 100)
			f.announceAt(21, 1, group)
			answer(f)
			f.advance(PulseInterval)
			if resets := f.steerer.TakeResets(); resets != nil {
				t.Errorf("%d flows are reset while the entry of the old back end exists", len(resets))
			}
			open := f.state(1).flows
			f.remove(1)
			resets := f.steerer.TakeResets()
			if open < 25 || len(resets) != open {
				t.Errorf("%d flows are reset, want all %d", len(resets), open)
			}
			if decision := f.established(90, splitAddress, 1, 1, 100); decision.Reason != errkind.BackendLost {
				t.Errorf("request at the ended back end: %+v", decision)
			}
			f.announce(1, "feed", "a", false)
			if decision := f.established(91, splitAddress, 1, 1, 100); decision.Action != Forward {
				t.Errorf("request after the return of its entry: %+v", decision)
			}
		}
	}
}

// A removed back end may serve on, and entries at its address may be of other writers. Only an answer
// at the address proves that it has ended.
func TestEntryAloneAtTheAddressOfARemovedBackEndResetsNoFlow(t *testing.T) {
	for _, group := range []string{"audit", "feed", "upload"} {
		for _, entryFirst := range []bool{true, false} {
			f := newSilentFleet(t)
			if entryFirst {
				f.announceAt(21, 1, group)
			}
			f.remove(1)
			f.announceAt(21, 1, group)
			// The server at the address drops packets for another identifier.
			f.established(95, splitAddress, 21, 1, 100)
			open := f.state(1).flows
			f.steerer.SetPeerLoads(map[directory.Tag]Load{21: {Requests: 3, Failures: 3}})
			f.advance(10 * time.Second)
			if resets := f.steerer.TakeResets(); open == 0 || len(resets) > 0 {
				t.Errorf("group %s: %d of %d flows are reset", group, len(resets), open)
			}
			if decision := f.established(3, feedAddress, 1, 1, 100); decision.Action != Forward || decision.Backend.ID != 1 {
				t.Errorf("group %s: %+v", group, decision)
			}
			// Another server does start at the address, and answers.
			f.announceAt(22, 1, "upload")
			f.established(96, splitAddress, 22, 1, 0)
			f.established(96, splitAddress, 22, 5, 0)
			f.advance(PulseInterval)
			if resets := f.steerer.TakeResets(); len(resets) != open {
				t.Errorf("group %s: %d flows are reset once another server answers, want all %d", group, len(resets), open)
			}
		}
	}
}

// Idle flows at a down back end are reset only where requests must not be repeated.
func TestIdleFlowsAtADownBackEndAreReset(t *testing.T) {
	f := newSilentFleet(t)
	for caller := 30; caller < 35; caller++ {
		f.established(caller, splitAddress, 1, 1, 0)
	}
	f.advance(idleTimeout)
	f.established(31, splitAddress, 1, 1, 100)
	for _, caller := range []int{32, 33} {
		f.established(caller, splitAddress, 1, 1, 0)
	}
	f.answerOthers()
	f.requestUnanswered(0, 1, 2, 3)
	ended := map[netip.AddrPort]int{}
	for _, reset := range f.steerer.TakeResets() {
		ended[reset.Flow.Service]++
	}
	if ended[feedAddress] != 4 || ended[splitAddress] != 2 {
		t.Errorf("resets by service: %v, want 4 and 2", ended)
	}
	f.advance(100 * time.Millisecond)
	f.established(34, splitAddress, 1, 1, 0)
	f.requestUnanswered(5)
	if resets := f.steerer.TakeResets(); len(resets) != 0 {
		t.Errorf("flows that arrived while the back end is down are reset: %+v", resets)
	}
}

// A single reporter may be isolated and must not cause the reset of idle flows; two reporters or
// local callers do.
func TestOneReportResetsNoIdleFlow(t *testing.T) {
	third := netip.MustParseAddrPort("10.9.0.3:1")
	for _, reporters := range [][]netip.AddrPort{{otherBalancer}, {otherBalancer, third}} {
		f := newSilentFleet(t)
		for caller := 30; caller < 35; caller++ {
			f.established(caller, splitAddress, 1, 1, 0)
		}
		f.advance(time.Second)
		f.answerOthers()
		for _, from := range reporters {
			f.steerer.ReceiveUnresponsive(f.now, from, []UnresponsiveReport{{Backend: 1, Callers: 2, Silence: time.Second, Down: downPeriod}})
		}
		if resets := f.steerer.TakeResets(); len(resets) > 0 != (len(reporters) > 1) {
			t.Errorf("%d balancers report the back end down, %d flows are reset", len(reporters), len(resets))
		}
	}
}
