package steering

import (
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/errkind"
	"gaugeyard/internal/placement"
	"gaugeyard/internal/settings"
)

// All balancers together must stay within the bound in any second, even if twice as many place
// flows as intended.
func TestWarmUpStaysWithinBound(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 2, 4, 8, 20, 200} {
		for _, bounds := range []struct{ overshoot, slack float64 }{{1.5, 5}, {1, 0}, {2, 1}, {1, 20}} {
			s := New(Config{Zone: "a", WarmUpOvershoot: bounds.overshoot, WarmUpSlack: bounds.slack})
			limit := s.warmUpOf(&settings.Group{WarmUpRate: rate})
			if !limit.limited {
				t.Fatalf("rate %v has no limit", rate)
			}
			if limit.placers == 0 {
				continue
			}
			// Counts a first flow at the start of the second and a last one at its end.
			each := 1 + int(time.Second/limit.interval)
			if all, most := float64(each*limit.placers*warmUpOvercount), rate*bounds.overshoot+bounds.slack; all > most {
				t.Errorf("rate %v, %+v: %v flows in a second, the bound is %v", rate, bounds, all, most)
			}
		}
	}
	s := New(Config{Zone: "a"})
	if limit := s.warmUpOf(&settings.Group{}); limit.limited {
		t.Errorf("a limit without a rate: %+v", limit)
	}
}

// TestTinyWarmUpRateKeepsLimit guards against a rate whose interval overflows, which lifts the limit.
func TestTinyWarmUpRateKeepsLimit(t *testing.T) {
	const now = time.Hour
	for _, rate := range []float64{1e-9, 1e-10, 1e-20, 5e-324} {
		s := New(Config{Zone: "a", WarmUpOvershoot: 1.5, WarmUpSlack: 5})
		limit := s.warmUpOf(&settings.Group{WarmUpRate: rate})
		if !limit.limited || limit.interval < time.Second || now+limit.interval < now {
			t.Errorf("rate %v: %+v", rate, limit)
		}
	}
}

// neighbourTableSize is how many neighbours each balancer of the test knows.
const neighbourTableSize = 24

// neighboursOf returns the neighbours that balancer i knows: the nearest ones.
func neighboursOf(hashes []uint64, i int) Neighbours {
	n := Neighbours{Own: hashes[i], Truncated: len(hashes) > neighbourTableSize}
	for j, other := range hashes {
		if j == i {
			continue
		}
		nearer := 0
		for k, third := range hashes {
			if k != i && third^hashes[i] < other^hashes[i] {
				nearer++
			}
		}
		if nearer < neighbourTableSize {
			n.Live = append(n.Live, other)
		}
	}
	return n
}

// Only few balancers place flows at each back end that is warming up, whatever the size of the
// zone and the number that each knows.
func TestFewBalancersPlaceAtWarmingUpBackEnds(t *testing.T) {
	for _, count := range []int{1, 2, 5, 30, 100, 400} {
		hashes := make([]uint64, count)
		for i := range hashes {
			hashes[i] = placement.Mix(uint64(i), 99)
		}
		known := make([]Neighbours, count)
		for i := range known {
			known[i] = neighboursOf(hashes, i)
		}
		const points = 200
		total, most := 0, 0
		for point := range uint64(points) {
			placers := 0
			for i := range known {
				if known[i].isNearest(placement.Mix(point, 7), warmUpPlacers) {
					placers++
				}
			}
			total += placers
			most = max(most, placers)
		}
		if want := min(count, warmUpPlacers); total < points*want*9/10 || most > warmUpPlacers*warmUpOvercount {
			t.Errorf("%d balancers: %.2f place at a back end, %d at the most; want about %d, at most %d",
				count, float64(total)/points, most, want, warmUpPlacers*warmUpOvercount)
		}
	}
}

