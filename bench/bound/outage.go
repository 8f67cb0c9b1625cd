package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// probeTime is the least time after which routers leave a dead balancer out: they probe
	// twice a second and need two misses.
	probeTime = 500 * time.Millisecond
	// atOnce is within what time machines are struck by one event.
	atOnce = 200 * time.Millisecond
)

// down is a time in which a machine's balancer did not run.
type down struct {
	machine, zone string
	span
}

// stopping are the kinds of events whose machines' processes do not run meanwhile.
var stopping = regexp.MustCompile(`^(node_kill|node_freeze|herd_kill|after_ack_kill|closing)`)

// downs returns when which balancers did not run. A machine is taken as struck by an event if
// the event names it or if it went out of touch just then.
func downs(site *Site, report *Report) ([]down, error) {
	out, err := report.outOfTouch()
	if err != nil {
		return nil, err
	}
	var list []down
	for _, event := range report.Events {
		if !stopping.MatchString(event.Kind) {
			continue
		}
		at, until := seconds(event.At), seconds(event.To)
		for machine, spans := range out {
			i := slices.IndexFunc(spans, func(s span) bool { return s.has(at) })
			named := slices.Contains(strings.Split(event.What, ", "), machine)
			// Events that strike many name but a few, and "and N more".
			many := strings.Contains(event.What, " more") || strings.HasPrefix(event.Kind, "closing")
			if i < 0 || !named && !(many && struckAt(spans[i], at)) {
				continue
			}
			back := until
			if strings.HasPrefix(event.Kind, "closing") {
				// The event lasts until all is well again; the machine is back earlier.
				back = spans[i].to - site.contact()
			}
			if back > at {
				list = append(list, down{machine, zoneOf(machine), span{at, back}})
			}
		}
	}
	return list, nil
}

// struckAt tells whether a machine went out of touch at the moment, or, struck by something
// else before, is out of touch anyway.
func struckAt(s span, at time.Duration) bool {
	return s.from-atOnce <= at
}

// zoneOf returns the zone in a machine's name, such as front-hala-a-2.
func zoneOf(machine string) string {
	parts := strings.Split(machine, "-")
	return strings.Join(parts[1:len(parts)-1], "-")
}

// fleet is which balancers there are and when they do not run.
type fleet struct {
	// machines are the balancers by zone, also those that came during the day.
	machines map[string][]string
	downs    []down
	// byMachine has the indexes of downs: with 986 machines that all go down, to look through them for each
	// machine at each moment takes hours.
	byMachine map[string][]int
}

func newFleet(site *Site, report *Report) (*fleet, error) {
	list, err := downs(site, report)
	if err != nil {
		return nil, err
	}
	f := &fleet{machines: map[string][]string{}, downs: list, byMachine: map[string][]int{}}
	for i, d := range list {
		f.byMachine[d.machine] = append(f.byMachine[d.machine], i)
	}
	for _, m := range site.Machines {
		for range m.Count {
			f.add(fmt.Sprintf("%s-%s-%d", m.Class, m.Zone, len(f.machines[m.Zone])+1))
		}
	}
	// Others came during the day.
	for machine := range report.Touch.Out {
		f.add(machine)
	}
	for _, machines := range f.machines {
		slices.Sort(machines)
	}
	for _, silent := range storeOutages(report) {
		f.learnAfter(silent)
	}
	return f, nil
}

// storeOutages returns when the store answered nobody.
func storeOutages(report *Report) []span {
	var list []span
	for _, event := range report.Events {
		if strings.HasPrefix(event.Kind, "platform_down") && !strings.Contains(event.Kind, "nodes") {
			list = append(list, span{seconds(event.At), seconds(event.To)})
		}
	}
	return list
}

// learnAfter keeps balancers from running before the end of an outage of the store in which nobody ran
// for a moment: whoever starts after that moment knows no settings, and nobody else does.
func (f *fleet) learnAfter(silent span) {
	for _, d := range f.downs {
		moment := max(d.from, silent.from)
		if !silent.has(moment) || f.firstBack(moment) == moment {
			continue
		}
		for i := range f.downs {
			if f.downs[i].to > moment && f.downs[i].to < silent.to {
				f.downs[i].to = silent.to
			}
		}
		return
	}
}

// add adds a machine, once.
func (f *fleet) add(machine string) {
	zone := zoneOf(machine)
	if !slices.Contains(f.machines[zone], machine) {
		f.machines[zone] = append(f.machines[zone], machine)
	}
}

// backAt returns when the machine's balancer runs again, at if it runs.
func (f *fleet) backAt(machine string, at time.Duration) time.Duration {
	if d, down := f.downAt(machine, at); down {
		return d.to
	}
	return at
}

// downAt returns the time around the moment in which the machine's balancer does not run, if there is one.
func (f *fleet) downAt(machine string, at time.Duration) (d down, found bool) {
	for _, i := range f.byMachine[machine] {
		if f.downs[i].has(at) {
			return f.downs[i], true
		}
	}
	return down{}, false
}

// reach is one way for a request to fare: with the share of the zone's flows that have it, its
// packets reach a running balancer from the moment on.
type reach struct {
	share float64
	from  time.Duration
}

// reaches returns when packets of flows that begin in a zone at the moment reach a running
// balancer. Machines that were not there yet only make the share of lost flows smaller.
func (f *fleet) reaches(zone string, at time.Duration) []reach {
	machines := f.machines[zone]
	if len(machines) == 0 {
		return []reach{{1, at}}
	}
	var list []reach
	usable := f.usable(zone, at)
	for _, machine := range machines {
		list = append(list, reach{1 / float64(len(machines)), f.reachedBy(machine, at, usable)})
	}
	return list
}

// reachedBy returns when a flow that the routers hand to the machine reaches a running
// balancer: when that one runs, or when the routers may have left it out. They do not while
// fewer than half of a zone's balancers run, unless none does and one elsewhere does: from usable on.
func (f *fleet) reachedBy(machine string, at, usable time.Duration) time.Duration {
	d, down := f.downAt(machine, at)
	if !down {
		return at
	}
	return min(d.to, max(at, d.from+probeTime, usable))
}

// usable returns when routers may send the zone's flows to running balancers alone: when half
// of the zone's run, or, while none of them does, when one anywhere does.
func (f *fleet) usable(zone string, at time.Duration) time.Duration {
	half := f.halfBack(zone, at)
	for _, machine := range f.machines[zone] {
		if f.backAt(machine, at) == at {
			return half
		}
	}
	return min(half, f.firstBack(at))
}

// halfBack returns when half of the zone's balancers run.
func (f *fleet) halfBack(zone string, at time.Duration) time.Duration {
	var times []time.Duration
	for _, machine := range f.machines[zone] {
		times = append(times, f.backAt(machine, at))
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// firstBack returns when the first balancer anywhere runs.
func (f *fleet) firstBack(at time.Duration) time.Duration {
	first := time.Duration(1<<63 - 1)
	for _, machines := range f.machines {
		for _, machine := range machines {
			first = min(first, f.backAt(machine, at))
		}
	}
	return first
}
