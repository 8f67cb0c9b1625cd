package steering

import (
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// loadWithLatency returns the load that another balancer reports of a back end with the latency.
func loadWithLatency(latency time.Duration) Load {
	return Load{Requests: 20, Answers: 20, TotalLatency: 20 * latency.Seconds()}
}

// placeEach opens a flow per interval, answers its request after the latency, and counts the flows
// by back end.
func (f *fleet) placeEach(interval time.Duration, flows, from int, latency func(id settings.BackendID) time.Duration) map[settings.BackendID]int {
	counts := map[settings.BackendID]int{}
	ticked := f.now
	for caller := from; caller < from+flows; caller++ {
		member := f.opened(caller, feedAddress)
		f.established(caller, feedAddress, member.Tag, 1, 100)
		counts[member.ID]++
		f.advance(latency(member.ID))
		f.established(caller, feedAddress, member.Tag, 200, 0)
		f.advance(interval)
		if f.now >= ticked+time.Second {
			ticked = f.now
			f.steerer.Tick(f.now)
		}
	}
	return counts
}

// A balancer with few answers of its own avoids a back end that others report as slow.
func TestSlownessIsLearnedFromReports(t *testing.T) {
	f := newFleet(t)
	loads := map[directory.Tag]Load{1: loadWithLatency(250 * time.Millisecond)}
	for id := directory.Tag(2); id <= 6; id++ {
		loads[id] = loadWithLatency(50 * time.Millisecond)
	}
	f.steerer.SetPeerLoads(loads)
	quick := func(settings.BackendID) time.Duration { return 50 * time.Millisecond }
	if counts := f.placeEach(0, 60, 0, quick); counts[1] > 0 || counts[2] < 15 {
		t.Errorf("flows by back end: %v", counts)
	}
}

// A slow back end gets a single flow per probeInterval, and its share once it has recovered.
func TestASlowBackEndIsProbed(t *testing.T) {
	f := newFleet(t)
	slow := func(id settings.BackendID) time.Duration {
		if id == 1 {
			return 300 * time.Millisecond
		}
		return 50 * time.Millisecond
	}
	f.placeEach(0, 100, 0, slow)
	start := f.now
	probes := f.placeEach(100*time.Millisecond, 200, 1000, slow)[1]
	if limit := int((f.now-start)/probeInterval) + 1; probes == 0 || probes > limit {
		t.Errorf("%d flows at the slow back end in %v, want 1 to %d", probes, f.now-start, limit)
	}
	quick := func(settings.BackendID) time.Duration { return 50 * time.Millisecond }
	f.placeEach(100*time.Millisecond, 60, 2000, quick)
	if counts := f.placeEach(100*time.Millisecond, 100, 3000, quick); counts[1] < 15 {
		t.Errorf("after recovery: flows by back end %v", counts)
	}
}
