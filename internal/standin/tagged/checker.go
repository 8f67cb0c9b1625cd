package tagged

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// checker checks the rules by comparing what clients received with what servers ran.
type checker struct {
	disturbances *disturbances
	started      time.Time

	mutex sync.Mutex
	// checkTimeBounds is whether rules with a time bound are checked.
	checkTimeBounds bool
	requests        map[string]*requestState
	runs            map[*server]int
	// flowServers is the server that last served each flow, by the flow's source.
	flowServers map[netip.AddrPort]*server
	// serverResets are the flows that were reset by a server that did not hold them.
	serverResets map[netip.AddrPort]bool
	// leftAt is when each leaving server began to leave, evacuatedAt when each zone still evacuated
	// was, and endedAt when each stopped server stopped.
	leftAt      map[*server]time.Time
	evacuatedAt map[string]time.Time
	endedAt     map[*server]time.Time
	routes      map[netip.AddrPort]*routeState
	// observed is the newest version observed at each balancer, by its data address.
	observed map[netip.AddrPort]observedVersion
	// fleetRestarts are the times at which all balancers were up again after all were killed.
	fleetRestarts []time.Time
	checks        map[Rule]int
	violations    []Violation
}

// requestState is the outcome of one request so far.
type requestState struct {
	sentAt, answeredAt time.Time
	runs               int
	refused, abandoned bool
}

// routeState is when a route was added and removed, by configuration version and by the time
// at which the store accepted that version.
type routeState struct {
	service                      string
	addedVersion, removedVersion int
	addedAt, removedAt           time.Time
	exists                       bool
}

// observedVersion is the newest configuration version that a balancer process has applied
// to a flow.
type observedVersion struct {
	version int
	at      time.Time
}

func newChecker() *checker {
	return &checker{
		disturbances: newDisturbances(), started: time.Now(), checkTimeBounds: true,
		requests: map[string]*requestState{}, runs: map[*server]int{}, flowServers: map[netip.AddrPort]*server{},
		serverResets: map[netip.AddrPort]bool{}, leftAt: map[*server]time.Time{}, evacuatedAt: map[string]time.Time{}, endedAt: map[*server]time.Time{},
		routes: map[netip.AddrPort]*routeState{}, observed: map[netip.AddrPort]observedVersion{}, checks: map[Rule]int{},
	}
}

// recordViolation records a violation of a rule.
func (c *checker) recordViolation(rule Rule, format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addViolation(rule, format, arguments...)
}

// addViolation records a violation of a rule. The mutex is held.
func (c *checker) addViolation(rule Rule, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{rule, time.Since(c.started).Seconds(), fmt.Sprintf(format, arguments...)})
}

func (c *checker) addRequest(request string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests[request] = &requestState{sentAt: time.Now()}
}

// addAbandonment excludes a request that the end of the run cancelled.
func (c *checker) addAbandonment(request string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests[request].abandoned = true
}

// addRefusal records that no flow opened for the request, so it must not have run.
func (c *checker) addRefusal(request string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.requests[request]
	state.refused = true
	c.checks[Unasked]++
	if state.runs > 0 {
		c.addViolation(Unasked, "request %s ran although no flow opened for it", request)
	}
}

func (c *checker) addAnswer(request, reply, want string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests[request].answeredAt = time.Now()
	c.checks[Mixed]++
	if reply != want {
		c.addViolation(Mixed, "request %s got answer %q, want %q", request, reply, want)
	}
}

// runsOnce reports whether a request may run at most once: lookups are billed.
func runsOnce(request string) bool { return strings.HasPrefix(request, lookupPrefix) }

func (c *checker) addRun(s *server, request string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runs[s]++
	c.checks[Unasked]++
	state := c.requests[request]
	if state == nil {
		c.addViolation(Unasked, "server %x ran %q, which no client sent", s.id, request)
		return
	}
	state.runs++
	if state.runs > 1 && runsOnce(request) {
		c.addViolation(Unasked, "lookup %s ran %d times", request, state.runs)
	}
	if state.refused {
		c.addViolation(Unasked, "request %s runs although no flow opened for it", request)
	}
}

// checkOpening checks an opening packet that a balancer forwarded to a server.
func (c *checker) checkOpening(s *server, p *packet, balancer netip.AddrPort) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkDrain(s, balancer, now)
	c.checkEvacuation(s, balancer, now)
	c.checkRoute(s, p, balancer, now)
}

// checkDrain checks that a server that left longer ago than the bound gets no new flow.
func (c *checker) checkDrain(s *server, balancer netip.AddrPort, now time.Time) {
	leftAt, leaving := c.leftAt[s]
	if !leaving || !c.checkTimeBounds || now.Sub(leftAt) <= drainTime {
		return
	}
	if c.disturbances.undisturbedSince(balancer, now.Add(-settleTime-drainTime)) {
		c.addViolation(Drain, "server %x got a flow from balancer %s %v after it began to leave", s.id, balancer, now.Sub(leftAt))
	}
}

// checkEvacuation checks that zones evacuated for longer than the bound get no new flow. Each
// flow from an undisturbed balancer to any zone counts as a check.
func (c *checker) checkEvacuation(s *server, balancer netip.AddrPort, now time.Time) {
	for zone, since := range c.evacuatedAt {
		if !c.checkTimeBounds || now.Sub(since) <= evacuateTime || !c.disturbances.undisturbedSince(balancer, now.Add(-settleTime-evacuateTime)) {
			continue
		}
		c.checks[Evac]++
		if s.zone == zone {
			c.addViolation(Evac, "server %x got a flow from balancer %s %v after zone %s was evacuated", s.id, balancer, now.Sub(since), zone)
		}
	}
}

