package emulator

import (
	"net/netip"
	"slices"
	"time"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Result is what one run measured. Its JSON names are stable.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// Share of requests answered within their aim, and at all.
	InAim  float64 `json:"in_aim"`
	Served float64 `json:"served"`
	Failed int     `json:"failed"`
	// Busiest is the largest number of requests begun at a feed server over the
	// mean, of servers that were there all the time; 0 when there were none.
	Busiest float64 `json:"busiest_over_mean"`
	// BusiestBack is the same for the time in which half of the entries come back after an outage.
	BusiestBack float64 `json:"busiest_while_back"`
	// Spread is the standard deviation of the same numbers over their mean.
	Spread float64 `json:"spread_over_mean"`
	// BusiestBySpeed is the largest time of work at a feed server over the mean, of those that were there
	// all the time: requests begun, each by the speed of the server.
	BusiestBySpeed float64 `json:"busiest_by_speed"`
	// SmallShare is the part of lookups that ran at the smaller group of a split route.
	SmallShare float64 `json:"small_share"`
	// LookupsInAim is the part of lookups answered within their aim.
	LookupsInAim float64 `json:"lookups_in_aim"`
	StoreCalls   int     `json:"store_calls"`
	// HellosPerSecond is how many hellos a balancer sends, the mean.
	HellosPerSecond float64 `json:"hellos_per_second"`
	// HelloBytesPerSecond is about what they have in all.
	HelloBytesPerSecond float64 `json:"hello_bytes_per_second"`
	Refusals            int     `json:"refusals"`
	// Checks counts how often each rule had something to judge.
	Checks     map[string]int `json:"checks"`
	Violations []Violation    `json:"violations"`
}

// Broken returns the names of the broken rules, each once.
func (r *Result) Broken() []string {
	var rules []string
	for _, violation := range r.Violations {
		if !slices.Contains(rules, violation.Rule) {
			rules = append(rules, violation.Rule)
		}
	}
	slices.Sort(rules)
	return rules
}

// Run carries out one run.
func Run(options Options) Result {
	return ran(options).result()
}

// ran carries out one run and returns the world at its end.
func ran(options Options) *world {
	w := newWorld(options)
	w.build()
	w.Every(probeInterval, func() {
		for _, zone := range w.zones {
			w.routers[zone].probe()
		}
	})
	w.Every(heartbeat/4, w.store.expire)
	w.At(trafficStart, func() {
		w.startClients()
		w.probeClients()
	})
	options.Scenario.events(w)
	w.RunUntil(options.Scenario.length())
	w.truth.finish()
	return w
}

func (w *world) result() Result {
	result := Result{
		Scenario: w.options.Scenario.Name, Seed: w.options.Seed, Requests: len(w.truth.requests),
		StoreCalls: w.store.calls, Refusals: w.truth.refusals, Checks: w.truth.checks, Violations: w.truth.violations,
	}
	result.HellosPerSecond = float64(w.hellos) / float64(len(w.nodes)) / w.Now.Seconds()
	result.HelloBytesPerSecond = float64(w.helloBytes) / float64(len(w.nodes)) / w.Now.Seconds()
	inAimCount, served, lookups, lookupsInAim := 0, 0, 0, 0
	for _, r := range w.truth.requests {
		if r.kind == lookup {
			lookups++
			if r.outcome == inAim {
				lookupsInAim++
			}
		}
		switch r.outcome {
		case inAim:
			inAimCount++
			served++
		case late:
			served++
		case failed:
			result.Failed++
		}
	}
	result.InAim = float64(inAimCount) / float64(len(w.truth.requests))
	result.Served = float64(served) / float64(len(w.truth.requests))
	result.Busiest, result.Spread, result.BusiestBySpeed = w.evenness()
	result.SmallShare = w.smallShare()
	result.LookupsInAim = float64(lookupsInAim) / float64(max(1, lookups))
	result.BusiestBack = w.busiestBack
	return result
}

// evenness measures how evenly the feed servers were used that were there all the time: the
// busiest, and the standard deviation, over the mean; and the busiest by time of work.
func (w *world) evenness() (busiest, spread, bySpeed float64) {
	var begun, work []float64
	for _, s := range w.incarnations {
		if s.service != serviceFeed || s.coldAt > 0 || s.crashed || s.draining || s.slow != 1 || s.hung {
			continue
		}
		begun = append(begun, float64(s.begun))
		work = append(work, float64(s.begun)/s.speed)
	}
	if len(begun) < 2 || floats.Sum(begun) == 0 {
		return 0, 0, 0
	}
	mean, deviation := stat.MeanStdDev(begun, nil)
	return floats.Max(begun) / mean, deviation / mean, floats.Max(work) / stat.Mean(work, nil)
}

// smallShare measures what part of the lookups after the change of weights went to the smaller
// group.
func (w *world) smallShare() float64 {
	small := w.truth.lookupsAt[serviceUpload] + w.truth.lookupsAt[servicePart]
	return float64(small) / float64(max(1, small+w.truth.lookupsAt[serviceFeed]))
}

// balancerIP is the address of an added balancer.
func balancerIP(zone, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(zone + 1), 0, byte(number)})
}

// weightsSettled is when weights are judged from, unless a scenario says otherwise.
const weightsSettled = troubleStart + 5*time.Second
