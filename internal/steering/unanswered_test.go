package steering

import (
	"testing"
	"time"
)

// TestRequestsThatWaitedInAStandstillAreNoFaults of back ends: their callers gave them up,
// or were answered through another balancer.
func TestRequestsThatWaitedInAStandstillAreNoFaults(t *testing.T) {
	for name, asks := range map[string]func(f *fleet, ask func()){
		"asked before the standstill":      func(f *fleet, ask func()) { ask(); f.suspendProcess() },
		"waited in the queue meanwhile":    func(f *fleet, ask func()) { f.suspendProcess(); ask() },
		"came while the queue was emptied": func(f *fleet, ask func()) { f.suspendProcess(); f.pass(resumeTime / 2); ask() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			if faults := f.failuresAfter(asks); faults != 0 {
				t.Errorf("%v faults", faults)
			}
		})
	}
	f := newFleet(t)
	faults := f.failuresAfter(func(f *fleet, ask func()) {
		f.suspendProcess()
		f.pass(2 * resumeTime)
		ask()
	})
	if faults != 4 {
		t.Errorf("of 4 requests after a standstill that are never answered, %v count", faults)
	}
}

// standStill lets the process stand still for longer than callers wait.
func (f *fleet) suspendProcess() {
	f.now += 2 * time.Second
	f.steerer.Pulse(f.now)
}

// faultsAfter opens flows, lets asks send a request on each, lets time pass without an
// answer, and returns how many requests count as left unanswered.
func (f *fleet) failuresAfter(asks func(f *fleet, ask func())) float64 {
	const flows = 4
	for caller := range flows {
		f.opened(caller, feedAddress)
	}
	asks(f, func() {
		for caller := range flows {
			known := f.steerer.flows[key(caller, feedAddress)]
			f.established(caller, feedAddress, known.member.Tag, 1, 100)
		}
	})
	f.pass(3 * answerPatience)
	sum := 0.0
	for _, state := range f.steerer.backends {
		sum += state.faults
	}
	return sum
}

// TestAFlowThatAsksAgainIsLookedAtOnce, however often it asks.
func TestAFlowThatAsksAgainIsLookedAtOnce(t *testing.T) {
	f := newFleet(t)
	member := f.opened(1, feedAddress)
	for round := range uint32(100) {
		f.established(1, feedAddress, member.Tag, 1+100*round, 100)
		f.established(1, feedAddress, member.Tag, 50+100*round, 0)
	}
	if awaited := len(f.steerer.awaited.records); awaited != 1 {
		t.Errorf("%d entries for one flow", awaited)
	}
	f.pass(2 * lookInterval)
	if awaited := len(f.steerer.awaited.records); awaited != 0 {
		t.Errorf("%d entries after all was answered", awaited)
	}
}

// BenchmarkLook is the search for requests without an answer, among the flows that a
// balancer has at the size to come.
func BenchmarkLook(b *testing.B) {
	const flows, waiting = 21700, 20
	f := newFleet(&testing.T{})
	for i := range flows {
		member := f.opened(i, feedAddress)
		if i < waiting {
			f.established(i, feedAddress, member.Tag, 1, 100)
		}
	}
	b.ResetTimer()
	for range b.N {
		f.steerer.noteUnanswered(f.now)
	}
}
