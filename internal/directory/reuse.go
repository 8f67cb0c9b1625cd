package directory

import (
	"net/netip"

	"gaugeyard/internal/settings"
)

// Replaced returns those of the back ends that have ended for certain, in the order given: the entry is
// gone, and another start of a server announced itself at the address, later than this one last did. No
// address has two servers, so that this holds as well where the entry lapsed by mistake: of a server
// that lives behind a cut no other one announces the address, and the one that had it before announced
// itself earlier.
func (v *View) Replaced(ids []settings.BackendID) []settings.BackendID {
	left := map[netip.AddrPort]uint64{}
	for _, id := range ids {
		if member := v.Member(id); member != nil && member.Gone {
			left[member.Address] = 0
		}
	}
	if len(left) == 0 {
		return nil
	}
	for _, part := range v.tags {
		for _, members := range part {
			for _, member := range members {
				if newest, asked := left[member.Address]; asked && !member.Gone {
					left[member.Address] = max(newest, member.AnnouncedRevision)
				}
			}
		}
	}
	var replaced []settings.BackendID
	for _, id := range ids {
		if member := v.Member(id); member != nil && member.Gone && left[member.Address] > member.AnnouncedRevision {
			replaced = append(replaced, id)
		}
	}
	return replaced
}
