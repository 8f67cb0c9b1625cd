package steering

import (
	"testing"
	"time"

	"gaugeyard/internal/settings"
)

// TestOpeningPacketsLeftUnansweredAreAMeasureOfLoss: where sound back ends answer one in four only when
// it is sent again, a doubt of another balancer beside one more moves no copy, since the first back
// end may well answer it; one flow in a hundred changes nothing.
func TestOpeningPacketsLeftUnansweredAreAMeasureOfLoss(t *testing.T) {
	for _, test := range []struct {
		every int
		moves bool
	}{{4, false}, {100, true}} {
		f := newFleet(t)
		for caller := range 100 {
			decision := f.open(caller, feedAddress, 0)
			if caller%test.every == 0 {
				f.pass(200 * time.Millisecond)
				decision = f.open(caller, feedAddress, 1)
			}
			f.established(caller, feedAddress, decision.Backend.Tag, 1, 0)
		}
		f.pass(time.Second)
		first := f.open(200, feedAddress, 0)
		f.pass(200 * time.Millisecond)
		f.steerer.SetOthersDoubts(f.now, []settings.BackendID{first.Backend.ID})
		copied := f.open(200, feedAddress, 1)
		if moved := copied.Backend.ID != first.Backend.ID; moved != test.moves {
			t.Errorf("one in %d is sent again: the copy moves: %v", test.every, moved)
		}
	}
}

// TestTheFirstCopyOfAFlowThatIsNotKnownIsNotPlaced where answers to opening packets are lost: the back
// end that another balancer may have chosen repeats its answer when the second copy comes.
func TestTheFirstCopyOfAFlowThatIsNotKnownIsNotPlaced(t *testing.T) {
	for _, vain := range []float64{1, 50} {
		f := newFleet(t)
		f.steerer.poolOf("feed").openingRetransmits = repetitions{asked: 100, vain: vain}
		want := Wait
		if vain == 50 {
			want = Drop
		}
		if decision := f.open(1, feedAddress, 1); decision.Action != want {
			t.Errorf("%.0f of 100 are lost, the first copy: %+v", vain, decision)
		}
		if decision := f.open(1, feedAddress, 2); decision.Action != Wait {
			t.Errorf("%.0f of 100 are lost, the second copy: %+v", vain, decision)
		}
		if decision := f.openWaited(1, feedAddress, 2); decision.Action != Forward {
			t.Errorf("%.0f of 100 are lost, the second copy, later: %+v", vain, decision)
		}
	}
}

// TestABalancerThatHasJustStartedWantsOneFlowMore before it takes a back end for silent, unless another one
// says so too, and one that has seen opening packets lost wants as many as chance leaves.
func TestABalancerThatHasJustStartedWantsOneFlowMore(t *testing.T) {
	for _, test := range []struct {
		name          string
		now           time.Duration
		openings      repetitions
		heard         bool
		silent, moves int
	}{
		{"just started", time.Second, repetitions{}, false, 3, 3},
		{"just started, and another one doubts", time.Second, repetitions{}, true, 1, 1},
		{"settled", 10 * time.Second, repetitions{asked: 100}, false, 2, 2},
		{"one in 20 is lost", 10 * time.Second, repetitions{asked: 100, vain: 5}, false, 3, 3},
	} {
		var events []BackendEvent
		b := &backendState{pool: &poolState{openingRetransmits: test.openings}, events: &events}
		if test.heard {
			b.heardDoubtUntil = test.now + time.Second
		}
		for flows := 1; flows <= test.silent; flows++ {
			b.noteSilence(test.now, test.now-time.Millisecond)
			if suspected := b.suspected(test.now); suspected != (flows >= test.moves) {
				t.Errorf("%s, after %d flows: suspected %v", test.name, flows, suspected)
			}
		}
	}
}

// TestADoubtForALostPacketIsNoWordForOthers: where packets get lost, only what several flows show is told.
func TestADoubtForALostPacketIsNoWordForOthers(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		f := newFleet(t)
		b := f.state(1)
		b.doubt, b.doubtUntil = doubtTime, f.now+doubtTime
		if lossy {
			f.steerer.poolOf("feed").openingRetransmits = repetitions{asked: 100, vain: 20}
		}
		if told := len(f.steerer.Doubted(f.now, 9)) > 0; told == lossy {
			t.Errorf("packets are lost: %v, the doubt is told: %v", lossy, told)
		}
		b.suspectUntil = f.now + suspectTime
		if len(f.steerer.Doubted(f.now, 9)) != 1 {
			t.Errorf("packets are lost: %v, the suspicion is not told", lossy)
		}
	}
}
