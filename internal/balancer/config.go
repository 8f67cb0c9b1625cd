package balancer

import (
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/membership"
	"gaugeyard/internal/settings"
)

const (
	// maxHistory is the number of earlier revisions held to compute changes from.
	maxHistory = 16
	// changesPerPart is the number of changes in one settings datagram.
	changesPerPart = 12
)

// assembly collects the parts of a revision received from a peer.
type assembly struct {
	base, revision uint64
	parts          [][]settings.Change
	missing        int
}

// applySettings puts a revision into force if it is newer than the current one.
func (c *Core) applySettings(now time.Duration, next *settings.Snapshot, effects *Effects) {
	if next.Revision <= c.snapshot.Revision && !c.config.Mechanisms.NoRevisionFence {
		if next.Revision < c.snapshot.Revision {
			if c.Counters.StaleRevisions.Add(1) == 1 {
				effects.add(Effect{Kind: StateChanged, Subject: "settings", State: "the store is behind the revision in force"})
			}
		}
		return
	}
	if next.Revision == c.snapshot.Revision {
		return
	}
	firstRevision := len(c.snapshot.Services) == 0
	for _, service := range next.Services {
		for _, backend := range service.Backends {
			c.startRamp(now, backend, firstRevision)
		}
	}
	c.history = append(c.history, c.snapshot)
	if len(c.history) > maxHistory {
		c.history = slices.Delete(c.history, 0, 1)
	}
	c.snapshot = next
	effects.add(Effect{Kind: StateChanged, Subject: "settings", State: "revision in force"})
}

// startRamp begins the slow start of a back end that is new or was draining. The
// back ends of the first revision have none.
func (c *Core) startRamp(now time.Duration, backend *settings.Backend, firstRevision bool) {
	old := c.snapshot.Backends[backend.ID]
	if firstRevision || backend.Draining || old != nil && !old.Draining {
		return
	}
	c.rampStarts[backend.ID] = now
}

// sendSettings sends a peer the changes since the given revision, in parts.
// A peer that misses a part requests the changes again.
func (c *Core) sendSettings(now time.Duration, to membership.ID, revision uint64, effects *Effects) {
	// Peers outside the view are served too: they may be joining or resuming.
	member, known := c.detector.Known(to)
	if !known || revision >= c.snapshot.Revision {
		return
	}
	base := settings.Tree{"": settings.Values{}}
	baseRevision := uint64(0)
	for _, earlier := range c.history {
		if earlier.Revision == revision {
			base, baseRevision = earlier.Tree, revision
		}
	}
	changes := settings.Diff(base, c.snapshot.Tree)
	count := max(1, (len(changes)+changesPerPart-1)/changesPerPart)
	for index := range count {
		part := &SettingsPart{
			Base:     baseRevision,
			Revision: c.snapshot.Revision,
			Index:    index,
			Count:    count,
			Changes:  changes[index*changesPerPart : min(len(changes), (index+1)*changesPerPart)],
		}
		c.settingsQueue = append(c.settingsQueue, queuedPart{member.Address, part})
	}
	c.drainSettings(now, effects)
}

// queuedPart is a settings part that waits for the byte budget.
type queuedPart struct {
	to   netip.AddrPort
	part *SettingsPart
}

// drainSettings sends queued parts within the byte budget. It discards parts of old
// revisions.
func (c *Core) drainSettings(now time.Duration, effects *Effects) {
	for len(c.settingsQueue) > 0 {
		next := c.settingsQueue[0]
		current := next.part.Revision == c.snapshot.Revision
		message := &Message{From: c.self, SettingsPart: next.part}
		if current && !c.sendControl(now, next.to, message, essential, effects) {
			return
		}
		c.settingsQueue = c.settingsQueue[1:]
	}
}

// receiveSettings stores one part and applies the revision once all have arrived.
func (c *Core) receiveSettings(now time.Duration, part *SettingsPart, effects *Effects) {
	if part.Revision <= c.snapshot.Revision || part.Count < 1 || part.Index < 0 || part.Index >= part.Count || part.Count > maxParts {
		return
	}
	a := &c.assembly
	if a.revision != part.Revision || a.base != part.Base || len(a.parts) != part.Count {
		*a = assembly{base: part.Base, revision: part.Revision, parts: make([][]settings.Change, part.Count), missing: part.Count}
	}
	if a.parts[part.Index] == nil {
		a.parts[part.Index] = slices.Clip(append([]settings.Change{}, part.Changes...))
		a.missing--
	}
	// The other parts may be in transit, so delay the next request.
	c.lastSettingsRequest = now
	if a.missing > 0 {
		return
	}
	tree, errs := c.assembledTree()
	c.assembly = assembly{}
	if len(errs) > 0 {
		effects.add(Effect{Kind: StateChanged, Subject: "settings", State: "rejected a revision from a peer: " + errs[0].Error()})
		return
	}
	c.applySettings(now, settings.Resolve(tree, part.Revision), effects)
}

// maxParts is the maximum number of parts of a revision.
const maxParts = 4096

// assembledTree applies the collected changes to their base revision.
func (c *Core) assembledTree() (settings.Tree, []error) {
	tree := settings.Tree{"": settings.Values{}}
	if c.assembly.base != 0 {
		tree = c.snapshot.Tree
	}
	for _, part := range c.assembly.parts {
		var err error
		if tree, err = tree.With(part); err != nil {
			return nil, []error{err}
		}
	}
	return tree, tree.Validate()
}
