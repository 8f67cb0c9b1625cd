package directory

import (
	"time"

	"github.com/zeebo/xxh3"

	"gaugeyard/internal/settings"
)

// Tag identifies a back end in the packets of an established flow. It is the back end's
// identifier folded to 32 bits, so that every balancer computes the same tag without
// coordination.
type Tag uint32

// TagOf returns the tag of a back end. Identifiers of up to 32 bits have unique tags;
// back ends with longer identifiers may share a tag.
func TagOf(id settings.BackendID) Tag {
	return Tag(uint32(id) ^ uint32(id>>32))
}

// Member is a back end in a view. It is read-only.
type Member struct {
	Backend
	Tag Tag
	// WarmUpUntil is when the back end's warm-up ends.
	WarmUpUntil time.Duration
	// StartSeenAt is when this process learned of the current start of the back end.
	StartSeenAt time.Duration
	// StartedAfter is a lower bound of the current start: earlier packets of a flow went to an earlier start. 0 if
	// no other start is known.
	StartedAfter time.Duration
	// Removed is set once the entry is removed; RemovedAt is when this process learned of that.
	Removed   bool
	RemovedAt time.Duration
	// AnnouncedRevision is the store's revision at which the back end last wrote its entry; for a removed one,
	// that or a later one.
	AnnouncedRevision uint64
	// UsableUntil is until when a removed back end may still take new flows, since its entry expired in an outage
	// of the store. 0 if it may not.
	UsableUntil time.Duration
	// Evacuated is set while the back end's zone takes no new flows.
	Evacuated bool
}

// View is the immutable state by which packets are steered.
type View struct {
	// Revision is the store's revision up to which the view is complete.
	Revision uint64
	// Settings is nil until settings are known.
	Settings *settings.Snapshot
	// Version is the operators' version of Settings.
	Version uint64
	// groups and tags are partitioned, so that building a view from the previous one
	// copies only the parts that changed.
	groups [viewParts]map[string]*Pool
	tags   [viewParts]map[Tag][]*Member
	// builtBy is the directory that built the view, serial the number of the view there, and changed lists the
	// back ends that differ from the previous view.
	builtBy *Directory
	serial  uint64
	changed []settings.BackendID
}

// ChangedSince returns the back ends that differ from an earlier view, in no order. known is false unless that
// is the view built directly before.
func (v *View) ChangedSince(before *View) (ids []settings.BackendID, known bool) {
	return v.changed, v.builtBy != nil && v.builtBy == before.builtBy && v.serial == before.serial+1
}

// viewParts is the number of parts of each table of a view.
const viewParts = 256

func groupPart(name string) int { return int(xxh3.HashString(name) % viewParts) }

func tagPart(tag Tag) int { return int(tag % viewParts) }

// Pool holds the back ends of one group, in order of identifier.
type Pool struct {
	// Open are the back ends that take new flows.
	Open []*Member
	// Removed are the remembered removed back ends, except draining ones and those of evacuated zones.
	Removed []*Member
	// UsableUntil is until when any of Removed may take new flows.
	UsableUntil time.Duration
}

// emptyPool is returned for groups that no back end announces.
var emptyPool = &Pool{}

// Pool returns the back ends that announce the group, an empty pool if there are none.
func (v *View) Pool(discover string) *Pool {
	if pool := v.groups[groupPart(discover)][discover]; pool != nil {
		return pool
	}
	return emptyPool
}

// Tagged returns the back ends with the tag, usually one.
func (v *View) Tagged(tag Tag) []*Member {
	return v.tags[tagPart(tag)][tag]
}

// Backends returns the number of back ends that are not removed.
func (v *View) Backends() int {
	count := 0
	for _, part := range v.tags {
		for _, members := range part {
			for _, member := range members {
				if !member.Removed {
					count++
				}
			}
		}
	}
	return count
}

// Member returns the back end, live or removed, or nil if it is not known.
func (v *View) Member(id settings.BackendID) *Member {
	for _, member := range v.Tagged(TagOf(id)) {
		if member.ID == id {
			return member
		}
	}
	return nil
}

// IsRemoved reports whether the view has the back end and its entry is removed.
func (v *View) IsRemoved(id settings.BackendID) bool {
	member := v.Member(id)
	return member != nil && member.Removed
}

// Contains reports whether the view has the back end, live or removed.
func (v *View) Contains(id settings.BackendID) bool {
	return v.Member(id) != nil
}
