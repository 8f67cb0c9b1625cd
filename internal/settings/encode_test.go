package settings

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
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
