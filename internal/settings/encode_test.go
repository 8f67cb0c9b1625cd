package settings

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"gaugeyard/internal/codec"
	"gaugeyard/internal/fuzzinput"
)

// sent returns the changes as another balancer reads them.
func sent(t interface{ Fatal(...any) }, changes []Change) []Change {
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

// TestChangesThatAreNotWellFormedAreRefused, also when they end in the midst.
func TestChangesThatAreNotWellFormedAreRefused(t *testing.T) {
	whole, err := msgpack.Marshal(Changes(Diff(Tree{}, discovered(t, 3))))
	if err != nil {
		t.Fatal(err)
	}
	var decoded Changes
	for length := range len(whole) {
		if msgpack.Unmarshal(whole[:length], &decoded) == nil {
			t.Errorf("the first %d of %d bytes are taken", length, len(whole))
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
			t.Errorf("%v are taken", bad)
		}
	}
}

// FuzzChanges: whatever another balancer sends as changes is refused, or leads to what the changes
// made to the whole tree lead to.
func FuzzChanges(f *testing.F) {
	base := discovered(f, 4)
	grown := discovered(f, 7)
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
		if refused := withErr != nil || len(tree.Validate()) > 0; refused != (err != nil) {
			t.Fatalf("%v: refused %v in pieces, %v as a whole", changes, err, refused)
		}
		if err != nil {
			return
		}
		if want := Resolve(tree, 2); !reflect.DeepEqual(got, want) {
			t.Fatalf("%v lead to %v, want %v", changes, got.Tree, want.Tree)
		}
	})
}

// TestSettingAValueLeavesOtherNodesAsTheyAre, though nodes of a changed tree share their values.
func TestSettingAValueLeavesOtherNodesAsTheyAre(t *testing.T) {
	tree, err := Tree{"": Values{}}.With([]Change{
		{Path: "a/z/g", Key: KeyDiscover, After: "feed"}, {Path: "b/z/g", Key: KeyDiscover, After: "feed"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := tree.Set("a/z", KeyEvacuated, "true"); err != nil {
		t.Fatal(err)
	}
	if tree["b/z"][KeyEvacuated] != "" || len(noValues) != 0 {
		t.Errorf("%v, %v", tree["b/z"], noValues)
	}
}
