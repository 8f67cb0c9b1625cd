package edge

import "sync"

// broadcast wakes all goroutines that wait for an event. The zero value is ready to use.
type broadcast struct {
	mutex sync.Mutex
	next  chan struct{}
}

// wait returns a channel that the next call of wake closes.
func (b *broadcast) wait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// wake closes the channel that wait has returned since the previous call.
func (b *broadcast) wake() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
