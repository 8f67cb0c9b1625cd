package steering

import (
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// lapse lets the store return from an outage in which the entries of feed servers 2, 3 and 4 vanished.
func (f *fleet) expireEntries() {
	f.directory.SetLapse(directory.LapseWithin(4*time.Second, 3*time.Second))
	f.pass(5 * time.Second)
	f.directory.NoteConfirmed(f.now, 0, 5*time.Second)
	for id := settings.BackendID(2); id <= 4; id++ {
		f.vanish(id)
	}
}

// placedAt opens flows and counts them by back end.
func (f *fleet) placedAt(from, count int) map[settings.BackendID]int {
	counts := map[settings.BackendID]int{}
	for caller := range count {
		counts[f.opened(from+caller, feedAddress).ID]++
	}
	return counts
}

func TestLapsedBackEndsTakeTheirPartOfNewFlows(t *testing.T) {
	f := newFleet(t)
	f.expireEntries()
	counts := f.placedAt(0, 40)
	for id := settings.BackendID(1); id <= 4; id++ {
		if counts[id] < 8 || counts[id] > 12 {
			t.Errorf("back end %d takes %d of 40 flows", id, counts[id])
		}
	}
	f.pass(1800 * time.Millisecond)
	if counts = f.placedAt(100, 40); counts[2]+counts[3]+counts[4] > 0 {
		t.Errorf("after the time of return they take flows: %v", counts)
	}
}

// TestCopiesOfAnOpeningPacketStayAtALapsedBackEnd, since it may answer both.
func TestCopiesOfAnOpeningPacketStayAtALapsedBackEnd(t *testing.T) {
	f := newFleet(t)
	f.expireEntries()
	for caller := range 8 {
		first := f.open(caller, feedAddress, 0)
		if copied := f.open(caller, feedAddress, 1); copied.Action != Forward || copied.Backend.ID != first.Backend.ID {
			t.Fatalf("the copy goes to %+v, the first packet went to %d", copied, first.Backend.ID)
		}
	}
}

// TestASilentLapsedBackEndIsLeft: what is observed weighs more.
func TestASilentLapsedBackEndIsLeft(t *testing.T) {
	f := newFleet(t)
	f.expireEntries()
	var silent settings.BackendID
	for caller := 0; silent == 0; caller++ {
		if verdict := f.open(caller, feedAddress, 0); verdict.Backend.ID >= 2 && verdict.Backend.ID <= 4 {
			silent = verdict.Backend.ID
			continue
		} else if verdict.Action == Forward {
			f.established(caller, feedAddress, verdict.Backend.Tag, 1, 0)
		}
	}
	f.pass(2 * answerTime)
	if counts := f.placedAt(100, 40); counts[silent] > 0 {
		t.Errorf("it takes %d flows", counts[silent])
	}
}
