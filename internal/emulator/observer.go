package emulator

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/settings"
)

// Names of the rules that the observer checks, as they appear in violations.
const (
	ruleRoute      = "ROUTE"
	ruleDrain      = "DRAIN"
	ruleConfig     = "CONFIG"
	ruleFlow       = "FLOW"
	ruleRunOnce    = "UNASKED"
	ruleRecover    = "RECOVER"
	ruleMixed      = "MIXED"
	ruleLost       = "LOST"
	ruleEvacuation = "EVAC"
	ruleWarmUp     = "FAILBACK"
)

// minServedShare is the share of requests that must be served after recovery.
const minServedShare = 0.25

// settingsVersion is one published version of the configuration.
type settingsVersion struct {
	version, revision uint64
	at                time.Duration
	services          map[netip.AddrPort][]string
}

// Violation is one broken rule.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	Message string        `json:"what"`
}

// observer sees the state of the whole platform and checks the rules.
type observer struct {
	world    *world
	versions []settingsVersion
	leftAt   map[settings.BackendID]time.Duration
	// evacuatedSince is when each evacuated zone's evacuation began; evacuationEndedAt is when a
	// zone's last one ended.
	evacuatedSince, evacuationEndedAt map[string]time.Duration
	requests                          []*request
	// checks counts the checks made of each rule.
	checks     map[string]int
	violations []Violation
	// restartedAt is when all balancers were running again, if allKilled is set.
	restartedAt time.Duration
	allKilled   bool
	refusals    int
	// lookupsByService counts lookups started after sharesMeasuredFrom.
	lookupsByService map[string]int
}

func newObserver(w *world) *observer {
	return &observer{world: w, leftAt: map[settings.BackendID]time.Duration{}, evacuatedSince: map[string]time.Duration{}, evacuationEndedAt: map[string]time.Duration{}, checks: map[string]int{}, lookupsByService: map[string]int{}}
}

// reportViolation records a violation at the present time.
func (o *observer) reportViolation(rule, format string, arguments ...any) {
	o.violations = append(o.violations, Violation{rule, o.world.Now, fmt.Sprintf(format, arguments...)})
}

func (o *observer) recordPublished(version, revision uint64, services map[netip.AddrPort][]string) {
	o.versions = append(o.versions, settingsVersion{version, revision, o.world.Now, services})
}

// serverLeft records that the store accepted a server's draining or removal.
func (o *observer) serverLeft(id settings.BackendID) {
	if _, known := o.leftAt[id]; !known && o.world.store.isStable() {
		o.leftAt[id] = o.world.Now
	}
}

// serverReturned records that a server registers as ready.
func (o *observer) serverReturned(id settings.BackendID) {
	delete(o.leftAt, id)
}

// allowedServices returns the services that any version in force since the time allows for an
// address; absent is set if one of these versions has no route.
func (o *observer) allowedServices(address netip.AddrPort, since time.Duration) (services []string, absent bool) {
	for i, version := range o.versions {
		if i+1 < len(o.versions) && o.versions[i+1].at < since {
			continue
		}
		names := version.services[address]
		if len(names) == 0 {
			absent = true
		}
		services = append(services, names...)
	}
	return services, absent
}

// checkOpen checks which server received an opening packet; isNew is set unless the server already
// has the flow.
func (o *observer) checkOpen(s *server, via *node, d *datagram, isNew bool) {
	if isNew {
		o.checkWarmUpRate(s, d)
	}
	o.checks[ruleRoute]++
	ever, _ := o.allowedServices(d.Flow.Service, -1)
	if !slices.Contains(ever, s.service) {
		o.reportViolation(ruleRoute, "service %s accepted a flow for %s, which no version routes to it", s.service, d.Flow.Service)
		return
	}
	if !via.isInContact() {
		return
	}
	o.checks[ruleDrain]++
	if left, known := o.leftAt[s.id]; known && o.world.Now-left > drainBound {
		o.reportViolation(ruleDrain, "server %s accepted a flow %v after it left, through %s", idText(s.id), o.world.Now-left, via.control)
	}
	o.checkEvacuation(s, via)
	o.checks[ruleConfig]++
	if services, _ := o.allowedServices(d.Flow.Service, d.sent-applyBound); !slices.Contains(services, s.service) {
		o.reportViolation(ruleConfig, "service %s accepted a flow for %s by an outdated version, through %s", s.service, d.Flow.Service, via.control)
	}
}

