package balancer

import (
	"sync"
	"time"

	"gaugeyard/internal/flow"
)

// deadline is when a request in flight is given up.
type deadline struct {
	key       flow.Key
	messageID uint16
}

// deadlineQueue is a timing wheel without a rim: one list of deadlines for each
// tick. Lists are reused, so that a steady load allocates nothing.
type deadlineQueue struct {
	sync.Mutex
	lists map[time.Duration][]deadline
	spare [][]deadline
	// next is the first tick whose list was not taken yet.
	next time.Duration
}

// add queues a deadline; it is due at the first tick not before at.
func (q *deadlineQueue) add(at time.Duration, key flow.Key, messageID uint16) {
	q.Lock()
	defer q.Unlock()
	tick := (at + TickInterval - 1) / TickInterval
	if q.lists == nil {
		q.lists = map[time.Duration][]deadline{}
	}
	tick = max(tick, q.next)
	list, known := q.lists[tick]
	if !known && len(q.spare) > 0 {
		list = q.spare[len(q.spare)-1]
		q.spare = q.spare[:len(q.spare)-1]
	}
	q.lists[tick] = append(list, deadline{key, messageID})
}

// take removes the lists of all ticks up to now and calls settle for each deadline.
func (q *deadlineQueue) take(now time.Duration, settle func(deadline)) {
	for {
		list, any := q.pop(now)
		if !any {
			return
		}
		for _, due := range list {
			settle(due)
		}
		q.reuse(list)
	}
}

func (q *deadlineQueue) pop(now time.Duration) ([]deadline, bool) {
	q.Lock()
	defer q.Unlock()
	if len(q.lists) == 0 {
		q.next = max(q.next, now/TickInterval)
		return nil, false
	}
	for ; q.next <= now/TickInterval; q.next++ {
		list, known := q.lists[q.next]
		if known {
			delete(q.lists, q.next)
			return list, true
		}
	}
	return nil, false
}

// maxSpare bounds the lists kept for reuse.
const maxSpare = 64

func (q *deadlineQueue) reuse(list []deadline) {
	q.Lock()
	defer q.Unlock()
	if len(q.spare) < maxSpare {
		q.spare = append(q.spare, list[:0])
	}
}
