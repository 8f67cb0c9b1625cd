package explain

import (
	"slices"
	"time"

	"gaugeyard/internal/logs"
)

// Cause explains to an operator why a flow failed. Its text is part of the JSON output.
type Cause string

// The causes.
const (
	NoRoute             Cause = "the service's address had no route in the version in force; the caller was reset at once"
	NoBackend           Cause = "no back end of the service took new flows"
	BackendDown         Cause = "the back end answered nobody any more; the flow was reset, so that its caller asks elsewhere"
	BackendUnresponsive Cause = "the back end fell silent with the flow: it crashed, stood still or was cut off"
	BackendFailing      Cause = "the back end leaves requests unanswered though it takes new flows"
	BackendRemoved      Cause = "the back end was draining or its entry had gone"
	BalancerCrashed     Cause = "the balancer was killed or lost power: it starts again without having left"
	BalancerPaused      Cause = "the balancer stood still: it drops opening packets that waited"
	BalancerSilent      Cause = "the balancer wrote nothing for a while and went on: it stood still or was cut off"
	BalancerStopping    Cause = "the balancer was in a planned stop"
	BalancersCrashed    Cause = "balancers took no packets at that time: each was killed or lost power, and starts again without having left"
	UnknownTag          Cause = "a balancer did not know the back end that the flow's packets name"
	NotReady            Cause = "the balancer knew no settings yet"
)

// analysis is the input of the rules.
type analysis struct {
	query Query
	steps []Step
	// all are the lines of all balancers, near those within the query's window.
	all, near []logs.Line
}

// rule finds the lines that support a cause.
type rule struct {
	cause Cause
	find  func(s *analysis) []logs.Line
}

// rules are ordered by strength of evidence, starting with what balancers logged about the
// flow itself.
var rules = []rule{
	{NoRoute, func(s *analysis) []logs.Line { return s.stepsWithReason("no_route") }},
	{NoBackend, func(s *analysis) []logs.Line { return s.stepsWithReason("no_backend") }},
	{NotReady, func(s *analysis) []logs.Line { return s.stepsWithReason("not_ready") }},
	{UnknownTag, func(s *analysis) []logs.Line { return s.stepsWithReason("unknown_tag") }},
	{BalancerPaused, func(s *analysis) []logs.Line { return s.stepsWithReason("stale") }},
	{BackendDown, (*analysis).flowReset},
	{BackendUnresponsive, (*analysis).backendUnresponsive},
	{BalancerSilent, (*analysis).balancerSilent},
	{BackendFailing, func(s *analysis) []logs.Line { return s.backendLines(logs.BackendRequestFailures) }},
	{BackendRemoved, func(s *analysis) []logs.Line { return s.backendLines(logs.BackendDraining, logs.BackendRemoved) }},
	{BalancerCrashed, (*analysis).balancerCrashed},
	{BalancerStopping, func(s *analysis) []logs.Line { return s.balancerLines(logs.Leaving) }},
	{BalancersCrashed, (*analysis).balancersCrashed},
}

// stepsWithReason returns the lines of the flow that have the reason.
func (s *analysis) stepsWithReason(reason string) []logs.Line {
	var found []logs.Line
	for _, step := range s.steps {
		if step.Line.Reason == reason {
			found = append(found, step.Line)
		}
	}
	return found
}

