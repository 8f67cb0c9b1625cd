package snapshot

import (
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

// testRecords returns back ends of two groups, in order of identifier.
func testRecords(count int) []directory.Record {
	records := make([]directory.Record, count)
	for i := range records {
		records[i] = directory.Record{Revision: uint64(i + 1), Backend: directory.Backend{
			ID: settings.BackendID(i + 1), Group: []string{"feed", "upload"}[i%2], Zone: fmt.Sprintf("zone-%d", i%3), Slots: 2, StartTime: directory.StartTime(i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
		}}
	}
	return records
}

// fakeStore holds parts and compares revisions, as the platform's store does.
type fakeStore struct {
	revision uint64
	stored   map[int]Stored
}

func (s *fakeStore) apply(write Write) Outcome {
	for _, put := range write.Parts {
		if s.stored[put.Part].Revision != put.Revision {
			outcome := Outcome{Conflict: true}
			for _, put := range write.Parts {
				if stored, found := s.stored[put.Part]; found {
					outcome.Current = append(outcome.Current, stored)
				}
			}
			return outcome
		}
	}
	s.revision++
	for _, put := range write.Parts {
		s.stored[put.Part] = Stored{put.Part, put.Value, s.revision}
	}
	return Outcome{Revision: s.revision}
}

func (s *fakeStore) parts() []Stored {
	var parts []Stored
	for _, stored := range s.stored {
		parts = append(parts, stored)
	}
	return parts
}

func newFakeStore() *fakeStore { return &fakeStore{stored: map[int]Stored{}} }

// nextWrite returns the next write and fails the test on an error.
func nextWrite(t *testing.T, w *Writer, records []directory.Record) Write {
	t.Helper()
	write, err := w.Next(len(records), slices.Values(records))
	if err != nil {
		t.Fatal(err)
	}
	return write
}

// writeAll writes until nothing is left to write and returns the number of calls.
func writeAll(t *testing.T, s *fakeStore, w *Writer, records []directory.Record) (calls int) {
	t.Helper()
	w.MarkChanged()
	for {
		write := nextWrite(t, w, records)
		if len(write.Parts) == 0 {
			return calls
		}
		w.Done(0, write, s.apply(write))
		if calls++; calls > 100 {
			t.Fatal("more than 100 calls")
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

func TestReadReturnsWrittenBackends(t *testing.T) {
	records := testRecords(5000)
	records[7].Backend.Draining = true
	s, w := newFakeStore(), &Writer{}
	writeAll(t, s, w, records)
	reading := Read(s.parts())
	if len(reading.Errors) > 0 {
		t.Fatal(reading.Errors)
	}
	missing := reading.Missing(nil)
	want := slices.Delete(slices.Clone(records), 7, 8)
	if !slices.Equal(ids(missing), ids(want)) {
		t.Fatalf("read %d back ends, wrote %d that do not drain", len(missing), len(want))
	}
	for _, record := range missing {
		if record != records[record.Backend.ID-1] {
			t.Fatalf("read %+v, written %+v", record, records[record.Backend.ID-1])
		}
	}
}

// TestOlderFormatIsRejected guards against decoding a part of another format, and against losing
// the valid parts because of it.
func TestOlderFormatIsRejected(t *testing.T) {
	s, w := newFakeStore(), &Writer{}
	writeAll(t, s, w, testRecords(5000))
	parts := s.parts()
	old := slices.Clone(parts[0].Value[:len(parts[0].Value)-checksumBytes])
	old[0] = 1
	parts[0].Value = appendChecksum(old)
	reading := Read(parts)
	if len(reading.Errors) != 1 || !strings.Contains(reading.Errors[0].Error(), "unsupported format 1, want 2") || len(reading.Missing(nil)) < 5000/2 {
		t.Errorf("read %d back ends: %v", len(reading.Missing(nil)), reading.Errors)
	}
}

// TestLargeFleetFitsStoreLimits checks the size of parts and that one change writes one part.
func TestLargeFleetFitsStoreLimits(t *testing.T) {
	const valueBytes = 1 << 20
	records := testRecords(130_000)
	s, w := newFakeStore(), &Writer{}
	calls := writeAll(t, s, w, records)
	longest := 0
	for _, stored := range s.parts() {
		longest = max(longest, len(stored.Value))
	}
	t.Logf("%d parts of at most %d bytes in %d calls", len(s.stored), longest, calls)
	if longest > valueBytes/4 || calls > len(s.stored)/maxPartsPerWrite {
		t.Errorf("the longest part has %d bytes, %d calls", longest, calls)
	}
	records[99].Backend.Draining = true
	start := time.Now()
	write := nextWrite(t, w, records)
	t.Logf("encoded one change in %v", time.Since(start))
	if len(write.Parts) != 1 {
		t.Errorf("one change wrote %d parts", len(write.Parts))
	}
}

// TestLostWriteAnswer covers writes without an answer, whether or not they were applied.
func TestLostWriteAnswer(t *testing.T) {
	for _, applied := range []bool{false, true} {
		s, w, records := newFakeStore(), &Writer{}, testRecords(10)
		write := nextWrite(t, w, records)
		if applied {
			s.apply(write)
		}
		w.Done(0, write, Outcome{})
		// The next write has other content.
		records[3].Backend.Draining = true
		writeAll(t, s, w, records)
		reading := Read(s.parts())
		if missing := reading.Missing(nil); len(missing) != 9 {
			t.Errorf("applied %v: read %d back ends, want 9", applied, len(missing))
		}
	}
}

// TestConcurrentWriters checks that the late write of one of two writers is rejected.
func TestConcurrentWriters(t *testing.T) {
	s, first, second, records := newFakeStore(), &Writer{}, &Writer{}, testRecords(10)
	late := nextWrite(t, first, records)
	writeAll(t, s, second, records[:8])
	outcome := s.apply(late)
	if !outcome.Conflict {
		t.Fatal("the late write was applied")
	}
	first.Done(0, late, outcome)
	if calls := writeAll(t, s, first, records[:8]); calls != 0 {
		t.Errorf("parts of the other writer were written again in %d calls", calls)
	}
	// A removed part is written again.
	clear(s.stored)
	first.MarkChanged()
	records[1].Backend.Draining = true
	if writeAll(t, s, first, records); len(s.stored) != 1 {
		t.Error("the removed part was not written again")
	}
}

// TestInterruptedWriter covers a writer that stops between two calls, and so leaves parts of two
// times and two part counts. Parts with the older count are not used.
func TestInterruptedWriter(t *testing.T) {
	records := testRecords(20_000)
	s, w := newFakeStore(), &Writer{}
	writeAll(t, s, w, records[:5000])
	before := len(s.stored)
	w = &Writer{}
	w.Observe(s.parts())
	write := nextWrite(t, w, records)
	s.apply(write)
	if write.complete || len(write.Parts) < before {
		t.Fatal("one call wrote all parts")
	}
	reading := Read(s.parts())
	missing := reading.Missing(nil)
	if len(missing) == 0 || len(missing) > len(records)/2 {
		t.Errorf("%d of %d back ends are missing", len(missing), len(records))
	}
	for _, record := range missing {
		if want := records[record.Backend.ID-1]; record != want {
			t.Fatalf("read %+v, written %+v", record, want)
		}
	}
	if len(reading.Errors) > 0 {
		t.Error(reading.Errors)
	}
}

func TestInvalidPartsAreRejected(t *testing.T) {
	valid, err := encode(0, 1, testRecords(10))
	if err != nil {
		t.Fatal(err)
	}
	changed := func(change func(value []byte) []byte) []byte { return change(slices.Clone(valid)) }
	for name, stored := range map[string]Stored{
		"truncated":      {0, valid[:len(valid)-20], 1},
		"empty":          {0, nil, 1},
		"another format": {0, changed(func(v []byte) []byte { v[0]++; return v }), 1},
		"flipped bit":    {0, changed(func(v []byte) []byte { v[30] ^= 4; return v }), 1},
		"another number": {1, valid, 1},
	} {
		reading := Read([]Stored{stored})
		if len(reading.Errors) != 1 || len(reading.Missing(nil)) > 0 {
			t.Errorf("%s: errors %v, %d back ends", name, reading.Errors, len(reading.Missing(nil)))
		}
	}
}

// TestMissingReturnsOnlyExpired guards against returning back ends that a release replaced, that
// are listed, or whose address another one has.
func TestMissingReturnsOnlyExpired(t *testing.T) {
	records := testRecords(40)
	s, w := newFakeStore(), &Writer{}
	writeAll(t, s, w, records)
	reading := Read(s.parts())
	if missing := reading.Missing(records[8:]); len(missing) > 0 {
		t.Errorf("a fifth was removed, and %d are missing", len(missing))
	}
	listed := slices.Clone(records[:10])
	reused := records[39]
	reused.Backend.ID = 1000
	listed = append(listed, reused)
	if missing := ids(reading.Missing(listed)); !slices.Equal(missing, ids(records[10:39])) {
		t.Errorf("missing: %v", missing)
	}
}

// TestDue covers the conditions of a write and the delays between writes.
func TestDue(t *testing.T) {
	favourable := Conditions{Now: time.Minute, Staleness: time.Second, MaxStaleness: 2 * time.Second, KnownFor: time.Minute, Eligible: true}
	for name, test := range map[string]struct {
		change func(*Conditions)
		due    bool
	}{
		"lowest rank":                 {func(*Conditions) {}, true},
		"lower rank is alive":         {func(s *Conditions) { s.HasLowerRank = true }, false},
		"follows another balancer":    {func(s *Conditions) { s.Eligible = false }, false},
		"store does not answer":       {func(s *Conditions) { s.Staleness = 3 * time.Second }, false},
		"just started":                {func(s *Conditions) { s.KnownFor = time.Second }, false},
		"store has just returned":     {func(s *Conditions) { s.SinceStoreReturn = time.Second }, false},
		"entries are announced again": {func(s *Conditions) { s.SinceStoreReturn = 5 * time.Second }, true},
		"last write too recent":       {func(s *Conditions) { s.Now = time.Second }, false},
	} {
		w, conditions := &Writer{nextAt: 2 * time.Second}, favourable
		w.MarkChanged()
		test.change(&conditions)
		if w.Due(conditions) != test.due {
			t.Errorf("%s: due %v", name, !test.due)
		}
	}
	w := &Writer{}
	if w.Due(favourable) {
		t.Error("due without a change")
	}
	// Failures increase the interval; a success resets it.
	for _, wait := range []time.Duration{5, 10, 20, 40, 80, 80} {
		write := nextWrite(t, w, testRecords(3))
		if w.Done(0, write, Outcome{}); w.nextAt != wait*time.Second {
			t.Errorf("the next write is due after %v, want %d s", w.nextAt, wait)
		}
	}
	write := nextWrite(t, w, testRecords(3))
	if w.Done(0, write, Outcome{Revision: 4}); w.nextAt != minWriteInterval {
		t.Errorf("the next write after a success is due after %v", w.nextAt)
	}
}

// FuzzRead checks that Read ends on any input and returns no back end of an invalid part.
func FuzzRead(f *testing.F) {
	small, _ := encode(0, 1, testRecords(3))
	large, _ := encode(0, 1, testRecords(40))
	empty, _ := encode(0, 1, nil)
	fuzzinput.Add(f, small, large, empty)
	f.Fuzz(func(t *testing.T, value []byte) {
		reading := Read([]Stored{{0, value, 1}})
		// A correct checksum lets the changed body reach the checks behind it.
		if len(value) > 1+checksumBytes {
			reread := Read([]Stored{{0, appendChecksum(value[:len(value)-checksumBytes]), 1}})
			for _, record := range reread.Missing(nil) {
				if !record.Backend.Address.IsValid() || record.Backend.Slots < 0 {
					t.Errorf("invalid back end %+v", record)
				}
			}
		}
		if len(reading.Errors) > 0 && len(reading.records) > 0 {
			t.Error("an invalid part was used")
		}
	})
}
