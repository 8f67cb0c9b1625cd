package steering

import (
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// restartAs announces a start of back end 1 with the given start time.
func (f *fleet) restartAs(startTime directory.StartTime) {
	f.revision++
	backend := f.directory.View().Member(1).Backend
	backend.StartTime = startTime
	f.directory.AdvanceConfirmedAt(f.now)
	f.directory.Apply(f.now, &directory.Changes{Revision: f.revision, Records: []directory.Record{{Backend: backend, Revision: f.revision}}})
	f.steerer.SetView(f.directory.View())
}

// openAtFirst opens flows until one is placed at back end 1, and returns its caller.
func (f *fleet) openAtFirst(first int) int {
	for caller := first; caller < first+1000; caller++ {
		if f.opened(caller, feedAddress).ID == 1 {
			return caller
		}
	}
	f.Fatal("no flow was placed at back end 1")
	return 0
}

// A restart must end the flows that are older than it, keep those that may have opened since, and
// discard all observations.
func TestRestartDiscardsState(t *testing.T) {
	f := newFleet(t)
	f.directory.SetInterval(time.Second)
	f.restartAs(100)
	old := f.openAtFirst(1)
	f.advance(10 * time.Second)
	recent := f.openAtFirst(2000)
	before := f.state(1)
	before.failures, before.slowdown, before.others.Failures = 5, 4, 5
	before.silentUntil = f.now + time.Minute
	f.steerer.TakeEvents()
	f.restartAs(200)
	resets := f.steerer.TakeResets()
	if len(resets) == 0 {
		t.Fatal("no flow was reset")
	}
	ended := map[int]bool{}
	for _, reset := range resets {
		ip := reset.Flow.Caller.Addr().As4()
		ended[int(ip[2])<<8|int(ip[3])] = true
		if reset.Backend != 1 {
			t.Errorf("a flow at back end %x was reset", reset.Backend)
		}
	}
	if !ended[old] || ended[recent] {
		t.Errorf("the old flow was reset: %v, the recent one: %v", ended[old], ended[recent])
	}
	state := f.state(1)
	if state.failures != 0 || state.slowdown != 1 || state.isUnresponsive(f.now) || state.flows == 0 || state.flows >= before.flows+len(resets)+1 {
		t.Errorf("state of the previous start remains: %+v", state)
	}
	events := f.steerer.TakeEvents()
	if len(events) != 1 || events[0].Observation != Restarted || events[0].Backend != 1 {
		t.Errorf("events %+v", events)
	}
	// The recent flow continues.
	if decision := f.established(recent, feedAddress, directory.TagOf(1), 1, 100); decision.Action != Forward || decision.Backend.ID != 1 {
		t.Errorf("its next packet: %+v", decision)
	}
}

// Reports of other balancers on a restarted back end are ignored until they know of the
// restart.
func TestReportsAreIgnoredAfterRestart(t *testing.T) {
	f := newFleet(t)
	f.restartAs(100)
	f.openAtFirst(1)
	f.restartAs(200)
	receive := func() {
		f.steerer.ReceiveSuspects(f.now, []settings.BackendID{1})
		f.steerer.SetPeerLoads(map[directory.Tag]Load{1: {Requests: 9, Failures: 9}})
	}
	receive()
	state := f.state(1)
	if state.checkSuspect(f.now) || state.others != (Load{}) {
		t.Errorf("reports are not ignored after the restart: %+v", state)
	}
	f.advance(ignoreReportsTime)
	receive()
	if !state.checkSuspect(f.now) || state.others.Failures != 9 {
		t.Errorf("reports are still ignored later: %+v", state)
	}
}

// Skipping views must have the same outcome as applying each.
func TestViewsMayBeSkipped(t *testing.T) {
	complete, skipping := newFleet(t), newFleet(t)
	for caller := range 40 {
		complete.opened(caller, feedAddress)
		skipping.opened(caller, feedAddress)
	}
	step := func(f *fleet, apply bool, change directory.Changes) {
		f.revision++
		change.Revision = f.revision
		for i := range change.Removed {
			change.Removed[i].Revision = f.revision
		}
		f.directory.Apply(f.now, &change)
		if view := f.directory.View(); apply {
			f.steerer.SetView(view)
		}
	}
	for i, id := range []settings.BackendID{2, 3, 1, 4} {
		removal := directory.Changes{Removed: []directory.Removal{{ID: id}}}
		step(complete, true, removal)
		step(skipping, i%2 == 1, directory.Changes{Removed: []directory.Removal{{ID: id}}})
	}
	for _, f := range []*fleet{complete, skipping} {
		if len(f.steerer.removed) != 4 {
			t.Errorf("removed: %v", f.steerer.removed)
		}
		f.now += 2 * time.Minute
		f.steerer.Tick(f.now)
		f.directory.Forget(f.now)
		f.steerer.SetView(f.directory.View())
		if len(f.steerer.removed) != 0 || len(f.steerer.backends) != 0 {
			t.Errorf("remaining removed back ends %v and states %v", f.steerer.removed, f.steerer.backends)
		}
	}
}

// Back ends without flows must have no state, and states must be dropped once their flows have
// ended.
func TestUnobservedBackEndsHaveNoState(t *testing.T) {
	f := newFleet(t)
	for caller := range 3 {
		f.opened(caller, feedAddress)
	}
	if states := len(f.steerer.backends); states > 3 {
		t.Errorf("%d back ends have a state", states)
	}
	for range 180 {
		f.advance(time.Second)
		f.steerer.Tick(f.now)
	}
	if states := len(f.steerer.backends); states > 0 {
		t.Errorf("%d back ends have a state after all flows have ended", states)
	}
	for _, pool := range f.steerer.pools {
		if unobserved := pool.unobserved; unobserved != nil && (unobserved.recent != 0 || unobserved.flows != 0 || unobserved.suspectPeriod != 0 || unobserved.slowdown != 1) {
			t.Errorf("the shared state of unobserved back ends was written to: %+v", unobserved)
		}
	}
}
