package steering

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/settings"
)

var otherBalancer = netip.MustParseAddrPort("10.0.9.1:8166")

// newSilentFleet returns a fleet where requests to the feed may be repeated and callers 0 to 19
// have open flows at back end 1, which has not responded since.
func newSilentFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.revision++
	tree := settings.Tree{"": settings.Values{settings.KeyLoadFactor: "2"}}
	f.route(tree, "feed", feedAddress, map[string]string{"feed": "1"})
	f.route(tree, "split", splitAddress, map[string]string{"feed": "3", "upload": "1"})
	if err := tree.Set("feed", settings.KeyRepeatable, "true"); err != nil {
		t.Fatal(err)
	}
	f.directory.Apply(f.now, &directory.Changes{Revision: f.revision, Settings: &directory.Settings{Version: 2, Revision: f.revision, Tree: tree}})
	f.steerer.SetView(f.directory.View())
	for caller := range 20 {
		f.established(caller, feedAddress, 1, 1, 0)
	}
	// The other back ends are in use and respond.
	for caller := 20; caller < 60; caller++ {
		f.opened(caller, feedAddress)
	}
	f.advance(time.Second)
	f.answerOthers()
	return f
}

// answerOthers makes the other back ends answer a request.
func (f *fleet) answerOthers() {
	for id := directory.Tag(2); id <= 6; id++ {
		caller := 1000*int(id) + int(f.now/time.Millisecond)
		f.established(caller, feedAddress, id, 1, 100)
		f.established(caller, feedAddress, id, 2, 0)
	}
}

// requestUnanswered sends a request of each caller, and retransmits it after 200 ms.
func (f *fleet) requestUnanswered(callers ...int) Decision {
	var decision Decision
	for _, caller := range callers {
		decision = f.established(caller, feedAddress, 1, 1, 100)
	}
	f.advance(200 * time.Millisecond)
	f.answerOthers()
	for _, caller := range callers {
		decision = f.established(caller, feedAddress, 1, 1, 100)
	}
	return decision
}

// Flows with pending requests are reset at once, others on their next request.
func TestFlowsAtADownBackEndAreReset(t *testing.T) {
	f := newSilentFleet(t)
	if decision := f.requestUnanswered(0, 1, 2); decision.Action != Forward || f.steerer.TakeResets() != nil {
		t.Fatalf("three callers mark the back end down: %+v", decision)
	}
	f.advance(200 * time.Millisecond)
	f.requestUnanswered(3)
	resets := f.steerer.TakeResets()
	if len(resets) != 4 {
		t.Fatalf("%d flows are reset: %+v", len(resets), resets)
	}
	for _, reset := range resets {
		if reset.Acknowledged != 1 || reset.Backend != 1 || reset.Flow.Service != feedAddress {
			t.Errorf("reset: %+v", reset)
		}
	}
	decision := f.established(7, feedAddress, 1, 1, 100)
	if decision.Action != Refuse || decision.Reason != errkind.BackendLost {
		t.Errorf("later request: %+v", decision)
	}
	if decision := f.established(8, feedAddress, 1, 1, 0); decision.Action != Forward {
		t.Errorf("packet without a request: %+v", decision)
	}
	f.established(9, splitAddress, 1, 1, 100)
	if decision := f.established(9, splitAddress, 1, 1, 100); decision.Action != Forward {
		t.Errorf("request that must not be repeated: %+v", decision)
	}
}

// The response may come before or after the callers retransmit.
func TestAResponsePreventsResets(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2)
	f.established(10, feedAddress, 1, 50, 0)
	f.advance(400 * time.Millisecond)
	f.requestUnanswered(3)
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Errorf("flows are reset: %+v", resets)
	}
	f = newSilentFleet(t)
	f.requestUnanswered(0, 1, 2, 3, 4)
	if f.steerer.TakeResets() == nil {
		t.Fatal("no flow is reset")
	}
	f.established(10, feedAddress, 1, 50, 0)
	if decision := f.established(11, feedAddress, 1, 1, 100); decision.Action != Forward {
		t.Errorf("request after a response: %+v", decision)
	}
}

