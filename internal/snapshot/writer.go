package snapshot

import (
	"cmp"
	"encoding/binary"
	"iter"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"gaugeyard/internal/directory"
)

const (
	// minWriteInterval is the minimum time between two writes. Each write wakes all watchers of the
	// store, and calls are priced. With a longer interval, more servers of a release leave before
	// the snapshot has the change.
	minWriteInterval = 5 * time.Second
	// maxWriteInterval is the maximum time between two writes that fail in succession.
	maxWriteInterval = 80 * time.Second
	// maxPartsPerWrite is the maximum number of parts in one call. It bounds a call to about
	// 250 kB, a third of a second over a narrow link.
	maxPartsPerWrite = 8
)

// Conditions are the inputs to the decision whether this balancer writes.
type Conditions struct {
	Now time.Duration
	// Staleness is the time since the store last confirmed this balancer's view. One above
	// MaxStaleness means that the store does not answer, and the view may be what an outage left.
	Staleness, MaxStaleness time.Duration
	// KnownFor is the time since this balancer first had a view. SinceStoreReturn is the time since
	// the store returned from an outage in which entries expired, 0 unless that was recent: missing
	// entries may be back soon.
	KnownFor, SinceStoreReturn time.Duration
	// HasLowerRank is set while a live balancer of lower rank is known. Eligible is set while this
	// balancer reads the store itself and is not about to stop.
	HasLowerRank, Eligible bool
}

// Write is one call to the store, which must store all parts or none.
type Write struct {
	Parts []Put
	// complete is unset while more parts wait for the next call.
	complete bool
}

// Put is one part and the revision that the store must hold for it, 0 for none.
type Put struct {
	Part      int
	Value     []byte
	Revision  uint64
	partCount int
	digest    uint64
}

// Outcome is the result of a write.
type Outcome struct {
	// Revision is the store's revision of the written parts, 0 if nothing was written or the result
	// is unknown.
	Revision uint64
	// Conflict is set if the store holds other revisions than expected. Current has the parts that
	// it holds.
	Conflict bool
	Current  []Stored
}

// partState is the known state of a stored part.
type partState struct {
	revision, valueHash uint64
	// partCount and digest describe the content as far as this balancer knows it; partCount is 0 if
	// it does not.
	partCount int
	digest    uint64
}

// Writer decides when the snapshot is written and which parts. Every balancer has one, since the
// writer changes. Two that write at the same time do no harm: each write names the revision that it
// replaces. The zero value knows no part and has nothing to write.
type Writer struct {
	changed   bool
	partCount int
	stored    map[int]partState
	nextAt    time.Duration
	failures  int
}

// MarkChanged records that back ends were added or removed, or that draining began or ended.
func (w *Writer) MarkChanged() { w.changed = true }

// Observe records the parts found by a listing or returned for a write.
func (w *Writer) Observe(parts []Stored) {
	if w.stored == nil {
		w.stored = map[int]partState{}
	}
	for _, stored := range parts {
		w.stored[stored.Part] = partState{revision: stored.Revision, valueHash: xxh3.Hash(stored.Value)}
	}
}

// Due reports whether this balancer should write now.
func (w *Writer) Due(conditions Conditions) bool {
	settled := conditions.KnownFor >= minWriteInterval && (conditions.SinceStoreReturn == 0 || conditions.SinceStoreReturn >= minWriteInterval)
	return w.changed && settled && conditions.Eligible && !conditions.HasLowerRank && conditions.Staleness <= conditions.MaxStaleness && conditions.Now >= w.nextAt
}

// Next returns the parts that differ from the stored ones, as many as fit one call; there may be
// none. records yields all count back ends in any order, the same each time it is called. Draining
// ones are left out. Unchanged parts are not encoded, which would be slow for a large fleet.
func (w *Writer) Next(count int, records iter.Seq[directory.Record]) (Write, error) {
	w.updatePartCount(count)
	digests := make([]uint64, w.partCount)
	for record := range records {
		if !record.Backend.Draining {
			digests[partOf(record.Backend.ID, w.partCount)] += recordDigest(&record)
		}
	}
	byPart := make([][]directory.Record, w.partCount)
	for record := range records {
		part := partOf(record.Backend.ID, w.partCount)
		if known := w.stored[part]; !record.Backend.Draining && !known.matches(w.partCount, digests[part]) {
			byPart[part] = append(byPart[part], record)
		}
	}
	write := Write{complete: true}
	for part, records := range byPart {
		known := w.stored[part]
		if known.matches(w.partCount, digests[part]) {
			continue
		}
		slices.SortFunc(records, func(a, b directory.Record) int { return cmp.Compare(a.Backend.ID, b.Backend.ID) })
		value, err := encode(part, w.partCount, records)
		if err != nil {
			return Write{}, err
		}
		if known.revision > 0 && known.valueHash == xxh3.Hash(value) {
			known.partCount, known.digest = w.partCount, digests[part]
			w.stored[part] = known
			continue
		}
		if len(write.Parts) == maxPartsPerWrite {
			write.complete = false
			break
		}
		write.Parts = append(write.Parts, Put{part, value, known.revision, w.partCount, digests[part]})
	}
	w.changed = false
	return write, nil
}

// recordDigest returns what one back end adds to the digest of its part, which is independent of
// order.
func recordDigest(record *directory.Record) uint64 {
	var bytes [16]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(record.Backend.ID))
	binary.BigEndian.PutUint64(bytes[8:], record.Revision)
	return xxh3.Hash(bytes[:])
}

// matches reports whether the stored part is known to hold the back ends with the digest.
func (p partState) matches(parts int, digest uint64) bool {
	return p.revision > 0 && p.partCount == parts && p.digest == digest
}

// updatePartCount changes the number of parts when they have become too large or far too small.
func (w *Writer) updatePartCount(count int) {
	if target := partCountFor(count); w.partCount == 0 || target > w.partCount || 4*target <= w.partCount {
		w.partCount = target
	}
}

// Done records the outcome of a write. One without an answer may have been applied, or may yet be:
// the next write then names an outdated revision and receives the current one.
func (w *Writer) Done(now time.Duration, write Write, outcome Outcome) {
	if outcome.Revision > 0 {
		w.failures = 0
		for _, put := range write.Parts {
			w.Observe([]Stored{{put.Part, put.Value, outcome.Revision}})
			known := w.stored[put.Part]
			known.partCount, known.digest = put.partCount, put.digest
			w.stored[put.Part] = known
		}
		w.changed = w.changed || !write.complete
	} else {
		w.failures++
		w.changed = true
	}
	if outcome.Conflict {
		for _, put := range write.Parts {
			delete(w.stored, put.Part)
		}
		w.Observe(outcome.Current)
	}
	w.nextAt = now + min(minWriteInterval<<max(w.failures-1, 0), maxWriteInterval)
}
