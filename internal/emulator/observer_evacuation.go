package emulator

import "time"

// evacuationChanged records that the store accepted the start or the end of a zone's evacuation.
func (o *observer) evacuationChanged(zone string, active bool) {
	if active {
		o.evacuatedSince[zone] = o.world.Now
		return
	}
	delete(o.evacuatedSince, zone)
	o.evacuationEndedAt[zone] = o.world.Now
}

// checkEvacuation checks a flow that a server accepted through a balancer in contact.
func (o *observer) checkEvacuation(s *server, via *node) {
	since, evacuated := o.evacuatedSince[s.zone]
	if !evacuated {
		return
	}
	o.checks[ruleEvacuation]++
	if o.world.Now-since > evacuateBound {
		o.reportViolation(ruleEvacuation, "server %s accepted a flow %v after the evacuation of %s, through %s", idText(s.id), o.world.Now-since, s.zone, via.control)
	}
}

// zoneTakesFlows reports whether a zone has not been evacuated within the last applyBound.
func (o *observer) zoneTakesFlows(zone string) bool {
	_, evacuated := o.evacuatedSince[zone]
	endedAt, ended := o.evacuationEndedAt[zone]
	return !evacuated && (!ended || o.world.Now-endedAt > applyBound)
}

// checkWarmUpRate checks the number of flows that a server accepted within the last second of its
// warm-up.
func (o *observer) checkWarmUpRate(s *server, d *datagram) {
	rate := o.world.operator.warmUpRate
	if rate == 0 || s.warmUpStart == 0 || !s.warmingUp() {
		return
	}
	o.checks[ruleWarmUp]++
	s.warmUpFlows = append(s.warmUpFlows, acceptedFlow{d.sent, o.world.Now})
	recent := 0
	for _, accepted := range s.warmUpFlows {
		if accepted.sent >= o.world.Now-time.Second {
			recent++
		}
	}
	if bound := rate*warmUpOvershoot + warmUpSlack; float64(recent) > bound {
		o.reportViolation(ruleWarmUp, "server %s accepted %d flows within a second of its warm-up, at most %g are allowed", idText(s.id), recent, bound)
	}
}
