package peers

import "cmp"

// Capacity is the class of a balancer's machine for tasks of the fleet: asking the store, telling
// others, answering those that start. A higher one is abler. It is told by the balancer itself; the
// zero value is also that of a machine of which too little is known.
type Capacity uint8

// The classes.
const (
	// Least is for machines that have enough to do with their own packets.
	Least Capacity = iota
	// Middling is for machines with processor time to spare behind a narrow link, or one that is
	// not known.
	Middling
	// Able is for machines with both.
	Able
)

const (
	// sparingCores is the share of a core from which a machine has time to spare. Telling 48
	// followers, as many as one serves, of a change takes 3.3 ms of a whole core (0.07 ms each): 33 ms
	// here, for which callers' packets may wait where their aims begin at 100 ms, and 73 ms at a share of
	// 0.045, for which they may not.
	sparingCores = 0.1
	// ableCores is the share from which it takes 11 ms, which no caller notices.
	ableCores = 0.3
	// ableLinkMbps is the bandwidth from which 200 kB, everything about 1,500 routes, are told within
	// 32 ms, in Mbit/s; over 10 Mbit/s they keep callers' packets waiting for 160 ms.
	ableLinkMbps = 50
)

// CapacityOf returns the class of a machine with a share of cores and a link, in Mbit/s. 0 is
// unknown: unknown cores make a machine Least, an unknown link counts as a narrow one.
func CapacityOf(cores, linkMbps float64) Capacity {
	switch {
	case !(cores >= sparingCores):
		return Least
	case cores >= ableCores && linkMbps >= ableLinkMbps:
		return Able
	}
	return Middling
}

// Rank orders balancers; a lower one is followed by a higher one.
type Rank struct {
	capacity Capacity
	hash     Hash
}

// RankOf returns the rank of a balancer by what is said of it.
func RankOf(balancer Introduction) Rank {
	return Rank{balancer.Capacity, HashOf(balancer.Control)}
}

// Compare returns a negative number for a rank lower than the other, and a positive one for a
// higher one: the able come first.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(other.capacity, r.capacity), cmp.Compare(r.hash, other.hash))
}

func (p *Peer) rank() Rank { return Rank{p.Capacity, p.hash} }

func (t *Table) rank() Rank { return Rank{t.self.Capacity, t.hash} }
