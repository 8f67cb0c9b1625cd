package steering

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/settings"
)

// The shares must hold over 70 balancers that place a few flows each, and follow new weights at
// once.
func TestSharesHoldAcrossBalancers(t *testing.T) {
	// The starting positions alone account for a deviation of up to 0.03 with 350 flows.
	within := map[int]float64{5: 0.03, 20: 0.02, 200: 0.02}
	for _, flows := range []int{5, 20, 200} {
		for _, smallShare := range []float64{0.5, 0.1, 0.05} {
			t.Run(fmt.Sprintf("%d flows, %v", flows, smallShare), func(t *testing.T) {
				rotations := make([]*rotation, 70)
				for i := range rotations {
					rotations[i] = newRotation(key(i, splitAddress).Hash())
				}
				for _, share := range []float64{smallShare, 1 - smallShare, smallShare} {
					service := &settings.Service{Groups: []settings.Group{{Path: "a", Share: 1 - share}, {Path: "b", Share: share}, {Path: "c"}}}
					taken := 0
					for _, s := range rotations {
						s.update(service)
						for range flows {
							p := s.next(nil)[0]
							p.requests++
							if p.group.Path == "b" {
								taken++
							}
						}
					}
					if got := float64(taken) / float64(70*flows); math.Abs(got-share) > within[flows] {
						t.Errorf("the part with share %v gets %.3f", share, got)
					}
				}
			})
		}
	}
}

// Flows that send more requests than others change the shares, but by no more than maxCorrection.
func TestRequestRatesCorrectShares(t *testing.T) {
	s := newRotation(0)
	s.update(&settings.Service{Groups: []settings.Group{{Path: "a", Share: 1}, {Path: "b", Share: 1}}})
	flows := 0.0
	for range 2000 {
		p := s.next(nil)[0]
		p.requests++
		if p.group.Path == "a" {
			p.requests += 9
			flows++
		}
	}
	if got := flows / 2000; got > 0.5-maxCorrection+0.01 || got < 0.5-maxCorrection-0.01 {
		t.Errorf("the part with ten times the request rate gets %.3f of the flows", got)
	}
}

// countParts opens flows of the split service and counts them by part and reason, or by error
// kind.
func (f *fleet) countParts(first, count int) map[string]int {
	f.Helper()
	counts := map[string]int{}
	for caller := first; caller < first+count; caller++ {
		decision := f.open(caller, splitAddress, 0)
		if decision.Action != Forward {
			counts[decision.Reason.String()]++
			continue
		}
		f.established(caller, splitAddress, decision.Backend.Tag, 1, 0)
		counts[decision.Part.Discover+" "+decision.PartReason.String()]++
	}
	return counts
}

// Flows go to the other part while one can take none. Afterwards the part must get its share, and
// no more.
func TestUnavailablePartPassesItsFlowsOn(t *testing.T) {
	evacuate := func(active bool) func(f *fleet) {
		return func(f *fleet) {
			f.revision++
			f.directory.Apply(f.now, &directory.Changes{Revision: f.revision, Evacuations: []directory.Evacuation{{Zone: "a", Active: active, Revision: f.revision}}})
			f.steerer.SetView(f.directory.View())
		}
	}
	uploads := func(each func(f *fleet, state *backendState)) func(f *fleet) {
		return func(f *fleet) {
			for id := settings.BackendID(11); id <= 12; id++ {
				each(f, f.state(id))
			}
		}
	}
	cases := map[string]struct {
		disable, restore func(f *fleet)
		reason           PartReason
	}{
		"empty": {
			func(f *fleet) { f.remove(11); f.remove(12) },
			func(f *fleet) { f.announce(11, "upload", "a", false); f.announce(12, "upload", "a", false) }, PartEmpty,
		},
		"draining": {
			func(f *fleet) { f.announce(11, "upload", "a", true); f.announce(12, "upload", "a", true) },
			func(f *fleet) { f.announce(11, "upload", "a", false); f.announce(12, "upload", "a", false) }, PartEmpty,
		},
		"evacuated": {evacuate(true), evacuate(false), PartEmpty},
		"silent": {
			uploads(func(f *fleet, state *backendState) { state.silentUntil = f.now + time.Hour }),
			uploads(func(f *fleet, state *backendState) { state.recordResponse(f.now) }), PartUnresponsive,
		},
		"down": {
			uploads(func(f *fleet, state *backendState) { state.downUntil = f.now + time.Hour }),
			uploads(func(f *fleet, state *backendState) { state.recordResponse(f.now) }), PartUnresponsive,
		},
		"suspect": {
			uploads(func(f *fleet, state *backendState) { state.suspectUntil = f.now + time.Hour }),
			uploads(func(f *fleet, state *backendState) { state.recordResponse(f.now) }), PartUnresponsive,
		},
		"ejected": {
			uploads(func(_ *fleet, state *backendState) { state.failures = 10 }),
			uploads(func(_ *fleet, state *backendState) { state.failures = 0 }), PartEjected,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.countParts(0, 100)
			c.disable(f)
			if counts := f.countParts(100, 100); counts["feed turn"] < 70 || counts["feed "+c.reason.String()] < 20 || len(counts) != 2 {
				t.Errorf("while it can take none: %v", counts)
			}
			c.restore(f)
			if counts := f.countParts(200, 40); counts["upload turn"] < 8 || counts["upload turn"] > 14 || len(counts) != 2 {
				t.Errorf("after recovery: %v", counts)
			}
		})
	}
}

