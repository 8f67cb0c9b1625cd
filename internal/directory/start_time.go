package directory

import "time"

// StartTime is the time at which a server reports that it started, in Unix milliseconds by its own clock; 0 if
// it does not report one. A different start time means a different run of the server, which has none of the
// state of the run before. Clocks may be set back and writes may be delayed, so the store's revision, not the
// start time, decides which of two runs is the later one.
type StartTime int64

// DiffersFrom reports whether two start times are those of different runs. It is false if either is not known.
func (t StartTime) DiffersFrom(other StartTime) bool { return t != other && t != 0 && other != 0 }

// maxSilentIntervals is the number of announce intervals without a write after which a server's entry expires.
const maxSilentIntervals = 3

// serverStart is what is known of the current start of a back end.
type serverStart struct {
	// latest is the largest start time reported for the identifier.
	latest StartTime
	// seenAt is when this start was first seen.
	seenAt time.Duration
	// startedAfter is a lower bound of this start: earlier flows belong to an earlier start. 0 if not known.
	startedAfter time.Duration
}

// next returns the state after a newer entry reports a start time at now, where the entry before reported
// previous. confirmedAt is the last time at which the store confirmed that there was no newer entry.
func (s serverStart) next(previous, reported StartTime, now, confirmedAt, interval time.Duration) serverStart {
	if reported.DiffersFrom(previous) {
		s.seenAt = now
	}
	if reported.DiffersFrom(previous) && reported > s.latest {
		// The server wrote the entry after confirmedAt, and started at most maxSilentIntervals before that:
		// otherwise the entry of its previous start would have expired. A start time that goes back may come
		// from a delayed write of an earlier start, and does not move the bound.
		s.startedAfter = confirmedAt - maxSilentIntervals*interval
	}
	s.latest = max(s.latest, reported)
	return s
}

// SetInterval sets the interval at which servers write their entries.
func (d *Directory) SetInterval(interval time.Duration) { d.interval = interval }

// AdvanceConfirmedAt records when the store last confirmed that the known state is complete. Call it before
// applying what follows.
func (d *Directory) AdvanceConfirmedAt(at time.Duration) { d.confirmedAt = max(d.confirmedAt, at) }

// applyUnusable applies an entry that names no usable server. Flows to the server that it named before are left
// alone, and a later entry that names a server restores it. The back end is not treated as expired, since the
// store was available.
func (d *Directory) applyUnusable(now time.Duration, events []Event, unusable Removal) []Event {
	before := len(events)
	if events = d.applyRemoval(now, events, unusable); len(events) == before {
		return events
	}
	removed := d.removed[unusable.ID]
	removed.Backend.Draining = true
	d.removed[unusable.ID] = removed
	events[before].Transition = BackendUnusable
	return events
}
