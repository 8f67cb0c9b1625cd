package steering

import "time"

const (
	// firstColdPace is how many times longer than usual a request is taken to need at a back
	// end that warms up, until answers have shown it, and coldGain the weight of each of those.
	firstColdPace = 1.6
	coldGain      = 0.1
)

// coldPace is how many times longer than usual answers of back ends that warm up have taken.
type coldPace struct {
	pace float64
	// usual is the usual time of an answer when a flow was last placed, in seconds, 0 while
	// unknown.
	usual float64
}

// note learns from one answer.
func (c *coldPace) note(latency time.Duration) {
	if c.usual > 0 {
		c.pace += coldGain * (min(max(latency.Seconds()/c.usual, 1), slowMost) - c.pace)
	}
}
