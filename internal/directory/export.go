package directory

import (
	"cmp"
	"iter"
	"slices"
)

// ChangesSince returns what changed after an earlier revision, for another balancer that is complete up to there
// and has the settings of the revision base in force. known is false if back ends removed since then have been
// forgotten or were never known here; the other balancer then needs a Listing.
func (d *Directory) ChangesSince(after, base uint64) (changes *Changes, known bool) {
	if after == 0 || after < d.forgottenRevision || d.inGap(after) {
		return nil, false
	}
	changes = &Changes{Revision: d.revision, FromPeer: true, Expired: d.expiredSince(after)}
	if d.settings.Revision > base {
		if changes.Step = d.stepFrom(base); changes.Step == nil {
			current := d.settings
			changes.Settings = &current
		}
	}
	for _, known := range d.live {
		if known.member.AnnouncedRevision > after {
			changes.Records = append(changes.Records, known.record())
		}
	}
	for id, removed := range d.removed {
		if removed.Revision > after {
			changes.Removed = append(changes.Removed, Removal{ID: id, Revision: removed.Revision})
		}
	}
	changes.Evacuations = d.evacuationsSince(after)
	sortRecords(changes.Records)
	slices.SortFunc(changes.Removed, func(a, b Removal) int { return cmp.Compare(a.ID, b.ID) })
	return changes, true
}

// Listing returns the whole known state, for another balancer.
func (d *Directory) Listing() *Listing {
	listing := &Listing{Revision: d.revision, FromPeer: true, Expired: d.expiredSince(0)}
	if d.settings.Revision > 0 {
		current := d.settings
		listing.Settings = &current
	}
	for _, known := range d.live {
		listing.Records = append(listing.Records, known.record())
	}
	for _, removed := range d.removed {
		listing.Removed = append(listing.Removed, removed.Record)
	}
	listing.Evacuations = d.evacuationsSince(0)
	sortRecords(listing.Records)
	sortRecords(listing.Removed)
	return listing
}

// Live returns the number of live back ends and their records in no order.
func (d *Directory) Live() (count int, records iter.Seq[Record]) {
	return len(d.live), func(yield func(Record) bool) {
		for _, known := range d.live {
			if !yield(known.record()) {
				return
			}
		}
	}
}

// sortRecords sorts records by identifier, so that equal states are sent as equal messages.
func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Backend.ID, b.Backend.ID) })
}
