// Package directory holds the desired state as known to one balancer: the operators' settings
// and the back ends that announced themselves, each with the store's revision. It merges what
// it receives from the store and from other balancers, never goes back to an older revision,
// and remembers removed back ends for as long as flows may be pinned to them. It has no clock
// and does no I/O.
//
// Messages may be received twice, late or out of order and lead to the same state: each entry
// has the store's revision, and only a higher one replaces it.
//
// Terms:
//   - A listing is the whole state at one revision; changes are the writes after a revision.
//   - A step is the difference between two versions of the settings.
//   - A view is the immutable state by which packets are steered.
//   - An evacuation is the operators' request that a zone take no new flows.
//   - A removed back end is one whose entry is removed. It keeps its tag, and takes new flows
//     only for a short time while its group has no other back end for them.
//   - An expired back end was removed in an outage of the store, and may still take new flows
//     for a short time after the store's return.
//
// A Directory is not safe for concurrent use. Its views are read-only and safe for concurrent
// use; each shares the unchanged parts with the previous one.
//
// # Usage
//
//	d := directory.New(flowLife + drain)
//	events := d.Replace(now, listing)         // at the start, or when history is lost
//	base := d.Base()                          // like every method of d, one caller at a time
//	changes.Prepared = base.Prepare(changes.Settings, changes.Step, pause) // needs no lock
//	events = d.Apply(now, changes)            // for each later response
//	steerer.SetView(d.View())                 // steers packets by the new state
//	changes, known := d.ChangesSince(after, base) // what another balancer lacks
package directory

import (
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/settings"
)

// entry is a live back end. It shares the member with the views, to save memory in large fleets.
type entry struct {
	member *Member
	start  serverStart
}

// record returns the back end as received.
func (e entry) record() Record { return Record{e.member.Backend, e.member.AnnouncedRevision} }

// removedBackend is a back end whose entry is removed.
type removedBackend struct {
	Record
	removedAt time.Duration
	// announcedRevision is the revision at which it last wrote its entry, or a later one.
	announcedRevision uint64
	// usableUntil is until when it may still take new flows, since its entry expired in an outage. 0 if it may not.
	usableUntil time.Duration
	start       serverStart
}

// Directory is the desired state as known to this balancer. It is not safe for concurrent use;
// the views that it builds are read-only and safe for concurrent use.
type Directory struct {
	// retention is how long a removed back end is remembered: as long as a flow lives.
	retention time.Duration
	revision  uint64
	settings  Settings
	resolved  *settings.Snapshot
	// steps lead to the settings in force, each from the result of the previous one.
	steps   []Step
	live    map[settings.BackendID]entry
	removed map[settings.BackendID]removedBackend
	// evacuations has the newest evacuation of each zone, also a revoked one, so that an older one
	// received late changes nothing.
	evacuations map[string]Evacuation
	// view is the last view built, and changed are the back ends that changed since.
	view    *View
	changed map[settings.BackendID]bool
	// forgottenRevision is the highest revision at which a back end forgotten since was removed.
	forgottenRevision uint64
	// gaps are the ranges of revisions in which removals may have been missed.
	gaps []gap
	// expired has the expired back ends of the last outage, which ended with lastReturn, by address.
	expiryBounds ExpiryBounds
	lastReturn   storeReturn
	expired      map[netip.AddrPort]settings.BackendID
	// confirmedAt is when the store last confirmed the known state, and interval how often servers write.
	confirmedAt, interval time.Duration
}

// New returns an empty directory that remembers removed back ends for the retention.
func New(retention time.Duration) *Directory {
	return &Directory{
		retention:   retention,
		live:        map[settings.BackendID]entry{},
		removed:     map[settings.BackendID]removedBackend{},
		evacuations: map[string]Evacuation{},
		view:        &View{},
		changed:     map[settings.BackendID]bool{},
		expired:     map[netip.AddrPort]settings.BackendID{},
	}
}

// SetRetention sets how long removed back ends are remembered.
func (d *Directory) SetRetention(retention time.Duration) { d.retention = retention }

// Revision returns the store's revision up to which the directory is complete, 0 for none.
func (d *Directory) Revision() uint64 { return d.revision }

// Replace replaces the known state by a listing. Of a listing that is older than the known state it
// applies only the removed back ends.
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
		// Allocates for the first listing at once.
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
	var unlisted []settings.BackendID
	for id, known := range d.live {
		if !listed[id] && known.member.AnnouncedRevision <= listing.Revision {
			unlisted = append(unlisted, id)
		}
	}
	slices.Sort(unlisted)
	for _, id := range unlisted {
		events = d.applyRemoval(now, events, Removal{ID: id, Revision: listing.Revision})
	}
	if listing.FromPeer {
		unlisted = listing.Expired
	}
	d.markExpired(now, unlisted)
	d.addMissing(now, listing.Missing)
	return events
}

