package emulator

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/settings"
)

// Rules that the observer judges, by the names of the platform's rules.
const (
	ruleRoute   = "ROUTE"
	ruleDrain   = "DRAIN"
	ruleConfig  = "CONFIG"
	ruleFlow    = "FLOW"
	ruleTwice   = "UNASKED"
	ruleRecover = "RECOVER"
	ruleMixed   = "MIXED"
	ruleLost    = "LOST"
	ruleEvac    = "EVAC"
	ruleWarmUp  = "FAILBACK"
)

// recoverShare is the part of requests that must be served after recovery.
const recoverShare = 0.25

// published is one version of the configuration.
type published struct {
	version, revision uint64
	at                time.Duration
	services          map[netip.AddrPort][]string
}

// Violation is one broken rule.
type Violation struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at"`
	What string        `json:"what"`
}

// observer sees the whole truth and judges.
type observer struct {
	world    *world
	versions []published
	leftAt   map[settings.BackendID]time.Duration
	// emptied is since when each zone is evacuated, and takenBack when it last was taken back.
	emptied, takenBack map[string]time.Duration
	requests           []*request
	// checks counts how often each rule had something to judge.
	checks     map[string]int
	violations []Violation
	// allKilled is when every balancer was killed, and backAt when they were back.
	backAt    time.Duration
	allKilled bool
	refusals  int
	// lookupsAt counts lookups begun by service, once weights have settled.
	lookupsAt map[string]int
}

func newObserver(w *world) *observer {
	return &observer{world: w, leftAt: map[settings.BackendID]time.Duration{}, emptied: map[string]time.Duration{}, takenBack: map[string]time.Duration{}, checks: map[string]int{}, lookupsAt: map[string]int{}}
}

// broken notes a violation.
func (o *observer) broken(rule, format string, arguments ...any) {
	o.violations = append(o.violations, Violation{rule, o.world.Now, fmt.Sprintf(format, arguments...)})
}

func (o *observer) published(version, revision uint64, services map[netip.AddrPort][]string) {
	o.versions = append(o.versions, published{version, revision, o.world.Now, services})
}

// drained notes that the store has taken that a server is draining or gone.
func (o *observer) drained(id settings.BackendID) {
	if _, known := o.leftAt[id]; !known && o.world.store.stable() {
		o.leftAt[id] = o.world.Now
	}
}

// returned notes that a server announces itself as ready, perhaps again.
func (o *observer) returned(id settings.BackendID) {
	delete(o.leftAt, id)
}

// allowed returns the services that any version in force since the time allows; a
// nil entry stands for no route.
func (o *observer) allowed(address netip.AddrPort, since time.Duration) (services []string, absent bool) {
	for i, version := range o.versions {
		if i+1 < len(o.versions) && o.versions[i+1].at < since {
			continue
		}
		parts := version.services[address]
		if len(parts) == 0 {
			absent = true
		}
		services = append(services, parts...)
	}
	return services, absent
}

// openTaken judges where an opening packet arrived; isNew is set unless the server has it already.
func (o *observer) openTaken(s *server, via *node, d *datagram, isNew bool) {
	if isNew {
		o.warmUpTaken(s, d)
	}
	o.checks[ruleRoute]++
	ever, _ := o.allowed(d.Flow.Service, -1)
	if !slices.Contains(ever, s.service) {
		o.broken(ruleRoute, "%s took a flow for %s", s.service, d.Flow.Service)
		return
	}
	if !via.inTouch() {
		return
	}
	o.checks[ruleDrain]++
	if left, gone := o.leftAt[s.id]; gone && o.world.Now-left > drainBound {
		o.broken(ruleDrain, "server %s took a flow %v after it left, through %s", idText(s.id), o.world.Now-left, via.control)
	}
	o.evacuatedTaken(s, via)
	o.checks[ruleConfig]++
	if services, _ := o.allowed(d.Flow.Service, d.sent-applyBound); !slices.Contains(services, s.service) {
		o.broken(ruleConfig, "%s took a flow for %s by an older version, through %s", s.service, d.Flow.Service, via.control)
	}
}

// forwarded judges that a balancer does not go back to an older version.
func (o *observer) forwarded(n *node, d *datagram, _ settings.BackendID) {
	if d.Kind != 0 {
		return
	}
	version := n.directory.SettingsVersion()
	o.checks[ruleConfig]++
	if version < n.newest {
		o.broken(ruleConfig, "balancer %s went back from version %d to %d", n.control, n.newest, version)
	}
	n.newest = max(n.newest, version)
}

