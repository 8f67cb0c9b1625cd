package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"gaugeyard/internal/logs"
	"gaugeyard/internal/standin/tagged"
)

// Result is the result of a run. In JSON, durations are whole nanoseconds.
type Result struct {
	Seed        uint64         `json:"seed"`
	Length      time.Duration  `json:"length"`
	Sabotage    string         `json:"sabotage,omitempty"`
	Schedule    []Event        `json:"schedule"`
	FaultCounts map[Kind]int   `json:"hits"`
	Report      tagged.Report  `json:"report"`
	Latency     []LatencyShare `json:"latency"`
	// MaxLateness is the maximum lateness of the soak's own timers. Excluded are the violations
	// of rules with a time bound that do not count because of it.
	MaxLateness time.Duration      `json:"late"`
	Excluded    []tagged.Violation `json:"unjudged,omitempty"`
	// ProcessFailures describes processes that failed to start, exited unexpectedly, or did not
	// exit in time.
	ProcessFailures []string `json:"surprises"`
	// Logs is the directory with the logs of the balancers.
	Logs string `json:"logs"`
	// start is when clients began to send requests, on the world's clock.
	start time.Duration
}

// LatencyShare is a latency quantile: Share of the answers took at most Ms milliseconds.
type LatencyShare struct {
	Share float64 `json:"share"`
	Ms    float64 `json:"ms"`
}

// latencyShares are the quantiles of the report.
var latencyShares = []float64{0.5, 0.9, 0.99, 0.999, 1}

func (r *runner) result(start time.Duration) *Result {
	result := &Result{
		Seed: r.options.Seed, Length: r.options.Length, Sabotage: r.options.Sabotage, Schedule: r.options.Schedule,
		FaultCounts: r.faultCounts, Report: r.world.Report(), ProcessFailures: r.fleet.processFailures(), Logs: r.options.Folder, start: start,
	}
	result.MaxLateness = r.lateness.worst()
	result.Report.Violations, result.Excluded = partitionViolations(result.Report.Violations, result.MaxLateness)
	for _, share := range latencyShares {
		result.Latency = append(result.Latency, LatencyShare{share, result.Report.Quantile(share)})
	}
	return result
}

// Failed reports whether a rule was violated or a process failed.
func (r *Result) Failed() bool {
	return len(r.Report.Violations) > 0 || len(r.ProcessFailures) > 0
}

// WriteJSON writes the result as one JSON document.
func (r *Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Write writes the result as text.
func (r *Result) Write(out io.Writer) error {
	p := &logs.Printer{Out: out}
	p.Line("seed %d, %v, sabotage %q, logs in %s", r.Seed, r.Length, r.Sabotage, r.Logs)
	p.Line("requests: %d asked, %d answered, %d refused, %d failed; %d calls to the store",
		r.Report.Requests, r.Report.Answered, r.Report.Refused, r.Report.Failed, r.Report.StoreCalls)
	for _, latency := range r.Latency {
		p.Line("  %5.1f%% of the answers within %8.1f ms", 100*latency.Share, latency.Ms)
	}
	p.Line("timers came at most %d ms late", r.MaxLateness.Milliseconds())
	p.Line("troubles:")
	for _, kind := range slices.Concat(Kinds, SeriesKinds) {
		if r.FaultCounts[kind] > 0 {
			p.Line("  %-16s %d", kind, r.FaultCounts[kind])
		}
	}
	p.Line("rules, and how often each had something to judge:")
	for _, rule := range tagged.Rules {
		broken := len(slices.DeleteFunc(slices.Clone(r.Report.Violations), func(b tagged.Violation) bool { return b.Rule != rule }))
		status := "kept"
		switch {
		case broken > 0:
			status = fmt.Sprintf("BROKEN %d times", broken)
		case r.Report.Checks[rule] == 0:
			status = "never had anything to judge"
		}
		p.Line("  %-8s %6d  %s", rule, r.Report.Checks[rule], status)
	}
	for i, violation := range r.Report.Violations {
		if i == maxListedViolations {
			p.Line("  and %d more", len(r.Report.Violations)-i)
			break
		}
		p.Line("  %7.2f s  %s: %s", violation.At, violation.Rule, violation.Text)
	}
	for _, violation := range r.Excluded {
		p.Line("  %7.2f s  not judged, timers came too late: %s: %s", violation.At, violation.Rule, violation.Text)
	}
	for _, failure := range r.ProcessFailures {
		p.Line("  %s", failure)
	}
	return p.Err
}

// maxListedViolations is the maximum number of violations that Write lists.
const maxListedViolations = 20