// setEvacuated records that the store has accepted the start or the end of an evacuation.
func (c *checker) setEvacuated(zone string, active bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.evacuatedAt, zone)
	if active {
		c.evacuatedAt[zone] = time.Now()
	}
}

// anyEvacuated reports whether any zone is evacuated.
func (c *checker) anyEvacuated() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.evacuatedAt) > 0
}

// checkRoute checks that the flow's route leads to the server's service and is not outdated.
func (c *checker) checkRoute(s *server, p *packet, balancer netip.AddrPort, now time.Time) {
	route := c.routes[p.destination]
	c.checks[Route]++
	if route == nil || route.service != s.service {
		c.addViolation(Route, "server %x of service %s got a flow to %s from balancer %s", s.id, s.service, p.destination, balancer)
		return
	}
	if !c.checkTimeBounds {
		return
	}
	newest := c.observed[balancer]
	switch {
	case route.exists && route.addedVersion > newest.version:
		c.observed[balancer] = observedVersion{route.addedVersion, now}
	case !route.exists && route.removedVersion <= newest.version && now.Sub(newest.at) > rollbackSlack:
		c.addViolation(Config, "balancer %s applied an older version: a flow to %s, removed in version %d, after it applied version %d", balancer, p.destination, route.removedVersion, newest.version)
	case !route.exists && now.Sub(route.removedAt) > applyTime && c.disturbances.undisturbedSince(balancer, now.Add(-settleTime-applyTime)):
		c.addViolation(Config, "balancer %s forwarded a flow to %s %v after the route was removed", balancer, p.destination, now.Sub(route.removedAt))
	}
}

// checkProbe checks whether a balancer let a flow to a recently added route open.
func (c *checker) checkProbe(route netip.AddrPort, balancer netip.AddrPort, sentAt time.Time, opened bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.routes[route]
	if !c.checkTimeBounds || state == nil || !state.exists || sentAt.Sub(state.addedAt) <= applyTime {
		return
	}
	rule := Config
	if len(c.fleetRestarts) > 0 && state.addedAt.Before(c.fleetRestarts[len(c.fleetRestarts)-1]) {
		rule = Lost
	}
	if !c.disturbances.undisturbedSince(balancer, sentAt.Add(-settleTime-applyTime)) {
		return
	}
	c.checks[rule]++
	if !opened {
		c.addViolation(rule, "balancer %s rejected a flow to %s %v after the route was accepted", balancer, route, sentAt.Sub(state.addedAt))
	}
}

// recordRestart records that a balancer's process is a new one.
func (c *checker) recordRestart(balancer netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.observed, balancer)
}

// recordAllKilled records that all balancers were killed at once and have just restarted.
func (c *checker) recordAllKilled() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fleetRestarts = append(c.fleetRestarts, time.Now())
}

// recordLeaving records that a server is leaving.
func (c *checker) recordLeaving(s *server) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, known := c.leftAt[s]; !known {
		c.leftAt[s] = time.Now()
	}
}

// recordReturn records that a server that was leaving takes new flows again.
func (c *checker) recordReturn(s *server) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.leftAt, s)
}

// recordEnd records that a server has stopped, so that its flows are lost.
func (c *checker) recordEnd(s *server) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.endedAt[s] = time.Now()
}

// serverOf returns the server that holds a flow, or nil if there is none or it has stopped.
// The mutex is held.
func (c *checker) serverOf(source netip.AddrPort) *server {
	holder := c.flowServers[source]
	if holder == nil {
		return nil
	}
	if _, ended := c.endedAt[holder]; ended {
		return nil
	}
	return holder
}

// checkPinned records that a server serves a flow, and checks that no other holds it.
func (c *checker) checkPinned(s *server, source netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checks[Flow]++
	if holder := c.serverOf(source); holder != nil && holder != s {
		c.addViolation(Flow, "flow %s moved from server %x to %x", source, holder.id, s.id)
	}
	c.flowServers[source] = s
}

// checkServerReset records that a server reset a flow that it does not hold, and checks that
// no other holds it.
func (c *checker) checkServerReset(s *server, source netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if holder := c.serverOf(source); holder != nil && holder != s {
		c.addViolation(Flow, "flow %s of server %x was reset by server %x", source, holder.id, s.id)
	}
	c.serverResets[source] = true
}

// checkClientReset checks a reset that a client received on an open flow.
func (c *checker) checkClientReset(source netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.serverOf(source) != nil && !c.serverResets[source] {
		c.addViolation(Flow, "flow %s was reset by a balancer", source)
	}
}

// recordConfiguration records a configuration that the store has just accepted.
func (c *checker) recordConfiguration(version int, routes map[netip.AddrPort]string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for address, service := range routes {
		if state := c.routes[address]; state == nil || !state.exists {
			c.routes[address] = &routeState{service: service, addedVersion: version, addedAt: now, exists: true}
		}
	}
	for address, state := range c.routes {
		if _, exists := routes[address]; !exists && state.exists {
			state.exists, state.removedVersion, state.removedAt = false, version, now
		}
	}
}
