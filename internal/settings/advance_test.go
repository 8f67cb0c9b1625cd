package settings

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestChangesLeadElsewhereWhatTheyLeadToHere, when they have been sent: what is added, changed
// and taken away, in services whose names are parts of each other's.
func TestChangesLeadElsewhereWhatTheyLeadToHere(t *testing.T) {
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
		got, err := Advance(Resolve(before, 1), 2, sent(t, Diff(before, after)), func() {})
		if err != nil {
			t.Fatal(err)
		}
		if want := Resolve(after, 2); !reflect.DeepEqual(got, want) {
			t.Fatalf("%v\nwant\n%v", got.Tree, want.Tree)
		}
	})
}

// TestAdvanceMakesManyChangesInPieces: with 20,000 services more it pauses, what it starts from
// stays as it is, and a service costs few allocations.
func TestAdvanceMakesManyChangesInPieces(t *testing.T) {
	const more = 20_000
	base, grown := discovered(t, 40), discovered(t, 40+more)
	previous, changes := Resolve(base, 1), Diff(base, grown)
	pauses := 0
	next, err := Advance(previous, 2, changes, func() {
		if pauses++; len(previous.Services) != 40 || len(previous.Tree) != len(base) {
			t.Fatal("what is in force has changed")
		}
	})
	if err != nil || len(next.Services) != 40+more || len(previous.Tree) != len(discovered(t, 40)) {
		t.Fatalf("%v, %d services", err, len(next.Services))
	}
	if least := more * (nodeWork + serviceWork) / pieceWork; pauses < least {
		t.Errorf("%d pauses, want %d", pauses, least)
	}
	const most = 8
	allocated := testing.AllocsPerRun(1, func() {
		if _, err := Advance(previous, 2, changes, func() {}); err != nil {
			t.Fatal(err)
		}
	})
	if allocated > most*more {
		t.Errorf("%v allocations a service, want at most %d", allocated/more, most)
	}
}
