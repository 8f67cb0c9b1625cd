package explain

import (
	"slices"
	"time"

	"gaugeyard/internal/logs"
)

// Cause is why a flow failed, in words for the one on call.
type Cause string

// The causes.
const (
	NoRoute          Cause = "the service's address had no route in the version in force; the caller was reset at once"
	NoBackend        Cause = "no back end of the service took new flows"
	BackendLost      Cause = "the back end answered nobody any more; the flow was reset, so that its caller asks elsewhere"
	BackendDied      Cause = "the back end fell silent with the flow: it crashed, stood still or was cut off"
	BackendFailing   Cause = "the back end leaves requests unanswered though it takes new flows"
	BackendLeft      Cause = "the back end was draining or its entry had gone"
	BalancerDown     Cause = "the balancer was killed or lost power: it starts again without having left"
	BalancerStill    Cause = "the balancer stood still: it drops opening packets that waited"
	BalancerSilent   Cause = "the balancer wrote nothing for a while and went on: it stood still or was cut off"
	BalancerStopping Cause = "the balancer was in a planned stop"
	BalancersGone    Cause = "balancers took no packets at that time: each was killed or lost power, and starts again without having left"
	UnknownTag       Cause = "a balancer did not know the back end that the flow's packets name"
	NothingKnown     Cause = "the balancer knew no settings yet"
)

// scene is what rules look at.
type scene struct {
	query Query
	steps []Step
	// all are the lines of all balancers, near those within the window.
	all, near []logs.Line
}

// rule finds the lines that support a cause.
type rule struct {
	cause Cause
	find  func(s *scene) []logs.Line
}

// rules are in the order in which they are believed: what a balancer says of the flow
// itself goes before what was seen of its back end, and that before what the balancer's
// own lines show.
var rules = []rule{
	{NoRoute, func(s *scene) []logs.Line { return s.ofFlow("no_route") }},
	{NoBackend, func(s *scene) []logs.Line { return s.ofFlow("no_backend") }},
	{NothingKnown, func(s *scene) []logs.Line { return s.ofFlow("not_ready") }},
	{UnknownTag, func(s *scene) []logs.Line { return s.ofFlow("unknown_tag") }},
	{BalancerStill, func(s *scene) []logs.Line { return s.ofFlow("stale") }},
	{BackendLost, (*scene).reset},
	{BackendDied, (*scene).died},
	{BalancerSilent, (*scene).balancerSilent},
	{BackendFailing, func(s *scene) []logs.Line { return s.ofBackend(logs.BackendFaulty) }},
	{BackendLeft, func(s *scene) []logs.Line { return s.ofBackend(logs.BackendDraining, logs.BackendGone) }},
	{BalancerDown, (*scene).balancerDown},
	{BalancerStopping, func(s *scene) []logs.Line { return s.ofNode(logs.Leaving) }},
	{BalancersGone, (*scene).balancersGone},
}

// ofFlow returns the steps with a reason.
func (s *scene) ofFlow(reason string) []logs.Line {
	var found []logs.Line
	for _, step := range s.steps {
		if step.Line.Reason == reason {
			found = append(found, step.Line)
		}
	}
	return found
}

// reset returns the steps in which a balancer ended the flow because its back end was lost, with
// what was seen of that one.
func (s *scene) reset() []logs.Line {
	found := s.ofFlow("backend_lost")
	for _, step := range s.steps {
		if step.Line.Message == logs.FlowReset {
			found = append(found, step.Line)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return append(found, s.ofBackend(logs.BackendLost)...)
}

// ofBackend returns the lines near about the flow's back end with one of the messages.
func (s *scene) ofBackend(messages ...string) []logs.Line {
	if s.query.Backend == "" {
		return nil
	}
	return pick(s.near, func(l *logs.Line) bool { return l.Backend == s.query.Backend }, messages)
}

// ofNode returns the lines near of the flow's balancer with one of the messages.
func (s *scene) ofNode(messages ...string) []logs.Line {
	if s.query.Node == "" {
		return nil
	}
	return pick(s.near, func(l *logs.Line) bool { return l.Node == s.query.Node }, messages)
}

// pick returns the lines that match and have one of the messages, any where there are none.
func pick(lines []logs.Line, matches func(*logs.Line) bool, messages []string) []logs.Line {
	var found []logs.Line
	for i := range lines {
		if matches(&lines[i]) && (len(messages) == 0 || slices.Contains(messages, lines[i].Message)) {
			found = append(found, lines[i])
		}
	}
	return found
}

// died returns the doubts of balancers in a back end that no planned end explains. A
// doubt that was followed by a sign of life on the same balancer is none.
func (s *scene) died() []logs.Line {
	doubts := s.ofBackend(logs.BackendDoubted, logs.BackendSuspected, logs.BackendLost)
	if len(doubts) == 0 || len(s.ofBackend(logs.BackendDraining)) > 0 {
		return nil
	}
	answered := s.ofBackend(logs.BackendAnswers)
	var standing []logs.Line
	for _, doubt := range doubts {
		if !answeredSoon(doubt, answered) {
			standing = append(standing, doubt)
		}
	}
	return append(standing, s.ofBackend(logs.BackendGone)...)
}

// shortDoubt is how long a doubt may last without meaning more than a lost packet.
const shortDoubt = time.Second

func answeredSoon(doubt logs.Line, answered []logs.Line) bool {
	for _, line := range answered {
		if after := line.At.Sub(doubt.At); line.Node == doubt.Node && after >= 0 && after < shortDoubt {
			return true
		}
	}
	return false
}

// wayTime is how long after it was sent a request may still be under way to a balancer: its
// caller sends it again for that long.
const wayTime = time.Second

// balancersGone returns, where nothing but a time is known, the last line and the next start
// of each balancer that was gone then.
func (s *scene) balancersGone() []logs.Line {
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
		one := *s
		one.query.Node = line.Node
		down := one.balancerDown()
		if len(down) > 0 && down[0].At.Before(s.query.At.Add(wayTime)) && down[1].At.After(s.query.At) {
			found = append(found, down...)
		}
	}
	return found
}

// balancerDown returns the line that the flow's balancer wrote last and its next start,
// where it started again soon without having left before.
func (s *scene) balancerDown() []logs.Line {
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
	// longGap is the shortest time without a line that counts as standing still, and
	// gapFactor how many times a balancer's usual gap it must be: quiet ones write little.
	longGap   = time.Second
	gapFactor = 4
)

// balancerSilent returns the lines around the longest gap of the flow's balancer near the
// time, where that gap is much longer than its usual ones and no start ends it.
func (s *scene) balancerSilent() []logs.Line {
	if s.query.Node == "" {
		return nil
	}
	own := pick(s.near, func(l *logs.Line) bool { return l.Node == s.query.Node }, nil)
	longest, usual := 0, time.Duration(0)
	for i := 1; i < len(own); i++ {
		gap := own[i].At.Sub(own[i-1].At)
		usual += gap
		if longest == 0 || gap > own[longest].At.Sub(own[longest-1].At) {
			longest = i
		}
	}
	if longest == 0 || own[longest].Message == logs.Started {
		return nil
	}
	gap := own[longest].At.Sub(own[longest-1].At)
	usual = (usual - gap) / time.Duration(max(1, len(own)-2))
	if gap < longGap || gap < gapFactor*usual || own[longest].At.Before(s.query.At) {
		return nil
	}
	return own[longest-1 : longest+1]
}