// Each balancer contributes its own callers; a repeated report counts once.
func TestCallersOfAllBalancersAreSummed(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0)
	if !f.steerer.TakeUrgentReport() {
		t.Error("no urgent report of an unresponsive back end")
	}
	if reports := f.steerer.UnresponsiveReports(f.now, 8); len(reports) != 1 || reports[0].Backend != 1 || reports[0].Callers != 1 || reports[0].Silence < time.Second {
		t.Errorf("reports: %+v", reports)
	}
	f.steerer.ReceiveUnresponsive(f.now, otherBalancer, []UnresponsiveReport{{Backend: 1, Callers: 2, Silence: time.Second}})
	f.steerer.ReceiveUnresponsive(f.now, otherBalancer, []UnresponsiveReport{{Backend: 1, Callers: 2, Silence: time.Second}})
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Fatalf("a repeated report counts twice: %+v", resets)
	}
	third := netip.AddrPortFrom(otherBalancer.Addr().Next(), otherBalancer.Port())
	f.steerer.ReceiveUnresponsive(f.now, third, []UnresponsiveReport{{Backend: 1, Callers: 1, Silence: time.Second}})
	if resets := f.steerer.TakeResets(); len(resets) != 1 {
		t.Errorf("four callers at three balancers: resets %+v", resets)
	}
}

// At a high retransmission rate a few retransmitting callers are no evidence.
func TestPacketLossRaisesMinDownCallers(t *testing.T) {
	f := newSilentFleet(t)
	for caller := range 100 {
		id := directory.Tag(2 + caller%5)
		f.established(3000+caller, feedAddress, id, 1, 100)
		if caller%5 == 0 {
			f.advance(200 * time.Millisecond)
			f.established(3000+caller, feedAddress, id, 1, 100)
		}
		f.established(3000+caller, feedAddress, id, 2, 0)
	}
	f.requestUnanswered(0, 1, 2, 3, 4, 5)
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Fatalf("six callers mark the back end down: %+v", resets)
	}
	others := []UnresponsiveReport{{Backend: 1, Callers: 6, Silence: time.Second}}
	f.steerer.ReceiveUnresponsive(f.now, otherBalancer, others)
	if resets := f.steerer.TakeResets(); len(resets) != 6 {
		t.Errorf("%d flows are reset, want 6", len(resets))
	}
}

// A balancer that has just seen a response overrules callers here, and this one overrules others
// likewise.
func TestAReportedResponsePreventsResets(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2)
	f.steerer.ReceiveUnresponsive(f.now, otherBalancer, []UnresponsiveReport{{Backend: 1, Callers: 0, Silence: 10 * time.Millisecond}})
	f.requestUnanswered(3)
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Errorf("flows are reset: %+v", resets)
	}
	// This balancer contradicts a report on a back end that it knows to respond.
	f.advance(300 * time.Millisecond)
	f.answerOthers()
	f.steerer.TakeUrgentReport()
	f.steerer.ReceiveUnresponsive(f.now, otherBalancer, []UnresponsiveReport{{Backend: 2, Callers: 5, Silence: time.Second}})
	if f.steerer.TakeResets() != nil || !f.steerer.TakeUrgentReport() {
		t.Error("no urgent report that the back end responds")
	}
	found := false
	for _, report := range f.steerer.UnresponsiveReports(f.now, 8) {
		found = found || report.Backend == 2 && report.Callers == 0 && report.Silence < 100*time.Millisecond
	}
	if !found {
		t.Errorf("reports: %+v", f.steerer.UnresponsiveReports(f.now, 8))
	}
}

