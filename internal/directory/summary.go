package directory

import "time"

// maxSummaryBackends bounds the back ends of a summary: 4 to 7 kB compressed, small enough to transfer and apply
// within milliseconds, and enough to spread the new flows that are placed until everything is known.
const maxSummaryBackends = 512

// Summary returns what a starting balancer needs to place new flows before it knows everything: the settings and
// some back ends that take new flows, those of the zone first. The choice is random, so that balancers that
// request summaries from different peers spread their flows. Its revision is 0, since it is complete up to none.
func (d *Directory) Summary(zone string) *Listing {
	summary := &Listing{FromPeer: true, Evacuations: d.evacuationsSince(0)}
	if d.settings.Revision > 0 {
		current := d.settings
		summary.Settings = &current
	}
	var otherZones Records
	// The iteration order of a map is random.
	for _, known := range d.live {
		switch {
		case len(summary.Records) == maxSummaryBackends:
		case known.member.Draining || d.evacuated(&known.member.Backend):
		case known.member.Zone == zone:
			summary.Records = append(summary.Records, known.record())
		case len(otherZones) < maxSummaryBackends:
			otherZones = append(otherZones, known.record())
		}
	}
	remaining := maxSummaryBackends - len(summary.Records)
	summary.Records = append(summary.Records, otherZones[:min(remaining, len(otherZones))]...)
	sortRecords(summary.Records)
	return summary
}

// ApplySummary applies a summary, or the first page of a listing, if nothing is known yet. The directory stays
// complete up to no revision. Replace applies the remaining parts of a listing.
func (d *Directory) ApplySummary(now time.Duration, summary *Listing) []Event {
	if d.revision > 0 {
		return nil
	}
	events := d.applySettings(nil, summary.Settings, nil, summary.Prepared)
	for _, evacuation := range summary.Evacuations {
		events = d.applyEvacuation(events, evacuation)
	}
	for _, record := range summary.Records {
		events = d.applyRecord(now, events, record)
	}
	return events
}
