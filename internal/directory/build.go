package directory

import (
	"cmp"
	"maps"
	"slices"

	"gaugeyard/internal/settings"
)

// View returns the view of what is believed now. It is built from the last one: its cost
// grows with what changed since, not with all that is believed.
func (d *Directory) View() *View {
	next := *d.view
	next.Revision, next.Settings, next.Version = d.revision, d.resolved, d.settings.Version
	b := builder{view: &next, ownGroups: map[int]bool{}, ownTags: map[int]bool{}, ownPools: map[string]bool{}}
	for id := range d.changed {
		b.replace(d.view.Member(id), d.member(id))
	}
	clear(d.changed)
	d.view = &next
	return d.view
}

// member returns a back end as views hold it, nil for one that is not believed in.
func (d *Directory) member(id settings.BackendID) *Member {
	if known, live := d.live[id]; live {
		return &Member{Backend: known.Backend, Tag: TagOf(id), ColdUntil: known.coldUntil, StartedAfter: known.start.after, Announced: known.Revision, Evacuated: d.evacuated(&known.Backend)}
	}
	if left, gone := d.gone[id]; gone {
		return &Member{Backend: left.Backend, Tag: TagOf(id), StartedAfter: left.start.after, Gone: true, GoneAt: left.at, Announced: left.announced, LapsedUntil: left.lapsedUntil, Evacuated: d.evacuated(&left.Backend)}
	}
	return nil
}

// builder changes a copy of a view. Parts that are shared with the view before are copied
// before they are changed.
type builder struct {
	view               *View
	ownGroups, ownTags map[int]bool
	ownPools           map[string]bool
}

// replace puts a back end in the place of what was believed of it; nil is none.
func (b *builder) replace(before, after *Member) {
	if before != nil {
		b.setTagged(before.Tag, without(slices.Clone(b.view.Tagged(before.Tag)), before.ID))
		pool := b.pool(before.Group)
		pool.Open, pool.Left = without(pool.Open, before.ID), without(pool.Left, before.ID)
	}
	if after == nil {
		return
	}
	b.setTagged(after.Tag, with(slices.Clone(b.view.Tagged(after.Tag)), after))
	if after.Draining || after.Evacuated {
		return
	}
	pool := b.pool(after.Group)
	if after.Gone {
		pool.Left = with(pool.Left, after)
		pool.LapsedUntil = max(pool.LapsedUntil, after.LapsedUntil)
		return
	}
	pool.Open = with(pool.Open, after)
}

func (b *builder) setTagged(tag Tag, members []*Member) {
	part := tagPart(tag)
	if !b.ownTags[part] {
		b.ownTags[part] = true
		b.view.tags[part] = cloneOrNew(b.view.tags[part])
	}
	if len(members) == 0 {
		delete(b.view.tags[part], tag)
		return
	}
	b.view.tags[part][tag] = members
}

// pool returns the pool of a group, which may be changed.
func (b *builder) pool(group string) *Pool {
	part := groupPart(group)
	if !b.ownGroups[part] {
		b.ownGroups[part] = true
		b.view.groups[part] = cloneOrNew(b.view.groups[part])
	}
	if !b.ownPools[group] {
		b.ownPools[group] = true
		known := b.view.Pool(group)
		b.view.groups[part][group] = &Pool{Open: slices.Clone(known.Open), Left: slices.Clone(known.Left), LapsedUntil: known.LapsedUntil}
	}
	return b.view.groups[part][group]
}

func cloneOrNew[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// with puts the member at its place in order of identifier; the list is the caller's own.
func with(members []*Member, member *Member) []*Member {
	at, _ := slices.BinarySearchFunc(members, member.ID, compareID)
	return slices.Insert(members, at, member)
}

// without takes the back end out of the list, which is the caller's own.
func without(members []*Member, id settings.BackendID) []*Member {
	at, found := slices.BinarySearchFunc(members, id, compareID)
	if !found {
		return members
	}
	return slices.Delete(members, at, at+1)
}

func compareID(member *Member, id settings.BackendID) int { return cmp.Compare(member.ID, id) }