// The caller's own link may be down.
func TestOneCallerMarksNoBackEndDown(t *testing.T) {
	f := newSilentFleet(t)
	for range 6 {
		f.requestUnanswered(0)
		f.advance(time.Second)
	}
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Errorf("flows are reset: %+v", resets)
	}
}

// All back ends are silent to the balancer, so it is probably isolated itself.
func TestAnIsolatedBalancerResetsNothing(t *testing.T) {
	f := newSilentFleet(t)
	f.advance(3 * time.Second)
	for round := range 2 {
		for id := directory.Tag(1); id <= 6; id++ {
			for caller := range 6 {
				f.established(2000+100*int(id)+caller, feedAddress, id, 2, 100)
			}
		}
		if round == 0 {
			f.advance(200 * time.Millisecond)
		}
	}
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Errorf("%d flows are reset", len(resets))
	}
}

// Several back ends go silent at once: three are reported down, two respond here, and callers of a
// sixth retransmit. The reported ones do not count towards isolation.
func TestReportedDownBackEndsAreNoSignOfIsolation(t *testing.T) {
	f := newSilentFleet(t)
	f.advance(time.Second)
	for id := settings.BackendID(3); id <= 5; id++ {
		f.steerer.ReceiveUnresponsive(f.now, otherBalancer, []UnresponsiveReport{{Backend: id, Callers: 2, Silence: time.Second, Down: downPeriod}})
	}
	for _, payload := range []int{100, 100} {
		for caller := range 4 {
			f.established(caller, feedAddress, 1, 1, payload)
		}
		f.advance(200 * time.Millisecond)
		for _, id := range []directory.Tag{2, 6} {
			caller := 1000*int(id) + int(f.now/time.Millisecond)
			f.established(caller, feedAddress, id, 1, 100)
			f.established(caller, feedAddress, id, 2, 0)
		}
	}
	if resets := f.steerer.TakeResets(); len(resets) != 4 {
		t.Errorf("%d flows are reset: %+v", len(resets), resets)
	}
}

// A flow that passed through another balancer returns with a request or its end, which acknowledges
// earlier answers.
func TestAnswersThroughAnotherBalancerAreNoResponse(t *testing.T) {
	for name, test := range map[string]struct {
		// requestedHere is set where the flow sent a request here a second ago, which was answered
		// elsewhere.
		requestedHere bool
		kind          Kind
		data          int
		living        bool
	}{
		"a request":                    {false, Established, 100, false},
		"the end of the flow":          {false, Close, 0, false},
		"a request after one long ago": {true, Established, 100, false},
		"an acknowledgement by itself": {false, Established, 0, true},
		"one after a request long ago": {true, Established, 0, true},
	} {
		f := newSilentFleet(t)
		if test.requestedHere {
			f.established(3, feedAddress, 1, 1, 100)
			f.advance(time.Second)
		}
		state := f.state(1)
		before := state.lastResponse
		f.steerer.Steer(f.now, &Packet{Flow: key(3, feedAddress), Kind: test.kind, Tag: 1, Sequence: 5000, Acknowledged: 9000, Payload: test.data})
		if responded := state.lastResponse > before; responded != test.living {
			t.Errorf("%s: counted as a response: %v", name, responded)
		}
		if test.data > 0 && state.pending != 1 || test.data == 0 && state.pending != 0 {
			t.Errorf("%s: %d active requests", name, state.pending)
		}
	}
}

// A temporary outage must not keep resetting flows.
func TestADownBackEndIsRetried(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2, 3)
	if f.steerer.TakeResets() == nil {
		t.Fatal("no flow is reset")
	}
	f.advance(downPeriod + time.Second)
	f.answerOthers()
	if decision := f.established(12, feedAddress, 1, 1, 100); decision.Action != Forward {
		t.Errorf("request after downPeriod: %+v", decision)
	}
	for _, report := range f.steerer.UnresponsiveReports(f.now, 8) {
		t.Errorf("still reported: %+v", report)
	}
	// It is still silent: a single retransmitting caller is enough.
	f.advance(200 * time.Millisecond)
	f.answerOthers()
	f.established(12, feedAddress, 1, 1, 100)
	if resets := f.steerer.TakeResets(); len(resets) != 1 {
		t.Errorf("back end unresponsive after downPeriod: %d resets, want 1", len(resets))
	}
}

