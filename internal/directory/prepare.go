package directory

import "gaugeyard/internal/settings"

// Base is the settings in force, on which newer ones are prepared. It is read-only.
type Base struct {
	revision uint64
	resolved *settings.Snapshot
}

// Prepared is newer settings with the work of taking them over done. It is read-only.
type Prepared struct {
	// base is the revision of the settings that it was prepared on.
	base              uint64
	version, revision uint64
	resolved          *settings.Snapshot
	// step leads there from the base, nil where there are no settings to step from.
	step *Step
	// err is why the settings are refused.
	err error
}

// Base returns the settings in force.
func (d *Directory) Base() Base {
	return Base{d.settings.Revision, d.resolved}
}

// Prepare does the work of taking over newer settings, whole ones or a step, and calls pause
// between pieces of it. It returns nil where there is nothing newer, or the step starts from
// others. It needs no lock, and what is in force stays as it is until a Directory takes over
// the changes or the listing.
func (b Base) Prepare(next *Settings, step *Step, pause func()) *Prepared {
	if next != nil && next.Revision > b.revision {
		whole := &Prepared{base: b.revision, version: next.Version, revision: next.Revision}
		if faults := next.Tree.Validate(); len(faults) > 0 {
			whole.err = faults[0]
			return whole
		}
		pause()
		if b.resolved == nil {
			whole.resolved = settings.Resolve(next.Tree, next.Revision)
			return whole
		}
		// Most of a new version is as it was before.
		step = &Step{Base: b.revision, Version: next.Version, Revision: next.Revision, Changes: settings.Diff(b.resolved.Tree, next.Tree)}
		pause()
	}
	if step == nil || step.Base != b.revision || step.Revision <= b.revision || b.resolved == nil {
		return nil
	}
	prepared := &Prepared{base: b.revision, version: step.Version, revision: step.Revision, step: step}
	prepared.resolved, prepared.err = settings.Advance(b.resolved, step.Revision, step.Changes, pause)
	return prepared
}
