package steering

// scoreLoad fills in the loads of each candidate relative to its slots, and its failures.
func scoreLoad(s *Steerer, p *placementState) {
	if s.config.Mechanisms.NoLoad {
		return
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		slots := float64(max(c.member.Slots, 1))
		load := float64(c.state.pending+1) + c.state.recentLoad() + c.state.others.Requests
		balanceLoad := load
		if s.membership.Count >= minBalancersForSubsets {
			balanceLoad = c.state.steadyRate()
		}
		c.load = load / slots
		c.expectedLoad = (load + s.loadCorrection(p.now, c.state, c.local)) / slots
		c.balanceLoad = balanceLoad / slots
		c.failures = c.state.failures + c.state.others.Failures
	}
}

// scoreWarmUp sets the slowdown of back ends that are warming up.
func scoreWarmUp(s *Steerer, p *placementState) {
	if s.config.Mechanisms.NoPace || s.config.Mechanisms.NoLoad {
		return
	}
	for i := range s.candidates {
		if c := &s.candidates[i]; p.now < c.member.WarmUpUntil {
			c.slowdown = c.state.pool.warmUpSlowdown
		}
	}
}

// scoreFailures increases the load of ejected back ends.
func scoreFailures(s *Steerer, _ *placementState) { s.applyEjection() }

// scoreTypicalLatency computes the typical latency of the candidates.
func scoreTypicalLatency(s *Steerer, p *placementState) { p.typicalLatency = s.typicalLatency() }

// scoreSlowdown sets the slowdown of back ends that respond slowly.
func scoreSlowdown(s *Steerer, p *placementState) { s.applySlowdown(p.now, p.typicalLatency) }

// scoreTime computes the expected time of a request at each candidate.
func scoreTime(s *Steerer, p *placementState) { s.estimateTimes(p.typicalLatency) }
