package steering

import (
	"time"

	"gaugeyard/internal/admission"
	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

const (
	// massRemovalWindow is the maximum time between removals of entries that count as simultaneous,
	// and massRemovalFactor the factor by which their grace period is longer, which is still within
	// the drain bound.
	massRemovalWindow = time.Second
	massRemovalFactor = 5.0 / 3
)

// filterWarmingUp excludes back ends that warm up and get their flows from other balancers at
// present.
func filterWarmingUp(s *Steerer, p *placementState, member *directory.Member, state *backendState) bool {
	return s.warmUpBlocks(p.now, p.limit, member, state)
}

// filterPrevious excludes the back end that a copy of an opening packet has just left.
func filterPrevious(s *Steerer, p *placementState, _ *directory.Member, state *backendState) bool {
	return state == p.avoid && !s.config.Mechanisms.NoSuspicion
}

// filterUnresponsive excludes back ends that are suspect, silent or down.
func filterUnresponsive(s *Steerer, p *placementState, _ *directory.Member, state *backendState) bool {
	return !s.config.Mechanisms.NoSuspicion && (state.isUnresponsive(p.now) || s.checkSuspect(p.now, state))
}

// filterPastGrace excludes back ends whose entries were removed too long ago, or expired in an outage
// of the store and did not return in time.
func filterPastGrace(s *Steerer, p *placementState, member *directory.Member, _ *backendState) bool {
	if member.UsableUntil > 0 && p.now >= member.UsableUntil {
		return true
	}
	return p.now-member.RemovedAt > s.removalGrace(p.pool)
}

// filterConnections excludes back ends that have this balancer's share of the flows that they may
// hold, and filterFull those that certainly hold the maximum.
func filterConnections(s *Steerer, p *placementState, member *directory.Member, state *backendState) bool {
	return s.connectionsOf(p.group, member).SoftLimitReached(state.flows)
}

func filterFull(s *Steerer, p *placementState, member *directory.Member, state *backendState) bool {
	return s.connectionsOf(p.group, member).HardLimitReached(state.flows)
}

// connectionsOf returns the flow limit of one of the group's back ends and the numbers of balancers
// that share it.
func (s *Steerer) connectionsOf(group *settings.Group, member *directory.Member) admission.ConnectionLimit {
	return admission.ConnectionLimit{Limit: group.Connections, ZoneSize: s.membership.zoneSize(), FleetSize: s.membership.fleetSize(), Local: member.Zone == s.config.Zone}
}

// checkSuspect reports whether new flows avoid a back end as suspect. Its silence is counted from
// the time at which this process could have received an answer.
func (s *Steerer) checkSuspect(now time.Duration, state *backendState) bool {
	if s.lagging(now) {
		s.lastLate = max(s.lastLate, now-lagTime)
	}
	if state.unansweredSince != 0 {
		state.unansweredSince = max(state.unansweredSince, s.lastLate+lagTime)
	}
	before := state.suspectUntil
	suspect := state.checkSuspect(now)
	if state.suspectUntil > before && !state.pool.lossy() {
		// Otherwise each balancer of the zone would send the back end a flow of its own before it
		// receives the next regular report.
		s.requestUrgentReport(now)
	}
	return suspect
}

// removalGrace returns how long a back end is still used after the removal of its entry. When all
// entries of a group disappear at once, the store has most likely lost them in an outage.
func (s *Steerer) removalGrace(pool *directory.Pool) time.Duration {
	if len(pool.Removed) < 2 {
		return s.config.RemovalGrace
	}
	first, last := pool.Removed[0].RemovedAt, pool.Removed[0].RemovedAt
	for _, member := range pool.Removed {
		first, last = min(first, member.RemovedAt), max(last, member.RemovedAt)
	}
	if last-first > massRemovalWindow {
		return s.config.RemovalGrace
	}
	return time.Duration(float64(s.config.RemovalGrace) * massRemovalFactor)
}
