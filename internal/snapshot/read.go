package snapshot

import (
	"net/netip"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

// minMissingShare is the share of a group's back ends above which those missing in a listing are
// taken for expired in an outage. A release replaces a smaller share between two writes.
const minMissingShare = 0.25

// Reading is the decoded content of a snapshot.
type Reading struct {
	records []directory.Record
	// Errors has one error for each rejected part.
	Errors []error
}

// Read decodes the parts that a listing found. Where they differ in the number of parts, only those
// with the number that was written last are used.
func Read(parts []Stored) Reading {
	var reading Reading
	var valid []*content
	newestRevision, partCount := uint64(0), 0
	for _, stored := range parts {
		decoded, err := decode(stored.Value)
		if err == nil && decoded.Part != stored.Part {
			err = errInvalidPart.New("part %d is stored as part %d", decoded.Part, stored.Part)
		}
		if err != nil {
			reading.Errors = append(reading.Errors, err)
			continue
		}
		valid = append(valid, decoded)
		if stored.Revision >= newestRevision {
			newestRevision, partCount = stored.Revision, decoded.Parts
		}
	}
	for _, decoded := range valid {
		if decoded.Parts == partCount {
			reading.records = append(reading.records, decoded.records()...)
		}
	}
	return reading
}

// Missing returns the back ends of the snapshot that are not listed, of groups in which more than
// minMissingShare of them are missing. It leaves out back ends whose address is listed under another
// identifier.
func (r *Reading) Missing(listed []directory.Record) []directory.Record {
	ids, addresses, listedByGroup := map[settings.BackendID]bool{}, map[netip.AddrPort]bool{}, map[string]int{}
	for i := range listed {
		b := &listed[i].Backend
		ids[b.ID], addresses[b.Address] = true, true
		listedByGroup[b.Group]++
	}
	recordedByGroup := map[string]int{}
	for i := range r.records {
		recordedByGroup[r.records[i].Backend.Group]++
	}
	var missing []directory.Record
	for _, record := range r.records {
		b := &record.Backend
		if !ids[b.ID] && !addresses[b.Address] && float64(listedByGroup[b.Group]) < (1-minMissingShare)*float64(recordedByGroup[b.Group]) {
			missing = append(missing, record)
		}
	}
	return missing
}
