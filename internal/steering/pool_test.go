package steering

import (
	"testing"
	"time"

	"gaugeyard/internal/settings"
)

// Where healthy back ends answer one opening packet in four only after a retransmission, one
// report of another balancer must not move copies, since the first back end may still answer. One
// in a hundred changes nothing.
func TestRetransmittedOpeningsIndicateLoss(t *testing.T) {
	for _, test := range []struct {
		every int
		moves bool
	}{{4, false}, {100, true}} {
		f := newFleet(t)
		for caller := range 100 {
			decision := f.open(caller, feedAddress, 0)
			if caller%test.every == 0 {
				f.advance(200 * time.Millisecond)
				decision = f.open(caller, feedAddress, 1)
			}
			f.established(caller, feedAddress, decision.Backend.Tag, 1, 0)
		}
		f.advance(time.Second)
		first := f.open(200, feedAddress, 0)
		f.advance(200 * time.Millisecond)
		f.steerer.ReceiveSuspects(f.now, []settings.BackendID{first.Backend.ID})
		copied := f.open(200, feedAddress, 1)
		if moved := copied.Backend.ID != first.Backend.ID; moved != test.moves {
			t.Errorf("one in %d is retransmitted: the copy moves: %v", test.every, moved)
		}
	}
}

// Where answers to opening packets are lost, the first copy of an unknown flow must not be placed:
// the back end that another balancer chose repeats its answer when the second copy comes.
func TestFirstCopyOfUnknownFlowIsNotPlacedUnderLoss(t *testing.T) {
	for _, retransmitted := range []float64{1, 50} {
		f := newFleet(t)
		f.steerer.poolOf("feed").openingRetransmits = retransmitStats{requests: 100, retransmitted: retransmitted}
		want := Wait
		if retransmitted == 50 {
			want = Drop
		}
		if decision := f.open(1, feedAddress, 1); decision.Action != want {
			t.Errorf("%.0f of 100 are lost, the first copy: %+v", retransmitted, decision)
		}
		if decision := f.open(1, feedAddress, 2); decision.Action != Wait {
			t.Errorf("%.0f of 100 are lost, the second copy: %+v", retransmitted, decision)
		}
		if decision := f.openWaited(1, feedAddress, 2); decision.Action != Forward {
			t.Errorf("%.0f of 100 are lost, the second copy, later: %+v", retransmitted, decision)
		}
	}
}

// A balancer that has just started needs one more unanswered flow before a back end counts as
// silent, unless another balancer suspects it too. After lost opening packets, the number follows
// from their probability.
func TestUnansweredFlowsUntilSilent(t *testing.T) {
	for _, test := range []struct {
		name               string
		now                time.Duration
		openings           retransmitStats
		suspectedElsewhere bool
		flows, silentAfter int
	}{
		{"just started", time.Second, retransmitStats{}, false, 3, 3},
		{"just started, and another balancer suspects it", time.Second, retransmitStats{}, true, 1, 1},
		{"settled", 10 * time.Second, retransmitStats{requests: 100}, false, 2, 2},
		{"one in 20 is lost", 10 * time.Second, retransmitStats{requests: 100, retransmitted: 5}, false, 3, 3},
	} {
		var events []BackendEvent
		b := &backendState{pool: &poolState{openingRetransmits: test.openings}, events: &events}
		if test.suspectedElsewhere {
			b.reportedSuspectUntil = test.now + time.Second
		}
		for count := 1; count <= test.flows; count++ {
			b.recordUnansweredFlow(test.now, test.now-time.Millisecond)
			if silent := b.isUnresponsive(test.now); silent != (count >= test.silentAfter) {
				t.Errorf("%s, after %d flows: silent %v", test.name, count, silent)
			}
		}
	}
}

// Where packets are lost, a single unanswered opening packet must not be reported to others.
func TestSuspectsAreNotReportedUnderLoss(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		f := newFleet(t)
		b := f.state(1)
		b.suspectPeriod, b.suspectUntil = initialSuspectPeriod, f.now+initialSuspectPeriod
		if lossy {
			f.steerer.poolOf("feed").openingRetransmits = retransmitStats{requests: 100, retransmitted: 20}
		}
		if reported := len(f.steerer.Suspects(f.now, 9)) > 0; reported == lossy {
			t.Errorf("packets are lost: %v, the suspect is reported: %v", lossy, reported)
		}
		b.silentUntil = f.now + initialSilentPeriod
		if len(f.steerer.Suspects(f.now, 9)) != 1 {
			t.Errorf("packets are lost: %v, the silent back end is not reported", lossy)
		}
	}
}
