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

// silentFleet is a fleet whose feed may be repeated, and in which callers 0 to 19 have open
// flows at back end 1, which has said nothing since.
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
	// Others are in use and well.
	for caller := 20; caller < 60; caller++ {
		f.opened(caller, feedAddress)
	}
	f.pass(time.Second)
	f.answerOthers()
	return f
}

// lively lets the other back ends answer something.
func (f *fleet) answerOthers() {
	for id := directory.Tag(2); id <= 6; id++ {
		caller := 1000*int(id) + int(f.now/time.Millisecond)
		f.established(caller, feedAddress, id, 1, 100)
		f.established(caller, feedAddress, id, 2, 0)
	}
}

// ask sends a caller's request, and again after 200 ms.
func (f *fleet) requestUnanswered(callers ...int) Verdict {
	var verdict Verdict
	for _, caller := range callers {
		verdict = f.established(caller, feedAddress, 1, 1, 100)
	}
	f.pass(200 * time.Millisecond)
	f.answerOthers()
	for _, caller := range callers {
		verdict = f.established(caller, feedAddress, 1, 1, 100)
	}
	return verdict
}

// TestFlowsAtALostBackEndAreReset once several callers have asked in vain: those that wait at
// once, others when they ask.
func TestFlowsAtALostBackEndAreReset(t *testing.T) {
	f := newSilentFleet(t)
	if verdict := f.requestUnanswered(0, 1, 2); verdict.Action != Forward || f.steerer.TakeResets() != nil {
		t.Fatalf("three callers are enough: %+v", verdict)
	}
	f.pass(200 * time.Millisecond)
	f.requestUnanswered(3)
	resets := f.steerer.TakeResets()
	if len(resets) != 4 {
		t.Fatalf("%d flows are reset: %+v", len(resets), resets)
	}
	for _, reset := range resets {
		if reset.Acknowledged != 1 || reset.Backend != 1 || reset.Flow.Service != feedAddress {
			t.Errorf("%+v", reset)
		}
	}
	verdict := f.established(7, feedAddress, 1, 1, 100)
	if verdict.Action != Refuse || verdict.Reason != errkind.BackendLost {
		t.Errorf("a later request: %+v", verdict)
	}
	if verdict := f.established(8, feedAddress, 1, 1, 0); verdict.Action != Forward {
		t.Errorf("a packet without a request: %+v", verdict)
	}
	f.established(9, splitAddress, 1, 1, 100)
	if verdict := f.established(9, splitAddress, 1, 1, 100); verdict.Action != Forward {
		t.Errorf("a request that may not run twice: %+v", verdict)
	}
}

// TestASignOfLifeKeepsFlows, whether it is seen before or after callers asked in vain.
func TestASignOfLifeKeepsFlows(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2)
	f.established(10, feedAddress, 1, 50, 0)
	f.pass(400 * time.Millisecond)
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
	if verdict := f.established(11, feedAddress, 1, 1, 100); verdict.Action != Forward {
		t.Errorf("after an answer: %+v", verdict)
	}
}

// TestCallersOfAllBalancersCount, each with its own.
func TestCallersOfAllBalancersCount(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0)
	if !f.steerer.TakeAlarm() {
		t.Error("others do not hear at once that a back end is silent")
	}
	if stalls := f.steerer.Stalls(f.now, 8); len(stalls) != 1 || stalls[0].Backend != 1 || stalls[0].Callers != 1 || stalls[0].Silence < time.Second {
		t.Errorf("others hear %+v", stalls)
	}
	f.steerer.HearStalls(f.now, otherBalancer, []Stall{{Backend: 1, Callers: 2, Silence: time.Second}})
	f.steerer.HearStalls(f.now, otherBalancer, []Stall{{Backend: 1, Callers: 2, Silence: time.Second}})
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Fatalf("one balancer's word counts twice: %+v", resets)
	}
	third := netip.AddrPortFrom(otherBalancer.Addr().Next(), otherBalancer.Port())
	f.steerer.HearStalls(f.now, third, []Stall{{Backend: 1, Callers: 1, Silence: time.Second}})
	if resets := f.steerer.TakeResets(); len(resets) != 1 {
		t.Errorf("four callers at three balancers: %+v", resets)
	}
}

