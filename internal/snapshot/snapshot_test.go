package snapshot

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/fuzzinput"
	"gaugeyard/internal/settings"
)

// fleet returns back ends of two groups, in order of identifier.
func fleet(count int) []directory.Record {
	records := make([]directory.Record, count)
	for i := range records {
		records[i] = directory.Record{Revision: uint64(i + 1), Backend: directory.Backend{
			ID: settings.BackendID(i + 1), Group: []string{"feed", "upload"}[i%2], Zone: fmt.Sprintf("zone-%d", i%3), Slots: 2, Born: directory.Birth(i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
		}}
	}
	return records
}

// store holds parts under conditions, as the platform's does.
type store struct {
	revision uint64
	kept     map[int]Stored
}

func (s *store) take(write Write) Outcome {
	for _, put := range write.Parts {
		if s.kept[put.Part].Revision != put.Revision {
			outcome := Outcome{Conflict: true}
			for _, put := range write.Parts {
				if stored, found := s.kept[put.Part]; found {
					outcome.Current = append(outcome.Current, stored)
				}
			}
			return outcome
		}
	}
	s.revision++
	for _, put := range write.Parts {
		s.kept[put.Part] = Stored{put.Part, put.Value, s.revision}
	}
	return Outcome{Revision: s.revision}
}

func (s *store) parts() []Stored {
	var parts []Stored
	for _, stored := range s.kept {
		parts = append(parts, stored)
	}
	return parts
}

func newStore() *store { return &store{kept: map[int]Stored{}} }

// next returns the next write, which must not fail.
func next(t *testing.T, w *Writer, records []directory.Record) Write {
	t.Helper()
	write, err := w.Next(len(records), slices.Values(records))
	if err != nil {
		t.Fatal(err)
	}
	return write
}

// settle writes until nothing is left to write, and returns how many calls that took.
func settle(t *testing.T, s *store, w *Writer, records []directory.Record) (calls int) {
	t.Helper()
	w.Changed()
	for {
		write := next(t, w, records)
		if len(write.Parts) == 0 {
			return calls
		}
		w.Done(0, write, s.take(write))
		if calls++; calls > 100 {
			t.Fatal("it never ends")
		}
	}
}

func ids(records []directory.Record) []settings.BackendID {
	var ids []settings.BackendID
	for i := range records {
		ids = append(ids, records[i].Backend.ID)
	}
	slices.Sort(ids)
	return ids
}

func TestWhatWasWrittenIsRead(t *testing.T) {
	records := fleet(5000)
	records[7].Backend.Draining = true
	s, w := newStore(), &Writer{}
	settle(t, s, w, records)
	reading := Read(s.parts())
	if len(reading.Faults) > 0 {
		t.Fatal(reading.Faults)
	}
	missing := reading.Missing(nil)
	want := slices.Delete(slices.Clone(records), 7, 8)
	if !slices.Equal(ids(missing), ids(want)) {
		t.Fatalf("%d back ends are read, %d were written that do not drain", len(missing), len(want))
	}
	for _, record := range missing {
		if record != records[record.Backend.ID-1] {
			t.Fatalf("read %+v, written %+v", record, records[record.Backend.ID-1])
		}
	}
}

// TestAPartOfTheFormatBeforeIsRefused with a clear word, and the other parts hold.
func TestAPartOfTheFormatBeforeIsRefused(t *testing.T) {
	s, w := newStore(), &Writer{}
	settle(t, s, w, fleet(5000))
	parts := s.parts()
	old := slices.Clone(parts[0].Value[:len(parts[0].Value)-checksumBytes])
	old[0] = 1
	parts[0].Value = sealed(old)
	reading := Read(parts)
	if len(reading.Faults) != 1 || !strings.Contains(reading.Faults[0].Error(), "format 1 is not 2") || len(reading.Missing(nil)) < 5000/2 {
		t.Errorf("%d back ends are read: %v", len(reading.Missing(nil)), reading.Faults)
	}
}

// TestALargeFleetFitsTheStore and one change writes one part.
func TestALargeFleetFitsTheStore(t *testing.T) {
	const valueBytes = 1 << 20
	records := fleet(130_000)
	s, w := newStore(), &Writer{}
	calls := settle(t, s, w, records)
	longest := 0
	for _, stored := range s.parts() {
		longest = max(longest, len(stored.Value))
	}
	t.Logf("%d parts, the longest of %d bytes, in %d calls", len(s.kept), longest, calls)
	if longest > valueBytes/4 || calls > len(s.kept)/maxPuts {
		t.Errorf("the longest part has %d bytes, %d calls", longest, calls)
	}
	records[99].Backend.Draining = true
	begun := time.Now()
	write := next(t, w, records)
	t.Logf("one change is encoded in %v", time.Since(begun))
	if len(write.Parts) != 1 {
		t.Errorf("one change writes %d parts", len(write.Parts))
	}
}

// TestAnswersThatAreLost: a write without an answer may have been done, or not.
func TestAnswersThatAreLost(t *testing.T) {
	for _, done := range []bool{false, true} {
		s, w, records := newStore(), &Writer{}, fleet(10)
		write := next(t, w, records)
		if done {
			s.take(write)
		}
		w.Done(0, write, Outcome{})
		// What is written next differs.
		records[3].Backend.Draining = true
		settle(t, s, w, records)
		reading := Read(s.parts())
		if missing := reading.Missing(nil); len(missing) != 9 {
			t.Errorf("done %v: %d back ends are read, want 9", done, len(missing))
		}
	}
}

// TestTwoWriters that both believe they are it do no harm: the late write of one is refused.
func TestTwoWriters(t *testing.T) {
	s, first, second, records := newStore(), &Writer{}, &Writer{}, fleet(10)
	late := next(t, first, records)
	settle(t, s, second, records[:8])
	outcome := s.take(late)
	if !outcome.Conflict {
		t.Fatal("the late write is done")
	}
	first.Done(0, late, outcome)
	if calls := settle(t, s, first, records[:8]); calls != 0 {
		t.Errorf("what the other has written is written again, %d calls", calls)
	}
	// A removed part is written anew.
	clear(s.kept)
	first.Changed()
	records[1].Backend.Draining = true
	if settle(t, s, first, records); len(s.kept) != 1 {
		t.Error("the removed part stays away")
	}
}

// TestAWriterThatEndsBetweenParts leaves parts of two times, and of two divisions; each says the truth
// of its time, and those of the older division are not believed.
func TestAWriterThatEndsBetweenParts(t *testing.T) {
	records := fleet(20_000)
	s, w := newStore(), &Writer{}
	settle(t, s, w, records[:5000])
	before := len(s.kept)
	w = &Writer{}
	w.Heard(s.parts())
	write := next(t, w, records)
	s.take(write)
	if write.complete || len(write.Parts) < before {
		t.Fatal("one call takes all")
	}
	reading := Read(s.parts())
	believed := reading.Missing(nil)
	if len(believed) == 0 || len(believed) > len(records)/2 {
		t.Errorf("%d of %d back ends are believed in", len(believed), len(records))
	}
	for _, record := range believed {
		if want := records[record.Backend.ID-1]; record != want {
			t.Fatalf("read %+v, written %+v", record, want)
		}
	}
	if len(reading.Faults) > 0 {
		t.Error(reading.Faults)
	}
}

func TestPartsThatAreNotBelieved(t *testing.T) {
	sound, err := encode(0, 1, fleet(10))
	if err != nil {
		t.Fatal(err)
	}
	changed := func(change func(value []byte) []byte) []byte { return change(slices.Clone(sound)) }
	for name, stored := range map[string]Stored{
		"torn":           {0, sound[:len(sound)-20], 1},
		"empty":          {0, nil, 1},
		"another format": {0, changed(func(v []byte) []byte { v[0]++; return v }), 1},
		"one bit":        {0, changed(func(v []byte) []byte { v[30] ^= 4; return v }), 1},
		"another place":  {1, sound, 1},
	} {
		reading := Read([]Stored{stored})
		if len(reading.Faults) != 1 || len(reading.Missing(nil)) > 0 {
			t.Errorf("%s: faults %v, %d back ends", name, reading.Faults, len(reading.Missing(nil)))
		}
	}
}

// TestOnlyWhatLapsedIsMissing: not a release, a listed one, nor one whose address another has.
func TestOnlyWhatLapsedIsMissing(t *testing.T) {
	records := fleet(40)
	s, w := newStore(), &Writer{}
	settle(t, s, w, records)
	reading := Read(s.parts())
	if missing := reading.Missing(records[8:]); len(missing) > 0 {
		t.Errorf("a fifth departed, and %d are believed in", len(missing))
	}
	listed := slices.Clone(records[:10])
	reused := records[39]
	reused.Backend.ID = 1000
	listed = append(listed, reused)
	if missing := ids(reading.Missing(listed)); !slices.Equal(missing, ids(records[10:39])) {
		t.Errorf("missing are %v", missing)
	}
}

// TestWhoWritesAndWhen: by the clock of the writer, which is told.
func TestWhoWritesAndWhen(t *testing.T) {
	sound := State{Now: time.Minute, Age: time.Second, Known: time.Minute, Able: true}
	for name, test := range map[string]struct {
		change func(*State)
		due    bool
	}{
		"the lowest":                {func(*State) {}, true},
		"another one is lower":      {func(s *State) { s.Lower = true }, false},
		"it follows another one":    {func(s *State) { s.Able = false }, false},
		"the store is silent":       {func(s *State) { s.Age = 3 * time.Second }, false},
		"it has just begun":         {func(s *State) { s.Known = time.Second }, false},
		"the store has just come":   {func(s *State) { s.ReturnAge = time.Second }, false},
		"entries are back":          {func(s *State) { s.ReturnAge = 5 * time.Second }, true},
		"a write was too lately so": {func(s *State) { s.Now = time.Second }, false},
	} {
		w, state := &Writer{nextAt: 2 * time.Second}, sound
		w.Changed()
		test.change(&state)
		if w.Due(state) != test.due {
			t.Errorf("%s: due %v", name, !test.due)
		}
	}
	w := &Writer{}
	if w.Due(sound) {
		t.Error("it writes though nothing changed")
	}
	// Failures make the writes rare, a success ends that.
	for _, wait := range []time.Duration{5, 10, 20, 40, 80, 80} {
		write := next(t, w, fleet(3))
		if w.Done(0, write, Outcome{}); w.nextAt != wait*time.Second {
			t.Errorf("the next write is after %v, want %d s", w.nextAt, wait)
		}
	}
	write := next(t, w, fleet(3))
	if w.Done(0, write, Outcome{Revision: 4}); w.nextAt != leastInterval {
		t.Errorf("after a success it waits %v", w.nextAt)
	}
}

// FuzzRead: whatever the store holds, a reader ends, and believes what contradicts itself no more.
func FuzzRead(f *testing.F) {
	small, _ := encode(0, 1, fleet(3))
	large, _ := encode(0, 1, fleet(40))
	empty, _ := encode(0, 1, nil)
	fuzzinput.Add(f, small, large, empty)
	f.Fuzz(func(t *testing.T, value []byte) {
		reading := Read([]Stored{{0, value, 1}})
		// A changed body with its sum made right again shows what the checks behind it take.
		if len(value) > 1+checksumBytes {
			reread := Read([]Stored{{0, sealed(value[:len(value)-checksumBytes]), 1}})
			for _, record := range reread.Missing(nil) {
				if !record.Backend.Address.IsValid() || record.Backend.Slots < 0 {
					t.Errorf("believed in %+v", record)
				}
			}
		}
		if len(reading.Faults) > 0 && len(reading.records) > 0 {
			t.Error("a faulty part is believed")
		}
	})
}

// TestEncodedBytesStay guards parts that other versions have written: a part in which every field is filled has the
// same bytes, and its bytes are read as the same back ends.
func TestEncodedBytesStay(t *testing.T) {
	records := []directory.Record{
		{Revision: 0x1122, Backend: directory.Backend{
			ID: 0x0102030405060708, Born: 0x1718191a1b1c1d1e, Group: "feed", Zone: "zone-a", Slots: 3,
			Address: netip.MustParseAddrPort("10.1.2.3:8080"),
		}},
		{Revision: 0x334455667788, Backend: directory.Backend{
			ID: 0x0102030405060709, Born: -2, Group: "upload", Zone: "zone-b", Slots: 300,
			Address: netip.MustParseAddrPort("[2001:db8::1]:443"),
		}},
	}
	// Both back ends hash to this part.
	const part, parts = 23, 64
	const want = "0295174092a466656564a675706c6f616492a67a6f6e652d61a67a6f6e652d629297cf0102030405060708cf0000000000001122c4060a010203901f000003d31718191a1b1c1d1e97cf0102030405060709cf0000334455667788c41220010db8000000000000000000000001bb010101cd012cd3fffffffffffffffe5202d796b7946c61"
	value, err := encode(part, parts, records)
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(value); got != want {
		t.Errorf("encoded as\n%s, want\n%s", got, want)
	}
	stored, err := hex.DecodeString(want)
	if err != nil {
		t.Fatal(err)
	}
	reading := Read([]Stored{{part, stored, 1}})
	if len(reading.Faults) > 0 || !slices.Equal(reading.records, records) {
		t.Errorf("read %+v, faults %v", reading.records, reading.Faults)
	}
}
