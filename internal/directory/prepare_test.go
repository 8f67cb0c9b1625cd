package directory

import "testing"

// TestPreparedFromOtherSettings: settings prepared from a base that was replaced meanwhile must not be
// applied as prepared. Older ones are ignored, and newer ones are prepared again.
func TestPreparedFromOtherSettings(t *testing.T) {
	for _, c := range []struct {
		name                           string
		prepared, meanwhile, inForce   uint64
		preparedServices, wantServices int
	}{
		{"an older one", 6, 7, 7, 501, 502},
		{"a newer one", 8, 7, 8, 503, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(testRetention)
			d.Replace(0, &Listing{Revision: 5, Settings: manyServices(t, 1, 5, 500)})
			changes := &Changes{Revision: c.prepared, Settings: manyServices(t, 2, c.prepared, c.preparedServices)}
			changes.Prepared = d.Base().Prepare(changes.Settings, nil, func() {})
			d.Apply(0, &Changes{Revision: c.meanwhile, Settings: manyServices(t, 3, c.meanwhile, 502)})
			d.Apply(0, changes)
			if got := d.View().Settings; d.SettingsRevision() != c.inForce || len(got.Services) != c.wantServices || got.Revision != c.inForce {
				t.Errorf("revision %d with %d services is in force", d.SettingsRevision(), len(got.Services))
			}
		})
	}
}

// TestPrepareDoesNotChangeDirectory, and does not prepare a step from other settings.
func TestPrepareDoesNotChangeDirectory(t *testing.T) {
	d := New(testRetention)
	d.Replace(0, &Listing{Revision: 5, Settings: manyServices(t, 1, 5, 500)})
	before := d.View().Settings
	d.Base().Prepare(manyServices(t, 2, 6, 501), nil, func() {
		if d.SettingsRevision() != 5 || d.View().Settings != before {
			t.Error("the settings in force have changed")
		}
	})
	if d.Base().Prepare(nil, &Step{Base: 4, Revision: 6}, func() {}) != nil || d.Base().Prepare(manyServices(t, 1, 5, 9), nil, func() {}) != nil {
		t.Error("a step from other settings, or settings that are not newer, are prepared")
	}
}
