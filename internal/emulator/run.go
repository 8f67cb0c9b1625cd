package emulator

import (
	"net/netip"
	"slices"
	"time"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Result holds the measurements of one run. Its JSON names are stable.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// WithinTarget and Served are the shares of requests answered within their latency target, and
	// at all.
	WithinTarget float64 `json:"in_aim"`
	Served       float64 `json:"served"`
	Failed       int     `json:"failed"`
	// Busiest is the largest number of requests started at a feed server over the mean, counting
	// servers that were up for the whole run; 0 if there are fewer than two.
	Busiest float64 `json:"busiest_over_mean"`
	// BusiestDuringReturn is the same for the time in which the first half of the entries return
	// after an outage.
	BusiestDuringReturn float64 `json:"busiest_while_back"`
	// Spread is the standard deviation of the same numbers over their mean.
	Spread float64 `json:"spread_over_mean"`
	// BusiestBySpeed is the largest amount of work at a feed server over the mean, counting servers
	// that were up for the whole run. Work is the number of requests started divided by the
	// server's speed.
	BusiestBySpeed float64 `json:"busiest_by_speed"`
	// SmallShare is the share of lookups that ran at the smaller group of a split route.
	SmallShare float64 `json:"small_share"`
	// LookupsWithinTarget is the share of lookups answered within their latency target.
	LookupsWithinTarget float64 `json:"lookups_in_aim"`
	StoreCalls          int     `json:"store_calls"`
	// HellosPerSecond is the mean number of hellos that a balancer sends per second.
	HellosPerSecond float64 `json:"hellos_per_second"`
	// HelloBytesPerSecond is their approximate size, in bytes per second and balancer.
	HelloBytesPerSecond float64 `json:"hello_bytes_per_second"`
	Refusals            int     `json:"refusals"`
	// Checks counts the checks made of each rule.
	Checks     map[string]int `json:"checks"`
	Violations []Violation    `json:"violations"`
}

// BrokenRules returns the sorted names of the broken rules without duplicates.
func (r *Result) BrokenRules() []string {
	var rules []string
	for _, violation := range r.Violations {
		if !slices.Contains(rules, violation.Rule) {
			rules = append(rules, violation.Rule)
		}
	}
	slices.Sort(rules)
	return rules
}

// Run simulates one run and returns its measurements.
func Run(options Options) Result {
	return simulate(options).result()
}

// simulate carries out one run and returns the world at its end.
func simulate(options Options) *world {
	w := newWorld(options)
	w.build()
	w.Every(probeInterval, func() {
		for _, zone := range w.zones {
			w.routers[zone].probe()
		}
	})
	w.Every(heartbeatInterval/4, w.store.expireOverdue)
	w.At(trafficStart, func() {
		w.startClients()
		w.startProbeClient()
	})
	options.Scenario.schedule(w)
	w.RunUntil(options.Scenario.duration())
	w.observer.finish()
	return w
}

func (w *world) result() Result {
	result := Result{
		Scenario: w.options.Scenario.Name, Seed: w.options.Seed, Requests: len(w.observer.requests),
		StoreCalls: w.store.calls, Refusals: w.observer.refusals, Checks: w.observer.checks, Violations: w.observer.violations,
	}
	result.HellosPerSecond = float64(w.hellos) / float64(len(w.nodes)) / w.Now.Seconds()
	result.HelloBytesPerSecond = float64(w.helloBytes) / float64(len(w.nodes)) / w.Now.Seconds()
	withinTargetCount, served, lookups, lookupsWithinTarget := 0, 0, 0, 0
	for _, r := range w.observer.requests {
		if r.kind == lookup {
			lookups++
			if r.outcome == withinTarget {
				lookupsWithinTarget++
			}
		}
		switch r.outcome {
		case withinTarget:
			withinTargetCount++
			served++
		case late:
			served++
		case failed:
			result.Failed++
		}
	}
	result.WithinTarget = float64(withinTargetCount) / float64(len(w.observer.requests))
	result.Served = float64(served) / float64(len(w.observer.requests))
	result.Busiest, result.Spread, result.BusiestBySpeed = w.evenness()
	result.SmallShare = w.smallShare()
	result.LookupsWithinTarget = float64(lookupsWithinTarget) / float64(max(1, lookups))
	result.BusiestDuringReturn = w.busiestDuringReturn
	return result
}

// evenness measures how evenly the feed servers that were up for the whole run were used: the
// busiest and the standard deviation over the mean, and the busiest by work over the mean.
func (w *world) evenness() (busiest, spread, bySpeed float64) {
	var requests, work []float64
	for _, s := range w.incarnations {
		if s.service != serviceFeed || s.warmUpStart > 0 || s.crashed || s.draining || s.slowdown != 1 || s.hung {
			continue
		}
		requests = append(requests, float64(s.requestsStarted))
		work = append(work, float64(s.requestsStarted)/s.speed)
	}
	if len(requests) < 2 || floats.Sum(requests) == 0 {
		return 0, 0, 0
	}
	mean, deviation := stat.MeanStdDev(requests, nil)
	return floats.Max(requests) / mean, deviation / mean, floats.Max(work) / stat.Mean(work, nil)
}

// smallShare returns the share of lookups that the smaller group served after sharesMeasuredFrom.
func (w *world) smallShare() float64 {
	small := w.observer.lookupsByService[serviceUpload] + w.observer.lookupsByService[serviceCanary]
	return float64(small) / float64(max(1, small+w.observer.lookupsByService[serviceFeed]))
}

// balancerIP returns the address of a balancer that a scenario adds.
func balancerIP(zone, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(zone + 1), 0, byte(number)})
}

// defaultSharesMeasuredFrom is sharesMeasuredFrom unless a scenario sets another time.
const defaultSharesMeasuredFrom = faultStart + 5*time.Second
