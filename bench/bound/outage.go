package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// minEjectTime is the minimum time until routers eject a dead balancer: they probe twice a
	// second and need two failures.
	minEjectTime = 500 * time.Millisecond
	// sameEventWindow is the time within which one event strikes all of its machines.
	sameEventWindow = 200 * time.Millisecond
)

// outage is a time in which a machine's balancer did not run.
type outage struct {
	machine, zone string
	span
}

// stoppingEvents matches the kinds of events during which processes of their machines do not run.
var stoppingEvents = regexp.MustCompile(`^(node_kill|node_freeze|herd_kill|after_ack_kill|closing)`)

// outages returns the outages of balancers. An event is taken to have struck a machine that was
// out of touch at its start if it names the machine, or does not name all of its machines.
func outages(site *Site, report *Report) ([]outage, error) {
	out, err := report.outOfTouch()
	if err != nil {
		return nil, err
	}
	var list []outage
	for _, event := range report.Events {
		if !stoppingEvents.MatchString(event.Kind) {
			continue
		}
		at, until := seconds(event.At), seconds(event.To)
		for machine, spans := range out {
			i := slices.IndexFunc(spans, func(s span) bool { return s.contains(at) })
			named := slices.Contains(strings.Split(event.What, ", "), machine)
			// Events that strike many machines name a few "and N more".
			namesSome := strings.Contains(event.What, " more") || strings.HasPrefix(event.Kind, "closing")
			if i < 0 || !named && !(namesSome && wentOutAt(spans[i], at)) {
				continue
			}
			runsAgain := until
			if strings.HasPrefix(event.Kind, "closing") {
				// The event lasts until all machines are in touch again; the machine runs earlier.
				runsAgain = spans[i].to - site.outOfTouchTime()
			}
			if runsAgain > at {
				list = append(list, outage{machine, zoneOf(machine), span{at, runsAgain}})
			}
		}
	}
	return list, nil
}

// wentOutAt reports whether a span out of touch began no later than sameEventWindow after at.
func wentOutAt(s span, at time.Duration) bool {
	return s.from-sameEventWindow <= at
}

// zoneOf returns the zone in a machine's name, such as front-hala-a-2.
func zoneOf(machine string) string {
	parts := strings.Split(machine, "-")
	return strings.Join(parts[1:len(parts)-1], "-")
}

// fleet holds the balancers and their outages.
type fleet struct {
	// machines are the balancers by zone, including those added during the day.
	machines map[string][]string
	outages  []outage
	// outagesByMachine has the indexes of outages, so that queries need not scan all of them.
	outagesByMachine map[string][]int
}

func newFleet(site *Site, report *Report) (*fleet, error) {
	list, err := outages(site, report)
	if err != nil {
		return nil, err
	}
	f := &fleet{machines: map[string][]string{}, outages: list, outagesByMachine: map[string][]int{}}
	for i, d := range list {
		f.outagesByMachine[d.machine] = append(f.outagesByMachine[d.machine], i)
	}
	for _, m := range site.Machines {
		for range m.Count {
			f.add(fmt.Sprintf("%s-%s-%d", m.Class, m.Zone, len(f.machines[m.Zone])+1))
		}
	}
	// Others were added during the day.
	for machine := range report.Touch.Out {
		f.add(machine)
	}
	for _, machines := range f.machines {
		slices.Sort(machines)
	}
	for _, storeOutage := range storeOutages(report) {
		f.waitForStore(storeOutage)
	}
	return f, nil
}

// storeOutages returns the times at which the store answered no balancer.
func storeOutages(report *Report) []span {
	var list []span
	for _, event := range report.Events {
		if strings.HasPrefix(event.Kind, "platform_down") && !strings.Contains(event.Kind, "nodes") {
			list = append(list, span{seconds(event.At), seconds(event.To)})
		}
	}
	return list
}

// waitForStore extends outages to the end of an outage of the store during which no balancer ran at
// some moment: balancers that start after that moment can get settings from no peer.
func (f *fleet) waitForStore(storeOutage span) {
	for _, d := range f.outages {
		moment := max(d.from, storeOutage.from)
		if !storeOutage.contains(moment) || f.firstRunningAt(moment) == moment {
			continue
		}
		for i := range f.outages {
			if f.outages[i].to > moment && f.outages[i].to < storeOutage.to {
				f.outages[i].to = storeOutage.to
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

// runningAt returns when the machine's balancer runs again, or at if it runs at that time.
func (f *fleet) runningAt(machine string, at time.Duration) time.Duration {
	if d, down := f.outageAt(machine, at); down {
		return d.to
	}
	return at
}

// outageAt returns the outage of the machine's balancer at the moment, if there is one.
func (f *fleet) outageAt(machine string, at time.Duration) (d outage, found bool) {
	for _, i := range f.outagesByMachine[machine] {
		if f.outages[i].contains(at) {
			return f.outages[i], true
		}
	}
	return outage{}, false
}

// reach is the share of a zone's flows whose packets reach a running balancer from a moment on.
type reach struct {
	share float64
	from  time.Duration
}

// reaches returns when packets of flows that begin in a zone at the moment reach a running
// balancer. Machines added later count from the start, which only lowers the share of lost flows.
func (f *fleet) reaches(zone string, at time.Duration) []reach {
	machines := f.machines[zone]
	if len(machines) == 0 {
		return []reach{{1, at}}
	}
	var list []reach
	usable := f.usableAt(zone, at)
	for _, machine := range machines {
		list = append(list, reach{1 / float64(len(machines)), f.reachedBy(machine, at, usable)})
	}
	return list
}

// reachedBy returns when a flow that the routers send to the machine reaches a running
// balancer: when that one runs, or when routers may have ejected it and the time usable has come.
func (f *fleet) reachedBy(machine string, at, usable time.Duration) time.Duration {
	d, down := f.outageAt(machine, at)
	if !down {
		return at
	}
	return min(d.to, max(at, d.from+minEjectTime, usable))
}

// usableAt returns when routers may send the zone's flows to running balancers only: when half
// of the zone's run or, while none of them does, when one of any zone does.
func (f *fleet) usableAt(zone string, at time.Duration) time.Duration {
	half := f.halfRunningAt(zone, at)
	for _, machine := range f.machines[zone] {
		if f.runningAt(machine, at) == at {
			return half
		}
	}
	return min(half, f.firstRunningAt(at))
}

// halfRunningAt returns when half of the zone's balancers run.
func (f *fleet) halfRunningAt(zone string, at time.Duration) time.Duration {
	var times []time.Duration
	for _, machine := range f.machines[zone] {
		times = append(times, f.runningAt(machine, at))
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// firstRunningAt returns when the first balancer of any zone runs.
func (f *fleet) firstRunningAt(at time.Duration) time.Duration {
	first := time.Duration(1<<63 - 1)
	for _, machines := range f.machines {
		for _, machine := range machines {
			first = min(first, f.runningAt(machine, at))
		}
	}
	return first
}
