package tagged

import "slices"

// Report summarises a run.
type Report struct {
	Requests int `json:"asked"`
	Answered int `json:"answered"`
	// Refused counts requests for which no flow opened.
	Refused int `json:"refused"`
	// Failed counts requests without an answer in time.
	Failed int `json:"failed"`
	// P99 is the 99th percentile of the latency of answers, in milliseconds.
	P99 float64 `json:"p99_ms"`
	// StoreCalls is the number of requests to the store.
	StoreCalls int `json:"store_calls"`
	// MaxLoadRatio is the largest number of requests run by a server of the feed service,
	// divided by the mean.
	MaxLoadRatio float64     `json:"busiest_over_mean"`
	Violations   []Violation `json:"broken_rules"`
	// Checks is how often each rule was checked.
	Checks map[Rule]int `json:"occasions"`
	// Outcomes are those of all requests, in the order in which they were sent.
	Outcomes []Outcome `json:"-"`
}

// Outcome is the outcome of one request.
type Outcome struct {
	Request string
	// SentS is when it was sent, in seconds since the start of the run.
	SentS    float64
	Answered bool
	// LatencyMs is the time until the answer, in milliseconds; 0 if not answered.
	LatencyMs float64
}

// Quantile returns the quantile of the latencies of answers for a share from 0 to 1, in
// milliseconds. It returns 0 without any answer.
func (r *Report) Quantile(share float64) float64 {
	var latencies []float64
	for _, outcome := range r.Outcomes {
		if outcome.Answered {
			latencies = append(latencies, outcome.LatencyMs)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(len(latencies)-1, int(share*float64(len(latencies))))]
}
