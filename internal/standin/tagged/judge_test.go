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

// breaches lets a judge see something and returns the rules that it calls broken.
func breaches(see func(j *judge)) []Rule {
	j := newJudge()
	j.configured(3, map[netip.AddrPort]string{testRoute: feedService})
	see(j)
	var rules []Rule
	for _, breach := range j.report(0).Broken {
		rules = append(rules, breach.Rule)
	}
	return rules
}

// ago sets a time of the judge back, as if it had been long ago.
func ago(at *time.Time, length time.Duration) { *at = time.Now().Add(-length) }

func TestWhatTheJudgeCallsBroken(t *testing.T) {
	feed, other := &server{id: 1, service: feedService}, &server{id: 2, service: feedService}
	inZone := &server{id: 4, service: feedService, zone: "a"}
	ingest := &server{id: 3, service: ingestService}
	opening := &packet{source: testCaller, destination: testRoute, flags: flagSYN}
	for name, c := range map[string]struct {
		see  func(j *judge)
		want Rule
	}{
		"a sound request":                {func(j *judge) { j.asked("feed-1"); j.ran(feed, "feed-1"); j.answered("feed-1", "x", "x") }, ""},
		"another answer":                 {func(j *judge) { j.asked("feed-1"); j.answered("feed-1", "y", "x") }, Mixed},
		"a request that nobody asked":    {func(j *judge) { j.ran(feed, "feed-1") }, Unasked},
		"a feed that runs again":         {func(j *judge) { j.asked("feed-1"); j.ran(feed, "feed-1"); j.ran(other, "feed-1") }, ""},
		"a lookup that runs again":       {func(j *judge) { j.asked("lookup-1"); j.ran(feed, "lookup-1"); j.ran(other, "lookup-1") }, Unasked},
		"a refused request that runs":    {func(j *judge) { j.asked("feed-1"); j.refused("feed-1"); j.ran(feed, "feed-1") }, Unasked},
		"a flow to its service":          {func(j *judge) { j.opens(feed, opening, testBalancer) }, ""},
		"a flow to another service":      {func(j *judge) { j.opens(ingest, opening, testBalancer) }, Route},
		"a flow that moves":              {func(j *judge) { j.rests(feed, testCaller); j.rests(other, testCaller) }, Flow},
		"a flow whose server crashed":    {func(j *judge) { j.rests(feed, testCaller); j.crashed(feed); j.rests(other, testCaller) }, ""},
		"a reset by another server":      {func(j *judge) { j.rests(feed, testCaller); j.resets(other, testCaller) }, Flow},
		"a reset by a balancer":          {func(j *judge) { j.rests(feed, testCaller); j.reset(testCaller) }, Flow},
		"a new flow just after draining": {func(j *judge) { j.drained(feed); j.opens(feed, opening, testBalancer) }, ""},
		"a new flow long after draining": {func(j *judge) {
			j.left[feed] = time.Now().Add(-2 * drainTime)
			j.opens(feed, opening, testBalancer)
		}, Drain},
		"the same, the balancer being disturbed": {func(j *judge) {
			j.left[feed] = time.Now().Add(-2 * drainTime)
			j.touch.disturb(testBalancer, time.Now().Add(-contactTime))
			j.opens(feed, opening, testBalancer)
		}, ""},
		"the same, the store being disturbed": {func(j *judge) {
			j.left[feed] = time.Now().Add(-2 * drainTime)
			j.touch.disturbStore(time.Now().Add(-contactTime))
			j.opens(feed, opening, testBalancer)
		}, ""},
		"a flow to a zone that was evacuated long ago": {func(j *judge) {
			j.emptied["a"] = time.Now().Add(-2 * evacuateTime)
			j.opens(inZone, opening, testBalancer)
		}, Evac},
		"a flow to another zone meanwhile": {func(j *judge) {
			j.emptied["a"] = time.Now().Add(-2 * evacuateTime)
			j.opens(feed, opening, testBalancer)
		}, ""},
		"a flow to a zone that was just evacuated": {func(j *judge) {
			j.evacuated("a", true)
			j.opens(inZone, opening, testBalancer)
		}, ""},
		"a flow to a zone that was taken back": {func(j *judge) {
			j.emptied["a"] = time.Now().Add(-2 * evacuateTime)
			j.evacuated("a", false)
			j.opens(inZone, opening, testBalancer)
		}, ""},
		"a flow to an evacuated zone through a balancer that was cut off": {func(j *judge) {
			j.emptied["a"] = time.Now().Add(-2 * evacuateTime)
			j.touch.disturb(testBalancer, time.Now().Add(-contactTime))
			j.opens(inZone, opening, testBalancer)
		}, ""},
		"a route refused that is long there": {func(j *judge) {
			ago(&j.routes[testRoute].fromAt, 2*applyTime)
			j.probed(testRoute, testBalancer, time.Now(), false)
		}, Config},
		"the same after all were killed": {func(j *judge) {
			ago(&j.routes[testRoute].fromAt, 2*applyTime)
			j.killed = append(j.killed, time.Now().Add(-applyTime))
			j.probed(testRoute, testBalancer, time.Now(), false)
		}, Lost},
		"a route refused that is just added": {func(j *judge) { j.probed(testRoute, testBalancer, time.Now(), false) }, ""},
		"a flow on a route that long went": {func(j *judge) {
			j.configured(6, nil)
			ago(&j.routes[testRoute].gone, 2*applyTime)
			j.opens(feed, opening, testBalancer)
		}, Config},
		"a balancer that goes back": {func(j *judge) {
			j.configured(6, nil)
			j.shown[testBalancer] = shownVersion{version: 6, at: time.Now().Add(-time.Second)}
			j.opens(feed, opening, testBalancer)
		}, Config},
		"another process of that balancer": {func(j *judge) {
			j.configured(6, nil)
			j.shown[testBalancer] = shownVersion{version: 6, at: time.Now().Add(-time.Second)}
			j.lives(testBalancer)
			j.opens(feed, opening, testBalancer)
		}, ""},
		"nothing served after all were killed": {func(j *judge) {
			j.killed = append(j.killed, time.Now().Add(-2*recoveryTime))
			for _, name := range []string{"a", "b", "c", "d"} {
				for i := range 10 {
					j.asked(name + string(rune('0'+i)))
				}
			}
		}, Recover},
	} {
		got := breaches(c.see)
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || got[0] != c.want) {
			t.Errorf("%s: %v is called broken, want %q", name, got, c.want)
		}
	}
}

func TestRulesWithATimeBoundCanBeLeftOut(t *testing.T) {
	feed := &server{id: 1, service: feedService}
	got := breaches(func(j *judge) {
		j.timed = false
		j.left[feed] = time.Now().Add(-2 * drainTime)
		j.opens(feed, &packet{source: testCaller, destination: testRoute, flags: flagSYN}, testBalancer)
	})
	if len(got) > 0 {
		t.Errorf("%v", got)
	}
}
