package follow

import "time"

// neverConfirmed is the age of what the store has confirmed to nobody in the life of this
// process: older than any bound.
const neverConfirmed = time.Hour

// Confirmation is when the store last confirmed what a balancer believes, to itself or to
// another one whose word it took over. The zero value is never: a process that starts
// knows nothing, and what it then learns is as old as its teacher says, also where that is
// older than the process.
type Confirmation struct {
	at    time.Duration
	known bool
}

// renewStep is by how much newer a confirmation must be for others to hear of it at once.
const minRenewal = 200 * time.Millisecond

// Note takes over that the store confirmed the beliefs age before now, on the steady clock
// of the process. An older confirmation than the known one changes nothing. It tells whether
// followers who wait should hear of it: so a confirmation passes along a chain of balancers
// at once, and beliefs are hardly older at its end than where the store is asked.
func (c *Confirmation) Note(now, age time.Duration) (renewed bool) {
	at := now - age
	if c.known && at <= c.at {
		return false
	}
	renewed = !c.known || at-c.at >= minRenewal
	c.at, c.known = at, true
	return renewed
}

// Renews tells whether this confirmation is news to a balancer that has one of the age.
func (c *Confirmation) Renews(now, age time.Duration) bool {
	return c.Age(now)+minRenewal <= age
}

// Age is how long before now the store confirmed the beliefs.
func (c *Confirmation) Age(now time.Duration) time.Duration {
	if !c.known {
		return neverConfirmed
	}
	return now - c.at
}
