package steering

// scoreLoad fills in the loads of each candidate relative to its slots, and its failures.
func scoreLoad(s *Steerer, p *placing) {
	if s.config.Mechanisms.NoLoad {
		return
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		slots := float64(max(c.member.Slots, 1))
		load := float64(c.state.active+1) + c.state.work() + c.state.others.Requests
		even := load
		if s.own.Count >= manyBalancers {
			even = c.state.steadyRate()
		}
		c.load = load / slots
		c.soon = (load + s.rush(p.now, c.state, c.local)) / slots
		c.even = even / slots
		c.failures = c.state.failures + c.state.others.Failures
	}
}

// scoreWarmUp sets the slowdown of back ends that are warming up.
func scoreWarmUp(s *Steerer, p *placing) {
	if s.config.Mechanisms.NoPace || s.config.Mechanisms.NoLoad {
		return
	}
	for i := range s.candidates {
		if c := &s.candidates[i]; p.now < c.member.ColdUntil {
			c.pace = c.state.pool.warmUpSlowdown
		}
	}
}

// scoreFailures increases the load of ejected back ends.
func scoreFailures(s *Steerer, _ *placing) { s.weighFailures() }

// scoreTypicalLatency computes the typical response time of the candidates.
func scoreTypicalLatency(s *Steerer, p *placing) { p.typicalLatency = s.usualAnswer() }

// scoreSlowness sets the slowdown of back ends that respond slowly.
func scoreSlowness(s *Steerer, p *placing) { s.weighSlowness(p.now, p.typicalLatency) }

// scoreTime computes the expected time of a request at each candidate.
func scoreTime(s *Steerer, p *placing) { s.expectTimes(p.typicalLatency) }