// TestWherePacketsAreLostMoreCallersAreWanted: if one request in five is sent again though its
// back end is well, a few callers that do so at once are no evidence.
func TestWherePacketsAreLostMoreCallersAreWanted(t *testing.T) {
	f := newSilentFleet(t)
	for caller := range 100 {
		id := directory.Tag(2 + caller%5)
		f.established(3000+caller, feedAddress, id, 1, 100)
		if caller%5 == 0 {
			f.pass(200 * time.Millisecond)
			f.established(3000+caller, feedAddress, id, 1, 100)
		}
		f.established(3000+caller, feedAddress, id, 2, 0)
	}
	f.requestUnanswered(0, 1, 2, 3, 4, 5)
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Fatalf("six callers are enough: %+v", resets)
	}
	others := []Stall{{Backend: 1, Callers: 6, Silence: time.Second}}
	f.steerer.HearStalls(f.now, otherBalancer, others)
	if resets := f.steerer.TakeResets(); len(resets) != 6 {
		t.Errorf("of twelve callers %d flows are reset", len(resets))
	}
}

// TestAnotherBalancerContradicts: it has just heard of the back end.
func TestAnotherBalancerContradicts(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2)
	f.steerer.HearStalls(f.now, otherBalancer, []Stall{{Backend: 1, Callers: 0, Silence: 10 * time.Millisecond}})
	f.requestUnanswered(3)
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Errorf("flows are reset: %+v", resets)
	}
	// This one contradicts in turn, of a back end that it knows to be well.
	f.pass(300 * time.Millisecond)
	f.answerOthers()
	f.steerer.TakeAlarm()
	f.steerer.HearStalls(f.now, otherBalancer, []Stall{{Backend: 2, Callers: 5, Silence: time.Second}})
	if f.steerer.TakeResets() != nil || !f.steerer.TakeAlarm() {
		t.Error("it is not told at once that a back end is well")
	}
	found := false
	for _, stall := range f.steerer.Stalls(f.now, 8) {
		found = found || stall.Backend == 2 && stall.Callers == 0 && stall.Silence < 100*time.Millisecond
	}
	if !found {
		t.Errorf("others hear %+v", f.steerer.Stalls(f.now, 8))
	}
}

// TestOneCallerIsNoEvidence: its own link may be down.
func TestOneCallerIsNoEvidence(t *testing.T) {
	f := newSilentFleet(t)
	for range 6 {
		f.requestUnanswered(0)
		f.pass(time.Second)
	}
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Errorf("flows are reset: %+v", resets)
	}
}

// TestABalancerThatIsCutOffResetsNothing: all back ends are silent to it.
func TestABalancerThatIsCutOffResetsNothing(t *testing.T) {
	f := newSilentFleet(t)
	f.pass(3 * time.Second)
	for round := range 2 {
		for id := directory.Tag(1); id <= 6; id++ {
			for caller := range 6 {
				f.established(2000+100*int(id)+caller, feedAddress, id, 2, 100)
			}
		}
		if round == 0 {
			f.pass(200 * time.Millisecond)
		}
	}
	if resets := f.steerer.TakeResets(); resets != nil {
		t.Errorf("%d flows are reset", len(resets))
	}
}

