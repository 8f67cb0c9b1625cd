package main

import (
	"math"
	"time"

	"gaugeyard/internal/virtual"
)

// Servers run serverSlots requests at once, queue serverQueue more and reject others.
const (
	serverSlots = 2
	serverQueue = 8
)

const (
	// arrivalPeriod is how long requests arrive; by endTime the last one has ended.
	arrivalPeriod = 15 * time.Second
	endTime       = 20 * time.Second
	// rejectDelay and serverRejectDelay are the times until a caller receives a rejection by a
	// balancer or by a server; retries is how often it retries, without a pause.
	rejectDelay       = 4 * time.Millisecond
	serverRejectDelay = 12 * time.Millisecond
	retries           = 2
	// smoothingTime is the time constant with which balancers smooth the offered work.
	smoothingTime  = time.Second
	sampleInterval = 100 * time.Millisecond
)

// class is a class of requests: their rate, mean work in seconds, time limits, worth in time and
// late, and priority, of which 0 is the highest.
type class struct {
	perSecond     float64
	work          float64
	aim, deadline time.Duration
	worth, late   float64
	priority      int
}

// classes are those of a service of 120 servers with one request per flow.
var classes = []class{
	{250, 0.039, 500 * time.Millisecond, 2 * time.Second, 2, 0.6, 0},
	{875, 0.030, 400 * time.Millisecond, 2 * time.Second, 1, 0.3, 1},
}

// load is a scenario: the number of servers and the factor on request rates over time.
type load struct {
	name    string
	servers func(at time.Duration) int
	factor  func(at time.Duration) float64
}

// rule is an admission rule: when the placed work of lag ago exceeds target times the slots, balancers
// reject requests, those of the lowest priority first. The zero value rejects nothing.
type rule struct {
	target float64
	lag    time.Duration
}

// outcome counts the outcomes of the requests of a class.
type outcome struct {
	requests, inAim, served, attempts float64
}

type server struct {
	busy  int
	queue []func()
}

type simulation struct {
	virtual.Clock
	load     load
	rule     rule
	servers  [120]server
	outcomes []outcome
	// offeredWork is the work of all attempts since the last sample by class, placedWork that of
	// attempts passed to servers. offeredRates and placedRate are their smoothed rates, and
	// placedRates is the history of placedRate.
	offeredWork, offeredRates []float64
	placedWork, placedRate    float64
	placedRates               []float64
}

func run(seed uint64, l load, r rule) []outcome {
	p := &simulation{Clock: virtual.New(seed), load: l, rule: r, outcomes: make([]outcome, len(classes)), offeredWork: make([]float64, len(classes)), offeredRates: make([]float64, len(classes))}
	p.Every(sampleInterval, p.measure)
	for i := range classes {
		p.arrive(i)
	}
	p.RunUntil(endTime)
	return p.outcomes
}

// measure updates the smoothed rates at each sample.
func (p *simulation) measure() {
	gain := 1 - math.Exp(-sampleInterval.Seconds()/smoothingTime.Seconds())
	p.placedRate += gain * (p.placedWork/sampleInterval.Seconds() - p.placedRate)
	p.placedWork = 0
	for i := range p.offeredRates {
		p.offeredRates[i] += gain * (p.offeredWork[i]/sampleInterval.Seconds() - p.offeredRates[i])
		p.offeredWork[i] = 0
	}
	p.placedRates = append(p.placedRates, p.placedRate)
}

func (p *simulation) arrive(i int) {
	if p.Now > arrivalPeriod {
		return
	}
	p.outcomes[i].requests++
	p.try(i, p.Now, retries)
	gap := p.Random.ExpFloat64() / (classes[i].perSecond * p.load.factor(p.Now))
	p.After(time.Duration(gap*float64(time.Second)), func() { p.arrive(i) })
}

// rejects reports whether a balancer rejects a flow of the class.
func (p *simulation) rejects(i, servers int) bool {
	at := len(p.placedRates) - 1 - int(p.rule.lag/sampleInterval)
	capacity := float64(servers*serverSlots) * p.rule.target
	if p.rule.target == 0 || at < 0 || p.placedRates[at] <= capacity {
		return false
	}
	excess := -capacity
	for _, rate := range p.offeredRates {
		excess += rate
	}
	for j := len(classes) - 1; j > i; j-- {
		excess -= p.offeredRates[j]
	}
	return p.Chance(excess / max(p.offeredRates[i], 1e-3))
}

func (p *simulation) try(i int, start time.Duration, retriesLeft int) {
	retry := func(wait time.Duration) {
		if retriesLeft > 0 && p.Now+wait-start < classes[i].deadline {
			p.After(wait, func() { p.try(i, start, retriesLeft-1) })
		}
	}
	p.outcomes[i].attempts++
	p.offeredWork[i] += classes[i].work
	servers := p.load.servers(p.Now)
	if p.rejects(i, servers) {
		retry(rejectDelay)
		return
	}
	p.placedWork += classes[i].work
	s, other := &p.servers[p.Random.IntN(servers)], &p.servers[p.Random.IntN(servers)]
	if other.busy+len(other.queue) < s.busy+len(s.queue) {
		s = other
	}
	switch {
	case s.busy < serverSlots:
		p.work(s, i, start)
	case len(s.queue) < serverQueue:
		s.queue = append(s.queue, func() { p.work(s, i, start) })
	default:
		retry(serverRejectDelay)
	}
}

func (p *simulation) work(s *server, i int, start time.Duration) {
	const spread = 0.5
	s.busy++
	duration := classes[i].work * math.Exp(p.Random.NormFloat64()*spread-spread*spread/2)
	p.After(time.Duration(duration*float64(time.Second)), func() {
		s.busy--
		if p.Now-start <= classes[i].deadline {
			p.outcomes[i].served++
		}
		if p.Now-start <= classes[i].aim {
			p.outcomes[i].inAim++
		}
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}
