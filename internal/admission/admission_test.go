package admission

import "testing"

// firstReached returns the smallest number of flows at which a limit is reached.
func firstReached(reached func(own int) bool) int {
	own := 0
	for !reached(own) {
		own++
	}
	return own
}

// TestConnectionLimitHoldsAcrossFleet checks that the soft limits of all balancers add up to at most the limit,
// and that the zone's own balancers can use at least three quarters of it.
func TestConnectionLimitHoldsAcrossFleet(t *testing.T) {
	for _, fleet := range []struct{ zone, all int }{{1, 1}, {3, 7}, {17, 67}, {26, 78}} {
		local := ConnectionLimit{Limit: 2000, ZoneSize: fleet.zone, FleetSize: fleet.all, Local: true}
		remote := local
		remote.Local = false
		inZone := fleet.zone * firstReached(local.SoftLimitReached)
		elsewhere := (fleet.all - fleet.zone) * firstReached(remote.SoftLimitReached)
		// Rounding up adds at most one flow per balancer.
		if inZone+elsewhere > 2000+fleet.all || inZone < 1500 {
			t.Errorf("%+v: soft limits allow %d flows in the zone and %d from other zones", fleet, inZone, elsewhere)
		}
		if refused := firstReached(local.HardLimitReached); refused <= 2*firstReached(local.SoftLimitReached)-2 {
			t.Errorf("%+v: hard limit %d is too close to the soft limit", fleet, refused)
		}
	}
	if none := (ConnectionLimit{}); none.SoftLimitReached(1e6) || none.HardLimitReached(1e6) {
		t.Error("a limit of 0 restricts flows")
	}
}
