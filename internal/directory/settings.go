package directory

import (
	"slices"

	"gaugeyard/internal/settings"
)

// Settings is one version of the operators' settings.
type Settings struct {
	// Version is the operators' own number.
	Version uint64
	// Revision is the store's revision of the write.
	Revision uint64
	// Tree is in canonical form, as settings.Tree.Set and settings.Normalize leave it.
	Tree settings.Tree
}

// Step is the difference between the settings of two revisions.
type Step struct {
	// Base is the store's revision of the settings that the step starts from.
	Base uint64
	// Version and Revision are those of the resulting settings.
	Version  uint64
	Revision uint64
	Changes  settings.Changes
}

// maxSteps is how many steps to the settings in force are retained for other balancers:
// more than operators write while a balancer is out of contact for a few seconds.
const maxSteps = 32

// SettingsRevision returns the store's revision of the settings in force, 0 for none.
func (d *Directory) SettingsRevision() uint64 { return d.settings.Revision }

// HasSettings reports whether settings are in force.
func (d *Directory) HasSettings() bool { return d.resolved != nil }

// SettingsVersion returns the operators' version of the settings in force. Operators may use any number, also 0.
func (d *Directory) SettingsVersion() uint64 { return d.settings.Version }

// applySettings puts newer settings in force. It uses prepared settings if their base is still in
// force. Invalid settings are rejected, and the last valid ones stay in force.
func (d *Directory) applySettings(events []Event, next *Settings, step *Step, prepared *Prepared) []Event {
	if prepared == nil || prepared.base != d.settings.Revision {
		prepared = d.Base().Prepare(next, step, func() {})
	}
	if prepared == nil {
		return events
	}
	event := Event{Transition: SettingsApplied, Revision: prepared.revision, Version: prepared.version}
	if prepared.err != nil {
		event.Transition, event.Err = SettingsRejected, prepared.err
		return append(events, event)
	}
	d.settings = Settings{Version: prepared.version, Revision: prepared.revision, Tree: prepared.resolved.Tree}
	d.resolved = prepared.resolved
	if prepared.step != nil {
		d.steps = append(d.steps, *prepared.step)
	}
	if len(d.steps) > maxSteps {
		d.steps = slices.Delete(d.steps, 0, len(d.steps)-maxSteps)
	}
	return append(events, event)
}

// stepFrom returns a single step from the settings of an earlier revision to those in
// force, nil if the steps between them are not retained.
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
