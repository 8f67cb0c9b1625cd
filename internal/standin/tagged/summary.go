package tagged

import (
	"maps"
	"slices"
	"time"
)

// checkRecoveries checks the share of requests answered after each restart of all balancers.
// The mutex is held.
func (c *checker) checkRecoveries(end time.Time) {
	const minRequests, minAnsweredShare = 20, 0.25
	for i, up := range c.fleetRestarts {
		until := end
		if i+1 < len(c.fleetRestarts) {
			until = c.fleetRestarts[i+1]
		}
		sent, answered := 0, 0
		for _, state := range c.requests {
			if state.abandoned || state.sentAt.Before(up.Add(recoveryTime)) || state.sentAt.After(until) {
				continue
			}
			sent++
			if !state.answeredAt.IsZero() {
				answered++
			}
		}
		if !c.checkTimeBounds || sent < minRequests {
			continue
		}
		c.checks[Recover]++
		if float64(answered) < minAnsweredShare*float64(sent) {
			c.addViolation(Recover, "%[3]d of %[1]d requests sent more than %[2]v after the restart of all balancers were answered", sent, recoveryTime, answered)
		}
	}
}

// countDrainChecks counts the servers that served on for longer than drainTime after they began
// to leave, so that a late flow would be seen. The mutex is held.
func (c *checker) countDrainChecks(end time.Time) {
	for s, leftAt := range c.leftAt {
		endedAt, hasEnded := c.endedAt[s]
		if !hasEnded {
			endedAt = end
		}
		if c.checkTimeBounds && endedAt.Sub(leftAt) > drainTime {
			c.checks[Drain]++
		}
	}
}

// maxLoadRatio returns the largest number of requests run by a server of the feed service over
// the mean, without leaving servers; 0 without requests. The mutex is held.
func (c *checker) maxLoadRatio() float64 {
	highest, sum, servers := 0, 0, 0
	for s, runs := range c.runs {
		if _, leaving := c.leftAt[s]; s.service != feedService || leaving {
			continue
		}
		highest, sum, servers = max(highest, runs), sum+runs, servers+1
	}
	if sum == 0 {
		return 0
	}
	return float64(highest*servers) / float64(sum)
}

func (c *checker) report(storeCalls int) Report {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkRecoveries(time.Now())
	c.countDrainChecks(time.Now())
	report := Report{StoreCalls: storeCalls, MaxLoadRatio: c.maxLoadRatio(), Violations: slices.Clone(c.violations), Checks: maps.Clone(c.checks)}
	for name, state := range c.requests {
		if state.abandoned {
			continue
		}
		outcome := Outcome{Request: name, SentS: state.sentAt.Sub(c.started).Seconds()}
		report.Requests++
		switch {
		case !state.answeredAt.IsZero():
			report.Answered++
			outcome.LatencyMs = float64(state.answeredAt.Sub(state.sentAt).Microseconds()) / 1000
			outcome.Answered = true
		case state.refused:
			report.Refused++
		default:
			report.Failed++
		}
		report.Outcomes = append(report.Outcomes, outcome)
	}
	slices.SortFunc(report.Outcomes, func(a, b Outcome) int { return int(1e6 * (a.SentS - b.SentS)) })
	report.P99 = report.Quantile(0.99)
	return report
}
