// Package admission enforces fleet-wide connection limits of back ends on balancers that count only their
// own flows. It has no clock, no state and no input or output.
//
// Each balancer gets a fixed share of a limit, so that the limit holds without coordination. At its share,
// the soft limit, a balancer prefers other back ends. It refuses flows only at a higher hard limit, because
// flows that move between balancers are counted twice until the former balancer drops them, and because the
// number of flows that reach a balancer varies.
//
// # Usage
//
//	limit := admission.ConnectionLimit{Limit: 2000, ZoneSize: 17, FleetSize: 67, Local: true}
//	limit.SoftLimitReached(own) // prefer another back end
//	limit.HardLimitReached(own) // send no flow there
package admission

import "math"

const (
	// localFraction is the fraction of a limit that the balancers in the back end's zone share, because they
	// place most of its flows. All balancers share the rest, those of that zone included, since balancers of
	// other zones do not know that zone's size.
	localFraction = 0.75
	// The hard limit is the share times hardLimitFactor, because two balancers may count the same flow, plus
	// hardLimitDeviations standard deviations of the number of flows.
	hardLimitFactor     = 2
	hardLimitDeviations = 3
)

// ConnectionLimit is a back end's limit of concurrent flows and the balancers that share it.
type ConnectionLimit struct {
	// Limit is the back end's limit of concurrent flows, 0 for none.
	Limit int
	// ZoneSize and FleetSize are the numbers of balancers in this balancer's zone and in the fleet, itself
	// included.
	ZoneSize, FleetSize int
	// Local is set if the back end is in this balancer's zone.
	Local bool
}

// share returns this balancer's share of the limit, in flows.
func (c ConnectionLimit) share() float64 {
	if c.Local {
		return localFraction * float64(c.Limit) / float64(max(c.ZoneSize, 1))
	}
	return (1 - localFraction) * float64(c.Limit) / float64(max(c.FleetSize, c.ZoneSize, 1))
}

// SoftLimitReached reports whether a balancer with own flows at the back end should prefer another one.
func (c ConnectionLimit) SoftLimitReached(own int) bool {
	return c.Limit > 0 && float64(own) >= c.share()
}

// HardLimitReached reports whether a balancer with own flows at the back end must send no more flows there.
func (c ConnectionLimit) HardLimitReached(own int) bool {
	share := c.share()
	return c.Limit > 0 && float64(own) >= hardLimitFactor*share+hardLimitDeviations*math.Sqrt(share)
}
