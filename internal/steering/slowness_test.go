package steering

import (
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// answeredIn is what another balancer tells of a back end that answers in the time.
func loadWithLatency(answer time.Duration) Load {
	return Load{Requests: 20, Answers: 20, Time: 20 * answer.Seconds()}
}

// placedEach opens flows, one in each interval, answers their requests in the time, and
// counts them by back end.
func (f *fleet) placeEach(interval time.Duration, flows, from int, answer func(id settings.BackendID) time.Duration) map[settings.BackendID]int {
	counts := map[settings.BackendID]int{}
	ticked := f.now
	for caller := from; caller < from+flows; caller++ {
		member := f.opened(caller, feedAddress)
		f.established(caller, feedAddress, member.Tag, 1, 100)
		counts[member.ID]++
		f.pass(answer(member.ID))
		f.established(caller, feedAddress, member.Tag, 200, 0)
		f.pass(interval)
		if f.now >= ticked+time.Second {
			ticked = f.now
			f.steerer.Tick(f.now)
		}
	}
	return counts
}

// TestSlownessIsKnownFromOthers: a balancer that has seen few answers itself spares the
// back end that others find slow.
func TestSlownessIsKnownFromOthers(t *testing.T) {
	f := newFleet(t)
	loads := map[directory.Tag]Load{1: loadWithLatency(250 * time.Millisecond)}
	for id := directory.Tag(2); id <= 6; id++ {
		loads[id] = loadWithLatency(50 * time.Millisecond)
	}
	f.steerer.SetOthersLoad(loads)
	quick := func(settings.BackendID) time.Duration { return 50 * time.Millisecond }
	if counts := f.placeEach(0, 60, 0, quick); counts[1] > 0 || counts[2] < 15 {
		t.Errorf("flows by back end: %v", counts)
	}
}

// TestOneFlowFindsOutWhetherASlowBackEndStillIs: too few answers of it come to know otherwise.
// While it is, one flow in a while meets it; once it is not, it is used like others.
func TestOneFlowFindsOutWhetherASlowBackEndStillIs(t *testing.T) {
	f := newFleet(t)
	slow := func(id settings.BackendID) time.Duration {
		if id == 1 {
			return 300 * time.Millisecond
		}
		return 50 * time.Millisecond
	}
	f.placeEach(0, 100, 0, slow)
	began := f.now
	tried := f.placeEach(100*time.Millisecond, 200, 1000, slow)[1]
	if most := int((f.now-began)/probeInterval) + 1; tried == 0 || tried > most {
		t.Errorf("%d flows met the slow back end in %v, at most %d should", tried, f.now-began, most)
	}
	quick := func(settings.BackendID) time.Duration { return 50 * time.Millisecond }
	f.placeEach(100*time.Millisecond, 60, 2000, quick)
	if counts := f.placeEach(100*time.Millisecond, 100, 3000, quick); counts[1] < 15 {
		t.Errorf("once it is quick again: %v", counts)
	}
}
