package directory

import (
	"cmp"
	"maps"
	"slices"
)

// Evacuation is the newest word of the operators on one zone: whether its back ends may take
// new flows. It stands beside the settings, with a revision of its own: a zone is emptied and
// taken back at a moment's notice, and neither order of the two writes may undo the other.
type Evacuation struct {
	Zone string
	// Active zones take no new flow; open flows stay.
	Active bool
	// Revision is the store's revision of the write or of the removal.
	Revision uint64
}

// Evacuated returns the zones that take no new flow, in order of name.
func (d *Directory) Evacuated() []string {
	var zones []string
	for zone, known := range d.evacuations {
		if known.Active {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// applyEvacuation takes over a newer word on a zone.
func (d *Directory) applyEvacuation(events []Event, next Evacuation) []Event {
	known := d.evacuations[next.Zone]
	if next.Revision <= known.Revision {
		return events
	}
	d.evacuations[next.Zone] = next
	if next.Active == known.Active {
		return events
	}
	d.markZoneChanged(next.Zone)
	event := Event{Transition: ZoneRestored, Zone: next.Zone, Revision: next.Revision}
	if next.Active {
		event.Transition = ZoneEvacuated
	}
	return append(events, event)
}

// changeZone lets the next view have all back ends of a zone anew.
func (d *Directory) markZoneChanged(zone string) {
	for id, known := range d.live {
		if known.member.Zone == zone {
			d.changed[id] = true
		}
	}
	for id, left := range d.removed {
		if left.Backend.Zone == zone {
			d.changed[id] = true
		}
	}
}

// replaceEvacuations takes over what a listing has; zones that it does not name are taken back, so
// that a removal that fell into lost history cannot keep a zone empty.
func (d *Directory) replaceEvacuations(events []Event, listing *Listing) []Event {
	listed := map[string]bool{}
	for _, next := range listing.Evacuations {
		listed[next.Zone] = true
		events = d.applyEvacuation(events, next)
	}
	for _, zone := range slices.Sorted(maps.Keys(d.evacuations)) {
		if known := d.evacuations[zone]; known.Active && !listed[zone] {
			events = d.applyEvacuation(events, Evacuation{Zone: zone, Revision: listing.Revision})
		}
	}
	return events
}

// evacuationsSince returns what was said of zones after a revision, in order of name.
func (d *Directory) evacuationsSince(after uint64) []Evacuation {
	var since []Evacuation
	for _, known := range d.evacuations {
		if known.Revision > after {
			since = append(since, known)
		}
	}
	slices.SortFunc(since, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return since
}

// evacuated tells whether the back end is in a zone that takes no new flow.
func (d *Directory) evacuated(backend *Backend) bool {
	return d.evacuations[backend.Zone].Active
}
