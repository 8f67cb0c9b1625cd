package steering

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// An idle back end that joins loaded ones must catch up without getting several times their flows,
// though for a while all balancers receive reports of its low load.
func TestIdleBackEndIsNotOverloaded(t *testing.T) {
	const (
		balancers, servers = 3, 5
		rate               = 150
		joinTime           = 8 * time.Second
		interval           = 500 * time.Millisecond
	)
	dir, address := zoneDirectory(t, servers)
	zone := steerersOf(dir, balancers)
	const newcomer = settings.BackendID(servers + 1)
	joined := false
	counts := map[time.Duration]int{}
	simulateZone(t, zone, address, rate, func(now time.Duration, id settings.BackendID) {
		if now >= joinTime && !joined {
			joined = true
			addBackend(dir, newcomer, 0)
			for _, s := range zone {
				s.SetView(dir.View())
			}
		}
		if id == newcomer {
			counts[now/interval]++
		}
	})
	mean := float64(rate) / (servers + 1) * interval.Seconds()
	for at, count := range counts {
		if most := 2 * mean; float64(count) > most {
			t.Errorf("%d flows from %v on, its share is %v", count, at*interval, mean)
		}
	}
	if last := counts[(simulatedTime-interval)/interval]; float64(last) < mean/2 {
		t.Errorf("%d flows at the end, its share is %v", last, mean)
	}
}

// addBackend announces a back end with a warm-up of the given length.
func addBackend(dir *directory.Directory, id settings.BackendID, warmUp time.Duration) {
	dir.Apply(time.Second, &directory.Changes{Revision: 2, Records: []directory.Record{{Revision: 2, Backend: directory.Backend{
		ID: id, Group: "feed", Zone: "a", Slots: 2, WarmUp: warmUp,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(id)}), 80),
	}}}})
}

// A back end that is warming up gets flows only when the others are at capacity.
func TestWarmingUpBackEndIsUsedLast(t *testing.T) {
	for _, test := range []struct {
		name string
		rate time.Duration
		used bool
	}{
		// With two slots each and 20 ms per request, 5 back ends answer 500 requests per second.
		{"at half of what the others can do", 250, false},
		{"at all that they can do", 500, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			const servers = 5
			dir, address := zoneDirectory(t, servers)
			const warming = settings.BackendID(servers + 1)
			addBackend(dir, warming, time.Minute)
			s := New(Config{Zone: "a", FlowLife: time.Minute})
			s.SetView(dir.View())
			taken := 0
			simulateZone(t, []*Steerer{s}, address, test.rate, func(now time.Duration, id settings.BackendID) {
				if id == warming && now > simulatedTime/4 {
					taken++
				}
			})
			if used := taken > 0; used != test.used {
				t.Errorf("the back end that is warming up gets %d flows", taken)
			}
		})
	}
}

// The slowdown during warm-up is measured, and these responses must not count as latency later.
func TestWarmUpSlowdownIsMeasured(t *testing.T) {
	f := newFleet(t)
	member := f.opened(0, feedAddress)
	member.WarmUpUntil = f.now + time.Minute
	pool := f.steerer.poolOf("feed")
	pool.typicalLatency = 0.050
	other := f.steerer.poolOf("upload").warmUpSlowdown
	for i := range uint32(60) {
		f.established(0, feedAddress, member.Tag, 1+100*i, 100)
		f.advance(150 * time.Millisecond)
		f.established(0, feedAddress, member.Tag, 101+100*i, 0)
	}
	if slowdown := pool.warmUpSlowdown; math.Abs(slowdown-3) > 0.1 {
		t.Errorf("slowdown %v for responses of three times the typical time", slowdown)
	}
	if slowdown := f.steerer.poolOf("upload").warmUpSlowdown; slowdown != other {
		t.Errorf("slowdown %v of another service's back ends", slowdown)
	}
	if state := f.steerer.stateOf(member); state.answers.count > 0 {
		t.Errorf("%v responses during the warm-up count later", state.answers.count)
	}
}

func TestWaitingTime(t *testing.T) {
	if queueWait(0, 2) != 0 {
		t.Error("waiting time at zero utilization")
	}
	// With one server the exact wait is use/(1-use) times the service time.
	if got := queueWait(0.5, 1); math.Abs(got-1) > 0.01 {
		t.Errorf("utilization 0.5, one slot: %v", got)
	}
	last := 0.0
	for use := 0.05; use < 3; use += 0.05 {
		got := queueWait(use, 3)
		if got <= last {
			t.Errorf("utilization %.2f: wait %v, no more than before", use, got)
		}
		last = got
	}
	if queueWait(0.7, 1) <= queueWait(0.7, 4) {
		t.Error("more slots at the same utilization wait as long or longer")
	}
}
