package settings

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"gaugeyard/examples"
	"gaugeyard/internal/fuzzinput"
)

func exampleTree(t testing.TB) Tree {
	t.Helper()
	document, err := examples.Files.ReadFile("litera.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tree, errs := Parse(document)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	return tree
}

func TestParseReportsEveryErrorWithItsLine(t *testing.T) {
	cases := []struct{ name, document, want string }{
		{"unknown settings", "colour: red", `line 1: /: unknown setting "colour"`},
		{"values out of range", "slots: 0", `line 1: /: slots="0": out of range; allowed: 1 to 4096`},
		{"durations without a unit", "flow_idle: 5", `not a duration with a unit`},
		{"sizes without a unit", "max_datagram: 4096", `not a size with a unit`},
		{"settings at the wrong level", "weight: 2", `weight cannot be set on a root`},
		{"values given twice", "slots: 2\nslots: 3", `line 2: /: slots: given twice`},
		{"missing addresses", "services: {a: {slots: 2}}", `a: address is missing`},
		{"dangling references", "services: {a: {address: '1.2.3.4:5', backends_from: b}}", `service b does not exist`},
		{"circular references", "services: {a: {address: '1.2.3.4:5', backends_from: b}, b: {address: '1.2.3.4:6', backends_from: a}}", `circular reference`},
		{"one address for two services", "services: {a: {address: '1.2.3.4:5'}, b: {address: '1.2.3.4:5'}}", `is also the address of a`},
		{"names with capitals", "services: {A: {address: '1.2.3.4:5'}}", `"A" is not a name`},
		{"documents that are no mapping", "- 1", `must be a mapping of settings`},
	}
	for _, c := range cases {
		_, errs := Parse([]byte(c.document))
		found := false
		for _, err := range errs {
			found = found || strings.Contains(err.Error(), c.want)
		}
		if !found {
			t.Errorf("%s: no error with %q in %v", c.name, c.want, errs)
		}
	}
}

func TestChildrenInheritAndOverride(t *testing.T) {
	tree := exampleTree(t)
	if err := tree.Set("glyphs/hala-vitan", KeySlots, "7"); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		path        Path
		value, from string
	}{
		{"glyphs/hala-vitan/main/s12", "7", "glyphs/hala-vitan"},
		{"glyphs/hala-pipera/main/s01", "2", "/"},
	} {
		if value, from := tree.Effective(c.path, KeySlots); value != c.value || from != c.from {
			t.Errorf("%s: %s from %s", c.path, value, from)
		}
	}
	if _, from := tree.Effective("glyphs", KeyRetryBudget); from != "default" {
		t.Errorf("retry_budget comes from %s", from)
	}
	snapshot := Resolve(tree, 3)
	if len(snapshot.Backends) != 18 || len(snapshot.Services) != 3 {
		t.Errorf("%d back ends and %d services, want 18 and 3", len(snapshot.Backends), len(snapshot.Services))
	}
	glyphs, licences := snapshot.Services[0], snapshot.Services[1]
	if glyphs.Backends[0] != licences.Backends[0] {
		t.Error("services that share back ends have different copies of them")
	}
}

func TestFormatRoundTrip(t *testing.T) {
	tree := exampleTree(t)
	document, err := tree.Format()
	if err != nil {
		t.Fatal(err)
	}
	parsed, errs := Parse(document)
	if len(errs) > 0 || len(Diff(tree, parsed)) > 0 {
		t.Errorf("%v %v", errs, Diff(tree, parsed))
	}
}

// TestDiffAndWithRoundTrip checks that applying Diff(before, after) to before gives after, and
// does not modify before.
func TestDiffAndWithRoundTrip(t *testing.T) {
	base := exampleTree(t)
	paths := base.Paths()
	rapid.Check(t, func(t *rapid.T) {
		mutate := func(tree Tree) {
			for range rapid.IntRange(0, 5).Draw(t, "edits") {
				path := rapid.SampledFrom(paths).Draw(t, "path")
				switch {
				case rapid.Bool().Draw(t, "remove"):
					if path.Level() == LevelBackend {
						tree.Remove(path)
					}
				case path.Level() == LevelBackend && tree[path] != nil:
					tree[path][KeyWeight] = rapid.SampledFrom([]string{"2", "3"}).Draw(t, "weight")
				}
			}
		}
		before, after := base.Clone(), base.Clone()
		mutate(before)
		mutate(after)
		untouched := before.Clone()
		got, err := before.With(Diff(before, after))
		if err != nil {
			t.Fatal(err)
		}
		if len(Diff(before, untouched)) > 0 || len(before) != len(untouched) {
			t.Fatal("With modified its receiver")
		}
		if len(Diff(got, after)) > 0 {
			t.Fatalf("remaining differences: %v", Diff(got, after))
		}
		for path := range maps.Keys(got) {
			if path != "" && got[path.Parent()] == nil {
				t.Fatalf("%s has no parent", path)
			}
		}
	})
}

