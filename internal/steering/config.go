package steering

import "time"

// Config configures a Steerer.
type Config struct {
	// Zone is the balancer's zone, whose back ends are preferred.
	Zone string
	// FlowLife is the maximum age of a flow; records of older ones may be dropped.
	FlowLife time.Duration
	// RemovalGrace is how long back ends may still take new flows after their entries were
	// removed, where a group has no other: entries are also removed by mistake.
	RemovalGrace time.Duration
	// MaxFlows limits the flows that are recorded; 0 is no limit. Packets of others are forwarded
	// by their tags alone.
	MaxFlows int
	// WarmUpOvershoot and WarmUpSlack limit the new flows that a back end gets in any second while
	// it warms up, over all balancers: the rate of its group times the first, plus the second. An
	// overshoot below 1 counts as 1.
	WarmUpOvershoot, WarmUpSlack float64
	// Mechanisms are disabled by experiments only.
	Mechanisms Mechanisms
}

// Mechanisms disables parts of the decision for experiments.
type Mechanisms struct {
	// NoCopyMemory places each copy of an opening packet anew.
	NoCopyMemory bool
	// NoCopyWait places copies of opening packets at once, even if another balancer may have
	// placed the flow.
	NoCopyWait bool
	// NoPins follows the tag of each packet even if the flow's back end is known.
	NoPins bool
	// NoSuspicion keeps sending new flows to unresponsive back ends.
	NoSuspicion bool
	// NoOutliers does not detect responses that look like failures.
	NoOutliers bool
	// NoFaults ignores unanswered requests in placement.
	NoFaults bool
	// NoResets does not end flows at back ends that are down.
	NoResets bool
	// NoPacing does not correct loads for flows placed in the last moments.
	NoPacing bool
	// NoPace assumes that back ends that are warming up or slow are as fast as others.
	NoPace bool
	// NoLoad places by hash alone.
	NoLoad bool
	// NoWarmUpLimit does not limit new flows to back ends that are warming up.
	NoWarmUpLimit bool
	// EvenWarmUp lets each balancer of a zone use an even share of the warm-up rate.
	EvenWarmUp bool
	// NoLapsed does not use back ends whose entries expired in an outage of the store.
	NoLapsed bool
	// NoInquiries sends no inquiries about a flow's back end to other balancers.
	NoInquiries bool
	// NoStandstill forwards opening packets that were queued while the process was paused.
	NoStandstill bool
}
