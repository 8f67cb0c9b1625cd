// Package explain tells from the logs of balancers what became of one flow, what each
// balancer believed when it decided, and the most likely cause when the flow failed.
//
// A flow is named by its caller's address and port; a request's id is not in the logs,
// since balancers do not read what flows carry, so callers log their address and port
// beside the id. Where the caller is not known, the back end that served it, or the
// balancer that took its packets, and the time do as well.
//
// A cause is what the lines around the flow support, with those lines as evidence. The
// rules are tried in the order of the table in causes.go; the first that has evidence is
// given, and the others that have some are listed after it.
//
// # Usage
//
//	lines, _, err := logs.ReadFiles(names, os.Stdin)
//	story := explain.Explain(lines, explain.Query{Caller: "100.64.0.7:40001", At: when})
//	story.WriteText(os.Stdout)
package explain

import (
	"fmt"
	"io"
	"slices"
	"time"

	"gaugeyard/internal/logs"
)

// Query names the flow. Empty fields match all; at least one of Caller, Backend, Node and At
// is given. By At alone the balancers are found that were gone then.
type Query struct {
	// Caller is the caller's address:port.
	Caller string
	// Backend is the identifier of the back end, as logs write it.
	Backend string
	// Node is the balancer that took the packets.
	Node string
	// At is when the request was sent; zero takes the flow's first line.
	At time.Time
	// Window is how far around At evidence is looked for; zero is DefaultWindow.
	Window time.Duration
}

// DefaultWindow is how far around a request evidence is looked for: a caller's deadline
// and the time that a store needs to notice a dead server.
const DefaultWindow = 5 * time.Second

// Step is one thing that a balancer decided or came to believe.
type Step struct {
	Line logs.Line
	// Version and Revision are what the balancer had in force, 0 while unknown.
	Version  uint64
	Revision uint64
	// Age is how long ago the balancer took that over.
	Age time.Duration
}

// Finding is a cause with the lines that support it.
type Finding struct {
	Cause    Cause
	Evidence []logs.Line
}

// Story is what the logs tell of one flow.
type Story struct {
	Query Query
	// Steps are the lines about the flow, in order.
	Steps []Step
	// Findings are causes with evidence, the most likely first.
	Findings []Finding
}

// Explain collects what the lines, which are in order of time, tell of a flow.
func Explain(lines []logs.Line, query Query) Story {
	if query.Window == 0 {
		query.Window = DefaultWindow
	}
	story := Story{}
	if query.Caller != "" {
		story.Steps = steps(lines, query)
	}
	if query.At.IsZero() && len(story.Steps) > 0 {
		query.At = story.Steps[0].Line.At
	}
	for _, step := range story.Steps {
		if query.Backend == "" {
			query.Backend = step.Line.Backend
		}
		if query.Node == "" {
			query.Node = step.Line.Node
		}
	}
	story.Query = query
	s := &scene{query: query, steps: story.Steps, all: lines, near: between(lines, query.At.Add(-query.Window), query.At.Add(query.Window))}
	for _, rule := range rules {
		if evidence := rule.find(s); len(evidence) > 0 {
			story.Findings = append(story.Findings, Finding{rule.cause, evidence})
		}
	}
	return story
}

// between returns the lines of a span of time.
func between(lines []logs.Line, from, to time.Time) []logs.Line {
	first, _ := slices.BinarySearchFunc(lines, from, func(l logs.Line, t time.Time) int { return l.At.Compare(t) })
	last, _ := slices.BinarySearchFunc(lines, to, func(l logs.Line, t time.Time) int { return l.At.Compare(t) })
	return lines[first:last]
}

// steps are the lines about the caller's flow near the time, each with what its balancer
// believed then.
func steps(lines []logs.Line, query Query) []Step {
	type belief struct {
		version uint64
		since   time.Time
	}
	beliefs := map[string]belief{}
	var found []Step
	for _, line := range lines {
		if line.Message == logs.Started {
			delete(beliefs, line.Node)
		}
		if line.Message == logs.SettingsApplied {
			beliefs[line.Node] = belief{line.Version, line.At}
		}
		if line.Caller != query.Caller || !query.At.IsZero() && line.At.Sub(query.At).Abs() > query.Window {
			continue
		}
		step := Step{Line: line, Revision: line.Revision}
		if known, ok := beliefs[line.Node]; ok {
			step.Version, step.Age = known.version, line.At.Sub(known.since)
		}
		found = append(found, step)
	}
	return found
}

// WriteText writes the story for a reader.
func (s *Story) WriteText(out io.Writer) error {
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
		word := "cause"
		if i > 0 {
			word = "also"
		}
		p.Line("%s: %s", word, finding.Cause)
		for _, line := range finding.Evidence[:min(len(finding.Evidence), maxEvidence)] {
			p.Line("  %s", Describe(line))
		}
		if more := len(finding.Evidence) - maxEvidence; more > 0 {
			p.Line("  and %d more lines", more)
		}
	}
	if len(s.Findings) == 0 {
		p.Line("cause: nothing in these logs speaks against the balancers or the back end")
	}
	return p.Err
}

// maxEvidence is how many lines are written for each finding.
const maxEvidence = 6

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// Describe writes a line of a log in a form for readers.
func Describe(line logs.Line) string {
	text := fmt.Sprintf("%s %s: %s", line.At.Format(logs.ClockFormat), line.Node, line.Message)
	for _, field := range []struct {
		name, value string
	}{
		{"backend", line.Backend}, {"before", line.Before}, {"service", line.Service}, {"reason", line.Reason},
		{"part", line.Part}, {"part_reason", line.PartReason},
		{"from", line.From}, {"version", number(line.Version)}, {"revision", number(line.Revision)},
		{"silent_ms", number(uint64(max(0, line.SilentMs)))}, {"age_ms", number(uint64(max(0, line.AgeMs)))},
	} {
		if field.value != "" {
			text += " " + field.name + "=" + field.value
		}
	}
	return text
}

func number(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}
