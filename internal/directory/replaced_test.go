package directory

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gaugeyard/internal/settings"
)

// TestReplacedByStartAtSameAddress: a later entry at the address of a removed back end may be its replacement's.
func TestReplacedByStartAtSameAddress(t *testing.T) {
	const before, after = 1, 2
	entry := func(id settings.BackendID, revision uint64, group string, host byte) *Changes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80)
		return &Changes{Revision: revision, Records: []Record{{Backend{ID: id, Group: group, Zone: "a", Address: address, Slots: 1}, revision}}}
	}
	removal := func(id settings.BackendID, revision uint64) *Changes {
		return &Changes{Revision: revision, Removed: []Removal{{id, revision}}}
	}
	for name, test := range map[string]struct {
		changes []*Changes
		want    bool
	}{
		"expired, then another service starts there": {[]*Changes{entry(before, 1, "a", 1), removal(before, 2), entry(after, 3, "b", 1)}, true},
		"the same service starts there":              {[]*Changes{entry(before, 1, "a", 1), removal(before, 2), entry(after, 3, "a", 1)}, true},
		"removed after the start":                    {[]*Changes{entry(before, 1, "a", 1), entry(after, 2, "b", 1), removal(before, 3)}, true},
		"not removed":                                {[]*Changes{entry(before, 1, "a", 1), entry(after, 2, "b", 1)}, false},
		"no start there":                             {[]*Changes{entry(before, 1, "a", 1), removal(before, 2)}, false},
		"start at another address":                   {[]*Changes{entry(before, 1, "a", 1), removal(before, 2), entry(after, 3, "a", 2)}, false},
		"the later server is removed as well":        {[]*Changes{entry(before, 1, "a", 1), removal(before, 2), entry(after, 3, "b", 1), removal(after, 4)}, false},
		"the other server announced itself earlier":  {[]*Changes{entry(after, 1, "a", 1), entry(before, 2, "a", 1), removal(before, 3)}, false},
		"its entry is written again":                 {[]*Changes{entry(before, 1, "a", 1), removal(before, 2), entry(after, 3, "b", 1), entry(before, 4, "a", 1)}, false},
	} {
		d := New(time.Minute)
		for _, changes := range test.changes {
			d.Apply(0, changes)
		}
		replacements := d.View().Replacements([]settings.BackendID{before, 77})
		if got := slices.Equal(replacements[before], []settings.BackendID{after}); got != test.want || !got && len(replacements) > 0 || got && len(replacements) > 1 {
			t.Errorf("%s: replacements %v", name, replacements)
		}
	}
}

// TestNotReplacedByEarlierEntry: of a back end that was received as removed, only the removal's revision is known,
// and an entry with an earlier one is not its replacement's.
func TestNotReplacedByEarlierEntry(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	for _, test := range []struct {
		revision uint64
		want     int
	}{{3, 0}, {9, 1}} {
		d := New(time.Minute)
		d.Replace(0, &Listing{
			Revision: 10,
			Records:  []Record{{Backend{ID: 2, Group: "b", Address: address}, test.revision}},
			Removed:  []Record{{Backend{ID: 1, Group: "a", Address: address}, 5}},
		})
		if replacements := d.View().Replacements([]settings.BackendID{1}); len(replacements) != test.want {
			t.Errorf("removed at revision 5, another entry of %d: replacements %v", test.revision, replacements)
		}
	}
}
