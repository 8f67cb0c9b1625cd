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

// outlierFleet is a balancer before back ends that answer as a test says.
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

// ask lets a caller open a flow, ask once and leave after the answer; it returns who answered.
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
	verdict := f.Steer(f.now, packet)
	if verdict.Backend == nil {
		t.Fatalf("no back end: %v", verdict.Reason)
	}
	length, latency := answer(verdict.Backend.ID)
	packet.Kind, packet.Tag, packet.Sequence, packet.Acknowledged, packet.Payload = Established, verdict.Backend.Tag, 2, 1, 100
	f.Steer(f.now, packet)
	packet.Kind, packet.Sequence, packet.Acknowledged, packet.Payload = Close, 102, 1+length, 0
	f.Steer(f.now+latency, packet)
	return verdict.Backend.ID
}

// log-normal lengths around the usual one.
func (f *outlierFleet) normalAnswer(spread float64) (uint32, time.Duration) {
	return uint32(normalLength * math.Exp(spread*f.random.NormFloat64())), time.Duration(float64(normalTime) * math.Exp(0.5*f.random.NormFloat64()))
}

// TestABackEndThatAnswersErrorsGetsFewFlows, though it is idle and each of its answers is quick.
func TestABackEndThatAnswersErrorsGetsFewFlows(t *testing.T) {
	const servers, failing, asks = 6, 2, 1000
	f := newOutlierFleet(t, servers)
	failed := 0
	for i := range 2 * asks {
		id := f.request(t, func(id settings.BackendID) (uint32, time.Duration) {
			if id <= failing && i >= asks {
				return failedLength, failedTime
			}
			return f.normalAnswer(0.3)
		})
		if id <= failing && i >= asks {
			failed++
		}
	}
	// A tenth of their share; 20 s pass.
	if most := asks * failing / servers / 10; failed > most {
		t.Errorf("%d of %d requests go to back ends that answer errors", failed, asks)
	}
	if failed < 2 {
		t.Errorf("only %d requests find out whether they still fail", failed)
	}
	if events := f.TakeEvents(); len(events) == 0 || events[0].Observation != OutOfRotation {
		t.Errorf("events %v", events)
	}
	if f.TakeAlarm() != true || len(f.Failures(9)) == 0 {
		t.Error("others do not hear of it at once")
	}
}

// TestABackEndThatAnswersAgainGetsItsShareAgain.
func TestABackEndThatAnswersAgainGetsItsShareAgain(t *testing.T) {
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
		t.Errorf("a back end that has answered well for half a minute gets %.2f of the flows, not a quarter", share)
	}
}

// TestAnswersThatDifferAreNoFailures: where all back ends give some short and quick answers, or a
// new version of them gives shorter ones, none is taken out.
func TestAnswersThatDifferAreNoFailures(t *testing.T) {
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
			const servers, asks = 6, 4000
			f := newOutlierFleet(t, servers)
			counts := map[settings.BackendID]int{}
			for i := range asks {
				id := f.request(t, func(id settings.BackendID) (uint32, time.Duration) { return test.answer(f, id) })
				if i >= asks/2 {
					counts[id]++
				}
			}
			for id, count := range counts {
				if share := float64(count) / (asks / 2); share < 0.8/servers || share > 1.2/servers {
					t.Errorf("back end %d gets %.3f of the flows, not %.3f", id, share, 1.0/servers)
				}
			}
		})
	}
}

// TestFailuresThroughOthersCount at once, and fade.
func TestFailuresThroughOthersCount(t *testing.T) {
	f := newOutlierFleet(t, 2)
	f.SetOthersLoad(map[directory.Tag]Load{1: {Failures: 2}})
	for range 20 {
		if id := f.request(t, func(settings.BackendID) (uint32, time.Duration) { return f.normalAnswer(0.3) }); id == 1 {
			t.Fatal("a flow goes to a back end of which another balancer has told two failures")
		}
	}
	left := Load{Failures: 2}.Faded(FadingOver(20 * time.Second))
	if left.Failures >= negligibleFailures {
		t.Errorf("after 20 s %v failures are left of two", left.Failures)
	}
}

// TestABalancerThatStartsHearsWhatAnswersLookLike.
func TestABalancerThatStartsHearsWhatAnswersLookLike(t *testing.T) {
	old, fresh := newOutlierFleet(t, 2), newOutlierFleet(t, 2)
	for range 200 {
		old.request(t, func(settings.BackendID) (uint32, time.Duration) { return old.normalAnswer(0.3) })
	}
	baselines := old.Baselines(4)
	if len(baselines) != 1 || baselines[0].Service != old.address {
		t.Fatalf("baselines %v", baselines)
	}
	fresh.HearBaselines([]Baseline{{Service: old.address}, {Length: 100, Time: time.Second}, {Service: old.address, Length: 1, Time: -time.Second}})
	if len(fresh.baselines) != 0 {
		t.Errorf("baselines that nobody can have seen are taken over: %v", fresh.baselines)
	}
	fresh.HearBaselines(baselines)
	fresh.request(t, func(settings.BackendID) (uint32, time.Duration) { return failedLength, failedTime })
	if len(fresh.Failures(4)) != 1 {
		t.Error("the first failure that a balancer sees does not count")
	}
}
