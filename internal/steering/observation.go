package steering

import (
	"time"

	"gaugeyard/internal/settings"
)

// Observation is a change in the state of a back end as seen by this balancer.
type Observation string

// These values are logged.
const (
	// Suspect back ends have not answered an opening packet in time.
	Suspect Observation = "back end doubted"
	// Silent back ends left several callers without an answer.
	Silent Observation = "back end suspected"
	// Down back ends answer no caller. Flows whose requests may be repeated and idle flows are
	// reset.
	Down Observation = "back end lost"
	// Ended back ends were replaced: another one answers at the address.
	Ended Observation = "back end ended"
	// RequestFailures is set for back ends that accept new flows and leave requests unanswered.
	RequestFailures Observation = "back end leaves requests unanswered"
	// Ejected back ends failed so many requests, through all balancers, that new flows avoid them.
	// Restored is the end of that.
	Ejected  Observation = "back end out of rotation"
	Restored Observation = "back end back in rotation"
	// Restarted back ends announced another start under their identifier.
	Restarted Observation = "back end forgets its flows"
	// Responding back ends were suspect, silent or down and have responded.
	Responding Observation = "back end answers again"
)

// BackendEvent is an observation with its evidence.
type BackendEvent struct {
	Observation Observation
	Backend     settings.BackendID
	// Silence is the time since the back end last responded.
	Silence time.Duration
	// Failures is the decayed number of failed requests, where that is the reason.
	Failures float64
	// Until is when the state ends by itself, on the steerer's clock.
	Until time.Duration
}
