package main

import (
	"math"
	"time"
)

const (
	// openPatience is how long a caller waits for a flow to open before it tries another.
	openPatience = 1400 * time.Millisecond
	// serverHops is how many links between balancer and server a request crosses at least on
	// its way there and back; answers go straight to the caller.
	serverHops = 1
)

// The times after which callers send again what was not answered.
var (
	openTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	dataTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 4600 * time.Millisecond, 6200 * time.Millisecond}
)

// sendTimes returns when, from its begin, a request of the class sends packets that can lead
// to its answer.
func (c *Class) sendTimes() []time.Duration {
	if !c.fresh() {
		return dataTimes
	}
	var times []time.Duration
	for try := range 1 + c.Retries {
		for _, after := range openTimes {
			times = append(times, time.Duration(try)*openPatience+after)
		}
	}
	return times
}

// bestCredit returns the most that a request of the class can earn on the mean, as a part of
// its worth, if its packets reach a running balancer from reached after its begin on.
func (s *Site) bestCredit(c *Class, reached time.Duration) float64 {
	if reached <= 0 {
		return 1
	}
	deadline := milliseconds(c.DeadlineMs)
	for _, sent := range c.sendTimes() {
		if sent < reached {
			continue
		}
		taken := sent + s.leastTransit(c)
		inAim := c.workWithin(milliseconds(c.AimMs) - taken)
		inTime := c.workWithin(deadline - taken)
		return inAim + c.lateShare()*(inTime-inAim)
	}
	return 0
}

// lateShare is what a late answer earns of what one within its aim does.
func (c *Class) lateShare() float64 { return c.LateWorth / c.Worth }

// leastTransit is the time that packets of a request need at least: there and back, and
// once more where a flow must open first.
func (s *Site) leastTransit(c *Class) time.Duration {
	turns := 1.0
	if c.fresh() {
		turns = 2
	}
	return milliseconds(turns * (2*s.Net.ClientMs + serverHops*s.Net.InZoneMs))
}

// workWithin returns the share of requests whose work takes no longer than the time.
func (c *Class) workWithin(time time.Duration) float64 {
	if time <= 0 {
		return 0
	}
	sigma := c.WorkMs.Spread
	if sigma == 0 {
		sigma = 1e-9
	}
	mu := math.Log(c.WorkMs.Mean) - sigma*sigma/2
	return 0.5 * math.Erfc(-(math.Log(float64(time.Microseconds())/1000)-mu)/(sigma*math.Sqrt2))
}