// A down back end gets no new flow.
func TestADownBackEndGetsNoNewFlow(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2, 3)
	if f.steerer.TakeResets() == nil {
		t.Fatal("no flow is reset")
	}
	for caller := 300; caller < 360; caller++ {
		if decision := f.open(caller, feedAddress, 0); decision.Backend.ID == 1 {
			t.Fatal("a new flow goes to a back end that is down")
		}
	}
}

// Reports are sorted by descending number of callers, independent of map order.
func TestUnresponsiveReportsAreSorted(t *testing.T) {
	f := newSilentFleet(t)
	for id := settings.BackendID(1); id <= 6; id++ {
		state := f.state(id)
		state.lastUnansweredAt = f.now
		for i := range 1 + int(id)%3 {
			state.unansweredCallers = append(state.unansweredCallers, netip.AddrFrom4([4]byte{100, 64, 0, byte(i)}))
		}
	}
	for range 20 {
		var reported []settings.BackendID
		for _, report := range f.steerer.UnresponsiveReports(f.now, 4) {
			reported = append(reported, report.Backend)
		}
		if want := []settings.BackendID{2, 5, 1, 4}; !slices.Equal(reported, want) {
			t.Fatalf("reported back ends %v, want %v", reported, want)
		}
	}
}

// Three retransmissions in 127 requests may be chance where six are typical.
func TestMinDownCallersAllowsForSamplingError(t *testing.T) {
	for _, test := range []struct {
		requests, retransmitted float64
		want                    int
	}{
		{0, 0, 4},
		{127, 0, 4},
		{127, 3.4, 5},
		{127, 12, 8},
		{2000, 20, 4},
	} {
		pool := &poolState{retransmitsLong: retransmitStats{requests: test.requests, retransmitted: test.retransmitted}}
		if got := pool.minDownCallers(); got != test.want {
			t.Errorf("%.0f of %.0f retransmitted: minDownCallers is %d, want %d", test.retransmitted, test.requests, got, test.want)
		}
	}
}

// A copy of the opening packet was placed here at a back end that is now down, and another back end
// answered the copy through another balancer.
func TestAFlowThatOpenedElsewhereIsNotReset(t *testing.T) {
	f := newSilentFleet(t)
	caller := 200
	for f.open(caller, feedAddress, 0).Backend.ID != 1 {
		if caller++; caller == 400 {
			t.Fatal("no flow is placed at the back end")
		}
	}
	f.requestUnanswered(0, 1, 2, 3)
	f.advance(100 * time.Millisecond)
	f.requestUnanswered(0, 1, 2, 3)
	if f.steerer.TakeResets() == nil {
		t.Fatal("the back end is not down")
	}
	decision := f.established(caller, feedAddress, 2, 1, 100)
	if decision.Action != Forward || decision.Backend.ID != 2 {
		t.Errorf("packet of a flow that is open at another back end: %+v", decision)
	}
}

// The copy of the opening packet moves to another back end, unless packet loss is so high that both
// may be chance.
func TestAReportedSuspectCountsAsAnUnansweredFlow(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		f := newFleet(t)
		f.advance(time.Second)
		first := f.open(1, feedAddress, 0)
		if lossy {
			f.steerer.poolOf("feed").retransmitsLong = retransmitStats{requests: 100, retransmitted: 8}
		}
		f.advance(200 * time.Millisecond)
		f.steerer.ReceiveSuspects(f.now, []settings.BackendID{first.Backend.ID})
		copied := f.open(1, feedAddress, 1)
		if moved := copied.Backend.ID != first.Backend.ID; moved == lossy {
			t.Errorf("lossy %v: copy moves %v", lossy, moved)
		}
	}
}