// A partitioned balancer must not place flows at back ends that are warming up.
func TestPartitionedBalancerIsNoPlacer(t *testing.T) {
	n := Neighbours{Own: 5, Live: []uint64{1 << 60}, Silent: 12}
	if n.isNearest(5, warmUpPlacers) {
		t.Error("a balancer that receives from one of thirteen others places flows")
	}
	if n.Silent = 1; !n.isNearest(5, warmUpPlacers) {
		t.Error("the nearest balancer of three places no flows")
	}
}

// newWarmUpFleet returns a fleet in which back ends of the feed that are warming up get at most 4
// new flows per second.
func newWarmUpFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.steerer.Reconfigure(Config{Zone: "a", FlowLife: time.Minute, WarmUpOvershoot: 1.5, WarmUpSlack: 5})
	f.revision++
	tree := settings.Tree{"": settings.Values{settings.KeyWarmUpRate: "4"}}
	f.route(tree, "feed", feedAddress, map[string]string{"feed": "1"})
	f.directory.Apply(f.now, &directory.Changes{Revision: f.revision, Settings: &directory.Settings{Version: 2, Revision: f.revision, Tree: tree}})
	f.steerer.SetView(f.directory.View())
	f.steerer.Pulse(f.now)
	f.advance(settleTime + time.Second)
	return f
}

// restartWarmingUp restarts back ends of the feed with a warm-up.
func (f *fleet) restartWarmingUp(ids ...settings.BackendID) {
	for _, id := range ids {
		f.revision++
		backend := f.directory.View().Tagged(directory.TagOf(id))[0].Backend
		backend.WarmUp = 8 * time.Second
		f.directory.Apply(f.now, &directory.Changes{Revision: f.revision, Records: []directory.Record{{Backend: backend, Revision: f.revision}}})
	}
	f.steerer.SetView(f.directory.View())
}

// Flows beyond the warm-up limit must go to the other back ends.
func TestFlowsBeyondWarmUpLimitGoElsewhere(t *testing.T) {
	f := newWarmUpFleet(t)
	f.restartWarmingUp(1)
	warming := 0
	for caller := range 100 {
		decision := f.open(caller, feedAddress, 0)
		if decision.Action != Forward {
			t.Fatalf("a flow is not placed: %+v", decision)
		}
		if decision.Backend.ID == 1 {
			warming++
		}
		f.advance(10 * time.Millisecond)
	}
	if warming < 1 || warming > 3 {
		t.Errorf("the back end that is warming up gets %d flows in a second, want 1 to 3", warming)
	}
	f.advance(8 * time.Second)
	for caller := 200; caller < 300; caller++ {
		if decision := f.open(caller, feedAddress, 0); decision.Backend.ID == 1 {
			return
		}
	}
	t.Error("a back end gets no flow after its warm-up")
}

// Flows are refused at once if all back ends are warming up.
func TestFlowsAreRefusedIfAllWarmUp(t *testing.T) {
	f := newWarmUpFleet(t)
	var ids []settings.BackendID
	for _, member := range f.directory.View().Pool("feed").Open {
		ids = append(ids, member.ID)
	}
	f.restartWarmingUp(ids...)
	placed, refused := 0, 0
	for caller := range 100 {
		switch decision := f.open(caller, feedAddress, 0); {
		case decision.Action == Forward:
			placed++
		case decision.Action == Refuse && decision.Reason == errkind.NoBackend:
			refused++
		default:
			t.Fatalf("%+v", decision)
		}
	}
	if placed == 0 || refused == 0 || placed+refused != 100 {
		t.Errorf("%d placed, %d refused", placed, refused)
	}
}

// A balancer that has just started must not place flows at back ends that are warming up.
func TestStartingBalancerIsNoPlacer(t *testing.T) {
	f := newWarmUpFleet(t)
	f.steerer.startedAt = f.now
	f.restartWarmingUp(1)
	for caller := range 50 {
		if decision := f.open(caller, feedAddress, 0); decision.Action != Forward || decision.Backend.ID == 1 {
			t.Fatalf("%+v", decision)
		}
	}
}
