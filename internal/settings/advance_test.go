package settings

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestSentChangesGiveTheSameSnapshot checks that additions, changes and removals give the same
// result after encoding, also for services whose names are prefixes of each other.
func TestSentChangesGiveTheSameSnapshot(t *testing.T) {
	names := []Path{"s", "s-1", "s-1-2", "s.1", "other"}
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Tree {
			tree := Tree{"": Values{}}
			for i, name := range names {
				if rapid.Bool().Draw(t, "missing") {
					continue
				}
				_ = tree.Set(name, KeyAddress, fmt.Sprintf("198.18.0.%d:%d", i, rapid.IntRange(1, 2).Draw(t, "port")))
				for group := range rapid.IntRange(0, 2).Draw(t, "groups") {
					tree[name.Child("any")] = Values{}
					path := name.Child("any").Child(fmt.Sprint(group))
					_ = tree.Set(path, KeyDiscover, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "discover"))
					_ = tree.Set(path, KeyShare, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "share"))
				}
			}
			return tree
		}
		before, after := draw(), draw()
		got, err := Advance(Resolve(before, 1), 2, roundTrip(t, Diff(before, after)), func() {})
		if err != nil {
			t.Fatal(err)
		}
		if want := Resolve(after, 2); !reflect.DeepEqual(got, want) {
			t.Fatalf("%v\nwant\n%v", got.Tree, want.Tree)
		}
	})
}

// TestAdvancePausesDuringManyChanges checks that Advance pauses often enough, does not modify the
// previous snapshot, and limits allocations per added service.
func TestAdvancePausesDuringManyChanges(t *testing.T) {
	const added = 20_000
	base, grown := discoveryTree(t, 40), discoveryTree(t, 40+added)
	previous, changes := Resolve(base, 1), Diff(base, grown)
	pauses := 0
	next, err := Advance(previous, 2, changes, func() {
		if pauses++; len(previous.Services) != 40 || len(previous.Tree) != len(base) {
			t.Fatal("the previous snapshot was modified")
		}
	})
	if err != nil || len(next.Services) != 40+added || len(previous.Tree) != len(discoveryTree(t, 40)) {
		t.Fatalf("%v, %d services", err, len(next.Services))
	}
	if minPauses := added * (nodeCost + serviceCost) / maxBatchCost; pauses < minPauses {
		t.Errorf("%d pauses, want at least %d", pauses, minPauses)
	}
	const maxAllocs = 8
	allocated := testing.AllocsPerRun(1, func() {
		if _, err := Advance(previous, 2, changes, func() {}); err != nil {
			t.Fatal(err)
		}
	})
	if allocated > maxAllocs*added {
		t.Errorf("%v allocations per service, want at most %d", allocated/added, maxAllocs)
	}
}
