package tagged

// Rule is a guarantee that is checked from what clients and servers see.
type Rule string

// The rules. Those with a time bound are checked only for balancers that have been undisturbed
// long enough; see disturbances.
const (
	// Mixed: a client gets an answer other than the one to its own request.
	Mixed Rule = "MIXED"
	// Unasked: a server runs a request that no client sent, runs twice one that may run once,
	// or runs one for which no flow opened.
	Unasked Rule = "UNASKED"
	// Route: a server gets a flow to a route of another service.
	Route Rule = "ROUTE"
	// Flow: an open flow moves to another server, or is reset by a balancer or another server.
	Flow Rule = "FLOW"
	// Drain: a leaving server gets a new flow later than drainTime.
	Drain Rule = "DRAIN"
	// Evac: a server of an evacuated zone gets a new flow later than evacuateTime.
	Evac Rule = "EVAC"
	// Config: a new flow is handled by an outdated configuration, too late after a newer one
	// was accepted or after the balancer has applied it.
	Config Rule = "CONFIG"
	// Lost: an accepted configuration is lost after all balancers were killed.
	Lost Rule = "LOST"
	// Recover: too few requests are answered after all balancers were killed.
	Recover Rule = "RECOVER"
)

// Rules are all rules, in the order of reports.
var Rules = []Rule{Mixed, Unasked, Route, Flow, Drain, Evac, Config, Lost, Recover}

// HasTimeBound reports whether the rule has a time bound.
func (r Rule) HasTimeBound() bool {
	switch r {
	case Drain, Evac, Config, Lost, Recover:
		return true
	}
	return false
}

// Violation is one violation of a rule.
type Violation struct {
	Rule Rule `json:"rule"`
	// At is the time in seconds since the start of the run.
	At   float64 `json:"at_s"`
	Text string  `json:"text"`
}
