package steering

import (
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/settings"
)

// announceAt lets a server start at the address of another one.
func (f *fleet) announceAt(id, at settings.BackendID, group string) {
	f.revision++
	backend := directory.Backend{ID: id, Group: group, Zone: "a", Slots: 2, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(at)}), 80)}
	f.directory.Apply(f.now, &directory.Changes{Revision: f.revision, Records: []directory.Record{{Backend: backend, Revision: f.revision}}})
	f.steerer.SetView(f.directory.View())
}

// TestFlowsEndOnceAnotherOneStartsAtTheAddress: those that rest and those whose callers wait, whether
// their requests may run again or not. What they send later is refused.
func TestFlowsEndOnceAnotherOneStartsAtTheAddress(t *testing.T) {
	for _, group := range []string{"feed", "upload"} {
		f := newSilentFleet(t)
		for caller := 30; caller < 35; caller++ {
			f.established(caller, splitAddress, 1, 1, 0)
		}
		f.established(31, splitAddress, 1, 1, 100)
		f.announceAt(21, 1, group)
		if resets := f.steerer.TakeResets(); resets != nil {
			t.Errorf("%d flows are reset though the entry is there", len(resets))
		}
		open := f.state(1).flows
		f.vanish(1)
		resets := f.steerer.TakeResets()
		if open < 25 || len(resets) != open {
			t.Errorf("%d of %d flows are reset", len(resets), open)
		}
		if verdict := f.established(90, splitAddress, 1, 1, 100); verdict.Reason != errkind.BackendLost {
			t.Errorf("a request later: %+v", verdict)
		}
		f.announce(1, "feed", "a", false)
		if verdict := f.established(91, splitAddress, 1, 1, 100); verdict.Action != Forward {
			t.Errorf("a request once its entry is back: %+v", verdict)
		}
	}
}

// TestFlowsThatRestAtALostBackEndEnd where their next request may run once alone, and no others of these.
func TestFlowsThatRestAtALostBackEndEnd(t *testing.T) {
	f := newSilentFleet(t)
	for caller := 30; caller < 35; caller++ {
		f.established(caller, splitAddress, 1, 1, 0)
	}
	f.pass(idleTimeout)
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
		t.Errorf("flows are reset: %v", ended)
	}
	f.pass(100 * time.Millisecond)
	f.established(34, splitAddress, 1, 1, 0)
	f.requestUnanswered(5)
	if resets := f.steerer.TakeResets(); len(resets) != 0 {
		t.Errorf("flows that came since the loss are reset: %+v", resets)
	}
}

// TestOneOtherBalancersWordEndsNoFlowThatRests: it may be cut off itself. That of two does, or one's own callers.
func TestOneOtherBalancersWordEndsNoFlowThatRests(t *testing.T) {
	third := netip.MustParseAddrPort("10.9.0.3:1")
	for _, tellers := range [][]netip.AddrPort{{otherBalancer}, {otherBalancer, third}} {
		f := newSilentFleet(t)
		for caller := 30; caller < 35; caller++ {
			f.established(caller, splitAddress, 1, 1, 0)
		}
		f.pass(time.Second)
		f.answerOthers()
		for _, from := range tellers {
			f.steerer.HearStalls(f.now, from, []Stall{{Backend: 1, Callers: 2, Silence: time.Second, Lost: downPeriod}})
		}
		if resets := f.steerer.TakeResets(); len(resets) > 0 != (len(tellers) > 1) {
			t.Errorf("%d balancers say so, %d flows are reset", len(tellers), len(resets))
		}
	}
}
