package steering

import "time"

const (
	// firstColdPace is how many times longer than usual a request is taken to need at a back
	// end that warms up, until answers have shown it, and coldGain the weight of each of those.
	firstColdPace = 1.6
	coldGain      = 0.1
)

// poolState is what is known of the back ends that announce one name together.
type poolState struct {
	// turn counts the flows that were placed among them.
	turn int
	// usual is the usual time of their answers when a flow was last placed, in seconds, 0 while
	// unknown.
	usual float64
	// coldPace is how many times longer answers took while back ends warmed up.
	coldPace float64
}

// poolOf returns the state of the back ends that announce the name.
func (s *Steerer) poolOf(discover string) *poolState {
	pool := s.pools[discover]
	if pool == nil {
		pool = &poolState{coldPace: firstColdPace}
		s.pools[discover] = pool
	}
	return pool
}

// noteCold learns from an answer of a back end that warms up.
func (p *poolState) noteCold(latency time.Duration) {
	if p.usual > 0 {
		p.coldPace += coldGain * (min(max(latency.Seconds()/p.usual, 1), slowMost) - p.coldPace)
	}
}
