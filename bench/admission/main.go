// Command admission simulates admission control by balancers, which reject flows by priority when
// servers are full, and compares it with rejection by servers alone. For each load and rule it prints the
// share of requests answered within their aim, the worth, and the same by class, as means over all seeds.
//
// The model favours rejection by balancers: each request has its own flow, all balancers have the same
// view after a fixed delay, and servers are chosen by the better of two random true queues.
package main

import (
	"fmt"
	"time"
)

const seeds = 5

// constant returns a function with the same value at all times.
func constant[T any](value T) func(time.Duration) T { return func(time.Duration) T { return value } }

// during returns a function with the value inside between two times and outside at others.
func during[T any](from, to time.Duration, inside, outside T) func(time.Duration) T {
	return func(at time.Duration) T {
		if at > from && at < to {
			return inside
		}
		return outside
	}
}

var loads = []load{
	{"20 of 120 servers known for 1 s", during(5*time.Second, 6*time.Second, 20, 120), constant(1.0)},
	{"10 of 120 servers known for 1 s", during(5*time.Second, 6*time.Second, 10, 120), constant(1.0)},
	{"burst of 4 for 3 s on 40 servers", constant(40), during(5*time.Second, 8*time.Second, 4.0, 1)},
	{"burst of 4 for 8 s on 40 servers", constant(40), during(4*time.Second, 12*time.Second, 4.0, 1)},
	{"burst of 4 for 3 s, half dark", constant(60), during(5*time.Second, 8*time.Second, 4.0, 1)},
}

var rules = []rule{{}, {1, 0}, {1, 500 * time.Millisecond}, {1, 2 * time.Second}, {1.15, 0}, {1.15, 500 * time.Millisecond}, {1.15, 2 * time.Second}, {1.15, 4 * time.Second}}

func main() {
	for _, l := range loads {
		fmt.Println(l.name)
		for _, r := range rules {
			printLoad(l, r)
		}
	}
}

func printLoad(l load, r rule) {
	sum := make([]outcome, len(classes))
	for seed := uint64(1); seed <= seeds; seed++ {
		for i, o := range run(seed, l, r) {
			sum[i] = outcome{sum[i].requests + o.requests, sum[i].inAim + o.inAim, sum[i].served + o.served, sum[i].attempts + o.attempts}
		}
	}
	var requests, inAim, worth, owed float64
	text := ""
	for i, o := range sum {
		requests, inAim = requests+o.requests, inAim+o.inAim
		owed += classes[i].worth * o.requests
		worth += classes[i].worth*o.inAim + classes[i].late*(o.served-o.inAim)
		text += fmt.Sprintf("; priority %d in aim %.3f, %.2f tries", classes[i].priority, o.inAim/o.requests, o.attempts/o.requests)
	}
	fmt.Printf("  refused from %.2f of the slots, heard %3.1f s late: in aim %.3f, worth %.3f%s\n", r.target, r.lag.Seconds(), inAim/requests, worth/owed, text)
}
