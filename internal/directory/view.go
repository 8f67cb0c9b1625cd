package directory

import (
	"time"

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
	// Gone is set once the entry vanished; GoneAt is when that was learned.
	Gone   bool
	GoneAt time.Duration
}

// View is what packets are steered by. It is read-only.
type View struct {
	// Revision is up to where the view is complete.
	Revision uint64
	// Settings is nil while none are known.
	Settings *settings.Snapshot
	// Version is the operators' version of Settings.
	Version uint64
	groups  map[string]*Pool
	tags    map[Tag][]*Member
}

// Pool is the back ends of one group, in order of identifier.
type Pool struct {
	// Open take new flows.
	Open []*Member
	// Left are those that are gone and remembered.
	Left []*Member
}

// emptyPool stands for groups that no back end announces.
var emptyPool = &Pool{}

// Pool returns the back ends that announce the name.
func (v *View) Pool(discover string) *Pool {
	if pool := v.groups[discover]; pool != nil {
		return pool
	}
	return emptyPool
}

// Tagged returns the back ends with the tag, mostly one.
func (v *View) Tagged(tag Tag) []*Member {
	return v.tags[tag]
}

// Backends counts the back ends that are not gone.
func (v *View) Backends() int {
	count := 0
	for _, members := range v.tags {
		for _, member := range members {
			if !member.Gone {
				count++
			}
		}
	}
	return count
}

// View builds the view of what is believed now.
func (d *Directory) View() *View {
	view := &View{
		Revision: d.revision,
		Settings: d.resolved,
		Version:  d.settings.Version,
		groups:   map[string]*Pool{},
		tags:     make(map[Tag][]*Member, len(d.live)+len(d.gone)),
	}
	for _, id := range d.liveIDs() {
		known := d.live[id]
		member := view.add(&Member{Backend: known.Backend, ColdUntil: known.coldUntil})
		if !member.Draining {
			pool := view.pool(member.Group)
			pool.Open = append(pool.Open, member)
		}
	}
	for _, id := range d.goneIDs() {
		left := d.gone[id]
		member := view.add(&Member{Backend: left.Backend, Gone: true, GoneAt: left.at})
		if !member.Draining {
			pool := view.pool(member.Group)
			pool.Left = append(pool.Left, member)
		}
	}
	return view
}

func (v *View) add(member *Member) *Member {
	member.Tag = TagOf(member.ID)
	v.tags[member.Tag] = append(v.tags[member.Tag], member)
	return member
}

func (v *View) pool(name string) *Pool {
	pool := v.groups[name]
	if pool == nil {
		pool = &Pool{}
		v.groups[name] = pool
	}
	return pool
}

// Knows tells whether the view has the back end, live or gone.
func (v *View) Knows(id settings.BackendID) bool {
	for _, member := range v.tags[TagOf(id)] {
		if member.ID == id {
			return true
		}
	}
	return false
}
