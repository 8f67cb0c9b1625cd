package emulator

import "time"

// evacuated notes that the store has taken that a zone is evacuated, or taken back.
func (o *observer) evacuated(zone string, active bool) {
	if active {
		o.emptied[zone] = o.world.Now
		return
	}
	delete(o.emptied, zone)
	o.takenBack[zone] = o.world.Now
}

// evacuatedTaken judges a flow that a server took through a balancer in touch.
func (o *observer) evacuatedTaken(s *server, via *node) {
	since, emptied := o.emptied[s.zone]
	if !emptied {
		return
	}
	o.checks[ruleEvac]++
	if o.world.Now-since > evacuateBound {
		o.broken(ruleEvac, "server %s took a flow %v after %s was evacuated, through %s", idText(s.id), o.world.Now-since, s.zone, via.control)
	}
}

// zoneTakesFlows tells whether a zone has not been evacuated for as long as balancers may need to
// hear of it.
func (o *observer) zoneTakesFlows(zone string) bool {
	_, emptied := o.emptied[zone]
	back, was := o.takenBack[zone]
	return !emptied && (!was || o.world.Now-back > applyBound)
}

// warmUpTaken judges in each span of a second how many flows a server takes while it warms up.
func (o *observer) warmUpTaken(s *server, d *datagram) {
	rate := o.world.operator.warmUpRate
	if rate == 0 || s.coldAt == 0 || !s.cold() {
		return
	}
	o.checks[ruleWarmUp]++
	s.taken = append(s.taken, takenFlow{d.sent, o.world.Now})
	within := 0
	for _, taken := range s.taken {
		if taken.sent >= o.world.Now-time.Second {
			within++
		}
	}
	if bound := rate*warmUpOvershoot + warmUpSlack; float64(within) > bound {
		o.broken(ruleWarmUp, "server %s takes %d flows in a second while it warms up, %g are allowed", idText(s.id), within, bound)
	}
}
