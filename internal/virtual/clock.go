// Package virtual is the clock of the emulators: events that happen in order of
// virtual time in one goroutine, and a seeded source of chance. Equal seeds give
// equal runs.
package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// seedStream is the second half of the generator's seed, fixed for all runs.
const seedStream = 0x6761756765

// Clock orders events by virtual time; events at one time happen in the order in
// which they were made.
type Clock struct {
	// Now is the virtual time since the start of the run.
	Now time.Duration
	// Random is the run's only source of chance.
	Random   *rand.Rand
	queue    eventQueue
	sequence uint64
}

// New returns a clock at 0 with chance from the seed.
func New(seed uint64) Clock {
	return Clock{Random: rand.New(rand.NewPCG(seed, seedStream))}
}

// event is something that happens at a virtual time.
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

// After runs a function when delay has passed.
func (c *Clock) After(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{c.Now + max(delay, 0), c.sequence, run})
}

// At runs a function at a time from the start of the run.
func (c *Clock) At(when time.Duration, run func()) {
	c.After(when-c.Now, run)
}

// Every runs a function now and then at each interval.
func (c *Clock) Every(interval time.Duration, run func()) {
	run()
	c.After(interval, func() { c.Every(interval, run) })
}

// RunUntil lets events happen until the time is reached.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.Now = next.at
		next.run()
	}
	c.Now = end
}

// Chance returns true with the probability.
func (c *Clock) Chance(probability float64) bool {
	return probability > 0 && c.Random.Float64() < probability
}

// Between returns a random duration in [low, high).
func (c *Clock) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(c.Random.Int64N(int64(high-low)))
}