// Apply applies changes after the revision up to which the directory is complete. If they have a
// step from settings that are not in force, it applies nothing and the revision stays, so that the
// same changes are requested again.
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
	var removedIDs []settings.BackendID
	for _, removal := range changes.Removed {
		before := len(events)
		if events = d.applyRemoval(now, events, removal); len(events) > before {
			removedIDs = append(removedIDs, removal.ID)
		}
	}
	if changes.FromPeer {
		removedIDs = changes.Expired
	}
	for _, unusable := range changes.Unusable {
		events = d.applyUnusable(now, events, unusable)
	}
	d.markExpired(now, removedIDs)
	d.revision = max(d.revision, changes.Revision)
	return events
}

func (d *Directory) applyRecord(now time.Duration, events []Event, record Record) []Event {
	id := record.Backend.ID
	known, live := d.live[id]
	if live && record.Revision <= known.member.AnnouncedRevision {
		return events
	}
	removed, remembered := d.removed[id]
	if remembered && record.Revision <= removed.Revision {
		return events
	}
	d.changed[id] = true
	d.replaceExpired(&record.Backend)
	delete(d.removed, id)
	var previous Backend
	started := serverStart{seenAt: now}
	switch {
	case live:
		previous, started = known.member.Backend, known.start
	case remembered:
		previous, started = removed.Backend, removed.start
	}
	startTime := record.Backend.StartTime
	started = started.next(previous.StartTime, startTime, now, d.confirmedAt, d.interval)
	member := &Member{
		Backend: record.Backend, Tag: TagOf(id), WarmUpUntil: now + record.Backend.WarmUp, StartSeenAt: started.seenAt, StartedAfter: started.startedAfter,
		AnnouncedRevision: record.Revision, Evacuated: d.evacuated(&record.Backend),
	}
	d.live[id] = entry{member, started}
	event := Event{Backend: &member.Backend, Revision: record.Revision}
	switch {
	case startTime.DiffersFrom(previous.StartTime):
		event.Transition = BackendRestarted
	case record.Backend.Draining && (!live || !previous.Draining):
		event.Transition = BackendDraining
	case live && previous.Draining && !record.Backend.Draining:
		event.Transition = BackendReturned
	case !live:
		event.Transition = BackendAdded
	default:
		return events
	}
	return append(events, event)
}

func (d *Directory) applyRemoval(now time.Duration, events []Event, removal Removal) []Event {
	known, live := d.live[removal.ID]
	if !live || removal.Revision < known.member.AnnouncedRevision {
		return events
	}
	d.changed[removal.ID] = true
	delete(d.live, removal.ID)
	d.removed[removal.ID] = removedBackend{Record: Record{known.member.Backend, removal.Revision}, removedAt: now, announcedRevision: known.member.AnnouncedRevision, start: known.start}
	return append(events, Event{Transition: BackendRemoved, Backend: &known.member.Backend, Revision: removal.Revision})
}

// addRemoved adds a back end that another balancer reports as removed, unless it is known.
func (d *Directory) addRemoved(now time.Duration, record Record) {
	if _, live := d.live[record.Backend.ID]; live {
		return
	}
	if _, known := d.removed[record.Backend.ID]; !known {
		d.changed[record.Backend.ID] = true
		d.removed[record.Backend.ID] = removedBackend{Record: record, removedAt: now, announcedRevision: record.Revision, start: serverStart{latest: record.Backend.StartTime, seenAt: now}}
	}
}

// Forget deletes back ends that were removed more than the retention ago, to which no flow is
// pinned any more. It reports whether there were any.
func (d *Directory) Forget(now time.Duration) bool {
	forgotten := false
	if !d.inReturnWindow(now) {
		clear(d.expired)
	}
	for id, removed := range d.removed {
		if now-removed.removedAt > d.retention {
			d.changed[id] = true
			delete(d.removed, id)
			d.forgottenRevision = max(d.forgottenRevision, removed.Revision)
			forgotten = true
		}
	}
	return forgotten
}

// MembershipChanged reports whether any event is of a back end that was added or removed, restarted, became
// unusable, or started or stopped draining.
func MembershipChanged(events []Event) bool {
	for i := range events {
		switch events[i].Transition {
		case BackendAdded, BackendRemoved, BackendDraining, BackendReturned, BackendRestarted, BackendUnusable:
			return true
		}
	}
	return false
}
