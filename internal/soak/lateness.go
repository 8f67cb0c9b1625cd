package soak

import (
	"context"
	"sync"
	"time"

	"gaugeyard/internal/standin/tagged"
)

const (
	// latenessInterval is the interval between measurements.
	latenessInterval = 20 * time.Millisecond
	// maxLateness is the maximum lateness of the soak's timers at which rules with a time
	// bound are checked. On a more overloaded machine, the balancers are late as well.
	maxLateness = 250 * time.Millisecond
)

// lateness measures how late timers fire. Its methods may be called concurrently.
type lateness struct {
	mutex sync.Mutex
	max   time.Duration
}

// run measures until ctx ends.
func (l *lateness) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(latenessInterval)
		time.Sleep(latenessInterval)
		l.mutex.Lock()
		l.max = max(l.max, time.Since(due))
		l.mutex.Unlock()
	}
}

// worst returns the maximum lateness so far.
func (l *lateness) worst() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.max
}

// partitionViolations divides violations into those that count and those of rules with a time bound,
// which are excluded if lateness exceeds maxLateness.
func partitionViolations(violations []tagged.Violation, lateness time.Duration) (counted, excluded []tagged.Violation) {
	for _, violation := range violations {
		if lateness > maxLateness && violation.Rule.HasTimeBound() {
			excluded = append(excluded, violation)
		} else {
			counted = append(counted, violation)
		}
	}
	return counted, excluded
}