// A suspect back end is reported at once, unless packet loss is the likely cause.
func TestASuspectIsReportedAtOnce(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		f := newFleet(t)
		f.advance(time.Second)
		f.open(1, feedAddress, 0)
		if lossy {
			f.steerer.poolOf("feed").retransmitsLong = retransmitStats{requests: 100, retransmitted: 8}
		}
		f.advance(2 * openingAnswerTimeout)
		f.open(2, feedAddress, 0)
		if urgent := f.steerer.TakeUrgentReport(); urgent == lossy {
			t.Errorf("lossy %v: urgent report %v", lossy, urgent)
		}
	}
}

// The reported down state lasts no longer than the sender says, and ends when any balancer sees a
// response.
func TestAReportedDownStateIsAdopted(t *testing.T) {
	down := UnresponsiveReport{Backend: 1, Callers: 2, Silence: 2 * time.Second, Down: time.Second}
	f := newSilentFleet(t)
	f.established(0, feedAddress, 1, 1, 100)
	f.steerer.ReceiveUnresponsive(f.now, otherBalancer, []UnresponsiveReport{down})
	if decision := f.established(1, feedAddress, 1, 1, 100); decision.Reason != errkind.BackendLost {
		t.Errorf("request at a back end that is reported down: %+v", decision)
	}
	f.advance(1100 * time.Millisecond)
	f.answerOthers()
	if decision := f.established(2, feedAddress, 1, 1, 100); decision.Action != Forward {
		t.Errorf("request after the reported down time: %+v", decision)
	}

	f = newSilentFleet(t)
	f.steerer.ReceiveUnresponsive(f.now, otherBalancer, []UnresponsiveReport{down})
	f.steerer.ReceiveUnresponsive(f.now, otherBalancer, []UnresponsiveReport{{Backend: 1, Silence: 5 * time.Millisecond}})
	if decision := f.established(1, feedAddress, 1, 1, 100); decision.Action != Forward {
		t.Errorf("request after another balancer reported a response: %+v", decision)
	}

	f = newSilentFleet(t)
	f.established(0, feedAddress, 1, 2, 0)
	f.steerer.ReceiveUnresponsive(f.now, otherBalancer, []UnresponsiveReport{down})
	if decision := f.established(1, feedAddress, 1, 1, 100); decision.Action != Forward {
		t.Errorf("request after a response at this balancer: %+v", decision)
	}
	if !f.steerer.TakeUrgentReport() {
		t.Error("no urgent report of the response")
	}
}

// A down back end whose entry was removed is not retried.
func TestARemovedBackEndStaysDown(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2, 3)
	if f.steerer.TakeResets() == nil {
		t.Fatal("no flow is reset")
	}
	f.remove(1)
	f.advance(downPeriod + time.Second)
	f.answerOthers()
	if decision := f.established(12, feedAddress, 1, 1, 100); decision.Reason != errkind.BackendLost {
		t.Errorf("request at a back end that is down and removed: %+v", decision)
	}
}

// Retransmitting callers are reported only while they are recent, and then only the remaining down
// time.
func TestReportsDoNotRenewTheDownState(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2, 3)
	if reports := f.steerer.UnresponsiveReports(f.now, 8); len(reports) != 1 || reports[0].Callers != 4 || reports[0].Down != downPeriod {
		t.Errorf("reports at once: %+v", reports)
	}
	f.advance(time.Second)
	if reports := f.steerer.UnresponsiveReports(f.now, 8); len(reports) != 1 || reports[0].Callers != 0 || reports[0].Down != downPeriod-time.Second {
		t.Errorf("reports a second later: %+v", reports)
	}
	f.advance(downPeriod)
	if reports := f.steerer.UnresponsiveReports(f.now, 8); len(reports) != 0 {
		t.Errorf("reports after downPeriod: %+v", reports)
	}
}