// Requests in all slots must not take the share away from a part.
func TestBusyPartKeepsItsShare(t *testing.T) {
	f := newFleet(t)
	f.countParts(0, 100)
	for id := settings.BackendID(11); id <= 12; id++ {
		f.state(id).pending += 2
	}
	if counts := f.countParts(100, 100); counts["upload turn"] < 22 || counts["upload turn"] > 28 || len(counts) != 2 {
		t.Errorf("%v", counts)
	}
}

// A part whose responses take longer than answerTimeout must not enter a cooldown.
func TestSlowPartEntersNoCooldown(t *testing.T) {
	r := cooldown{}
	for at := time.Second; at < 10*time.Second; at += 100 * time.Millisecond {
		r.recordAnswer(at)
		r.recordUnanswered(at+50*time.Millisecond, at-500*time.Millisecond)
		if r.blocks(at + 60*time.Millisecond) {
			t.Fatalf("in cooldown at %v", at)
		}
	}
	pool := poolState{typicalLatency: 0.5}
	for range 2 * cooldownThreshold {
		pool.recordUnanswered(2*time.Second, time.Second)
	}
	if pool.cooldown.unanswered != 0 {
		t.Errorf("requests of twice the typical time count: %+v", pool.cooldown)
	}
}

// The rotation of a renamed service must be dropped, even though another service has its address.
func TestRotationOfRenamedServiceIsDropped(t *testing.T) {
	f := newFleet(t)
	f.open(0, splitAddress, 0)
	for _, r := range f.steerer.rotations {
		old := *r.service
		old.Name = "renamed"
		r.service = &old
		f.steerer.rotations["renamed"] = r
	}
	f.steerer.Tick(f.now)
	if len(f.steerer.rotations) != 1 || f.steerer.rotations["renamed"] != nil {
		t.Errorf("%v", f.steerer.rotations)
	}
}

// A copy goes to the other part if its own part has no other back end.
func TestCopyGoesToOtherPart(t *testing.T) {
	f := newFleet(t)
	f.remove(12)
	caller := 0
	decision := f.open(caller, splitAddress, 0)
	for ; decision.Part.Discover != "upload"; decision = f.open(caller, splitAddress, 0) {
		f.established(caller, splitAddress, decision.Backend.Tag, 1, 0)
		caller++
	}
	f.advance(200 * time.Millisecond)
	f.state(11).silentUntil = f.now + time.Second
	copied := f.open(caller, splitAddress, 1)
	if copied.Action != Forward || !copied.Moved || copied.Part.Discover != "feed" || copied.PartReason != PartUnresponsive {
		t.Errorf("the copy: %+v", copied)
	}
}

// Flows go to the other part while the warm-up rate allows none.
func TestWarmingUpPartPassesItsFlowsOn(t *testing.T) {
	f := newFleet(t)
	f.applySettings(map[string]string{"feed": "1", "upload": "1"}, "2")
	for id := settings.BackendID(11); id <= 12; id++ {
		f.revision++
		warming := directory.Backend{ID: id, Group: "upload", Zone: "a", Slots: 2, WarmUp: time.Hour}
		f.directory.Apply(f.now, &directory.Changes{Revision: f.revision, Records: []directory.Record{{Backend: warming, Revision: f.revision}}})
	}
	f.steerer.SetView(f.directory.View())
	if counts := f.countParts(0, 40); counts["feed cold"] < 18 || counts["feed turn"] < 18 || counts["no_backend"] > 0 {
		t.Errorf("%v", counts)
	}
}

// A part with weight 0 must get no flow, even if no other part has a back end; flows are then
// refused at once.
func TestWeightZeroGetsNoFlow(t *testing.T) {
	f := newFleet(t)
	waiting := f.open(0, splitAddress, 0)
	f.applySettings(map[string]string{waiting.Part.Discover: "0", map[string]string{"feed": "upload", "upload": "feed"}[waiting.Part.Discover]: "1"}, "0")
	f.advance(200 * time.Millisecond)
	if copied := f.open(0, splitAddress, 1); copied.Part == nil || copied.Part.Discover == waiting.Part.Discover {
		t.Errorf("a copy goes to the part with weight 0: %+v", copied)
	}
	f.applySettings(map[string]string{"feed": "0", "upload": "1"}, "0")
	if counts := f.countParts(100, 50); len(counts) != 1 || counts["upload only"] != 50 {
		t.Errorf("%v", counts)
	}
	f.remove(11)
	f.remove(12)
	f.advance(3 * time.Second)
	if decision := f.open(200, splitAddress, 0); decision.Action != Refuse || decision.Reason != errkind.NoBackend {
		t.Errorf("%+v", decision)
	}
}