// discoveryTree returns a tree of services whose groups discover their back ends.
func discoveryTree(t testing.TB, services int) Tree {
	t.Helper()
	tree := Tree{"": Values{}}
	for i := range services {
		service := Path(fmt.Sprintf("s%d", i))
		tree[service.Child("any")] = Values{}
		group := service.Child("any").Child("0")
		for _, value := range []struct {
			path Path
			key  Key
			text string
		}{
			{service, KeyAddress, fmt.Sprintf("198.18.%d.%d:80", i/250, i%250)}, {group, KeyDiscover, "fonts"}, {group, KeyShare, "2"},
		} {
			if err := tree.Set(value.path, value.key, value.text); err != nil {
				t.Fatal(err)
			}
		}
	}
	return tree
}

// TestIncrementalResolveEqualsFull checks that ResolveFrom and Advance give the same snapshot as
// resolving the whole tree, and ValidateFrom accepts the same trees as Validate.
func TestIncrementalResolveEqualsFull(t *testing.T) {
	base := discoveryTree(t, 6)
	rapid.Check(t, func(t *rapid.T) {
		tree, snapshot := base, Resolve(base, 1)
		for step := range rapid.IntRange(1, 4).Draw(t, "steps") {
			next := tree.Clone()
			for range rapid.IntRange(0, 3).Draw(t, "edits") {
				service := Path(fmt.Sprintf("s%d", rapid.IntRange(0, 7).Draw(t, "service")))
				switch rapid.IntRange(0, 5).Draw(t, "edit") {
				case 0:
					next.Remove(service)
				case 1:
					_ = next.Set(service, KeyAddress, fmt.Sprintf("198.18.9.%d:%d", rapid.IntRange(1, 9).Draw(t, "host"), 1+step))
				case 2:
					_ = next.Set(service.Child("any").Child("1"), KeyDiscover, "other")
				case 3:
					_ = next.Set("", KeyFlowIdle, rapid.SampledFrom([]string{"2s", "3s"}).Draw(t, "idle"))
				case 4:
					_ = next.Set(service, KeyLoadFactor, "3")
				case 5:
					next.Remove(service.Child("any"))
					_ = next.Set(service, KeyBackendsFrom, "s0")
				}
			}
			changes := Diff(tree, next)
			advanced, advanceErr := Advance(snapshot, uint64(step+2), changes, func() {})
			got, err := tree.With(changes)
			if err != nil {
				t.Fatal(err)
			}
			fullErrs, incrementalErrs := got.Validate(), got.ValidateFrom(snapshot, changes)
			if (len(fullErrs) > 0) != (len(incrementalErrs) > 0) {
				t.Fatalf("after %v: Validate: %v, ValidateFrom: %v", changes, fullErrs, incrementalErrs)
			}
			if (len(fullErrs) > 0) != (advanceErr != nil) {
				t.Fatalf("after %v: Validate: %v, Advance: %v", changes, fullErrs, advanceErr)
			}
			if len(fullErrs) > 0 {
				continue
			}
			tree, snapshot = got, ResolveFrom(snapshot, got, uint64(step+2), changes)
			want := Resolve(got, uint64(step+2))
			if !reflect.DeepEqual(snapshot, want) {
				t.Fatalf("after %v:\n%+v\nwant\n%+v", changes, snapshot.Services, want.Services)
			}
			if !reflect.DeepEqual(advanced, want) {
				t.Fatalf("after %v: Advance:\n%+v\nwant\n%+v", changes, advanced, want)
			}
		}
	})
}

func BenchmarkResolve(b *testing.B) {
	tree := discoveryTree(b, 3000)
	snapshot := Resolve(tree, 1)
	changes := []Change{{Path: "s7", Key: KeyLoadFactor, After: "3"}}
	next, err := tree.With(changes)
	if err != nil {
		b.Fatal(err)
	}
	for _, work := range []struct {
		name string
		do   func()
	}{
		{"all", func() { Resolve(next, 2) }},
		{"one change", func() { ResolveFrom(snapshot, next, 2, changes) }},
		{"with", func() { _, _ = tree.With(changes) }},
		{"diff", func() { Diff(tree, next) }},
		{"validate", func() { next.Validate() }},
		{"validate changes", func() { next.ValidateFrom(snapshot, changes) }},
	} {
		b.Run(work.name, func(b *testing.B) {
			for b.Loop() {
				work.do()
			}
		})
	}
}

