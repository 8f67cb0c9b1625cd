package steering

import (
	"testing"
	"time"
)

// Requests that are held while the process is paused are no evidence against a back end: their callers
// abandon them or are answered through another balancer.
func TestRequestsHeldInAStandstillAreNoFailures(t *testing.T) {
	for name, scenario := range map[string]func(f *fleet, request func()){
		"requested before the pause":      func(f *fleet, request func()) { request(); f.pauseProcess() },
		"queued during the pause":         func(f *fleet, request func()) { f.pauseProcess(); request() },
		"received while the queue drains": func(f *fleet, request func()) { f.pauseProcess(); f.advance(resumeTime / 2); request() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			if failures := f.failuresAfter(scenario); failures != 0 {
				t.Errorf("%v request failures, want 0", failures)
			}
		})
	}
	f := newFleet(t)
	failures := f.failuresAfter(func(f *fleet, request func()) {
		f.pauseProcess()
		f.advance(2 * resumeTime)
		request()
	})
	if failures != 4 {
		t.Errorf("%v of 4 unanswered requests after a pause count", failures)
	}
}

// pauseProcess simulates a pause that is longer than callers wait.
func (f *fleet) pauseProcess() {
	f.now += 2 * time.Second
	f.steerer.Pulse(f.now)
}

// failuresAfter opens flows, lets scenario send a request on each, waits without an answer, and
// returns how many requests count as unanswered.
func (f *fleet) failuresAfter(scenario func(f *fleet, request func())) float64 {
	const flows = 4
	for caller := range flows {
		f.opened(caller, feedAddress)
	}
	scenario(f, func() {
		for caller := range flows {
			rec := f.steerer.flows[key(caller, feedAddress)]
			f.established(caller, feedAddress, rec.member.Tag, 1, 100)
		}
	})
	f.advance(3 * answerTimeout)
	sum := 0.0
	for _, state := range f.steerer.backends {
		sum += state.requestFailures
	}
	return sum
}

// A flow with many requests has one entry in pendingRequests.
func TestAPendingFlowIsTrackedOnce(t *testing.T) {
	f := newFleet(t)
	member := f.opened(1, feedAddress)
	for round := range uint32(100) {
		f.established(1, feedAddress, member.Tag, 1+100*round, 100)
		f.established(1, feedAddress, member.Tag, 50+100*round, 0)
	}
	if entries := len(f.steerer.pending.records); entries != 1 {
		t.Errorf("%d entries for one flow, want 1", entries)
	}
	f.advance(2 * unansweredCheckInterval)
	if entries := len(f.steerer.pending.records); entries != 0 {
		t.Errorf("%d entries after all answers, want 0", entries)
	}
}

// BenchmarkCheckUnanswered measures the check for unanswered requests among the number of flows of
// a large deployment.
func BenchmarkCheckUnanswered(b *testing.B) {
	const flows, pending = 21700, 20
	f := newFleet(&testing.T{})
	for i := range flows {
		member := f.opened(i, feedAddress)
		if i < pending {
			f.established(i, feedAddress, member.Tag, 1, 100)
		}
	}
	b.ResetTimer()
	for range b.N {
		f.steerer.checkUnanswered(f.now)
	}
}