// checkForwarded checks that a balancer does not return to an older version.
func (o *observer) checkForwarded(n *node, d *datagram, _ settings.BackendID) {
	if d.Kind != 0 {
		return
	}
	version := n.directory.SettingsVersion()
	o.checks[ruleConfig]++
	if version < n.newestVersion {
		o.reportViolation(ruleConfig, "balancer %s returned from version %d to %d", n.control, n.newestVersion, version)
	}
	n.newestVersion = max(n.newestVersion, version)
}

// checkRefusal checks an answer that there is no route.
func (o *observer) checkRefusal(n *node, d *datagram) {
	o.refusals++
	if !n.isInContact() {
		return
	}
	o.checks[ruleConfig]++
	services, absent := o.allowedServices(d.Flow.Service, d.sent-applyBound)
	if len(services) > 0 && !absent && o.hasServer(services) {
		o.reportViolation(ruleConfig, "balancer %s rejected a flow for %s, which is routed", n.control, d.Flow.Service)
	}
}

// hasServer reports whether a server of the services accepts flows.
func (o *observer) hasServer(services []string) bool {
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

// recordOpened records the server at which a flow opened first.
func (o *observer) recordOpened(s *server, c *clientFlow) {
	if c.server == nil {
		c.server, c.opened = s, o.world.Now
	}
}

// checkPacket checks whether a flow's packets reach its own server.
func (o *observer) checkPacket(s *server, d *datagram, _ bool) {
	c := d.client
	if c.server == nil || c.violationReported {
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
	if c.strayPackets >= 3 && o.world.Now-c.strayAt <= reorderBound && o.mustSurvive(c) {
		c.violationReported = true
		o.reportViolation(ruleFlow, "packets of %s reach server %s, not %s", c.key.Caller, idText(s.id), idText(c.server.id))
	}
}

// checkReset checks a reset that the flow's server did not send; from is nil for a balancer's.
func (o *observer) checkReset(c *clientFlow, from *server) {
	o.checks[ruleFlow]++
	if c.violationReported || !o.mustSurvive(c) {
		return
	}
	c.violationReported = true
	by := "a balancer"
	if from != nil {
		by = "server " + idText(from.id)
	}
	o.reportViolation(ruleFlow, "flow %s, open at server %s, is reset by %s", c.key.Caller, idText(c.server.id), by)
}

// mustSurvive reports whether the flow's server is up and undisturbed and the flow is not older
// than flowLife.
func (o *observer) mustSurvive(c *clientFlow) bool {
	s := c.server
	return !s.crashed && !s.hung && o.world.Now-s.disturbed >= contactBound && o.world.Now-c.opened <= flowLife
}

// checkAnswer checks that an answer comes from the server at which the flow is open.
func (o *observer) checkAnswer(s *server, c *clientFlow, r *request) {
	o.checks[ruleMixed]++
	if c.server != nil && c.server != s {
		o.reportViolation(ruleMixed, "request %d of a flow at server %s is answered by %s", r.id, idText(c.server.id), idText(s.id))
	}
}

// checkRun checks that a request that must not be repeated runs once.
func (o *observer) checkRun(s *server, r *request) {
	o.checks[ruleRunOnce]++
	if r.kind == lookup && o.world.Now > o.world.sharesMeasuredFrom {
		o.lookupsByService[s.service]++
	}
	if r.kind != stream && r.runs > 1 {
		o.reportViolation(ruleRunOnce, "request %d ran %d times, the last time at server %s", r.id, r.runs, idText(s.id))
	}
}

// checkLostSettings checks that the last accepted version is in force at the end on every balancer
// in contact.
func (o *observer) checkLostSettings() {
	latest := o.versions[len(o.versions)-1]
	if o.world.Now-latest.at < applyBound {
		return
	}
	for _, n := range o.world.nodes {
		if !n.isInContact() {
			continue
		}
		o.checks[ruleLost]++
		if version := n.directory.SettingsVersion(); version != latest.version {
			o.reportViolation(ruleLost, "balancer %s has settings version %d, want %d", n.control, version, latest.version)
		}
	}
}

// finish checks the rules that depend on the whole run.
func (o *observer) finish() {
	o.checkLostSettings()
	if !o.allKilled {
		return
	}
	served, after := 0, 0
	for _, r := range o.requests {
		if r.started < o.restartedAt+recoverBound {
			continue
		}
		after++
		if r.outcome == withinTarget || r.outcome == late {
			served++
		}
	}
	o.checks[ruleRecover] += after
	if after > 0 && float64(served) < minServedShare*float64(after) {
		o.reportViolation(ruleRecover, "%d of %d requests were served after recovery", served, after)
	}
}
