package main

import (
	"math"
	"time"

	"gaugeyard/internal/virtual"
)

// Servers work on serverSlots requests at once, queue serverQueue more and turn others away.
const (
	serverSlots = 2
	serverQueue = 8
)

const (
	// length is how long callers come, and drained when the last request has ended.
	length  = 15 * time.Second
	drained = 20 * time.Second
	// refusedIn and turnedAwayIn are how long it takes a caller to hear of a refusal by a balancer or
	// by a server; retries is how often it asks again, at once.
	refusedIn    = 4 * time.Millisecond
	turnedAwayIn = 12 * time.Millisecond
	retries      = 2
	// measured is the time over which balancers smooth what is offered.
	measured = time.Second
	sample   = 100 * time.Millisecond
)

// class is one kind of request; priority 0 is highest.
type class struct {
	perSecond     float64
	work          float64
	aim, deadline time.Duration
	worth, late   float64
	priority      int
}

// classes are those of a service of 120 servers whose requests have flows of their own.
var classes = []class{
	{250, 0.039, 500 * time.Millisecond, 2 * time.Second, 2, 0.6, 0},
	{875, 0.030, 400 * time.Millisecond, 2 * time.Second, 1, 0.3, 1},
}

// load is what a play tries; servers and factor are those at a time.
type load struct {
	name    string
	servers func(at time.Duration) int
	factor  func(at time.Duration) float64
}

// rule is how balancers refuse: the least urgent first, from where the work offered, as they heard of it lag
// ago, is more than target of the slots. The zero value refuses nothing.
type rule struct {
	target float64
	lag    time.Duration
}

// outcome is what callers got.
type outcome struct {
	asked, inAim, served, tries float64
}

type server struct {
	busy  int
	queue []func()
}

type play struct {
	virtual.Clock
	load     load
	rule     rule
	servers  [120]server
	outcomes []outcome
	// offered is work since the last sample, rates are the smoothed ones by class, and told is the history
	// of what went to servers.
	offered, rates []float64
	placed, rate   float64
	told           []float64
}

func run(seed uint64, l load, r rule) []outcome {
	p := &play{Clock: virtual.New(seed), load: l, rule: r, outcomes: make([]outcome, len(classes)), offered: make([]float64, len(classes)), rates: make([]float64, len(classes))}
	p.Every(sample, p.measure)
	for i := range classes {
		p.arrive(i)
	}
	p.RunUntil(drained)
	return p.outcomes
}

func (p *play) measure() {
	gain := 1 - math.Exp(-sample.Seconds()/measured.Seconds())
	p.rate += gain * (p.placed/sample.Seconds() - p.rate)
	p.placed = 0
	for i := range p.rates {
		p.rates[i] += gain * (p.offered[i]/sample.Seconds() - p.rates[i])
		p.offered[i] = 0
	}
	p.told = append(p.told, p.rate)
}

func (p *play) arrive(i int) {
	if p.Now > length {
		return
	}
	p.outcomes[i].asked++
	p.try(i, p.Now, retries)
	gap := p.Random.ExpFloat64() / (classes[i].perSecond * p.load.factor(p.Now))
	p.After(time.Duration(gap*float64(time.Second)), func() { p.arrive(i) })
}

// refuses tells whether a balancer refuses a flow of the class.
func (p *play) refuses(i, servers int) bool {
	at := len(p.told) - 1 - int(p.rule.lag/sample)
	room := float64(servers*serverSlots) * p.rule.target
	if p.rule.target == 0 || at < 0 || p.told[at] <= room {
		return false
	}
	excess := -room
	for _, rate := range p.rates {
		excess += rate
	}
	for j := len(classes) - 1; j > i; j-- {
		excess -= p.rates[j]
	}
	return p.Chance(excess / max(p.rates[i], 1e-3))
}

func (p *play) try(i int, begun time.Duration, left int) {
	again := func(wait time.Duration) {
		if left > 0 && p.Now+wait-begun < classes[i].deadline {
			p.After(wait, func() { p.try(i, begun, left-1) })
		}
	}
	p.outcomes[i].tries++
	p.offered[i] += classes[i].work
	servers := p.load.servers(p.Now)
	if p.refuses(i, servers) {
		again(refusedIn)
		return
	}
	p.placed += classes[i].work
	s, other := &p.servers[p.Random.IntN(servers)], &p.servers[p.Random.IntN(servers)]
	if other.busy+len(other.queue) < s.busy+len(s.queue) {
		s = other
	}
	switch {
	case s.busy < serverSlots:
		p.work(s, i, begun)
	case len(s.queue) < serverQueue:
		s.queue = append(s.queue, func() { p.work(s, i, begun) })
	default:
		again(turnedAwayIn)
	}
}

func (p *play) work(s *server, i int, begun time.Duration) {
	const spread = 0.5
	s.busy++
	took := classes[i].work * math.Exp(p.Random.NormFloat64()*spread-spread*spread/2)
	p.After(time.Duration(took*float64(time.Second)), func() {
		s.busy--
		if p.Now-begun <= classes[i].deadline {
			p.outcomes[i].served++
		}
		if p.Now-begun <= classes[i].aim {
			p.outcomes[i].inAim++
		}
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}
