// Package explain reconstructs the history of one flow from the logs of balancers: which
// decisions were made, which settings were in force, and the most likely cause of a failure.
//
// A flow is identified by its caller's address and port. Logs contain no request IDs, since
// balancers do not inspect payloads; callers log their address and port beside the ID. If
// the caller is unknown, the back end or the balancer together with a time also works.
//
// Each cause is reported with the log lines that support it. The rules in causes.go are
// evaluated in order; the first cause with evidence is the most likely one.
//
// # Usage
//
//	lines, _, err := logs.ReadFiles(names, os.Stdin)
//	report := explain.Explain(lines, explain.Query{Caller: "100.64.0.7:40001", At: when})
//	report.WriteText(os.Stdout)
package explain

import (
	"fmt"
	"io"
	"slices"
	"time"

	"gaugeyard/internal/logs"
)

// Query selects a flow. Empty fields match everything; at least one of Caller, Backend, Node
// and At must be set. At alone finds the balancers that were down at that time.
type Query struct {
	// Caller is the caller's address:port.
	Caller string
	// Backend is the identifier of the back end, as logs write it.
	Backend string
	// Node is the name of the balancer that received the packets.
	Node string
	// At is when the request was sent. Zero means the time of the flow's first line.
	At time.Time
	// Window is the time before and after At that is searched. Zero means DefaultWindow.
	Window time.Duration
}

// DefaultWindow covers a caller's deadline and the time in which the store detects a dead
// server.
const DefaultWindow = 5 * time.Second

// Step is one log line about the flow, with the state of its balancer at that time.
type Step struct {
	Line logs.Line
	// Version and Revision are those in force on the balancer, 0 if unknown.
	Version  uint64
	Revision uint64
	// Age is the time since the balancer applied Version.
	Age time.Duration
}

// Finding is a possible cause with the lines that support it.
type Finding struct {
	Cause    Cause
	Evidence []logs.Line
}

// FlowReport is the history of one flow and the possible causes of its failure.
type FlowReport struct {
	Query Query
	// Steps are the lines about the flow, sorted by time.
	Steps []Step
	// Findings are the causes that have evidence, the most likely first.
	Findings []Finding
}

// Explain returns the report on the flow that query selects. lines must be sorted by time.
func Explain(lines []logs.Line, query Query) FlowReport {
	if query.Window == 0 {
		query.Window = DefaultWindow
	}
	report := FlowReport{}
	if query.Caller != "" {
		report.Steps = flowSteps(lines, query)
	}
	if query.At.IsZero() && len(report.Steps) > 0 {
		query.At = report.Steps[0].Line.At
	}
	for _, step := range report.Steps {
		if query.Backend == "" {
			query.Backend = step.Line.Backend
		}
		if query.Node == "" {
			query.Node = step.Line.Node
		}
	}
	report.Query = query
	s := &analysis{query: query, steps: report.Steps, all: lines, near: linesWithin(lines, query.At.Add(-query.Window), query.At.Add(query.Window))}
	for _, rule := range rules {
		if evidence := rule.find(s); len(evidence) > 0 {
			report.Findings = append(report.Findings, Finding{rule.cause, evidence})
		}
	}
	return report
}

// linesWithin returns the lines from from, inclusive, to to, exclusive.
func linesWithin(lines []logs.Line, from, to time.Time) []logs.Line {
	first, _ := slices.BinarySearchFunc(lines, from, func(l logs.Line, t time.Time) int { return l.At.Compare(t) })
	last, _ := slices.BinarySearchFunc(lines, to, func(l logs.Line, t time.Time) int { return l.At.Compare(t) })
	return lines[first:last]
}

// flowSteps returns the lines of the caller's flow within the query's window, each with the
// settings version in force on its balancer.
func flowSteps(lines []logs.Line, query Query) []Step {
	type settings struct {
		version uint64
		since   time.Time
	}
	inForce := map[string]settings{}
	var found []Step
	for _, line := range lines {
		if line.Message == logs.Started {
			delete(inForce, line.Node)
		}
		if line.Message == logs.SettingsApplied {
			inForce[line.Node] = settings{line.Version, line.At}
		}
		if line.Caller != query.Caller || !query.At.IsZero() && line.At.Sub(query.At).Abs() > query.Window {
			continue
		}
		step := Step{Line: line, Revision: line.Revision}
		if known, ok := inForce[line.Node]; ok {
			step.Version, step.Age = known.version, line.At.Sub(known.since)
		}
		found = append(found, step)
	}
	return found
}

// WriteText writes the report as text.
func (s *FlowReport) WriteText(out io.Writer) error {
	p := &logs.Printer{Out: out}
	p.Line("flow of %s, back end %s, balancer %s, at %s", orNone(s.Query.Caller), orNone(s.Query.Backend), orNone(s.Query.Node), s.Query.At.Format(logs.ClockFormat))
	for _, step := range s.Steps {
		p.Line("  %s", Describe(step.Line))
		p.Line("    believed version %d (for %d ms), revision %d", step.Version, step.Age.Milliseconds(), step.Revision)
	}
	if len(s.Steps) == 0 && s.Query.Caller != "" {
		p.Line("  no balancer wrote of this flow")
	}
	for i, finding := range s.Findings {
		label := "cause"
		if i > 0 {
			label = "also"
		}
		p.Line("%s: %s", label, finding.Cause)
		for _, line := range finding.Evidence[:min(len(finding.Evidence), maxEvidenceLines)] {
			p.Line("  %s", Describe(line))
		}
		if more := len(finding.Evidence) - maxEvidenceLines; more > 0 {
			p.Line("  and %d more lines", more)
		}
	}
	if len(s.Findings) == 0 {
		p.Line("cause: nothing in these logs speaks against the balancers or the back end")
	}
	return p.Err
}

// maxEvidenceLines is the number of lines that WriteText prints for each finding.
const maxEvidenceLines = 6

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// Describe formats a log line as text, without the fields that are empty.
func Describe(line logs.Line) string {
	text := fmt.Sprintf("%s %s: %s", line.At.Format(logs.ClockFormat), line.Node, line.Message)
	for _, field := range []struct {
		name, value string
	}{
		{"backend", line.Backend}, {"before", line.PreviousBackend}, {"service", line.Service}, {"reason", line.Reason},
		{"part", line.Part}, {"part_reason", line.PartReason},
		{"from", line.From}, {"version", formatNonZero(line.Version)}, {"revision", formatNonZero(line.Revision)},
		{"silent_ms", formatNonZero(uint64(max(0, line.SilentMs)))}, {"age_ms", formatNonZero(uint64(max(0, line.AgeMs)))},
	} {
		if field.value != "" {
			text += " " + field.name + "=" + field.value
		}
	}
	return text
}

// formatNonZero returns n in decimal, or "" for 0.
func formatNonZero(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}
