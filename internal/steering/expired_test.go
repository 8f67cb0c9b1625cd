package steering

import (
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// expireEntries simulates the return of the store from an outage in which the entries of feed
// servers 2, 3 and 4 disappeared.
func (f *fleet) expireEntries() {
	f.directory.SetExpiryBounds(directory.ExpiryBoundsFor(4*time.Second, 3*time.Second))
	f.advance(5 * time.Second)
	f.directory.DetectStoreReturn(f.now, 0, 5*time.Second)
	for id := settings.BackendID(2); id <= 4; id++ {
		f.remove(id)
	}
}

// countPlacements opens flows and counts them by back end.
func (f *fleet) countPlacements(from, count int) map[settings.BackendID]int {
	counts := map[settings.BackendID]int{}
	for caller := range count {
		counts[f.opened(from+caller, feedAddress).ID]++
	}
	return counts
}

func TestExpiredBackEndsGetTheirShare(t *testing.T) {
	f := newFleet(t)
	f.expireEntries()
	counts := f.countPlacements(0, 40)
	for id := settings.BackendID(1); id <= 4; id++ {
		if counts[id] < 8 || counts[id] > 12 {
			t.Errorf("back end %d gets %d of 40 flows, want 8 to 12", id, counts[id])
		}
	}
	f.advance(1800 * time.Millisecond)
	if counts = f.countPlacements(100, 40); counts[2]+counts[3]+counts[4] > 0 {
		t.Errorf("after the expiry period: flows by back end %v, want none at 2 to 4", counts)
	}
}

// Two back ends must not answer copies of one opening packet.
func TestCopiesStayAtAnExpiredBackEnd(t *testing.T) {
	f := newFleet(t)
	f.expireEntries()
	for caller := range 8 {
		first := f.open(caller, feedAddress, 0)
		if copied := f.open(caller, feedAddress, 1); copied.Action != Forward || copied.Backend.ID != first.Backend.ID {
			t.Fatalf("copy: %+v, first packet went to %d", copied, first.Backend.ID)
		}
	}
}

// The observed state outweighs the expiry rule.
func TestASuspectExpiredBackEndIsAvoided(t *testing.T) {
	f := newFleet(t)
	f.expireEntries()
	var silent settings.BackendID
	for caller := 0; silent == 0; caller++ {
		if decision := f.open(caller, feedAddress, 0); decision.Backend.ID >= 2 && decision.Backend.ID <= 4 {
			silent = decision.Backend.ID
			continue
		} else if decision.Action == Forward {
			f.established(caller, feedAddress, decision.Backend.Tag, 1, 0)
		}
	}
	f.advance(2 * openingAnswerTimeout)
	if counts := f.countPlacements(100, 40); counts[silent] > 0 {
		t.Errorf("the suspect back end gets %d flows, want 0", counts[silent])
	}
}