// TestReferenceListsAllSettings checks that the operators' reference has every setting and its
// default.
func TestReferenceListsAllSettings(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range Fields {
		row := "| `" + string(field.Key) + "` | "
		if field.Default != "" {
			row += "`" + field.Default + "`"
		}
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/OPERATIONS.md has no row %q", row)
		}
	}
}

func FuzzParse(f *testing.F) {
	document, err := examples.Files.ReadFile("forecast.yaml")
	if err != nil {
		f.Fatal(err)
	}
	fuzzinput.Add(f, document, []byte("slots: 2\nservices: {a: }"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, errs := Parse(data)
		if len(errs) == 0 {
			Resolve(tree, 1)
		}
	})
}

// TestTreeEncodingRoundTrip checks that a decoded tree is equal, shares equal values safely, and
// that invalid trees are rejected.
func TestTreeEncodingRoundTrip(t *testing.T) {
	for _, tree := range []Tree{exampleTree(t), discoveryTree(t, 20), {"": Values{}}} {
		encoded, err := msgpack.Marshal(tree)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Tree
		if err := msgpack.Unmarshal(encoded, &decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, tree) {
			t.Errorf("%v\nwant\n%v", decoded, tree)
		}
	}
	encoded, _ := msgpack.Marshal(discoveryTree(t, 2))
	var decoded Tree
	if err := msgpack.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	first, second := decoded["s0/any/0"], decoded["s1/any/0"]
	if reflect.ValueOf(first).Pointer() != reflect.ValueOf(second).Pointer() {
		t.Error("equal values are not shared")
	}
	changed, err := decoded.With([]Change{{Path: "s0/any/0", Key: KeyShare, After: "3"}})
	if err != nil || changed["s0/any/0"][KeyShare] != "3" || changed["s1/any/0"][KeyShare] != "2" || decoded["s0/any/0"][KeyShare] != "2" {
		t.Errorf("wrong values after changing one of two nodes that share them: %v", err)
	}
	for _, bad := range []Tree{{"Upper": Values{}}, {"s": Values{"weight": "1"}}, {"s": Values{"flow_idle": "never"}}, {"s": Values{"unknown": "1"}}} {
		encoded, _ := msgpack.Marshal(bad)
		if msgpack.Unmarshal(encoded, &decoded) == nil {
			t.Errorf("%v is accepted", bad)
		}
	}
}

// TestNearestValueReplacesOneOutOfRange checks that SetNearest sets the nearest allowed value, reports only
// differences, and still refuses what has no value near it.
func TestNearestValueReplacesOneOutOfRange(t *testing.T) {
	for _, test := range []struct {
		path       Path
		key        Key
		text, used string
		adjusted   bool
	}{
		{"", KeyFlowIdle, "15s", "15s", false},
		{"", KeyFlowIdle, "86400s", "24h0m0s", false},
		{"", KeyFlowIdle, "168h", "24h0m0s", true},
		{"", KeyFlowIdle, "-1ms", "1s", true},
		{"", KeyConnections, "1000001", "1000000", true},
		{"", KeyConnections, "99999999999999999999", "1000000", true},
		{"", KeyConnections, "-99999999999999999999", "1", true},
		{"a/b/c", KeyShare, "1e400", "1e+06", true},
		{"a/b/c", KeyShare, "-0.5", "0", true},
		{"", KeyMaxDatagram, "1MiB", "60KiB", true},
	} {
		tree := Tree{}
		adjustment, err := tree.SetNearest(test.path, test.key, test.text)
		if err != nil || tree[test.path][test.key] != test.used || (adjustment != nil) != test.adjusted {
			t.Errorf("%s=%s: %v, %v, %v", test.key, test.text, tree, adjustment, err)
		}
		if adjustment != nil && (adjustment.Given != test.text || adjustment.Used != test.used) {
			t.Errorf("%s=%s is reported as %v", test.key, test.text, adjustment)
		}
	}
	for _, test := range []struct {
		path Path
		key  Key
		text string
	}{
		{"", KeyFlowIdle, "long"}, {"", KeyConnections, "1.5"}, {"a/b/c", KeyShare, "NaN"}, {"", KeyMaxDatagram, "1"},
		{"a", KeyAddress, "nowhere"}, {"a", KeyShare, "1"}, {"", KeyRepeatable, "perhaps"},
	} {
		tree := Tree{}
		if adjustment, err := tree.SetNearest(test.path, test.key, test.text); err == nil || adjustment != nil || len(tree) > 0 {
			t.Errorf("%s=%s: %v, %v, %v", test.key, test.text, tree, adjustment, err)
		}
	}
}