// refused judges an answer that there is no route.
func (o *observer) refused(n *node, d *datagram) {
	o.refusals++
	if !n.inTouch() {
		return
	}
	o.checks[ruleConfig]++
	services, absent := o.allowed(d.Flow.Service, d.sent-applyBound)
	if len(services) > 0 && !absent && o.anyServer(services) {
		o.broken(ruleConfig, "balancer %s refused %s though it is routed", n.control, d.Flow.Service)
	}
}

// anyServer tells whether a server of the services takes flows.
func (o *observer) anyServer(services []string) bool {
	for _, s := range o.world.incarnations {
		_, left := o.leftAt[s.id]
		if !o.zoneTakesFlows(s.zone) {
			continue
		}
		if !s.crashed && !s.draining && !left && slices.Contains(services, s.service) {
			if _, listed := o.world.store.entries[s.id]; listed {
				return true
			}
		}
	}
	return false
}

// opened notes where a flow is open.
func (o *observer) opened(s *server, c *clientFlow) {
	if c.server == nil {
		c.server, c.opened = s, o.world.Now
	}
}

// packetAt judges whether a flow's packets reach its own server.
func (o *observer) packetAt(s *server, d *datagram, _ bool) {
	c := d.client
	if c.server == nil || c.counted {
		return
	}
	o.checks[ruleFlow]++
	if s == c.server {
		c.strayPackets = 0
		return
	}
	if c.strayPackets == 0 {
		c.strayAt = o.world.Now
	}
	c.strayPackets++
	if c.strayPackets >= 3 && o.world.Now-c.strayAt <= reorderBound && o.countsAsBroken(c) {
		c.counted = true
		o.broken(ruleFlow, "packets of %s reach server %s, not %s", c.key.Caller, idText(s.id), idText(c.server.id))
	}
}

// resetByOther judges a reset that the flow's server did not send.
func (o *observer) resetByOther(c *clientFlow, from *server) {
	o.checks[ruleFlow]++
	if c.counted || !o.countsAsBroken(c) {
		return
	}
	c.counted = true
	by := "a balancer"
	if from != nil {
		by = "server " + idText(from.id)
	}
	o.broken(ruleFlow, "flow %s, open at server %s, is reset by %s", c.key.Caller, idText(c.server.id), by)
}

// countsAsBroken tells whether the flow's server lives undisturbed.
func (o *observer) countsAsBroken(c *clientFlow) bool {
	s := c.server
	return !s.crashed && !s.hung && o.world.Now-s.disturbed >= contactBound && o.world.Now-c.opened <= flowLife
}

// answered judges that an answer comes from the server at which its flow is open.
func (o *observer) answered(s *server, c *clientFlow, r *request) {
	o.checks[ruleMixed]++
	if c.server != nil && c.server != s {
		o.broken(ruleMixed, "request %d of a flow at server %s is answered by %s", r.id, idText(c.server.id), idText(s.id))
	}
}

// ran judges that a request that may not be repeated runs once.
func (o *observer) ran(s *server, r *request) {
	o.checks[ruleTwice]++
	if r.kind == lookup && o.world.Now > o.world.sharesFrom {
		o.lookupsAt[s.service]++
	}
	if r.kind != stream && r.runs > 1 {
		o.broken(ruleTwice, "request %d ran %d times, at last at server %s", r.id, r.runs, idText(s.id))
	}
}

// judgeLost judges that what operators were told is accepted is in force at the end
// on every balancer in touch.
func (o *observer) judgeLost() {
	newest := o.versions[len(o.versions)-1]
	if o.world.Now-newest.at < applyBound {
		return
	}
	for _, n := range o.world.nodes {
		if !n.inTouch() {
			continue
		}
		o.checks[ruleLost]++
		if version := n.directory.SettingsVersion(); version != newest.version {
			o.broken(ruleLost, "balancer %s has version %d, not %d", n.control, version, newest.version)
		}
	}
}

// finish judges what only the end shows.
func (o *observer) finish() {
	o.judgeLost()
	if !o.allKilled {
		return
	}
	served, after := 0, 0
	for _, r := range o.requests {
		if r.started < o.backAt+recoverBound {
			continue
		}
		after++
		if r.outcome == inAim || r.outcome == late {
			served++
		}
	}
	o.checks[ruleRecover] += after
	if after > 0 && float64(served) < recoverShare*float64(after) {
		o.broken(ruleRecover, "%d of %d requests are served after recovery", served, after)
	}
}
