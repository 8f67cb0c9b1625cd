package main

import (
	"context"
	"sync"
)

// call is an answered call of a balancer to the store.
type call struct {
	balancer int
	path     string
	events   int
}

// calls observes the calls to the store.
type calls struct {
	mutex  sync.Mutex
	counts map[call]int
	recent chan call
}

func (w *world) observeCalls() *calls {
	c := &calls{counts: map[call]int{}, recent: make(chan call, 1024)}
	w.store.observe(func(balancer int, path string, events int) {
		c.mutex.Lock()
		c.counts[call{balancer: balancer, path: path}]++
		c.mutex.Unlock()
		select {
		case c.recent <- call{balancer, path, events}:
		default:
		}
	})
	return c
}

// mostFrequent returns the balancer with the most calls of a path.
func (c *calls) mostFrequent(path string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	best, most := 0, 0
	for counted, count := range c.counts {
		if counted.path == path && count > most {
			best, most = counted.balancer, count
		}
	}
	return best
}

// forget drops the calls until now, so that await waits for a later one.
func (c *calls) forget() {
	for {
		select {
		case <-c.recent:
		default:
			return
		}
	}
}

// await waits for a call that meets a condition.
func (c *calls) await(ctx context.Context, condition func(c call) bool) error {
	for {
		select {
		case next := <-c.recent:
			if condition(next) {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
