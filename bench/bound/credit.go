package main

import (
	"math"
	"time"
)

const (
	// openTimeout is how long a caller waits for a flow to open before it tries another.
	openTimeout = 1400 * time.Millisecond
	// serverHops is the minimum number of crossings between balancer and server for a request
	// and its answer; answers bypass the balancer.
	serverHops = 1
)

// The times since the first transmission at which callers send and retransmit a packet that opens
// a flow, and one with data.
var (
	openSendTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	dataSendTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 4600 * time.Millisecond, 6200 * time.Millisecond}
)

// sendTimes returns when a request of the class sends packets that can lead to its answer, relative
// to its start.
func (c *Class) sendTimes() []time.Duration {
	if !c.fresh() {
		return dataSendTimes
	}
	var times []time.Duration
	for try := range 1 + c.Retries {
		for _, after := range openSendTimes {
			times = append(times, time.Duration(try)*openTimeout+after)
		}
	}
	return times
}

// maxCredit returns the maximum mean credit of a request of the class, as a share of its worth,
// if no packet that it sends earlier than reached after its start arrives at a running balancer.
func (s *Site) maxCredit(c *Class, reached time.Duration) float64 {
	if reached <= 0 {
		return 1
	}
	deadline := milliseconds(c.DeadlineMs)
	for _, sent := range c.sendTimes() {
		if sent < reached {
			continue
		}
		transit := sent + s.minTransit(c)
		inAim := c.workWithin(milliseconds(c.AimMs) - transit)
		inTime := c.workWithin(deadline - transit)
		return inAim + c.lateShare()*(inTime-inAim)
	}
	return 0
}

// lateShare returns the credit of a late answer as a share of that of one within its aim.
func (c *Class) lateShare() float64 { return c.LateWorth / c.Worth }

// minTransit returns the minimum network time of a request: one round trip, and another one if it
// must open a flow first.
func (s *Site) minTransit(c *Class) time.Duration {
	roundTrips := 1.0
	if c.fresh() {
		roundTrips = 2
	}
	return milliseconds(roundTrips * (2*s.Net.ClientMs + serverHops*s.Net.InZoneMs))
}

// workWithin returns the share of requests whose work takes at most the time.
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
