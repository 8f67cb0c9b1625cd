package steering

import (
	"time"

	"gaugeyard/internal/admission"
	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

const (
	// together is within what time entries vanish at once, and lapseTogether how many
	// times the usual grace they then have: still within the drain bound.
	together      = time.Second
	lapseTogether = 5.0 / 3
)

// filterCold leaves out back ends that warm up and get their flows from others now.
func filterCold(s *Steerer, p *placing, member *directory.Member, state *backendState) bool {
	return s.withholds(p.now, p.limit, member, state)
}

// filterLeft leaves out the back end that a copy of an opening packet has just left.
func filterLeft(s *Steerer, p *placing, _ *directory.Member, state *backendState) bool {
	return state == p.avoid && !s.config.Mechanisms.NoSuspicion
}

// filterSilent leaves out back ends that callers are not answered by.
func filterSilent(s *Steerer, p *placing, _ *directory.Member, state *backendState) bool {
	return !s.config.Mechanisms.NoSuspicion && (state.suspected(p.now) || s.doubts(p.now, state))
}

// filterLapsed leaves out back ends whose entries vanished too long ago, or lapsed in an outage after which
// they did not come back.
func filterLapsed(s *Steerer, p *placing, member *directory.Member, _ *backendState) bool {
	if member.LapsedUntil > 0 && p.now >= member.LapsedUntil {
		return true
	}
	return p.now-member.GoneAt > s.lapseGrace(p.pool)
}

// filterConnections leaves out back ends that have this balancer's part of the flows that they may hold, and
// filterFull those that certainly hold all.
func filterConnections(s *Steerer, p *placing, member *directory.Member, state *backendState) bool {
	return s.connectionsOf(p.group, member).Avoids(state.flows)
}

func filterFull(s *Steerer, p *placing, member *directory.Member, state *backendState) bool {
	return s.connectionsOf(p.group, member).Refuses(state.flows)
}

// connectionsOf is the limit of flows of one of the group's back ends, and who divides it.
func (s *Steerer) connectionsOf(group *settings.Group, member *directory.Member) admission.Connections {
	return admission.Connections{Limit: group.Connections, Zone: s.own.zoneSize(), Fleet: s.own.fleetSize(), Local: member.Zone == s.config.Zone}
}

// doubts tells whether new flows avoid a back end for its silence. Silence counts from
// when this process could have heard an answer.
func (s *Steerer) doubts(now time.Duration, state *backendState) bool {
	if s.lagging(now) {
		s.lagged = max(s.lagged, now-lagTime)
	}
	if state.askedAt != 0 {
		state.askedAt = max(state.askedAt, s.lagged+lagTime)
	}
	until := state.doubtUntil
	doubted := state.doubted(now)
	if state.doubtUntil > until && !state.pool.lossy() {
		// Each balancer of a zone would else send the back end a flow of its own before it hears of
		// this in the next round.
		s.raise(now)
	}
	return doubted
}

// lapseGrace is how long a vanished entry is still used. When all of a group vanish
// at once, the store has most likely lost them in an outage.
func (s *Steerer) lapseGrace(pool *directory.Pool) time.Duration {
	if len(pool.Left) < 2 {
		return s.config.LapseGrace
	}
	first, last := pool.Left[0].GoneAt, pool.Left[0].GoneAt
	for _, member := range pool.Left {
		first, last = min(first, member.GoneAt), max(last, member.GoneAt)
	}
	if last-first > together {
		return s.config.LapseGrace
	}
	return time.Duration(float64(s.config.LapseGrace) * lapseTogether)
}
