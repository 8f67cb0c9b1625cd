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

// Note takes over that the store confirmed the beliefs age before now, on the steady clock
// of the process. An older confirmation than the known one changes nothing.
func (c *Confirmation) Note(now, age time.Duration) {
	if at := now - age; !c.known || at > c.at {
		c.at, c.known = at, true
	}
}

// Age is how long before now the store confirmed the beliefs.
func (c *Confirmation) Age(now time.Duration) time.Duration {
	if !c.known {
		return neverConfirmed
	}
	return now - c.at
}
