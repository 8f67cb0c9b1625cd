package directory

import (
	"time"

	"github.com/zeebo/xxh3"

	"gaugeyard/internal/settings"
)

// Tag is what packets of an established flow carry to name their back end. It is
// the back end's identifier folded to 32 bits, so that every balancer computes
// the same tag and none has to hand tags out.
type Tag uint32

// TagOf returns the tag of a back end. Identifiers of up to 32 bits have tags of
// their own; of longer ones, two back ends may share a tag.
func TagOf(id settings.BackendID) Tag {
	return Tag(uint32(id) ^ uint32(id>>32))
}

// Member is one back end as a view holds it. It is read-only.
type Member struct {
	Backend
	Tag Tag
	// ColdUntil is when the back end's warm-up ends.
	ColdUntil time.Duration
	// Since is when this process learned of this start of the back end.
	Since time.Duration
	// StartedAfter is a time before its present start: what a flow did earlier, it did with a start before. 0
	// where no other start is known.
	StartedAfter time.Duration
	// Gone is set once the entry vanished; GoneAt is when that was learned.
	Gone   bool
	GoneAt time.Duration
	// Announced is the store's revision at which it last wrote its entry; of one that is gone, that or a
	// later one.
	AnnouncedRevision uint64
	// LapsedUntil is how long a gone one may take new flows all the same, since its entry vanished in
	// an outage of the store.
	LapsedUntil time.Duration
	// Evacuated is set while the back end's zone takes no new flow.
	Evacuated bool
}

// View is what packets are steered by. It is read-only.
type View struct {
	// Revision is up to where the view is complete.
	Revision uint64
	// Settings is nil while none are known.
	Settings *settings.Snapshot
	// Version is the operators' version of Settings.
	Version uint64
	// groups and tags are divided, so that a view is built from the one before by
	// copying the parts that changed alone.
	groups [viewParts]map[string]*Pool
	tags   [viewParts]map[Tag][]*Member
	// of is the directory that built the view as its serial-th, and changed what differs from the one before.
	builtBy *Directory
	serial  uint64
	changed []settings.BackendID
}

// ChangedSince returns the back ends that differ from an earlier view, in no order, where that is the
// one before; else it is not known which do.
func (v *View) ChangedSince(before *View) (ids []settings.BackendID, known bool) {
	return v.changed, v.builtBy != nil && v.builtBy == before.builtBy && v.serial == before.serial+1
}

// viewParts is in how many parts the tables of a view are divided.
const viewParts = 256

func groupPart(name string) int { return int(xxh3.HashString(name) % viewParts) }

func tagPart(tag Tag) int { return int(tag % viewParts) }

// Pool is the back ends of one group, in order of identifier.
type Pool struct {
	// Open take new flows.
	Open []*Member
	// Left are those that are gone and remembered, but for evacuated zones.
	Left []*Member
	// LapsedUntil is how long any of Left may take new flows.
	LapsedUntil time.Duration
}

// emptyPool stands for groups that no back end announces.
var emptyPool = &Pool{}

// Pool returns the back ends that announce the name.
func (v *View) Pool(discover string) *Pool {
	if pool := v.groups[groupPart(discover)][discover]; pool != nil {
		return pool
	}
	return emptyPool
}

// Tagged returns the back ends with the tag, mostly one.
func (v *View) Tagged(tag Tag) []*Member {
	return v.tags[tagPart(tag)][tag]
}

// Backends counts the back ends that are not gone.
func (v *View) Backends() int {
	count := 0
	for _, part := range v.tags {
		for _, members := range part {
			for _, member := range members {
				if !member.Gone {
					count++
				}
			}
		}
	}
	return count
}

// Member returns the back end, live or gone, or nil.
func (v *View) Member(id settings.BackendID) *Member {
	for _, member := range v.Tagged(TagOf(id)) {
		if member.ID == id {
			return member
		}
	}
	return nil
}

// Departed tells whether the entry of a back end that the view has vanished.
func (v *View) Departed(id settings.BackendID) bool {
	member := v.Member(id)
	return member != nil && member.Gone
}

// Knows tells whether the view has the back end, live or gone.
func (v *View) Knows(id settings.BackendID) bool {
	return v.Member(id) != nil
}
