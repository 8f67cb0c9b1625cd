package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"gaugeyard/internal/settings"
	"gaugeyard/internal/store"
)

// EvacuateCommand stops new flows to all back ends of a zone, in one edit.
type EvacuateCommand struct {
	Access
	Zone string `arg:"positional,required" help:"name of the zone, in all services that have it"`
}

// RestoreCommand allows new flows to the back ends of a zone again.
type RestoreCommand struct{ EvacuateCommand }

// Run implements Command.
func (c *EvacuateCommand) Run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, 0, func(tree settings.Tree) error { return setEvacuated(tree, c.Zone, true) })
}

// Run implements Command.
func (c *RestoreCommand) Run(ctx context.Context, out io.Writer) error {
	return c.edit(ctx, out, 0, func(tree settings.Tree) error { return setEvacuated(tree, c.Zone, false) })
}

// setEvacuated marks the zone as evacuated in every service that has it, or removes the mark. It does
// not change the state of back ends, so that drained ones stay drained after the zone is restored.
func setEvacuated(tree settings.Tree, zone string, evacuated bool) error {
	found := false
	for path := range tree {
		if path.Level() != settings.LevelZone || path.Name() != zone {
			continue
		}
		found = true
		if !evacuated {
			delete(tree[path], settings.KeyEvacuated)
			continue
		}
		if err := tree.Set(path, settings.KeyEvacuated, "true"); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("no service has a zone %q", zone)
	}
	return nil
}

// EvacuatedZone is a zone that takes no new flows.
type EvacuatedZone struct {
	Zone string `json:"zone"`
	// Author and Since are those of the edit that evacuated the zone; empty if the history lacks it.
	Author string    `json:"author,omitempty"`
	Since  time.Time `json:"since,omitzero"`
}

// evacuatedZones returns the evacuated zones of a tree, ordered by name, with the newest edit that
// evacuated each. The edits must be ordered newest first.
func evacuatedZones(tree settings.Tree, edits []store.Edit) []EvacuatedZone {
	var zones []EvacuatedZone
	for path, values := range tree {
		listed := slices.ContainsFunc(zones, func(z EvacuatedZone) bool { return z.Zone == path.Name() })
		if path.Level() == settings.LevelZone && values[settings.KeyEvacuated] == "true" && !listed {
			zones = append(zones, EvacuatedZone{Zone: path.Name()})
		}
	}
	slices.SortFunc(zones, func(a, b EvacuatedZone) int { return cmp.Compare(a.Zone, b.Zone) })
	for i := range zones {
		zones[i].setAuthor(edits)
	}
	return zones
}

// setAuthor sets Author and Since from the newest edit that evacuated the zone.
func (z *EvacuatedZone) setAuthor(edits []store.Edit) {
	for _, edit := range edits {
		for _, change := range edit.Changes {
			if change.Key == settings.KeyEvacuated && change.Path.Name() == z.Zone && change.After == "true" {
				z.Author, z.Since = edit.Author, edit.Time
				return
			}
		}
	}
}
