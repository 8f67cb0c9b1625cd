// Package directory keeps what one balancer believes of the desired state: the
// operators' settings and the back ends that announced themselves, with the
// store's revision of each. It merges what the store and other balancers tell,
// never goes back to an older revision, and remembers back ends that are gone for
// as long as flows may rest on them. It has no clock and does no input or output.
//
// Terms: a listing is everything at one revision, changes are what came after one, a step
// is what differs between two versions of the settings, a view is what packets are
// steered by, an evacuation is the operators' word that a zone takes no new flow. Whatever is told twice, late or out of order leads to the same beliefs:
// each entry has the store's revision, and only a higher one replaces it. A back end
// whose entry vanished is departed; it takes no new flow and keeps its tag. One that is lapsed departed in
// an outage of the store, and may take new flows for a moment.
//
// A Directory is not safe for concurrent use. Its views are read-only and are; a new one
// shares with the one before all that did not change.
//
// # Usage
//
//	d := directory.New(flowLife + drain)
//	events := d.Replace(now, listing)         // at the start, or when history is lost
//	base := d.Base()                          // like every method of d, one caller at a time
//	changes.Prepared = base.Prepare(changes.Settings, changes.Step, pause) // needs no lock
//	events = d.Apply(now, changes)            // for each answer after that
//	steerer.SetView(d.View())                 // packets are steered by it from now on
//	changes, known := d.Since(after, base)    // what another balancer lacks
package directory

import (
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/settings"
)

// entry is a live back end, once for the directory and the views: of 10,000 it is a third of what a
// balancer keeps.
type entry struct {
	member *Member
	start  serverStart
}

// record is the back end as it was told.
func (e entry) record() Record { return Record{e.member.Backend, e.member.AnnouncedRevision} }

// departed is a back end whose entry vanished.
type removedBackend struct {
	Record
	removedAt time.Duration
	// announced is the revision at which it last wrote its entry, or a later one.
	announcedRevision uint64
	// lapsedUntil is how long it may take new flows all the same, since its entry vanished in an outage.
	usableUntil time.Duration
	start       serverStart
}

// Directory is what this balancer believes. It is not safe for concurrent use;
// the views that it builds are read-only and are.
type Directory struct {
	// keep is how long a departed back end is remembered: as long as a flow lives.
	retention time.Duration
	revision  uint64
	settings  Settings
	resolved  *settings.Snapshot
	// steps lead to the settings in force, each from those of the step before.
	steps   []Step
	live    map[settings.BackendID]entry
	removed map[settings.BackendID]removedBackend
	// evacuations has the newest word on each zone of which there was one; also taken back, so that
	// an older one that comes late changes nothing.
	evacuations map[string]Evacuation
	// view is the last one that was built, and changed what differs from it since.
	view    *View
	changed map[settings.BackendID]bool
	// forgotten is the newest revision at which a forgotten back end departed.
	forgottenRevision uint64
	// gaps are where it may have missed departures.
	gaps []gap
	// lapse bounds the belief in lapsed back ends; lapsed has those of the last outage, which ended with
	// returned, by address.
	expiryBounds ExpiryBounds
	lastReturn   storeReturn
	expired      map[netip.AddrPort]settings.BackendID
	// certain is when the store last confirmed what is believed, and interval how often servers write.
	confirmedAt, interval time.Duration
}

// New returns an empty directory that remembers departed back ends for keep.
func New(keep time.Duration) *Directory {
	return &Directory{
		retention:   keep,
		live:        map[settings.BackendID]entry{},
		removed:     map[settings.BackendID]removedBackend{},
		evacuations: map[string]Evacuation{},
		view:        &View{},
		changed:     map[settings.BackendID]bool{},
		expired:     map[netip.AddrPort]settings.BackendID{},
	}
}

// Keep changes how long departed back ends are remembered.
func (d *Directory) Keep(keep time.Duration) { d.retention = keep }

// Revision is the store's revision up to which the directory is complete, 0 for none.
func (d *Directory) Revision() uint64 { return d.revision }

// Replace takes over a listing of everything. An older listing than what is
// believed already changes nothing.
func (d *Directory) Replace(now time.Duration, listing *Listing) []Event {
	for _, record := range listing.Removed {
		d.addRemoved(now, record)
	}
	d.markExpired(now, listing.Expired)
	if listing.Revision < d.revision {
		return nil
	}
	d.recordGap(listing.Revision)
	d.revision = listing.Revision
	events := d.applySettings(nil, listing.Settings, nil, listing.Prepared)
	events = d.replaceEvacuations(events, listing)
	listed := make(map[settings.BackendID]bool, len(listing.Records))
	if len(d.live) == 0 {
		// A start: the table has its size at once, and the list of events too.
		d.live = make(map[settings.BackendID]entry, len(listing.Records))
		events = slices.Grow(events, len(listing.Records))
	}
	for _, unusable := range listing.Unusable {
		listed[unusable.ID] = true
		events = d.applyUnusable(now, events, unusable)
	}
	for _, record := range listing.Records {
		listed[record.Backend.ID] = true
		events = d.applyRecord(now, events, record)
	}
	var vanished []settings.BackendID
	for id, known := range d.live {
		if !listed[id] && known.member.AnnouncedRevision <= listing.Revision {
			vanished = append(vanished, id)
		}
	}
	slices.Sort(vanished)
	for _, id := range vanished {
		events = d.applyRemoval(now, events, Gone{ID: id, Revision: listing.Revision})
	}
	if listing.Told {
		vanished = listing.Expired
	}
	d.markExpired(now, vanished)
	d.addMissing(now, listing.Missing)
	return events
}

