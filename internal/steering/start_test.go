package steering

import (
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// startAs announces a start of back end 1 by its birth.
func (f *fleet) restartAs(birth directory.Birth) {
	f.revision++
	backend := f.directory.View().Member(1).Backend
	backend.Born = birth
	f.directory.NoteCertain(f.now)
	f.directory.Apply(f.now, &directory.Changes{Revision: f.revision, Records: []directory.Record{{Backend: backend, Revision: f.revision}}})
	f.steerer.SetView(f.directory.View())
}

// at opens a flow at back end 1 and returns its caller.
func (f *fleet) openAtFirst(first int) int {
	for caller := first; caller < first+1000; caller++ {
		if f.opened(caller, feedAddress).ID == 1 {
			return caller
		}
	}
	f.Fatal("no flow goes to the back end")
	return 0
}

// TestAnotherStartHoldsNothingOfTheOneBefore: flows that are older than it end, those that may have opened
// there since stay, and nothing that was learned counts.
func TestAnotherStartHoldsNothingOfTheOneBefore(t *testing.T) {
	f := newFleet(t)
	f.directory.SetInterval(time.Second)
	f.restartAs(100)
	old := f.openAtFirst(1)
	f.pass(10 * time.Second)
	young := f.openAtFirst(2000)
	before := f.state(1)
	before.failures, before.slowness, before.others.Failures = 5, 4, 5
	before.suspectUntil = f.now + time.Minute
	f.steerer.TakeEvents()
	f.restartAs(200)
	resets := f.steerer.TakeResets()
	if len(resets) == 0 {
		t.Fatal("no flow ends")
	}
	ended := map[int]bool{}
	for _, reset := range resets {
		ip := reset.Flow.Caller.Addr().As4()
		ended[int(ip[2])<<8|int(ip[3])] = true
		if reset.Backend != 1 {
			t.Errorf("a flow at %x ends", reset.Backend)
		}
	}
	if !ended[old] || ended[young] {
		t.Errorf("the old flow ends: %v, the young one: %v", ended[old], ended[young])
	}
	state := f.state(1)
	if state.failures != 0 || state.slowness != 1 || state.suspected(f.now) || state.flows == 0 || state.flows >= before.flows+len(resets)+1 {
		t.Errorf("it has inherited %+v", state)
	}
	events := f.steerer.TakeEvents()
	if len(events) != 1 || events[0].Observation != StartedAnew || events[0].Backend != 1 {
		t.Errorf("events %+v", events)
	}
	// The young flow goes on.
	if decision := f.established(young, feedAddress, directory.TagOf(1), 1, 100); decision.Action != Forward || decision.Backend.ID != 1 {
		t.Errorf("its next packet: %+v", decision)
	}
}

// TestWordsOfTheStartBeforeAreNotHeard for a while, since others learn of a start a moment later.
func TestWordsOfTheStartBeforeAreNotHeard(t *testing.T) {
	f := newFleet(t)
	f.restartAs(100)
	f.openAtFirst(1)
	f.restartAs(200)
	hear := func() {
		f.steerer.SetOthersDoubts(f.now, []settings.BackendID{1})
		f.steerer.SetOthersLoad(map[directory.Tag]Load{1: {Requests: 9, Failures: 9}})
	}
	hear()
	state := f.state(1)
	if state.doubted(f.now) || state.others != (Load{}) {
		t.Errorf("heard at once: %+v", state)
	}
	f.pass(ignoreReportsTime)
	hear()
	if !state.doubted(f.now) || state.others.Failures != 9 {
		t.Errorf("not heard later: %+v", state)
	}
}

// TestAViewNeedNotFollowTheOneBefore: one that skips some has the same outcome, looked through whole.
func TestAViewNeedNotFollowTheOneBefore(t *testing.T) {
	each, some := newFleet(t), newFleet(t)
	for caller := range 40 {
		each.opened(caller, feedAddress)
		some.opened(caller, feedAddress)
	}
	step := func(f *fleet, see bool, change directory.Changes) {
		f.revision++
		change.Revision = f.revision
		for i := range change.Gone {
			change.Gone[i].Revision = f.revision
		}
		f.directory.Apply(f.now, &change)
		if view := f.directory.View(); see {
			f.steerer.SetView(view)
		}
	}
	for i, id := range []settings.BackendID{2, 3, 1, 4} {
		gone := directory.Changes{Gone: []directory.Gone{{ID: id}}}
		step(each, true, gone)
		step(some, i%2 == 1, directory.Changes{Gone: []directory.Gone{{ID: id}}})
	}
	for _, f := range []*fleet{each, some} {
		if len(f.steerer.departed) != 4 {
			t.Errorf("departed are %v", f.steerer.departed)
		}
		f.now += 2 * time.Minute
		f.steerer.Tick(f.now)
		f.directory.Forget(f.now)
		f.steerer.SetView(f.directory.View())
		if len(f.steerer.departed) != 0 || len(f.steerer.backends) != 0 {
			t.Errorf("left are %v and %v", f.steerer.departed, f.steerer.backends)
		}
	}
}

// TestOnlyWhatIsObservedIsKept: placing among many back ends keeps nothing of those that got no flow, and nothing of
// the others once their flows are long over.
func TestOnlyWhatIsObservedIsKept(t *testing.T) {
	f := newFleet(t)
	for caller := range 3 {
		f.opened(caller, feedAddress)
	}
	if kept := len(f.steerer.backends); kept > 3 {
		t.Errorf("of %d back ends something is kept", kept)
	}
	for range 180 {
		f.pass(time.Second)
		f.steerer.Tick(f.now)
	}
	if kept := len(f.steerer.backends); kept > 0 {
		t.Errorf("of %d back ends something is kept once all flows are over", kept)
	}
	for _, pool := range f.steerer.pools {
		if blank := pool.blank; blank != nil && (blank.recent != 0 || blank.flows != 0 || blank.doubt != 0 || blank.slowness != 1) {
			t.Errorf("what stands for the rest was written: %+v", blank)
		}
	}
}
