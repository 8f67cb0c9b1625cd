package directory

import "time"

// Birth is when a server says that it started, in Unix milliseconds by its own clock; 0 where it does not say.
// It is compared for equality first: an entry with another birth is of another start of the server, which
// holds and knows nothing from before. Which of two starts is the later one is the store's revision to say;
// clocks are set back, and a write that was not answered may be done seconds later.
type Birth int64

// Differs tells whether two births are of two starts, as far as both are told.
func (b Birth) Differs(other Birth) bool { return b != other && b != 0 && other != 0 }

// entryLife is how many of its intervals a server may be silent until its entry vanishes.
const maxSilentIntervals = 3

// start is what is known of the start that a back end announces itself by.
type serverStart struct {
	// newest is the largest birth that was told under the identifier.
	latest Birth
	// since is when it was first heard of.
	seenAt time.Duration
	// after is a time before this start: what a flow did earlier, it did with a start before. 0 is not known.
	startedAfter time.Duration
}

// next returns what is known once a newer entry than that of the birth last tells another one, at now; nothing
// was told of it until certain.
func (s serverStart) next(last, told Birth, now, certain, interval time.Duration) serverStart {
	if told.Differs(last) {
		s.seenAt = now
	}
	if told.Differs(last) && told > s.latest {
		// The server wrote after certain, and had started entryLife intervals earlier at most: else the
		// entry of the start before had vanished. A birth that goes back may be a late word of an earlier
		// start, and says nothing of flows.
		s.startedAfter = certain - maxSilentIntervals*interval
	}
	s.latest = max(s.latest, told)
	return s
}

// SetInterval changes how often servers write their entries.
func (d *Directory) SetInterval(interval time.Duration) { d.interval = interval }

// NoteCertain notes when the store last confirmed that what is believed is complete. Call it before what
// follows is applied.
func (d *Directory) NoteCertain(at time.Duration) { d.confirmedAt = max(d.confirmedAt, at) }

// applyUnusable takes over that an entry names no server to use. Flows that rest at the server before it are
// left alone; a later entry that names one brings it back. It is no lapse: the store was there.
func (d *Directory) applyUnusable(now time.Duration, events []Event, unusable Gone) []Event {
	before := len(events)
	if events = d.applyRemoval(now, events, unusable); len(events) == before {
		return events
	}
	left := d.removed[unusable.ID]
	left.Backend.Draining = true
	d.removed[unusable.ID] = left
	events[before].Transition = BackendUnusable
	return events
}
