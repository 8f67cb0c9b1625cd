package steering

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// TestABackEndThatBecomesFreeIsNotCrowded: an idle back end joins five that have work. It
// catches up, but never gets several times what the others do, though all balancers hear for
// a while that it has next to nothing to do.
func TestABackEndThatBecomesFreeIsNotCrowded(t *testing.T) {
	const (
		balancers, servers = 3, 5
		rate               = 150
		joins              = 8 * time.Second
		part               = 500 * time.Millisecond
	)
	beliefs, address := zoneDirectory(t, servers)
	zone := steerersOf(beliefs, balancers)
	const newcomer = settings.BackendID(servers + 1)
	joined := false
	counts := map[time.Duration]int{}
	simulateZone(t, zone, address, rate, func(now time.Duration, id settings.BackendID) {
		if now >= joins && !joined {
			joined = true
			announceCold(beliefs, newcomer, 0)
			for _, s := range zone {
				s.SetView(beliefs.View())
			}
		}
		if id == newcomer {
			counts[now/part]++
		}
	})
	mean := float64(rate) / (servers + 1) * part.Seconds()
	for at, count := range counts {
		if most := 2 * mean; float64(count) > most {
			t.Errorf("%d flows from %v on, %v are its share", count, at*part, mean)
		}
	}
	if last := counts[(simulatedTime-part)/part]; float64(last) < mean/2 {
		t.Errorf("%d flows at the end, %v are its share", last, mean)
	}
}

// join announces a back end that is cold for a time.
func announceCold(beliefs *directory.Directory, id settings.BackendID, cold time.Duration) {
	beliefs.Apply(time.Second, &directory.Changes{Revision: 2, Records: []directory.Record{{Revision: 2, Backend: directory.Backend{
		ID: id, Group: "feed", Zone: "a", Slots: 2, WarmUp: cold,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(id)}), 80),
	}}}})
}

// TestAColdBackEndIsSparedWhileOthersHaveRoom, and used when they have not.
func TestAColdBackEndIsSparedWhileOthersHaveRoom(t *testing.T) {
	for _, test := range []struct {
		name string
		rate time.Duration
		used bool
	}{
		// Two slots each and 20 ms a request: 5 back ends answer 500 a second.
		{"at half of what the others can do", 250, false},
		{"at all that they can do", 500, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			const servers = 5
			beliefs, address := zoneDirectory(t, servers)
			const cold = settings.BackendID(servers + 1)
			announceCold(beliefs, cold, time.Minute)
			s := New(Config{Zone: "a", FlowLife: time.Minute})
			s.SetView(beliefs.View())
			taken := 0
			simulateZone(t, []*Steerer{s}, address, test.rate, func(now time.Duration, id settings.BackendID) {
				if id == cold && now > simulatedTime/4 {
					taken++
				}
			})
			if used := taken > 0; used != test.used {
				t.Errorf("the cold one has %d flows", taken)
			}
		})
	}
}

// TestThePaceOfColdBackEndsIsLearned from their answers, which do not count as their latency
// later.
func TestThePaceOfColdBackEndsIsLearned(t *testing.T) {
	f := newFleet(t)
	member := f.opened(0, feedAddress)
	member.ColdUntil = f.now + time.Minute
	pool := f.steerer.poolOf("feed")
	pool.usual = 0.050
	other := f.steerer.poolOf("upload").warmUpSlowdown
	for i := range uint32(60) {
		f.established(0, feedAddress, member.Tag, 1+100*i, 100)
		f.pass(150 * time.Millisecond)
		f.established(0, feedAddress, member.Tag, 101+100*i, 0)
	}
	if pace := pool.warmUpSlowdown; math.Abs(pace-3) > 0.1 {
		t.Errorf("pace %v of answers that took three times the usual", pace)
	}
	if pace := f.steerer.poolOf("upload").warmUpSlowdown; pace != other {
		t.Errorf("pace %v of another service's back ends", pace)
	}
	if state := f.steerer.stateOf(member); state.answers.count > 0 {
		t.Errorf("%v answers of the warm-up count later", state.answers.count)
	}
}

func TestWaiting(t *testing.T) {
	if waiting(0, 2) != 0 {
		t.Error("who has nothing to do lets wait")
	}
	// One server: use/(1-use) times the work, the exact wait of a single queue.
	if got := waiting(0.5, 1); math.Abs(got-1) > 0.01 {
		t.Errorf("half used, one slot: %v", got)
	}
	last := 0.0
	for use := 0.05; use < 3; use += 0.05 {
		got := waiting(use, 3)
		if got <= last {
			t.Errorf("use %.2f: wait %v, less than before", use, got)
		}
		last = got
	}
	if waiting(0.7, 1) <= waiting(0.7, 4) {
		t.Error("more slots at the same use let wait longer")
	}
}