// TestOnesThatOthersLostDoNotCutABalancerOff: several back ends fell silent at once. Others told of
// three, two more answer here, and the callers of a sixth ask in vain.
func TestOnesThatOthersLostDoNotCutABalancerOff(t *testing.T) {
	f := newSilentFleet(t)
	f.pass(time.Second)
	for id := settings.BackendID(3); id <= 5; id++ {
		f.steerer.HearStalls(f.now, otherBalancer, []Stall{{Backend: id, Callers: 2, Silence: time.Second, Lost: downPeriod}})
	}
	for _, payload := range []int{100, 100} {
		for caller := range 4 {
			f.established(caller, feedAddress, 1, 1, payload)
		}
		f.pass(200 * time.Millisecond)
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

// TestWhatAnotherBalancerForwardedIsNoSignOfLife: a flow went on through another one, and comes back
// with a request, or its end, that shows answers of before.
func TestWhatAnotherBalancerForwardedIsNoSignOfLife(t *testing.T) {
	for name, test := range map[string]struct {
		// asked is whether the flow last asked here, a second ago, and was answered elsewhere.
		asked  bool
		kind   Kind
		data   int
		living bool
	}{
		"a request":                    {false, Established, 100, false},
		"the end of the flow":          {false, Close, 0, false},
		"a request after one long ago": {true, Established, 100, false},
		"an acknowledgement by itself": {false, Established, 0, true},
		"one after a request long ago": {true, Established, 0, true},
	} {
		f := newSilentFleet(t)
		if test.asked {
			f.established(3, feedAddress, 1, 1, 100)
			f.pass(time.Second)
		}
		state := f.state(1)
		before := state.progress
		f.steerer.Steer(f.now, &Packet{Flow: key(3, feedAddress), Kind: test.kind, Tag: 1, Sequence: 5000, Acknowledged: 9000, Payload: test.data})
		if living := state.progress > before; living != test.living {
			t.Errorf("%s: a sign of life: %v", name, living)
		}
		if test.data > 0 && state.active != 1 || test.data == 0 && state.active != 0 {
			t.Errorf("%s: %d requests count as under way", name, state.active)
		}
	}
}

// TestALostBackEndIsTriedAgain: what lasts for a moment must not end flows for good.
func TestALostBackEndIsTriedAgain(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2, 3)
	if f.steerer.TakeResets() == nil {
		t.Fatal("no flow is reset")
	}
	f.pass(downPeriod + time.Second)
	f.answerOthers()
	if verdict := f.established(12, feedAddress, 1, 1, 100); verdict.Action != Forward {
		t.Errorf("after a while: %+v", verdict)
	}
	for _, stall := range f.steerer.Stalls(f.now, 8) {
		t.Errorf("others still hear of it: %+v", stall)
	}
	// It is silent still: a single caller that asks in vain is enough now.
	f.pass(200 * time.Millisecond)
	f.answerOthers()
	f.established(12, feedAddress, 1, 1, 100)
	if resets := f.steerer.TakeResets(); len(resets) != 1 {
		t.Errorf("a back end that was lost is silent again: %d resets", len(resets))
	}
}

// TestALostBackEndTakesNoNewFlow: it is known better than by a doubt that nobody is answered there.
func TestALostBackEndTakesNoNewFlow(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2, 3)
	if f.steerer.TakeResets() == nil {
		t.Fatal("no flow is reset")
	}
	for caller := 300; caller < 360; caller++ {
		if verdict := f.open(caller, feedAddress, 0); verdict.Backend.ID == 1 {
			t.Fatal("a new flow goes to a back end that is lost")
		}
	}
}

// TestStallsAreToldInOneOrder: those that leave the most callers first, and never by the order
// of a map.
func TestStallsAreToldInOneOrder(t *testing.T) {
	f := newSilentFleet(t)
	for id := settings.BackendID(1); id <= 6; id++ {
		state := f.state(id)
		state.lastUnansweredAt = f.now
		for i := range 1 + int(id)%3 {
			state.unansweredCallers = append(state.unansweredCallers, netip.AddrFrom4([4]byte{100, 64, 0, byte(i)}))
		}
	}
	for range 20 {
		var told []settings.BackendID
		for _, stall := range f.steerer.Stalls(f.now, 4) {
			told = append(told, stall.Backend)
		}
		if want := []settings.BackendID{2, 5, 1, 4}; !slices.Equal(told, want) {
			t.Fatalf("told are %v, want %v", told, want)
		}
	}
}

// TestFewRepetitionsMayBeFewByChance: of 127 requests 3 were sent again where 6 were to be expected.
func TestFewRepetitionsMayBeFewByChance(t *testing.T) {
	for _, test := range []struct {
		asked, vain float64
		want        int
	}{
		{0, 0, 4},
		{127, 0, 4},
		{127, 3.4, 5},
		{127, 12, 8},
		{2000, 20, 4},
	} {
		pool := &poolState{repeatedLong: repetitions{asked: test.asked, vain: test.vain}}
		if got := pool.minDownCallers(); got != test.want {
			t.Errorf("%.0f of %.0f sent again: %d callers make a back end lost, want %d", test.vain, test.asked, got, test.want)
		}
	}
}

// TestAFlowThatOpenedElsewhereIsNotReset: a copy of its opening packet was placed here at a back end
// that is lost by now, and another one answered the copy that went through another balancer.
func TestAFlowThatOpenedElsewhereIsNotReset(t *testing.T) {
	f := newSilentFleet(t)
	caller := 200
	for f.open(caller, feedAddress, 0).Backend.ID != 1 {
		if caller++; caller == 400 {
			t.Fatal("no flow is placed at the back end")
		}
	}
	f.requestUnanswered(0, 1, 2, 3)
	f.pass(100 * time.Millisecond)
	f.requestUnanswered(0, 1, 2, 3)
	if f.steerer.TakeResets() == nil {
		t.Fatal("the back end is not lost")
	}
	verdict := f.established(caller, feedAddress, 2, 1, 100)
	if verdict.Action != Forward || verdict.Backend.ID != 2 {
		t.Errorf("a packet of a flow that is open at another back end: %+v", verdict)
	}
}

