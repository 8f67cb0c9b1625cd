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
	// leastInterval is the time between two writes at least: each wakes all that watch the store, and
	// calls are priced. Longer ones let more servers of a release leave before the snapshot says so.
	leastInterval = 5 * time.Second
	// mostInterval bounds it where writes fail one after the other.
	mostInterval = 80 * time.Second
	// confirmedWithin is how recent the store's word must be: it does not answer else, and what is believed
	// may be what an outage left of it.
	confirmedWithin = 2 * time.Second
	// maxPuts is how many parts one call writes at most: 250 kB, a third of a second over a narrow link.
	maxPuts = 8
)

// State is what a balancer decides by whether it writes.
type State struct {
	Now time.Duration
	// Age is how long ago the store confirmed what is believed.
	Age time.Duration
	// Known is for how long this balancer has known anything, and ReturnAge how long ago the store returned
	// from an outage that took entries, 0 for not lately: what is missing now may be back in a moment.
	Known, ReturnAge time.Duration
	// Lower tells whether a live balancer of lower rank is known, and Able whether this one follows the
	// store itself and is not about to stop.
	Lower, Able bool
}

// Write is one call: all its parts are stored or none.
type Write struct {
	Parts []Put
	// complete is set unless more parts wait for the next call.
	complete bool
}

// Put is one part with the revision that the store must have of it, 0 for none.
type Put struct {
	Part     int
	Value    []byte
	Revision uint64
	parts    int
	digest   uint64
}

// Outcome is what came of a write.
type Outcome struct {
	// Revision is the store's of what was written, 0 where it was not, or is not known to be.
	Revision uint64
	// Conflict is set where the store holds something else than was expected: Current.
	Conflict bool
	Current  []Stored
}

// place is what is known of a stored part.
type place struct {
	revision, hash uint64
	// parts and digest say what this balancer knows to be in it; 0 parts is nothing.
	parts  int
	digest uint64
}

// Writer decides when the snapshot is written, and what of it. It stands on every balancer: who is the
// writer changes, and two that believe they are do no harm, since each names the revision that it
// replaces. The zero value knows of no part, and has nothing to write.
type Writer struct {
	changed  bool
	parts    int
	stored   map[int]place
	nextAt   time.Duration
	failures int
}

// Changed notes that back ends came, went, or began or ended to drain.
func (w *Writer) Changed() { w.changed = true }

// Heard takes over what a listing or the answer to a write told of parts.
func (w *Writer) Heard(parts []Stored) {
	if w.stored == nil {
		w.stored = map[int]place{}
	}
	for _, stored := range parts {
		w.stored[stored.Part] = place{revision: stored.Revision, hash: xxh3.Hash(stored.Value)}
	}
}

// Due tells whether this balancer writes now.
func (w *Writer) Due(state State) bool {
	settled := state.Known >= leastInterval && (state.ReturnAge == 0 || state.ReturnAge >= leastInterval)
	return w.changed && settled && state.Able && !state.Lower && state.Age <= confirmedWithin && state.Now >= w.nextAt
}

// Next returns the parts that differ from what is stored, as far as one call takes them; there may be
// none. Records are all of count back ends, in any order, the same each time that it is asked; those that
// drain are left out. Parts without a change are not encoded: of 130,000 back ends that took a third
// of a second on a busy machine, and 7 ms for those of one change.
func (w *Writer) Next(count int, records iter.Seq[directory.Record]) (Write, error) {
	w.divide(count)
	digests := make([]uint64, w.parts)
	for record := range records {
		if !record.Backend.Draining {
			digests[partOf(record.Backend.ID, w.parts)] += digest(&record)
		}
	}
	byPart := make([][]directory.Record, w.parts)
	for record := range records {
		part := partOf(record.Backend.ID, w.parts)
		if known := w.stored[part]; !record.Backend.Draining && !known.holds(w.parts, digests[part]) {
			byPart[part] = append(byPart[part], record)
		}
	}
	write := Write{complete: true}
	for part, records := range byPart {
		known := w.stored[part]
		if known.holds(w.parts, digests[part]) {
			continue
		}
		slices.SortFunc(records, func(a, b directory.Record) int { return cmp.Compare(a.Backend.ID, b.Backend.ID) })
		value, err := encode(part, w.parts, records)
		if err != nil {
			return Write{}, err
		}
		if known.revision > 0 && known.hash == xxh3.Hash(value) {
			known.parts, known.digest = w.parts, digests[part]
			w.stored[part] = known
			continue
		}
		if len(write.Parts) == maxPuts {
			write.complete = false
			break
		}
		write.Parts = append(write.Parts, Put{part, value, known.revision, w.parts, digests[part]})
	}
	w.changed = false
	return write, nil
}

// digest is what one back end adds to that of its part, in any order.
func digest(record *directory.Record) uint64 {
	var bytes [16]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(record.Backend.ID))
	binary.BigEndian.PutUint64(bytes[8:], record.Revision)
	return xxh3.Hash(bytes[:])
}

// holds tells whether the stored part is known to have the back ends of the digest.
func (p place) holds(parts int, digest uint64) bool {
	return p.revision > 0 && p.parts == parts && p.digest == digest
}

// divide keeps the number of parts unless they have become too large or far too small.
func (w *Writer) divide(count int) {
	if wanted := partsFor(count); w.parts == 0 || wanted > w.parts || 4*wanted <= w.parts {
		w.parts = wanted
	}
}

// Done takes over what came of a write. One without an answer may have been done, or may yet be: the next
// one then names a revision that is not the store's, and hears what is.
func (w *Writer) Done(now time.Duration, write Write, outcome Outcome) {
	if outcome.Revision > 0 {
		w.failures = 0
		for _, put := range write.Parts {
			w.Heard([]Stored{{put.Part, put.Value, outcome.Revision}})
			known := w.stored[put.Part]
			known.parts, known.digest = put.parts, put.digest
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
		w.Heard(outcome.Current)
	}
	w.nextAt = now + min(leastInterval<<max(w.failures-1, 0), mostInterval)
}
