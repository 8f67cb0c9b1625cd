package edge

import "sync"

// broadcast wakes everyone who waits. The zero value is ready.
type broadcast struct {
	mutex sync.Mutex
	next  chan struct{}
}

// wait returns a channel that the next wake closes.
func (b *broadcast) wait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// wake closes the channels that wait returned since the last wake.
func (b *broadcast) wake() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
