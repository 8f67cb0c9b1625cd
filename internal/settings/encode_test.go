package settings

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"gaugeyard/internal/codec"
	"gaugeyard/internal/fuzzinput"
)

// roundTrip returns the changes encoded and decoded, as another balancer receives them.
func roundTrip(t interface{ Fatal(...any) }, changes []Change) []Change {
	encoded, err := msgpack.Marshal(Changes(changes))
	if err != nil {
		t.Fatal(err)
	}
	var decoded Changes
	if err := msgpack.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// TestMalformedChangesAreRejected checks truncated and invalid encodings.
func TestMalformedChangesAreRejected(t *testing.T) {
	whole, err := msgpack.Marshal(Changes(Diff(Tree{}, discoveryTree(t, 3))))
	if err != nil {
		t.Fatal(err)
	}
	var decoded Changes
	for length := range len(whole) {
		if msgpack.Unmarshal(whole[:length], &decoded) == nil {
			t.Errorf("the first %d of %d bytes are accepted", length, len(whole))
		}
	}
	none := []any{}
	for _, bad := range []any{
		[]any{[]string{"address"}, none}, []any{[]string{"unknown"}, none, none}, []any{none, []any{[]any{0, "x"}}, none},
		[]any{none, []any{none}, []any{0, "Upper", 0, 0}}, []any{none, []any{none}, []any{1, "s", 0, 0}},
		[]any{none, []any{none}, []any{0, "s", 1, 0}}, []any{none, []any{none}, []any{0, "s", 0, 1}},
		[]any{none, []any{none}, []any{0, "s", 0}}, []any{none, []any{none}, []any{0, "s", -1, 0}},
	} {
		encoded, err := msgpack.Marshal(bad)
		if err != nil {
			t.Fatal(err)
		}
		if msgpack.Unmarshal(encoded, &decoded) == nil {
			t.Errorf("%v is accepted", bad)
		}
	}
}

// FuzzChanges checks that Advance rejects the same changes as With and Validate do, and otherwise
// returns the same snapshot as resolving the whole tree.
func FuzzChanges(f *testing.F) {
	base := discoveryTree(f, 4)
	grown := discoveryTree(f, 7)
	grown.Remove("s1")
	_ = grown.Set("s2/any/0", KeyShare, "3")
	var inputs [][]byte
	for _, changes := range []Changes{Diff(base, grown), Diff(grown, base), Diff(base, Tree{}), {{Path: "s0", Key: KeyBackendsFrom, After: "s1"}}} {
		encoded, err := msgpack.Marshal(changes)
		if err != nil {
			f.Fatal(err)
		}
		inputs = append(inputs, encoded)
	}
	fuzzinput.Add(f, inputs...)
	f.Fuzz(func(t *testing.T, data []byte) {
		var changes Changes
		if codec.Unmarshal(data, &changes) != nil {
			return
		}
		previous := Resolve(base, 1)
		got, err := Advance(previous, 2, changes, func() {})
		tree, withErr := base.With(changes)
		if rejected := withErr != nil || len(tree.Validate()) > 0; rejected != (err != nil) {
			t.Fatalf("%v: Advance: %v; whole tree rejected: %v", changes, err, rejected)
		}
		if err != nil {
			return
		}
		if want := Resolve(tree, 2); !reflect.DeepEqual(got, want) {
			t.Fatalf("%v: got %v, want %v", changes, got.Tree, want.Tree)
		}
	})
}

// TestSetDoesNotChangeOtherNodes checks that Set copies values that nodes share.
func TestSetDoesNotChangeOtherNodes(t *testing.T) {
	tree, err := Tree{"": Values{}}.With([]Change{
		{Path: "a/z/g", Key: KeyDiscover, After: "feed"}, {Path: "b/z/g", Key: KeyDiscover, After: "feed"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := tree.Set("a/z", KeyEvacuated, "true"); err != nil {
		t.Fatal(err)
	}
	if tree["b/z"][KeyEvacuated] != "" || len(emptyValues) != 0 {
		t.Errorf("%v, %v", tree["b/z"], emptyValues)
	}
}
