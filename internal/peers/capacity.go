package peers

import "cmp"

// Capacity is the class of a balancer's machine for work on behalf of others: reading the store,
// serving followers and answering balancers that start. Each balancer reports its own. The zero
// value also stands for a machine of which too little is known.
type Capacity uint8

const (
	// CapacityLow is for machines with little processor time beyond their own packets.
	CapacityLow Capacity = iota
	// CapacityMedium is for machines with processor time to spare and a narrow or unknown link.
	CapacityMedium
	// CapacityHigh is for machines with both processor time and bandwidth to spare.
	CapacityHigh
)

const (
	// minMediumCores is the minimum share of a core for CapacityMedium. With less, sending a change
	// to a full set of 48 followers, 3.3 ms of a whole core, keeps callers' packets waiting for longer
	// than their latency targets allow: 33 ms at this share, 73 ms at 0.045.
	minMediumCores = 0.1
	// minHighCores is the minimum share of a core for CapacityHigh, from which this wait is
	// negligible, 11 ms.
	minHighCores = 0.3
	// minHighLinkMbps is the minimum bandwidth for CapacityHigh, in Mbit/s. Over a narrower link,
	// sending a full listing keeps callers' packets waiting: 200 kB for 1,500 routes take 32 ms at
	// 50 Mbit/s and 160 ms at 10.
	minHighLinkMbps = 50
)

// CapacityOf returns the class of a machine with a share of cores and a link in Mbit/s. 0 and NaN
// are unknown: unknown cores make a machine CapacityLow, and an unknown link counts as narrow.
func CapacityOf(cores, linkMbps float64) Capacity {
	switch {
	case !(cores >= minMediumCores):
		return CapacityLow
	case cores >= minHighCores && linkMbps >= minHighLinkMbps:
		return CapacityHigh
	}
	return CapacityMedium
}

// Rank orders balancers. A balancer follows only balancers of lower rank.
type Rank struct {
	capacity Capacity
	hash     Hash
}

// RankOf returns the rank of the introduced balancer.
func RankOf(balancer Introduction) Rank {
	return Rank{balancer.Capacity, HashOf(balancer.Control)}
}

// Compare returns a negative number if r is lower than other, a positive one if it is higher. A
// higher capacity makes a lower rank; the address hash breaks ties.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(other.capacity, r.capacity), cmp.Compare(r.hash, other.hash))
}

func (p *Peer) rank() Rank { return Rank{p.Capacity, p.hash} }

func (t *Table) rank() Rank { return Rank{t.self.Capacity, t.hash} }
