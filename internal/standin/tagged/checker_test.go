package tagged

import (
	"net/netip"
	"testing"
	"time"
)

var (
	testBalancer = netip.MustParseAddrPort("127.0.0.1:9000")
	testCaller   = netip.MustParseAddrPort("127.0.0.9:1024")
	testRoute    = netip.MustParseAddrPort("198.18.0.1:443")
)

// violatedRules returns the rules that a new checker reports as violated after see.
func violatedRules(see func(c *checker)) []Rule {
	c := newChecker()
	c.recordConfiguration(3, map[netip.AddrPort]string{testRoute: feedService})
	see(c)
	var rules []Rule
	for _, breach := range c.report(0).Violations {
		rules = append(rules, breach.Rule)
	}
	return rules
}

// setBack sets a recorded time to length ago.
func setBack(at *time.Time, length time.Duration) { *at = time.Now().Add(-length) }

func TestCheckerReportsViolations(t *testing.T) {
	feed, other := &server{id: 1, service: feedService}, &server{id: 2, service: feedService}
	inZone := &server{id: 4, service: feedService, zone: "a"}
	ingest := &server{id: 3, service: ingestService}
	opening := &packet{source: testCaller, destination: testRoute, flags: flagSYN}
	for name, c := range map[string]struct {
		see  func(c *checker)
		want Rule
	}{
		"a correct request":              {func(c *checker) { c.addRequest("feed-1"); c.addRun(feed, "feed-1"); c.addAnswer("feed-1", "x", "x") }, ""},
		"another answer":                 {func(c *checker) { c.addRequest("feed-1"); c.addAnswer("feed-1", "y", "x") }, Mixed},
		"a request that no client sent":  {func(c *checker) { c.addRun(feed, "feed-1") }, Unasked},
		"a feed that runs again":         {func(c *checker) { c.addRequest("feed-1"); c.addRun(feed, "feed-1"); c.addRun(other, "feed-1") }, ""},
		"a lookup that runs again":       {func(c *checker) { c.addRequest("lookup-1"); c.addRun(feed, "lookup-1"); c.addRun(other, "lookup-1") }, Unasked},
		"a refused request that runs":    {func(c *checker) { c.addRequest("feed-1"); c.addRefusal("feed-1"); c.addRun(feed, "feed-1") }, Unasked},
		"a flow to its service":          {func(c *checker) { c.checkOpening(feed, opening, testBalancer) }, ""},
		"a flow to another service":      {func(c *checker) { c.checkOpening(ingest, opening, testBalancer) }, Route},
		"a flow that moves":              {func(c *checker) { c.checkPinned(feed, testCaller); c.checkPinned(other, testCaller) }, Flow},
		"a flow whose server crashed":    {func(c *checker) { c.checkPinned(feed, testCaller); c.recordEnd(feed); c.checkPinned(other, testCaller) }, ""},
		"a reset by another server":      {func(c *checker) { c.checkPinned(feed, testCaller); c.checkServerReset(other, testCaller) }, Flow},
		"a reset by a balancer":          {func(c *checker) { c.checkPinned(feed, testCaller); c.checkClientReset(testCaller) }, Flow},
		"a new flow just after draining": {func(c *checker) { c.recordLeaving(feed); c.checkOpening(feed, opening, testBalancer) }, ""},
		"a new flow long after draining": {func(c *checker) {
			c.leftAt[feed] = time.Now().Add(-2 * drainTime)
			c.checkOpening(feed, opening, testBalancer)
		}, Drain},
		"the same, the balancer was disturbed": {func(c *checker) {
			c.leftAt[feed] = time.Now().Add(-2 * drainTime)
			c.disturbances.markBalancer(testBalancer, time.Now().Add(-settleTime))
			c.checkOpening(feed, opening, testBalancer)
		}, ""},
		"the same, the store was disturbed": {func(c *checker) {
			c.leftAt[feed] = time.Now().Add(-2 * drainTime)
			c.disturbances.markStore(time.Now().Add(-settleTime))
			c.checkOpening(feed, opening, testBalancer)
		}, ""},
		"a flow to a zone that was evacuated long ago": {func(c *checker) {
			c.evacuatedAt["a"] = time.Now().Add(-2 * evacuateTime)
			c.checkOpening(inZone, opening, testBalancer)
		}, Evac},
		"a flow to another zone meanwhile": {func(c *checker) {
			c.evacuatedAt["a"] = time.Now().Add(-2 * evacuateTime)
			c.checkOpening(feed, opening, testBalancer)
		}, ""},
		"a flow to a zone that was just evacuated": {func(c *checker) {
			c.setEvacuated("a", true)
			c.checkOpening(inZone, opening, testBalancer)
		}, ""},
		"a flow to a zone whose evacuation ended": {func(c *checker) {
			c.evacuatedAt["a"] = time.Now().Add(-2 * evacuateTime)
			c.setEvacuated("a", false)
			c.checkOpening(inZone, opening, testBalancer)
		}, ""},
		"a flow to an evacuated zone, the balancer was disturbed": {func(c *checker) {
			c.evacuatedAt["a"] = time.Now().Add(-2 * evacuateTime)
			c.disturbances.markBalancer(testBalancer, time.Now().Add(-settleTime))
			c.checkOpening(inZone, opening, testBalancer)
		}, ""},
		"an old route rejected": {func(c *checker) {
			setBack(&c.routes[testRoute].addedAt, 2*applyTime)
			c.checkProbe(testRoute, testBalancer, time.Now(), false)
		}, Config},
		"an old route rejected after all were killed": {func(c *checker) {
			setBack(&c.routes[testRoute].addedAt, 2*applyTime)
			c.fleetRestarts = append(c.fleetRestarts, time.Now().Add(-applyTime))
			c.checkProbe(testRoute, testBalancer, time.Now(), false)
		}, Lost},
		"a new route rejected": {func(c *checker) { c.checkProbe(testRoute, testBalancer, time.Now(), false) }, ""},
		"a flow to a route removed long ago": {func(c *checker) {
			c.recordConfiguration(6, nil)
			setBack(&c.routes[testRoute].removedAt, 2*applyTime)
			c.checkOpening(feed, opening, testBalancer)
		}, Config},
		"a balancer that applies an older version": {func(c *checker) {
			c.recordConfiguration(6, nil)
			c.observed[testBalancer] = observedVersion{version: 6, at: time.Now().Add(-time.Second)}
			c.checkOpening(feed, opening, testBalancer)
		}, Config},
		"the same after a restart of the balancer": {func(c *checker) {
			c.recordConfiguration(6, nil)
			c.observed[testBalancer] = observedVersion{version: 6, at: time.Now().Add(-time.Second)}
			c.recordRestart(testBalancer)
			c.checkOpening(feed, opening, testBalancer)
		}, ""},
		"no answers after all were killed": {func(c *checker) {
			c.fleetRestarts = append(c.fleetRestarts, time.Now().Add(-2*recoveryTime))
			for _, name := range []string{"a", "b", "c", "d"} {
				for i := range 10 {
					c.addRequest(name + string(rune('0'+i)))
				}
			}
		}, Recover},
	} {
		got := violatedRules(c.see)
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || got[0] != c.want) {
			t.Errorf("%s: violated rules %v, want %q", name, got, c.want)
		}
	}
}

func TestTimeBoundsCanBeDisabled(t *testing.T) {
	feed := &server{id: 1, service: feedService}
	got := violatedRules(func(c *checker) {
		c.checkTimeBounds = false
		c.leftAt[feed] = time.Now().Add(-2 * drainTime)
		c.checkOpening(feed, &packet{source: testCaller, destination: testRoute, flags: flagSYN}, testBalancer)
	})
	if len(got) > 0 {
		t.Errorf("violated rules %v, want none", got)
	}
}
