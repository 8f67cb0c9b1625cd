package directory

import (
	"cmp"
	"maps"
	"slices"
)

// Evacuation is the operators' latest request on whether the back ends of a zone may take new flows.
// It has a revision of its own, apart from the settings, so that neither write can undo the other.
type Evacuation struct {
	Zone string
	// Active is set while the zone takes no new flows; open flows stay.
	Active bool
	// Revision is the store's revision of the write or of the removal.
	Revision uint64
}

// EvacuatedZones returns the zones that take no new flows, in order of name.
func (d *Directory) EvacuatedZones() []string {
	var zones []string
	for zone, known := range d.evacuations {
		if known.Active {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// applyEvacuation applies an evacuation or its end, unless a newer one of the zone is known.
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

// markZoneChanged marks all back ends of a zone as changed for the next view.
func (d *Directory) markZoneChanged(zone string) {
	for id, known := range d.live {
		if known.member.Zone == zone {
			d.changed[id] = true
		}
	}
	for id, removed := range d.removed {
		if removed.Backend.Zone == zone {
			d.changed[id] = true
		}
	}
}

// replaceEvacuations applies the evacuations of a listing and ends all others, so that a zone does
// not stay evacuated if the end of its evacuation is in lost history.
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

// evacuationsSince returns the evacuations and their ends after a revision, in order of zone.
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

// evacuated reports whether the back end is in a zone that takes no new flows.
func (d *Directory) evacuated(backend *Backend) bool {
	return d.evacuations[backend.Zone].Active
}
