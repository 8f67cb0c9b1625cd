package directory

import (
	"errors"
	"slices"

	"gaugeyard/internal/settings"
)

// Settings is one version of the operators' settings.
type Settings struct {
	// Version is the operators' own number.
	Version uint64
	// Revision is the store's revision of the write.
	Revision uint64
	// Tree is in canonical form, as settings.Tree.Set and settings.Checked leave it.
	Tree settings.Tree
}

// Step leads from the settings of one revision to those of a later one, without
// repeating what both have.
type Step struct {
	// Base is the store's revision of the settings that the step starts from.
	Base uint64
	// Version and Revision are those of the settings that it leads to.
	Version  uint64
	Revision uint64
	Changes  settings.Changes
}

// maxSteps is how many steps to the settings in force are kept for those who ask:
// more than come while a balancer is out of touch for a few seconds in a quick
// succession of edits.
const maxSteps = 32

// SettingsRevision is the store's revision of the settings in force, 0 for none.
func (d *Directory) SettingsRevision() uint64 { return d.settings.Revision }

// SettingsVersion is the operators' version in force, 0 for none.
func (d *Directory) SettingsVersion() uint64 { return d.settings.Version }

// applySettings takes over a newer version of the settings; a faulty one is
// refused and leaves the last good one in force.
func (d *Directory) applySettings(events []Event, next *Settings) []Event {
	if next == nil || next.Revision <= d.settings.Revision {
		return events
	}
	event := Event{Transition: SettingsApplied, Revision: next.Revision, Version: next.Version}
	if faults := next.Tree.Validate(); len(faults) > 0 {
		event.Transition, event.Err = SettingsRefused, faults[0]
		return append(events, event)
	}
	if d.resolved != nil {
		// Most of a new version is as it was before.
		return d.applyStep(events, &Step{
			Base: d.settings.Revision, Version: next.Version, Revision: next.Revision,
			Changes: settings.Diff(d.settings.Tree, next.Tree),
		})
	}
	d.settings = *next
	d.resolved = settings.Resolve(next.Tree, next.Revision)
	return append(events, event)
}

// applyStep takes over newer settings by what differs from those in force; faulty ones
// are refused and leave the last good ones in force.
func (d *Directory) applyStep(events []Event, step *Step) []Event {
	event := Event{Transition: SettingsApplied, Revision: step.Revision, Version: step.Version}
	tree, err := d.settings.Tree.With(step.Changes)
	if err == nil {
		err = errors.Join(tree.ValidateFrom(d.resolved, step.Changes)...)
	}
	if err != nil {
		event.Transition, event.Err = SettingsRefused, err
		return append(events, event)
	}
	d.settings = Settings{Version: step.Version, Revision: step.Revision, Tree: tree}
	d.resolved = settings.ResolveFrom(d.resolved, tree, step.Revision, step.Changes)
	d.steps = append(d.steps, *step)
	if len(d.steps) > maxSteps {
		d.steps = slices.Delete(d.steps, 0, len(d.steps)-maxSteps)
	}
	return append(events, event)
}

// stepFrom returns one step from the settings of an earlier revision to those in
// force, nil where they are not remembered.
func (d *Directory) stepFrom(base uint64) *Step {
	merged := &Step{Base: base, Version: d.settings.Version, Revision: d.settings.Revision}
	for i := range d.steps {
		if d.steps[i].Base == base {
			for _, step := range d.steps[i:] {
				merged.Changes = append(merged.Changes, step.Changes...)
			}
			return merged
		}
	}
	return nil
}
