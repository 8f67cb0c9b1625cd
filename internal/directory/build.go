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
	next.builtBy, next.serial, next.changed = d, d.view.serial+1, slices.Collect(maps.Keys(d.changed))
	b := builder{view: &next, ownGroups: map[int]bool{}, ownTags: map[int]bool{}, pools: map[string]*poolChange{}}
	for id := range d.changed {
		b.replace(d.view.Member(id), d.member(id))
	}
	b.changePools()
	// A table that was large once would take as long to clear and to go through for a single change.
	d.changed = map[settings.BackendID]bool{}
	d.view = &next
	return d.view
}

// member returns a back end as views hold it, nil for one that is not believed in.
func (d *Directory) member(id settings.BackendID) *Member {
	if known, live := d.live[id]; live {
		if evacuated := d.evacuated(&known.member.Backend); evacuated != known.member.Evacuated {
			member := *known.member
			member.Evacuated = evacuated
			known.member = &member
			d.live[id] = known
		}
		return known.member
	}
	if left, gone := d.removed[id]; gone {
		return &Member{Backend: left.Backend, Tag: TagOf(id), Since: left.start.seenAt, StartedAfter: left.start.startedAfter, Gone: true, GoneAt: left.removedAt, AnnouncedRevision: left.announcedRevision, LapsedUntil: left.usableUntil, Evacuated: d.evacuated(&left.Backend)}
	}
	return nil
}

// builder changes a copy of a view. Parts that are shared with the view before are copied
// before they are changed.
type builder struct {
	view               *View
	ownGroups, ownTags map[int]bool
	pools              map[string]*poolChange
}

// poolChange is what changes in the pool of one group. Its lists are merged with those of the pool once, so
// that a start among 10,000 back ends does not move half of a list for each of them.
type poolChange struct {
	removedIDs    []settings.BackendID
	open, removed []*Member
}

// replace puts a back end in the place of what was believed of it; nil is none.
func (b *builder) replace(before, after *Member) {
	if before != nil {
		b.setTagged(before.Tag, deleteMember(slices.Clone(b.view.Tagged(before.Tag)), before.ID))
		change := b.pool(before.Group)
		change.removedIDs = append(change.removedIDs, before.ID)
	}
	if after == nil {
		return
	}
	b.setTagged(after.Tag, insertMember(slices.Clone(b.view.Tagged(after.Tag)), after))
	if after.Draining || after.Evacuated {
		return
	}
	change := b.pool(after.Group)
	if after.Gone {
		change.removed = append(change.removed, after)
		return
	}
	change.open = append(change.open, after)
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

// pool returns what changes in the pool of a group.
func (b *builder) pool(group string) *poolChange {
	if b.pools[group] == nil {
		b.pools[group] = &poolChange{}
	}
	return b.pools[group]
}

// changePools carries out what changes in pools.
func (b *builder) changePools() {
	for group, change := range b.pools {
		part := groupPart(group)
		if !b.ownGroups[part] {
			b.ownGroups[part] = true
			b.view.groups[part] = cloneOrNew(b.view.groups[part])
		}
		known := b.view.Pool(group)
		next := &Pool{LapsedUntil: known.LapsedUntil}
		slices.Sort(change.removedIDs)
		next.Open, next.Left = mergeMembers(known.Open, change.removedIDs, change.open), mergeMembers(known.Left, change.removedIDs, change.removed)
		for _, member := range change.removed {
			next.LapsedUntil = max(next.LapsedUntil, member.LapsedUntil)
		}
		b.view.groups[part][group] = next
	}
}

// merged returns the members without those that are out, which are in order, and with more, in order of identifier.
func mergeMembers(members []*Member, out []settings.BackendID, more []*Member) []*Member {
	slices.SortFunc(more, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	list := make([]*Member, 0, len(members)+len(more))
	for _, member := range members {
		for len(out) > 0 && out[0] < member.ID {
			out = out[1:]
		}
		if len(out) > 0 && out[0] == member.ID {
			continue
		}
		for len(more) > 0 && more[0].ID < member.ID {
			list, more = append(list, more[0]), more[1:]
		}
		list = append(list, member)
	}
	return append(list, more...)
}

func cloneOrNew[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// with puts the member at its place in order of identifier; the list is the caller's own.
func insertMember(members []*Member, member *Member) []*Member {
	at, _ := slices.BinarySearchFunc(members, member.ID, compareID)
	return slices.Insert(members, at, member)
}

// without takes the back end out of the list, which is the caller's own.
func deleteMember(members []*Member, id settings.BackendID) []*Member {
	at, found := slices.BinarySearchFunc(members, id, compareID)
	if !found {
		return members
	}
	return slices.Delete(members, at, at+1)
}

func compareID(member *Member, id settings.BackendID) int { return cmp.Compare(member.ID, id) }
