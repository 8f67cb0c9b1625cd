// Package virtual provides the clock of the emulators. Events run in order of virtual time in one
// goroutine, and randomness comes from one seeded generator, so that equal seeds give equal runs.
package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// seedStream is the second half of the generator's seed, fixed for all runs.
const seedStream = 0x6761756765

// Clock runs events in order of virtual time. Events at the same time run in the order in which
// they were scheduled.
type Clock struct {
	// Now is the virtual time since the start of the run.
	Now time.Duration
	// Random is the run's only source of randomness.
	Random   *rand.Rand
	queue    eventQueue
	sequence uint64
}

// New returns a clock at time 0 with a generator seeded by seed.
func New(seed uint64) Clock {
	return Clock{Random: rand.New(rand.NewPCG(seed, seedStream))}
}

// event is a function scheduled for a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(value any) { *q = append(*q, value.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// After schedules a function to run after delay; a negative delay counts as 0.
func (c *Clock) After(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{c.Now + max(delay, 0), c.sequence, run})
}

// At schedules a function for a time since the start of the run; a time in the past counts as now.
func (c *Clock) At(when time.Duration, run func()) {
	c.After(when-c.Now, run)
}

// Every runs a function at once, and then at each interval.
func (c *Clock) Every(interval time.Duration, run func()) {
	run()
	c.After(interval, func() { c.Every(interval, run) })
}

// RunUntil runs all events up to and including end, and sets the time to end.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.Now = next.at
		next.run()
	}
	c.Now = end
}

// Chance returns true with the given probability.
func (c *Clock) Chance(probability float64) bool {
	return probability > 0 && c.Random.Float64() < probability
}

// Between returns a random duration in [low, high), or low if the range is empty.
func (c *Clock) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(c.Random.Int64N(int64(high-low)))
}