// flowReset returns the lines in which a balancer reset the flow or refused it because its
// back end was down, followed by the lines that marked the back end as down.
func (s *analysis) flowReset() []logs.Line {
	found := s.stepsWithReason("backend_lost")
	for _, step := range s.steps {
		if step.Line.Message == logs.FlowReset {
			found = append(found, step.Line)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return append(found, s.backendLines(logs.BackendDown)...)
}

// backendLines returns the lines within the window about the flow's back end that have one
// of the messages.
func (s *analysis) backendLines(messages ...string) []logs.Line {
	if s.query.Backend == "" {
		return nil
	}
	return filterLines(s.near, func(l *logs.Line) bool { return l.Backend == s.query.Backend }, messages)
}

// balancerLines returns the lines within the window of the flow's balancer that have one of
// the messages.
func (s *analysis) balancerLines(messages ...string) []logs.Line {
	if s.query.Node == "" {
		return nil
	}
	return filterLines(s.near, func(l *logs.Line) bool { return l.Node == s.query.Node }, messages)
}

// filterLines returns the lines that match and have one of the messages, or any message if
// messages is empty.
func filterLines(lines []logs.Line, matches func(*logs.Line) bool, messages []string) []logs.Line {
	var found []logs.Line
	for i := range lines {
		if matches(&lines[i]) && (len(messages) == 0 || slices.Contains(messages, lines[i].Message)) {
			found = append(found, lines[i])
		}
	}
	return found
}

// backendUnresponsive returns the lines that suspect the flow's back end, unless it was
// draining. A suspicion that a response on the same balancer soon cleared does not count.
func (s *analysis) backendUnresponsive() []logs.Line {
	suspicions := s.backendLines(logs.BackendSuspect, logs.BackendSilent, logs.BackendDown)
	if len(suspicions) == 0 || len(s.backendLines(logs.BackendDraining)) > 0 {
		return nil
	}
	responses := s.backendLines(logs.BackendResponding)
	var unresolved []logs.Line
	for _, suspicion := range suspicions {
		if !respondedAfter(suspicion, responses) {
			unresolved = append(unresolved, suspicion)
		}
	}
	return append(unresolved, s.backendLines(logs.BackendRemoved)...)
}

// maxFalseSuspicion is the time within which a response clears a suspicion, which was then
// caused by no more than a lost packet.
const maxFalseSuspicion = time.Second

func respondedAfter(suspicion logs.Line, responses []logs.Line) bool {
	for _, line := range responses {
		if after := line.At.Sub(suspicion.At); line.Node == suspicion.Node && after >= 0 && after < maxFalseSuspicion {
			return true
		}
	}
	return false
}

// retransmissionTime is how long a caller retransmits a request, which may therefore reach
// a balancer that much later.
const retransmissionTime = time.Second

// balancersCrashed returns the last line and the next start of each balancer that was down
// at the time of the query. It returns nil if the query selects more than a time.
func (s *analysis) balancersCrashed() []logs.Line {
	if s.query.Node != "" || s.query.Backend != "" || s.query.Caller != "" {
		return nil
	}
	var found []logs.Line
	seen := map[string]bool{}
	for _, line := range s.near {
		if seen[line.Node] {
			continue
		}
		seen[line.Node] = true
		single := *s
		single.query.Node = line.Node
		crash := single.balancerCrashed()
		if len(crash) > 0 && crash[0].At.Before(s.query.At.Add(retransmissionTime)) && crash[1].At.After(s.query.At) {
			found = append(found, crash...)
		}
	}
	return found
}

// balancerCrashed returns the last line of the flow's balancer before a restart near the
// time of the query and the line of that start, if no planned stop preceded it.
func (s *analysis) balancerCrashed() []logs.Line {
	if s.query.Node == "" {
		return nil
	}
	var last, leaving *logs.Line
	for i := range s.all {
		line := &s.all[i]
		if line.Node != s.query.Node {
			continue
		}
		switch line.Message {
		case logs.Leaving:
			leaving = line
		case logs.Started:
			near := line.At.Sub(s.query.At) > -s.query.Window && line.At.Sub(s.query.At) < 2*s.query.Window
			if last != nil && leaving == nil && near {
				return []logs.Line{*last, *line}
			}
			leaving = nil
		}
		last = line
	}
	return nil
}

const (
	// minSilence is the shortest time without a line that counts as a pause.
	minSilence = time.Second
	// minSilenceFactor is the minimum ratio of such a time to the balancer's typical gap
	// between lines, so that a balancer that logs little does not count as paused.
	minSilenceFactor = 4
)

// balancerSilent returns the lines before and after the longest gap in the log of the
// flow's balancer within the window, if that gap is much longer than its typical ones, ends
// after the time of the query, and does not end with a start.
func (s *analysis) balancerSilent() []logs.Line {
	if s.query.Node == "" {
		return nil
	}
	own := filterLines(s.near, func(l *logs.Line) bool { return l.Node == s.query.Node }, nil)
	longest, typical := 0, time.Duration(0)
	for i := 1; i < len(own); i++ {
		gap := own[i].At.Sub(own[i-1].At)
		typical += gap
		if longest == 0 || gap > own[longest].At.Sub(own[longest-1].At) {
			longest = i
		}
	}
	if longest == 0 || own[longest].Message == logs.Started {
		return nil
	}
	gap := own[longest].At.Sub(own[longest-1].At)
	typical = (typical - gap) / time.Duration(max(1, len(own)-2))
	if gap < minSilence || gap < minSilenceFactor*typical || own[longest].At.Before(s.query.At) {
		return nil
	}
	return own[longest-1 : longest+1]
}
