package directory

import (
	"net/netip"

	"gaugeyard/internal/settings"
)

// Replacements returns, for each of the back ends whose entry is removed, those whose entries name its address and
// were written later than it last wrote its own. One of them has replaced it if it answers there: an address has
// only one server at a time. The entry alone does not prove that, since other writers may have written it.
func (v *View) Replacements(ids []settings.BackendID) map[settings.BackendID][]settings.BackendID {
	removedAt := map[netip.AddrPort][]*Member{}
	for _, id := range ids {
		if member := v.Member(id); member != nil && member.Removed {
			removedAt[member.Address] = append(removedAt[member.Address], member)
		}
	}
	if len(removedAt) == 0 {
		return nil
	}
	replacements := map[settings.BackendID][]settings.BackendID{}
	for _, part := range v.tags {
		for _, members := range part {
			for _, member := range members {
				if member.Removed {
					continue
				}
				for _, removed := range removedAt[member.Address] {
					if member.AnnouncedRevision > removed.AnnouncedRevision {
						replacements[removed.ID] = append(replacements[removed.ID], member.ID)
					}
				}
			}
		}
	}
	return replacements
}
