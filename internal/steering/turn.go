package steering

// Place is where a balancer stands among those of its zone that are alive, in an order
// that all of them use.
type Place struct {
	// Index is from 0 to Count-1; Count includes the balancer itself, 0 is unknown.
	Index, Count int
	// Zone are the live ones of the zone by hash.
	Zone Neighbours
	// Fleet is the number of live balancers of all zones that are known, itself included.
	Fleet int
	// ZoneSize and FleetSize are how many there are, known or not, by an estimate; 0 is not estimated.
	ZoneSize, FleetSize int
}

// zoneSize and fleetSize are how many balancers divide what a back end may have.
func (p Place) zoneSize() int { return max(p.Count, p.ZoneSize) }

func (p Place) fleetSize() int { return max(p.Fleet, p.FleetSize) }

const (
	// manyBalancers is the number in a zone from which balancers compare some back ends
	// alone. All hear of the same least loaded one, half a second late, and many would
	// crowd it; few correct each other in time.
	manyBalancers = 8
	// spanEach is how many balancers compare each back end at a time, on average, and
	// leastSpan the least number that one compares.
	spanEach  = 2
	minSubset = 2
)

// span is a part of a ring of back ends; the zero span is all of it.
type subset struct {
	first, length, total int
}

// span returns the back ends, of a total, that are compared at a turn. Balancers begin
// at even distances on the ring and move on with each flow, so that together they
// spread the flows that come before any of them has heard of the others' loads.
func (p Place) subset(total, turn int) subset {
	if total == 0 {
		return subset{}
	}
	length := max(minSubset, (spanEach*total+p.Count-1)/p.Count)
	if length >= total {
		return subset{}
	}
	return subset{first: (p.Index*total/p.Count + turn) % total, length: length, total: total}
}

// has tells whether a position on the ring is in the span.
func (s subset) contains(position int) bool {
	if s.total == 0 {
		return true
	}
	return (position-s.first+s.total)%s.total < s.length
}