// TestADoubtOfAnotherBalancerCountsBesideAnUnansweredFlow: the copy of its opening packet goes
// elsewhere, unless packets get lost so often that both may be chance.
func TestADoubtOfAnotherBalancerCountsBesideAnUnansweredFlow(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		f := newFleet(t)
		f.pass(time.Second)
		first := f.open(1, feedAddress, 0)
		if lossy {
			f.steerer.poolOf("feed").repeatedLong = repetitions{asked: 100, vain: 8}
		}
		f.pass(200 * time.Millisecond)
		f.steerer.SetOthersDoubts(f.now, []settings.BackendID{first.Backend.ID})
		copied := f.open(1, feedAddress, 1)
		if moved := copied.Backend.ID != first.Backend.ID; moved == lossy {
			t.Errorf("packets are lost: %v, the copy moves: %v", lossy, moved)
		}
	}
}

// TestADoubtIsToldAtOnce, unless most doubts are lost packets.
func TestADoubtIsToldAtOnce(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		f := newFleet(t)
		f.pass(time.Second)
		f.open(1, feedAddress, 0)
		if lossy {
			f.steerer.poolOf("feed").repeatedLong = repetitions{asked: 100, vain: 8}
		}
		f.pass(2 * answerTime)
		f.open(2, feedAddress, 0)
		if alarm := f.steerer.TakeAlarm(); alarm == lossy {
			t.Errorf("packets are lost: %v, others are told at once: %v", lossy, alarm)
		}
	}
}

// TestABalancerTakesOverWhatIsLost from one that found it out, for no longer than that one says, and
// until anybody sees a sign of life.
func TestABalancerTakesOverWhatIsLost(t *testing.T) {
	lost := Stall{Backend: 1, Callers: 2, Silence: 2 * time.Second, Lost: time.Second}
	f := newSilentFleet(t)
	f.established(0, feedAddress, 1, 1, 100)
	f.steerer.HearStalls(f.now, otherBalancer, []Stall{lost})
	if verdict := f.established(1, feedAddress, 1, 1, 100); verdict.Reason != errkind.BackendLost {
		t.Errorf("a request at a back end that another balancer lost: %+v", verdict)
	}
	f.pass(1100 * time.Millisecond)
	f.answerOthers()
	if verdict := f.established(2, feedAddress, 1, 1, 100); verdict.Action != Forward {
		t.Errorf("after the time that was told: %+v", verdict)
	}

	f = newSilentFleet(t)
	f.steerer.HearStalls(f.now, otherBalancer, []Stall{lost})
	f.steerer.HearStalls(f.now, otherBalancer, []Stall{{Backend: 1, Silence: 5 * time.Millisecond}})
	if verdict := f.established(1, feedAddress, 1, 1, 100); verdict.Action != Forward {
		t.Errorf("another balancer saw a sign of life since: %+v", verdict)
	}

	f = newSilentFleet(t)
	f.established(0, feedAddress, 1, 2, 0)
	f.steerer.HearStalls(f.now, otherBalancer, []Stall{lost})
	if verdict := f.established(1, feedAddress, 1, 1, 100); verdict.Action != Forward {
		t.Errorf("this balancer has just seen a sign of life: %+v", verdict)
	}
	if !f.steerer.TakeAlarm() {
		t.Error("the other one does not hear of it")
	}
}

// TestADepartedBackEndStaysLost: its entry is gone as well, and nobody need try it again.
func TestADepartedBackEndStaysLost(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2, 3)
	if f.steerer.TakeResets() == nil {
		t.Fatal("no flow is reset")
	}
	f.vanish(1)
	f.pass(downPeriod + time.Second)
	f.answerOthers()
	if verdict := f.established(12, feedAddress, 1, 1, 100); verdict.Reason != errkind.BackendLost {
		t.Errorf("a request at a back end that is lost and gone: %+v", verdict)
	}
}

// TestWhatIsLostIsNotRenewedByWordOfMouth: callers that asked in vain are told while that is news, and
// after that only for how much longer the back end is lost.
func TestWhatIsLostIsNotRenewedByWordOfMouth(t *testing.T) {
	f := newSilentFleet(t)
	f.requestUnanswered(0, 1, 2, 3)
	if told := f.steerer.Stalls(f.now, 8); len(told) != 1 || told[0].Callers != 4 || told[0].Lost != downPeriod {
		t.Errorf("at once %+v is told", told)
	}
	f.pass(time.Second)
	if told := f.steerer.Stalls(f.now, 8); len(told) != 1 || told[0].Callers != 0 || told[0].Lost != downPeriod-time.Second {
		t.Errorf("a second later %+v is told", told)
	}
	f.pass(downPeriod)
	if told := f.steerer.Stalls(f.now, 8); len(told) != 0 {
		t.Errorf("in the end %+v is told", told)
	}
}