// Apply takes over changes that follow what the directory is complete to. With a step
// from settings that are not those in force it stays complete to where it was, so that
// the same is asked for again.
func (d *Directory) Apply(now time.Duration, changes *Changes) []Event {
	if step := changes.Step; step != nil && step.Revision > d.settings.Revision && step.Base != d.settings.Revision {
		return nil
	}
	events := d.applySettings(nil, changes.Settings, changes.Step, changes.Prepared)
	for _, evacuation := range changes.Evacuations {
		events = d.applyEvacuation(events, evacuation)
	}
	for _, record := range changes.Records {
		events = d.applyRecord(now, events, record)
	}
	var vanished []settings.BackendID
	for _, gone := range changes.Gone {
		before := len(events)
		if events = d.applyRemoval(now, events, gone); len(events) > before {
			vanished = append(vanished, gone.ID)
		}
	}
	if changes.Told {
		vanished = changes.Expired
	}
	for _, unusable := range changes.Unusable {
		events = d.applyUnusable(now, events, unusable)
	}
	d.markExpired(now, vanished)
	d.revision = max(d.revision, changes.Revision)
	return events
}

func (d *Directory) applyRecord(now time.Duration, events []Event, record Record) []Event {
	id := record.Backend.ID
	known, live := d.live[id]
	if live && record.Revision <= known.member.AnnouncedRevision {
		return events
	}
	left, remembered := d.removed[id]
	if remembered && record.Revision <= left.Revision {
		return events
	}
	d.changed[id] = true
	d.clearExpiredAt(record.Backend.Address)
	delete(d.removed, id)
	var last Backend
	begun := serverStart{seenAt: now}
	switch {
	case live:
		last, begun = known.member.Backend, known.start
	case remembered:
		last, begun = left.Backend, left.start
	}
	born := record.Backend.Born
	begun = begun.next(last.Born, born, now, d.confirmedAt, d.interval)
	member := &Member{
		Backend: record.Backend, Tag: TagOf(id), ColdUntil: now + record.Backend.WarmUp, Since: begun.seenAt, StartedAfter: begun.startedAfter,
		AnnouncedRevision: record.Revision, Evacuated: d.evacuated(&record.Backend),
	}
	d.live[id] = entry{member, begun}
	event := Event{Backend: &member.Backend, Revision: record.Revision}
	switch {
	case born.Differs(last.Born):
		event.Transition = BackendRestarted
	case record.Backend.Draining && (!live || !last.Draining):
		event.Transition = BackendDraining
	case live && last.Draining && !record.Backend.Draining:
		event.Transition = BackendReturned
	case !live:
		event.Transition = BackendAdded
	default:
		return events
	}
	return append(events, event)
}

func (d *Directory) applyRemoval(now time.Duration, events []Event, gone Gone) []Event {
	known, live := d.live[gone.ID]
	if !live || gone.Revision < known.member.AnnouncedRevision {
		return events
	}
	d.changed[gone.ID] = true
	delete(d.live, gone.ID)
	d.removed[gone.ID] = removedBackend{Record: Record{known.member.Backend, gone.Revision}, removedAt: now, announcedRevision: known.member.AnnouncedRevision, start: known.start}
	return append(events, Event{Transition: BackendGone, Backend: &known.member.Backend, Revision: gone.Revision})
}

// rememberDeparted takes over from another balancer that a back end is gone.
func (d *Directory) addRemoved(now time.Duration, record Record) {
	if _, live := d.live[record.Backend.ID]; live {
		return
	}
	if _, known := d.removed[record.Backend.ID]; !known {
		d.changed[record.Backend.ID] = true
		d.removed[record.Backend.ID] = removedBackend{Record: record, removedAt: now, announcedRevision: record.Revision, start: serverStart{latest: record.Backend.Born, seenAt: now}}
	}
}

// Forget drops back ends that departed so long ago that no flow rests on them.
// It tells whether there were any.
func (d *Directory) Forget(now time.Duration) bool {
	forgotten := false
	if !d.inReturnWindow(now) {
		clear(d.expired)
	}
	for id, left := range d.removed {
		if now-left.removedAt > d.retention {
			d.changed[id] = true
			delete(d.removed, id)
			d.forgottenRevision = max(d.forgottenRevision, left.Revision)
			forgotten = true
		}
	}
	return forgotten
}

// MembershipChanged tells whether any event is of a back end that came, went, started anew, drains or no longer does.
func MembershipChanged(events []Event) bool {
	for i := range events {
		switch events[i].Transition {
		case BackendAdded, BackendGone, BackendDraining, BackendReturned, BackendRestarted, BackendUnusable:
			return true
		}
	}
	return false
}