// applySettings applies the shares of the split service and the warm-up rate.
func (f *fleet) applySettings(shares map[string]string, warmUpRate string) {
	f.Helper()
	f.revision++
	tree := settings.Tree{"": settings.Values{settings.KeyLoadFactor: "2", settings.KeyWarmUpRate: warmUpRate}}
	f.route(tree, "split", splitAddress, shares)
	f.directory.Apply(f.now, &directory.Changes{Revision: f.revision, Settings: &directory.Settings{Version: f.revision, Revision: f.revision, Tree: tree}})
	f.steerer.SetView(f.directory.View())
}

// Shorter and faster responses than those of the other part are no failures; a part is judged by
// its own baseline.
func TestPartWithShorterResponsesKeepsItsShare(t *testing.T) {
	f := newFleet(t)
	answer := func(caller int, failing bool) string {
		decision := f.open(caller, splitAddress, 0)
		length, took := 4000, 60*time.Millisecond
		if decision.Part.Discover == "upload" {
			length, took = 600, 8*time.Millisecond
			if failing {
				length, took = 100, time.Millisecond
			}
		}
		tag := decision.Backend.Tag
		f.established(caller, splitAddress, tag, 1, 100)
		f.now += took
		f.established(caller, splitAddress, tag, uint32(length), 0)
		f.steerer.Steer(f.now, &Packet{Flow: key(caller, splitAddress), Kind: Close, Tag: tag, Sequence: uint32(caller) + 102, Acknowledged: uint32(length)})
		f.advance(time.Second/16 - took)
		if caller%16 == 0 {
			f.steerer.Tick(f.now)
		}
		return decision.Part.Discover + " " + decision.PartReason.String()
	}
	count := func(first, number int, failing bool) map[string]int {
		counts := map[string]int{}
		for caller := first; caller < first+number; caller++ {
			counts[answer(caller, failing)]++
		}
		return counts
	}
	if counts := count(0, 800, false); counts["upload turn"] < 190 || len(counts) != 2 {
		t.Errorf("a part with shorter responses: %v", counts)
	}
	if counts := count(800, 160, true); counts["feed out_of_rotation"] < 10 {
		t.Errorf("a failing part: %v", counts)
	}
}

// A part that answers no request enters a cooldown. One flow at a time probes it until one is
// answered.
func TestUnresponsivePartEntersCooldown(t *testing.T) {
	f := newFleet(t)
	request := func(caller int, answered bool) string {
		decision := f.open(caller, splitAddress, 0)
		tag := decision.Backend.Tag
		f.established(caller, splitAddress, tag, 1, 100)
		if answered || decision.Part.Discover == "feed" {
			f.established(caller, splitAddress, tag, 500, 0)
		}
		f.advance(25 * time.Millisecond)
		return decision.Part.Discover + " " + decision.PartReason.String()
	}
	counts := map[string]int{}
	for caller := range 400 {
		counts[request(caller, false)]++
	}
	if counts["feed dark"] < 60 || counts["upload turn"] > 35 {
		t.Errorf("while it answers none: %v", counts)
	}
	f.advance(maxCooldown + time.Second)
	clear(counts)
	for caller := 400; caller < 600; caller++ {
		counts[request(caller, true)]++
	}
	if counts["upload turn"] < 46 || counts["upload turn"] > 54 || counts["feed dark"] > 2 {
		t.Errorf("when it answers again: %v", counts)
	}
}

// Requests that were sent before a cooldown began must not extend it.
func TestEarlierRequestsDoNotExtendCooldown(t *testing.T) {
	r := cooldown{}
	for i := range 10 {
		r.recordUnanswered(time.Second+time.Duration(i)*20*time.Millisecond, 500*time.Millisecond)
	}
	if r.duration != minCooldown || r.blocks(time.Second+40*time.Millisecond+minCooldown) {
		t.Errorf("%+v", r)
	}
	if !r.blocks(1700 * time.Millisecond) {
		t.Error("a second flow probes the part beside the first")
	}
	r.recordUnanswered(1900*time.Millisecond, 1500*time.Millisecond)
	if r.duration != 2*minCooldown || !r.blocks(2800*time.Millisecond) {
		t.Errorf("after a failed probe: %+v", r)
	}
	r.recordAnswer(2700 * time.Millisecond)
	if r.blocks(2800 * time.Millisecond) {
		t.Error("in cooldown after a response")
	}
}
