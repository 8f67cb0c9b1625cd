package admission

import "testing"

// from returns from how many flows on a rule holds.
func from(rule func(own int) bool) int {
	own := 0
	for !rule(own) {
		own++
	}
	return own
}

// TestTheLimitHoldsOverTheFleet where all balancers hold what they may before they avoid the back end, and is
// not used by less than half where only those of its zone place flows there.
func TestTheLimitHoldsOverTheFleet(t *testing.T) {
	for _, fleet := range []struct{ zone, all int }{{1, 1}, {3, 7}, {17, 67}, {26, 78}} {
		local := Connections{Limit: 2000, Zone: fleet.zone, Fleet: fleet.all, Local: true}
		remote := local
		remote.Local = false
		inZone := fleet.zone * from(local.Avoids)
		elsewhere := (fleet.all - fleet.zone) * from(remote.Avoids)
		// Each may hold a part of a flow more.
		if inZone+elsewhere > 2000+fleet.all || inZone < 1500 {
			t.Errorf("%+v: %d and %d flows", fleet, inZone, elsewhere)
		}
		if refused := from(local.Refuses); refused <= 2*from(local.Avoids)-2 {
			t.Errorf("%+v: refused from %d flows on", fleet, refused)
		}
	}
	if none := (Connections{}); none.Avoids(1e6) || none.Refuses(1e6) {
		t.Error("no limit is a limit")
	}
}
