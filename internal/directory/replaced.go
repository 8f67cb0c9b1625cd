package directory

import (
	"net/netip"

	"gaugeyard/internal/settings"
)

// Replaced returns those of the back ends that have certainly ended, in the order given: the entry is removed,
// and a server announced itself at the address later than this one last did. An address has only one server at
// a time, so this also holds if the entry expired by mistake: no other server announces the address of one that
// runs behind a partition, and its previous owner announced it earlier.
func (v *View) Replaced(ids []settings.BackendID) []settings.BackendID {
	newestAt := map[netip.AddrPort]uint64{}
	for _, id := range ids {
		if member := v.Member(id); member != nil && member.Removed {
			newestAt[member.Address] = 0
		}
	}
	if len(newestAt) == 0 {
		return nil
	}
	for _, part := range v.tags {
		for _, members := range part {
			for _, member := range members {
				if newest, found := newestAt[member.Address]; found && !member.Removed {
					newestAt[member.Address] = max(newest, member.AnnouncedRevision)
				}
			}
		}
	}
	var replaced []settings.BackendID
	for _, id := range ids {
		if member := v.Member(id); member != nil && member.Removed && newestAt[member.Address] > member.AnnouncedRevision {
			replaced = append(replaced, id)
		}
	}
	return replaced
}
