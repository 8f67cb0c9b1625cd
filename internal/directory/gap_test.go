package directory

import (
	"testing"
	"time"
)

// TestListingHidesRemovals: a balancer that listed everything at revision 74 does not know which back ends were
// removed before. It must not send changes since 52, whose receiver would keep using a removed back end.
func TestListingHidesRemovals(t *testing.T) {
	removed, stays := Record{Backend: Backend{ID: 1, Group: "feed"}, Revision: 33}, Record{Backend: Backend{ID: 2, Group: "feed"}, Revision: 34}
	behind, fresh := New(time.Minute), New(time.Minute)
	behind.Replace(0, &Listing{Revision: 52, Records: []Record{removed, stays}})
	fresh.Replace(0, &Listing{Revision: 74, Records: []Record{stays}})
	if changes, known := fresh.ChangesSince(52, 0); known {
		behind.Apply(time.Second, changes)
		if member := behind.View().Member(1); member != nil && !member.Removed {
			t.Errorf("a removed back end is live at revision %d", behind.Revision())
		}
	}
	if _, known := fresh.ChangesSince(74, 0); !known {
		t.Error("changes since the listing are not known")
	}
}

// TestRepeatedListingLeavesGap: changes are known only since revisions before or after the gap.
func TestRepeatedListingLeavesGap(t *testing.T) {
	d := New(time.Minute)
	d.Replace(0, &Listing{Revision: 10})
	d.Apply(0, &Changes{Revision: 20})
	d.Replace(0, &Listing{Revision: 30})
	d.Apply(0, &Changes{Revision: 40})
	for _, c := range []struct {
		after uint64
		known bool
	}{{5, false}, {10, true}, {15, true}, {20, true}, {21, false}, {29, false}, {30, true}, {40, true}} {
		if _, known := d.ChangesSince(c.after, 0); known != c.known {
			t.Errorf("changes since %d: known %v", c.after, known)
		}
	}
	for revision := uint64(50); revision < 50+20*maxGaps; revision += 10 {
		d.Replace(0, &Listing{Revision: revision})
	}
	if len(d.gaps) > maxGaps {
		t.Errorf("%d gaps are remembered, more than maxGaps", len(d.gaps))
	}
	if _, known := d.ChangesSince(25, 0); known {
		t.Error("an old gap is forgotten")
	}
}
