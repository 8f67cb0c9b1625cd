package steering

// Membership is a balancer's position among the live balancers of its zone, in an order that all
// of them share.
type Membership struct {
	// Index is from 0 to Count-1. Count includes the balancer itself; 0 is unknown.
	Index, Count int
	// Neighbours are the live balancers of the zone by hash.
	Neighbours Neighbours
	// Fleet is the number of known live balancers of all zones, including this one.
	Fleet int
	// ZoneSize and FleetSize estimate the number of balancers, known or not; 0 is no estimate.
	ZoneSize, FleetSize int
}

// zoneSize and fleetSize return how many balancers share the limit of a back end.
func (p Membership) zoneSize() int { return max(p.Count, p.ZoneSize) }

func (p Membership) fleetSize() int { return max(p.Fleet, p.FleetSize) }

const (
	// minBalancersForSubsets is the zone size from which balancers compare only subsets. All
	// receive the same loads half a second late, and many would overload the least loaded back
	// end.
	minBalancersForSubsets = 8
	// balancersPerBackend is how many balancers compare each back end at a time, on average, and
	// minSubset the least number of back ends that one compares.
	balancersPerBackend = 2
	minSubset           = 2
)

// subset is a range on a ring of back ends. The zero value contains all of them.
type subset struct {
	first, length, total int
}

// subset returns the range of back ends to compare at an offset. Balancers start at even
// distances on the ring and advance with each flow, which spreads flows until loads are exchanged.
func (p Membership) subset(total, offset int) subset {
	if total == 0 {
		return subset{}
	}
	length := max(minSubset, (balancersPerBackend*total+p.Count-1)/p.Count)
	if length >= total {
		return subset{}
	}
	return subset{first: (p.Index*total/p.Count + offset) % total, length: length, total: total}
}

// contains reports whether a position on the ring is in the subset.
func (s subset) contains(position int) bool {
	if s.total == 0 {
		return true
	}
	return (position-s.first+s.total)%s.total < s.length
}
