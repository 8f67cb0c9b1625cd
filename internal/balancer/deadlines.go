package balancer

import (
	"sync"
	"time"

	"gaugeyard/internal/flow"
)

// deadline identifies a request in flight with a pending timeout.
type deadline struct {
	key       flow.Key
	messageID uint16
}

// deadlineQueue is a timing wheel of unlimited range, with one list of deadlines
// for each tick. Lists are reused, so that a steady load allocates nothing.
type deadlineQueue struct {
	sync.Mutex
	lists map[time.Duration][]deadline
	free  [][]deadline
	// next is the first tick whose list has not been popped.
	next time.Duration
}

// add queues a deadline, which is due at the first tick not before at.
func (q *deadlineQueue) add(at time.Duration, key flow.Key, messageID uint16) {
	q.Lock()
	defer q.Unlock()
	tick := (at + TickInterval - 1) / TickInterval
	if q.lists == nil {
		q.lists = map[time.Duration][]deadline{}
	}
	tick = max(tick, q.next)
	list, known := q.lists[tick]
	if !known && len(q.free) > 0 {
		list = q.free[len(q.free)-1]
		q.free = q.free[:len(q.free)-1]
	}
	q.lists[tick] = append(list, deadline{key, messageID})
}

// popDue removes the deadlines due by now and calls handle for each, unlocked.
func (q *deadlineQueue) popDue(now time.Duration, handle func(deadline)) {
	for {
		list, found := q.pop(now)
		if !found {
			return
		}
		for _, due := range list {
			handle(due)
		}
		q.recycle(list)
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

// maxFreeLists is the maximum number of lists held for reuse.
const maxFreeLists = 64

func (q *deadlineQueue) recycle(list []deadline) {
	q.Lock()
	defer q.Unlock()
	if len(q.free) < maxFreeLists {
		q.free = append(q.free, list[:0])
	}
}
