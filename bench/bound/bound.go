package main

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// windowTime is the length of a window of a report, stepTime the step at which the bound
	// samples it.
	windowTime = 2 * time.Second
	stepTime   = 5 * time.Millisecond
	// worstWindows is the number of windows averaged in the part "worst windows".
	worstWindows = 2
)

// Names of parts and prices in a report.
const (
	partDay        = "whole day"
	partWindows    = "worst windows"
	partClass      = "worst class"
	partZone       = "worst zone"
	priceMachines  = "machine-seconds"
	priceHandshake = "new connections to servers"
)

// credit is the credit owed, its upper bound for any balancer, and the credit earned.
type credit struct {
	name string
	// begin is the start of a window.
	begin               time.Duration
	owed, bound, earned float64
	// late and failed count requests.
	late, failed float64
}

// avoidable returns the loss that a better balancer could have avoided.
func (c *credit) avoidable() float64 { return c.bound - c.earned }

// share returns the value as a share of the credit owed, 1 if none was owed.
func (c *credit) share(value float64) float64 {
	if c.owed == 0 {
		return 1
	}
	return value / c.owed
}

// result is the bound of one day.
type result struct {
	report                  *Report
	windows, classes, zones []credit
	parts                   []Part
	// prices is the lower bound of all prices, worth the upper bound of the day's worth.
	prices, worth float64
}

// bound computes the upper bound for the day of a report.
func bound(site *Site, report *Report) (*result, error) {
	fleet, err := newFleet(site, report)
	if err != nil {
		return nil, err
	}
	result := &result{report: report}
	result.windows = make([]credit, len(report.Windows))
	result.classes = make([]credit, len(report.Classes))
	result.zones = make([]credit, len(report.Zones))
	for i, window := range report.Windows {
		first, err := strconv.Atoi(window.Name)
		if err != nil {
			return nil, fmt.Errorf("window %q: %w", window.Name, err)
		}
		result.windows[i] = credit{name: window.Name, begin: time.Duration(first) * time.Second, late: window.Late, failed: window.Failed}
		for k := range report.Classes {
			for z := range report.Zones {
				if err := result.addWindow(site, fleet, i, k, z, time.Duration(first)*time.Second); err != nil {
					return nil, err
				}
			}
		}
		result.windows[i].earned = window.Worth * result.windows[i].owed
	}
	for k, class := range report.Classes {
		setTally(&result.classes[k], class)
	}
	for z, zone := range report.Zones {
		setTally(&result.zones[z], zone)
	}
	result.sum(site)
	return result, nil
}

// setTally copies the counts of a tally into the credit and sets the credit earned.
func setTally(c *credit, t Tally) {
	c.name, c.late, c.failed = t.Name, t.Late, t.Failed
	c.earned = t.Worth * c.owed
}

// addWindow adds the bound of a class and a zone in a window. It assumes that classes and zones
// have the same shares in each window.
func (r *result) addWindow(site *Site, fleet *fleet, i, k, z int, begin time.Duration) error {
	at := slices.IndexFunc(site.Classes, func(c Class) bool { return c.Name == r.report.Classes[k].Name })
	if at < 0 {
		return fmt.Errorf("class %q is not in the site file", r.report.Classes[k].Name)
	}
	class := &site.Classes[at]
	total := 0.0
	for _, c := range r.report.Classes {
		total += c.Count
	}
	owed := class.Worth * r.report.Windows[i].Count * r.report.Classes[k].Count / total * r.report.Zones[z].Count / total
	limit := owed * site.maxInWindow(class, fleet, r.report.Zones[z].Name, begin)
	for _, c := range []*credit{&r.windows[i], &r.classes[k], &r.zones[z]} {
		c.owed += owed
		c.bound += limit
	}
	return nil
}

// maxInWindow returns the mean bound of requests that begin in a window, as a share of their
// worth.
func (s *Site) maxInWindow(class *Class, fleet *fleet, zone string, begin time.Duration) float64 {
	if !fleet.disturbed(begin) {
		return 1
	}
	sum, steps := 0.0, 0
	for at := begin; at < begin+windowTime; at += stepTime {
		for _, reach := range fleet.reaches(zone, at) {
			sum += reach.share * s.maxCredit(class, reach.from-at)
		}
		steps++
	}
	return sum / float64(steps)
}

// disturbed reports whether a balancer is down in the window.
func (f *fleet) disturbed(begin time.Duration) bool {
	return slices.ContainsFunc(f.outages, func(d outage) bool { return d.from < begin+windowTime && d.to > begin })
}

// sum adds up parts and prices. The mean of the windows with the lowest bounds is no less than
// that of the worst windows; the same holds for classes and zones.
func (r *result) sum(site *Site) {
	for _, part := range r.report.Parts {
		value := 1.0
		switch part.Name {
		case partDay:
			value = r.day().share(r.day().bound)
		case partWindows:
			value = meanOfLowest(r.windows, worstWindows)
		case partClass:
			value = meanOfLowest(r.classes, 1)
		case partZone:
			value = meanOfLowest(r.zones, 1)
		}
		r.parts = append(r.parts, Part{part.Name, part.Weight, value})
		r.worth += part.Weight * value
	}
	fresh := 0.0
	for _, class := range r.report.Classes {
		if at := slices.IndexFunc(site.Classes, func(c Class) bool { return c.Name == class.Name }); site.Classes[at].fresh() {
			fresh += class.Count
		}
	}
	for _, price := range r.report.Prices {
		switch {
		case price.Name == priceMachines:
			r.prices += price.Cost
		case price.Name == priceHandshake && price.Amount > 0:
			r.prices += price.Cost * min(1, fresh/price.Amount)
		}
	}
	r.worth -= r.prices
}

// day returns the sum over the windows.
func (r *result) day() *credit {
	day := &credit{name: "day"}
	for _, w := range r.windows {
		day.owed += w.owed
		day.bound += w.bound
		day.earned += w.earned
		day.late += w.late
		day.failed += w.failed
	}
	return day
}

// meanOfLowest returns the mean of the count lowest bounds as shares, NaN if there are none.
func meanOfLowest(list []credit, count int) float64 {
	shares := []float64{}
	for i := range list {
		shares = append(shares, list[i].share(list[i].bound))
	}
	slices.SortFunc(shares, cmp.Compare[float64])
	count = min(count, len(shares))
	if count == 0 {
		return math.NaN()
	}
	sum := 0.0
	for _, share := range shares[:count] {
		sum += share
	}
	return sum / float64(count)
}
