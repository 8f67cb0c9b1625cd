package steering

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

const (
	normalLength = 800
	failedLength = 175
	normalTime   = 50 * time.Millisecond
	failedTime   = 8 * time.Millisecond
)

// outlierFleet is a balancer with back ends whose answers the test defines.
type outlierFleet struct {
	*Steerer
	address netip.AddrPort
	random  *rand.Rand
	caller  int
	now     time.Duration
}

func newOutlierFleet(t *testing.T, servers int) *outlierFleet {
	zone, address := zoneOf(t, 1, servers)
	f := &outlierFleet{Steerer: zone[0], address: address, random: rand.New(rand.NewPCG(1, 2)), now: time.Second}
	f.Pulse(f.now)
	return f
}

// request opens a flow, sends one request and closes the flow after the answer; it returns the back
// end.
func (f *outlierFleet) request(t *testing.T, answer func(id settings.BackendID) (length uint32, latency time.Duration)) settings.BackendID {
	t.Helper()
	f.caller++
	f.now += 20 * time.Millisecond
	f.Pulse(f.now)
	if f.caller%50 == 0 {
		f.Tick(f.now)
	}
	packet := &Packet{Kind: Open, Sequence: 1}
	packet.Flow.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(f.caller >> 8), byte(f.caller)}), 1024)
	packet.Flow.Service = f.address
	decision := f.Steer(f.now, packet)
	if decision.Backend == nil {
		t.Fatalf("flow not placed: %v", decision.Reason)
	}
	length, latency := answer(decision.Backend.ID)
	packet.Kind, packet.Tag, packet.Sequence, packet.Acknowledged, packet.Payload = Established, decision.Backend.Tag, 2, 1, 100
	f.Steer(f.now, packet)
	packet.Kind, packet.Sequence, packet.Acknowledged, packet.Payload = Close, 102, 1+length, 0
	f.Steer(f.now+latency, packet)
	return decision.Backend.ID
}

// normalAnswer returns a log-normal length and latency around the typical ones.
func (f *outlierFleet) normalAnswer(spread float64) (uint32, time.Duration) {
	return uint32(normalLength * math.Exp(spread*f.random.NormFloat64())), time.Duration(float64(normalTime) * math.Exp(0.5*f.random.NormFloat64()))
}

// A failing back end is idle and answers quickly, and must not attract flows for it.
func TestABackEndThatAnswersErrorsGetsFewFlows(t *testing.T) {
	const servers, failing, requests = 6, 2, 1000
	f := newOutlierFleet(t, servers)
	failed := 0
	for i := range 2 * requests {
		id := f.request(t, func(id settings.BackendID) (uint32, time.Duration) {
			if id <= failing && i >= requests {
				return failedLength, failedTime
			}
			return f.normalAnswer(0.3)
		})
		if id <= failing && i >= requests {
			failed++
		}
	}
	// A tenth of their share; 20 s pass.
	if limit := requests * failing / servers / 10; failed > limit {
		t.Errorf("%d of %d requests go to failing back ends", failed, requests)
	}
	if failed < 2 {
		t.Errorf("only %d requests probe the failing back ends", failed)
	}
	if events := f.TakeEvents(); len(events) == 0 || events[0].Observation != Ejected {
		t.Errorf("events: %v", events)
	}
	if f.TakeUrgentReport() != true || len(f.Failures(9)) == 0 {
		t.Error("no urgent report of the failures")
	}
}

// A back end that has recovered must get its full share again.
func TestARecoveredBackEndRegainsItsShare(t *testing.T) {
	f := newOutlierFleet(t, 4)
	counts := map[settings.BackendID]int{}
	for i := range 4000 {
		id := f.request(t, func(id settings.BackendID) (uint32, time.Duration) {
			if id == 1 && i >= 500 && i < 1000 {
				return failedLength, failedTime
			}
			return f.normalAnswer(0.3)
		})
		if i >= 2500 {
			counts[id]++
		}
	}
	if share := float64(counts[1]) / 1500; share < 0.2 || share > 0.3 {
		t.Errorf("recovered back end gets %.2f of the flows, want 0.25", share)
	}
}

// No back end is ejected where all of them give some short and quick answers, or a new version
// gives shorter ones.
func TestVaryingAnswersAreNoFailures(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func(f *outlierFleet, id settings.BackendID) (uint32, time.Duration)
	}{
		{"lengths vary much", func(f *outlierFleet, _ settings.BackendID) (uint32, time.Duration) { return f.normalAnswer(1.5) }},
		{"one in five comes from a cache", func(f *outlierFleet, _ settings.BackendID) (uint32, time.Duration) {
			if f.random.IntN(5) == 0 {
				return failedLength, failedTime
			}
			return f.normalAnswer(0.3)
		}},
		{"a new version answers in fewer bytes", func(f *outlierFleet, id settings.BackendID) (uint32, time.Duration) {
			length, latency := f.normalAnswer(0.3)
			if id <= 2 && f.caller > 1000 {
				length /= 8
			}
			return length, latency
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			const servers, requests = 6, 4000
			f := newOutlierFleet(t, servers)
			counts := map[settings.BackendID]int{}
			for i := range requests {
				id := f.request(t, func(id settings.BackendID) (uint32, time.Duration) { return test.answer(f, id) })
				if i >= requests/2 {
					counts[id]++
				}
			}
			for id, count := range counts {
				if share := float64(count) / (requests / 2); share < 0.8/servers || share > 1.2/servers {
					t.Errorf("back end %d gets %.3f of the flows, want %.3f", id, share, 1.0/servers)
				}
			}
		})
	}
}

// Reported failures take effect at once.
func TestReportedFailuresCountAndDecay(t *testing.T) {
	f := newOutlierFleet(t, 2)
	f.SetPeerLoads(map[directory.Tag]Load{1: {Failures: 2}})
	for range 20 {
		if id := f.request(t, func(settings.BackendID) (uint32, time.Duration) { return f.normalAnswer(0.3) }); id == 1 {
			t.Fatal("a flow goes to a back end with two reported failures")
		}
	}
	left := Load{Failures: 2}.Decayed(DecayOver(20 * time.Second))
	if left.Failures >= negligibleFailures {
		t.Errorf("%v of two failures are left after 20 s", left.Failures)
	}
}

// A balancer that has just started detects failures by the baselines of another one.
func TestAStartingBalancerAdoptsBaselines(t *testing.T) {
	running, started := newOutlierFleet(t, 2), newOutlierFleet(t, 2)
	for range 200 {
		running.request(t, func(settings.BackendID) (uint32, time.Duration) { return running.normalAnswer(0.3) })
	}
	baselines := running.Baselines(4)
	if len(baselines) != 1 || baselines[0].Service != running.address {
		t.Fatalf("baselines %v", baselines)
	}
	started.ReceiveBaselines([]Baseline{{Service: running.address}, {Length: 100, Latency: time.Second}, {Service: running.address, Length: 1, Latency: -time.Second}})
	if len(started.baselines) != 0 {
		t.Errorf("invalid baselines are adopted: %v", started.baselines)
	}
	started.ReceiveBaselines(baselines)
	started.request(t, func(settings.BackendID) (uint32, time.Duration) { return failedLength, failedTime })
	if len(started.Failures(4)) != 1 {
		t.Error("the first failure does not count")
	}
}
