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
	// maxLateness is the maximum lateness of the soak's timers at which timed rules are checked.
	// On a more overloaded machine, the balancers are late as well.
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

// partitionBreaches divides breaches into those that count and those of timed rules, which are
// excluded if lateness exceeds maxLateness.
func partitionBreaches(breaches []tagged.Breach, lateness time.Duration) (counted, excluded []tagged.Breach) {
	for _, breach := range breaches {
		if lateness > maxLateness && breach.Rule.Timed() {
			excluded = append(excluded, breach)
		} else {
			counted = append(counted, breach)
		}
	}
	return counted, excluded
}
