package snapshot

import (
	"net/netip"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// missingPart is which part of a group's back ends of the snapshot must be missing in a listing for that to be
// an outage's work: within the least time between two writes a release replaces less.
const missingPart = 0.25

// Reading is what was read of a snapshot.
type Reading struct {
	records []directory.Record
	// Faults says what is wrong with parts that are not believed.
	Faults []error
}

// Read reads what a listing found. Where parts were divided anew, those of the division that was written
// last count.
func Read(parts []Stored) Reading {
	var reading Reading
	var sound []*content
	newest, division := uint64(0), 0
	for _, stored := range parts {
		read, err := decode(stored.Value)
		if err == nil && read.Part != stored.Part {
			err = errPart.New("part %d stands in the place of %d", read.Part, stored.Part)
		}
		if err != nil {
			reading.Faults = append(reading.Faults, err)
			continue
		}
		sound = append(sound, read)
		if stored.Revision >= newest {
			newest, division = stored.Revision, read.Parts
		}
	}
	for _, read := range sound {
		if read.Parts == division {
			reading.records = append(reading.records, read.records()...)
		}
	}
	return reading
}

// Missing returns the back ends that the snapshot has and the listing does not, of groups of which so many
// are missing that their entries must have lapsed. Their addresses are no listed one's.
func (r *Reading) Missing(listed []directory.Record) []directory.Record {
	ids, addresses, live := map[settings.BackendID]bool{}, map[netip.AddrPort]bool{}, map[string]int{}
	for i := range listed {
		b := &listed[i].Backend
		ids[b.ID], addresses[b.Address] = true, true
		live[b.Group]++
	}
	known := map[string]int{}
	for i := range r.records {
		known[r.records[i].Backend.Group]++
	}
	var missing []directory.Record
	for _, record := range r.records {
		b := &record.Backend
		if !ids[b.ID] && !addresses[b.Address] && float64(live[b.Group]) < (1-missingPart)*float64(known[b.Group]) {
			missing = append(missing, record)
		}
	}
	return missing
}
