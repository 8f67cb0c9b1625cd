// Package admission keeps to limits of back ends that hold over a whole fleet of balancers, each of which
// sees its own flows alone. It has no clock, no state and no input or output.
//
// A limit of flows is divided among the balancers by fixed parts: nobody needs to be asked, and the
// parts stay within the limit however old what balancers tell each other is. A balancer avoids a back end
// that holds its part. It refuses flows, where no other back end is left, only well above it: when
// balancers come and go, flows are met by another one and are counted by both until the first one forgets
// them, and the flows that a balancer meets vary by chance.
//
// # Usage
//
//	limit := admission.Connections{Limit: 2000, Zone: 17, Fleet: 67, Local: true}
//	limit.Avoids(own)  // go elsewhere if there is room
//	limit.Refuses(own) // nothing is sent there
package admission

import "math"

const (
	// localPart is the part of a limit that the balancers of the back end's own zone divide; they place
	// nearly all flows there. The rest is divided by all balancers, those of the zone included, since others do not know how many these are.
	localPart = 0.75
	// countedTwice is how often one flow may be counted, and byChance by how many standard deviations a
	// balancer may meet more flows than its part.
	countedTwice = 2
	byChance     = 3
)

// Connections is a limit of the flows that a back end holds at once, and who divides it.
type Connections struct {
	// Limit is that of the back end, 0 for none.
	Limit int
	// Zone and Fleet are how many balancers there are in the asking one's zone and in all, itself included.
	Zone, Fleet int
	// Local is set where the back end is in that zone.
	Local bool
}

// part is how many flows this balancer may hold there.
func (c Connections) part() float64 {
	if c.Local {
		return localPart * float64(c.Limit) / float64(max(c.Zone, 1))
	}
	return (1 - localPart) * float64(c.Limit) / float64(max(c.Fleet, c.Zone, 1))
}

// Avoids tells whether a balancer that holds so many flows there rather uses another back end.
func (c Connections) Avoids(own int) bool {
	return c.Limit > 0 && float64(own) >= c.part()
}

// Refuses tells whether it sends no flow there at all.
func (c Connections) Refuses(own int) bool {
	part := c.part()
	return c.Limit > 0 && float64(own) >= countedTwice*part+byChance*math.Sqrt(part)
}
