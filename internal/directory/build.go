package directory

import (
	"cmp"
	"maps"
	"slices"

	"gaugeyard/internal/settings"
)

// View returns a view of the current state. It is built from the previous one: its cost grows with
// the changes since then, not with the size of the state.
func (d *Directory) View() *View {
	next := *d.view
	next.Revision, next.Settings, next.Version = d.revision, d.resolved, d.settings.Version
	next.builtBy, next.serial, next.changed = d, d.view.serial+1, slices.Collect(maps.Keys(d.changed))
	b := builder{view: &next, ownGroups: map[int]bool{}, ownTags: map[int]bool{}, pools: map[string]*poolChange{}}
	for id := range d.changed {
		b.replace(d.view.Member(id), d.member(id))
	}
	b.changePools()
	// Clearing the map would keep its size, and so the cost of later iterations, after a large change.
	d.changed = map[settings.BackendID]bool{}
	d.view = &next
	return d.view
}

// member returns a back end as views hold it, nil if it is not known.
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
	if removed, found := d.removed[id]; found {
		return &Member{
			Backend: removed.Backend, Tag: TagOf(id), StartSeenAt: removed.start.seenAt, StartedAfter: removed.start.startedAfter, Removed: true,
			RemovedAt: removed.removedAt, AnnouncedRevision: removed.announcedRevision, UsableUntil: removed.usableUntil, Evacuated: d.evacuated(&removed.Backend),
		}
	}
	return nil
}

// builder changes a copy of a view. It copies parts that are shared with the previous view before
// changing them.
type builder struct {
	view               *View
	ownGroups, ownTags map[int]bool
	pools              map[string]*poolChange
}

// poolChange holds the changes to the pool of one group. They are merged into the pool at once: inserting many
// back ends one at a time would move half of the list for each.
type poolChange struct {
	removedIDs    []settings.BackendID
	open, removed []*Member
}

// replace replaces a back end of the previous view; nil stands for none.
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
	if after.Removed {
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

// pool returns the changes to the pool of a group.
func (b *builder) pool(group string) *poolChange {
	if b.pools[group] == nil {
		b.pools[group] = &poolChange{}
	}
	return b.pools[group]
}

// changePools applies the changes to all pools.
func (b *builder) changePools() {
	for group, change := range b.pools {
		part := groupPart(group)
		if !b.ownGroups[part] {
			b.ownGroups[part] = true
			b.view.groups[part] = cloneOrNew(b.view.groups[part])
		}
		known := b.view.Pool(group)
		next := &Pool{UsableUntil: known.UsableUntil}
		slices.Sort(change.removedIDs)
		next.Open, next.Removed = mergeMembers(known.Open, change.removedIDs, change.open), mergeMembers(known.Removed, change.removedIDs, change.removed)
		for _, member := range change.removed {
			next.UsableUntil = max(next.UsableUntil, member.UsableUntil)
		}
		b.view.groups[part][group] = next
	}
}

// mergeMembers returns the members without the removed ones, whose identifiers are sorted, and with the added
// ones, in order of identifier. It sorts added.
func mergeMembers(members []*Member, removed []settings.BackendID, added []*Member) []*Member {
	slices.SortFunc(added, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	list := make([]*Member, 0, len(members)+len(added))
	for _, member := range members {
		for len(removed) > 0 && removed[0] < member.ID {
			removed = removed[1:]
		}
		if len(removed) > 0 && removed[0] == member.ID {
			continue
		}
		for len(added) > 0 && added[0].ID < member.ID {
			list, added = append(list, added[0]), added[1:]
		}
		list = append(list, member)
	}
	return append(list, added...)
}

func cloneOrNew[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// insertMember inserts the member in order of identifier. It may change the list, which the caller must own.
func insertMember(members []*Member, member *Member) []*Member {
	at, _ := slices.BinarySearchFunc(members, member.ID, compareID)
	return slices.Insert(members, at, member)
}

// deleteMember deletes the back end from the list, which it changes and the caller must own.
func deleteMember(members []*Member, id settings.BackendID) []*Member {
	at, found := slices.BinarySearchFunc(members, id, compareID)
	if !found {
		return members
	}
	return slices.Delete(members, at, at+1)
}

func compareID(member *Member, id settings.BackendID) int { return cmp.Compare(member.ID, id) }
