// Command admission plays what callers get if balancers refuse flows by priority where servers are full,
// beside what they get if the servers alone turn requests away. For each load and rule it prints the part
// of the requests answered within their aim, the worth, and the same by class; means of five seeds.
//
// The model favours refusing: each request has a flow of its own, all balancers know the same and hear
// everything after a fixed time, and servers are chosen by their true queues, two by chance and the
// better of them.
package main

import (
	"fmt"
	"time"
)

const seeds = 5

func always[T any](value T) func(time.Duration) T { return func(time.Duration) T { return value } }

// within gives one value between two times and another one else.
func within[T any](from, to time.Duration, inside, outside T) func(time.Duration) T {
	return func(at time.Duration) T {
		if at > from && at < to {
			return inside
		}
		return outside
	}
}

var loads = []load{
	{"20 of 120 servers known for 1 s", within(5*time.Second, 6*time.Second, 20, 120), always(1.0)},
	{"10 of 120 servers known for 1 s", within(5*time.Second, 6*time.Second, 10, 120), always(1.0)},
	{"burst of 4 for 3 s on 40 servers", always(40), within(5*time.Second, 8*time.Second, 4.0, 1)},
	{"burst of 4 for 8 s on 40 servers", always(40), within(4*time.Second, 12*time.Second, 4.0, 1)},
	{"burst of 4 for 3 s, half dark", always(60), within(5*time.Second, 8*time.Second, 4.0, 1)},
}

var rules = []rule{{}, {1, 0}, {1, 500 * time.Millisecond}, {1, 2 * time.Second}, {1.15, 0}, {1.15, 500 * time.Millisecond}, {1.15, 2 * time.Second}, {1.15, 4 * time.Second}}

func main() {
	for _, l := range loads {
		fmt.Println(l.name)
		for _, r := range rules {
			print(l, r)
		}
	}
}

func print(l load, r rule) {
	sum := make([]outcome, len(classes))
	for seed := uint64(1); seed <= seeds; seed++ {
		for i, o := range run(seed, l, r) {
			sum[i] = outcome{sum[i].asked + o.asked, sum[i].inAim + o.inAim, sum[i].served + o.served, sum[i].tries + o.tries}
		}
	}
	var asked, inAim, worth, owed float64
	text := ""
	for i, o := range sum {
		asked, inAim = asked+o.asked, inAim+o.inAim
		owed += classes[i].worth * o.asked
		worth += classes[i].worth*o.inAim + classes[i].late*(o.served-o.inAim)
		text += fmt.Sprintf("; priority %d in aim %.3f, %.2f tries", classes[i].priority, o.inAim/o.asked, o.tries/o.asked)
	}
	fmt.Printf("  refused from %.2f of the slots, heard %3.1f s late: in aim %.3f, worth %.3f%s\n", r.target, r.lag.Seconds(), inAim/asked, worth/owed, text)
}
