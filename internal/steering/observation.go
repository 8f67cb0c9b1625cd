package steering

import (
	"time"

	"gaugeyard/internal/settings"
)

// Observation is a change of what this balancer thinks of a back end.
type Observation string

// The observations.
const (
	// Doubted back ends have not answered an opening packet in time.
	Doubted Observation = "back end doubted"
	// Suspected back ends left several callers without an answer.
	Suspected Observation = "back end suspected"
	// Lost back ends answer nobody any more; flows whose requests may be repeated are reset, and others that rest.
	Lost Observation = "back end lost"
	// Ended back ends are gone for certain: another one started at the address.
	Ended Observation = "back end ended"
	// Faulty back ends take new flows and leave requests unanswered.
	Faulty Observation = "back end leaves requests unanswered"
	// OutOfRotation back ends failed so many requests, through all balancers, that new flows avoid
	// them, and BackInRotation is the end of that.
	OutOfRotation  Observation = "back end out of rotation"
	BackInRotation Observation = "back end back in rotation"
	// StartedAnew back ends announced another start under their identifier.
	StartedAnew Observation = "back end forgets its flows"
	// Answers means that a doubted or suspected back end showed a sign of life.
	Answers Observation = "back end answers again"
)

// BackendEvent is one observation with what it rests on.
type BackendEvent struct {
	Observation Observation
	Backend     settings.BackendID
	// Silence is how long the back end has shown no sign of life.
	Silence time.Duration
	// Failures is how many requests it failed lately, decaying, where that is the reason.
	Failures float64
	// Until is when a doubt or suspicion ends by itself, on the steerer's clock.
	Until time.Duration
}
