package directory

import "gaugeyard/internal/settings"

// Base holds the settings in force, from which newer ones are prepared. It is read-only.
type Base struct {
	revision uint64
	resolved *settings.Snapshot
}

// Prepared holds newer settings, validated and resolved. It is read-only.
type Prepared struct {
	// base is the revision of the settings that they were prepared from.
	base              uint64
	version, revision uint64
	resolved          *settings.Snapshot
	// step leads there from the base, nil if no settings were in force.
	step *Step
	// err is why the settings are rejected.
	err error
}

// Base returns the settings in force.
func (d *Directory) Base() Base {
	return Base{d.settings.Revision, d.resolved}
}

// Prepare validates and resolves newer settings, given as a whole or as a step, and calls pause
// between pieces of the work. It returns nil if there is nothing newer, or if the step has another
// base. It needs no lock, and changes nothing in force until a Directory applies the changes or
// the listing.
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
		// A step avoids resolving the unchanged part of the settings again.
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
