package sim

import (
	"encoding/hex"
	"math"
	"slices"
	"time"
)

// Result holds the measurements of one run. Its JSON names are stable.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	Strategy   string `json:"strategy"`
	// Flows is the number of flows that reached a back end.
	Flows int `json:"flows"`
	// BrokenFlows counts flows that moved or were interrupted while their back end stayed up,
	// LostWithBackend those whose back end crashed.
	BrokenFlows     int `json:"broken_flows"`
	LostWithBackend int `json:"lost_with_backend"`
	// OwnedByCrashed is the number of flows that crashed balancers owned.
	OwnedByCrashed int64 `json:"held_by_crashed"`
	// ImbalancePeakToMean is the peak-to-mean ratio of active flows per back end, as the median
	// over seconds; ImbalanceMax is its maximum.
	ImbalancePeakToMean float64 `json:"imbalance_peak_to_mean"`
	ImbalanceMax        float64 `json:"imbalance_max"`
	ImbalanceSurge      float64 `json:"imbalance_surge_max"`
	ImbalanceSlots      float64 `json:"imbalance_slots"`
	MisroutedDatagrams  int     `json:"misrouted_datagrams"`
	IncompleteAnswers   int     `json:"incomplete_answers"`
	WrongAnswers        int     `json:"wrong_answers"`
	DoubleRuns          int     `json:"double_runs"`
	FalseNotRun         int     `json:"false_not_run"`
	NewWorkAfterDrain   int     `json:"new_work_after_drain"`
	// InterruptedRequests counts requests without a definite result in a planned scenario.
	InterruptedRequests int     `json:"cut_requests"`
	Requests            int     `json:"requests"`
	Answered            int     `json:"answered"`
	Refused             int     `json:"refused"`
	UnknownOutcomes     int     `json:"unknown_outcomes"`
	TimedOut            int     `json:"timed_out"`
	Goodput             float64 `json:"goodput_share_of_capacity"`
	QueueP99            float64 `json:"queue_p99_s"`
	Convergence         float64 `json:"settings_max_convergence_s"`
	Reverts             int     `json:"settings_reverts"`
	EditsMade           int     `json:"edits_made"`
	EditConflicts       int     `json:"edit_conflicts"`
	EditsAppliedTwice   int     `json:"edits_applied_twice"`
	EditsOverwritten    int     `json:"edits_overwritten"`
	ControlBytesMax     int     `json:"control_bytes_per_node_s_max"`
	ControlBytesMean    float64 `json:"control_bytes_per_node_s_mean"`
	RelayBytesMax       int     `json:"relay_bytes_per_node_s_max"`
	Deviating           uint64  `json:"deviating_flows"`
	TraceSHA256         string  `json:"trace_sha256"`
	// Violations lists the guarantees that the run violated.
	Violations []string `json:"broken_promises"`
}

// trafficStart is when callers begin to send.
const trafficStart = 5 * time.Second

// Limits of the numeric guarantees.
const (
	convergenceLimit     = 5 * time.Second
	brokenShareLimit     = 0.01
	controlBytesLimit    = 4096
	goodputLimit         = 0.9
	steadyImbalanceLimit = 1.10
	surgeImbalanceLimit  = 1.25
)

// Run simulates one run and returns its measurements.
func Run(options Options) Result {
	w := newWorld(options)
	w.run()
	return w.result()
}

// run executes the scenario to its end.
func (w *world) run() {
	w.build()
	for _, n := range w.nodes {
		n.start(true)
	}
	w.Every(machineListInterval, w.updateMachineList)
	w.Every(time.Second, w.observer.sample)
	w.Every(windowSlotLength, w.observer.sampleSlots)
	w.Every(loadReportInterval, func() {
		for _, b := range w.backends {
			b.sendLoadReports()
		}
	})
	w.At(trafficStart, w.startTraffic)
	w.options.Scenario.schedule(w)
	w.RunUntil(w.options.Scenario.Length)
	w.observer.finish()
}

// startTraffic opens the initial feeds and starts the arrivals of lookups and uploads.
func (w *world) startTraffic() {
	deployment := w.options.Deployment
	w.openFeeds(int(float64(deployment.Feeds)*w.options.Scale), 8*time.Second)
	lookups, uploads := w.service(deployment.Lookup), w.service(deployment.Upload)
	w.arrivals(func() float64 { return deployment.LookupRate * w.options.Scale * w.rateFactor }, func() { w.startLookups(lookups) })
	w.arrivals(func() float64 { return deployment.UploadRate * w.options.Scale }, func() { w.startUpload(uploads) })
}

// openFeeds opens count feeds at random times within spread.
func (w *world) openFeeds(count int, spread time.Duration) {
	service := w.service(w.options.Deployment.Feed)
	for range count {
		w.After(w.Between(0, spread), func() { w.startFeed(service) })
	}
}

// quietPeriod is the time before the end in which no lookup or upload flow opens, so that
// requests can finish.
const quietPeriod = 10 * time.Second

// arrivals calls begin as a Poisson process with the given rate per second.
func (w *world) arrivals(rate func() float64, begin func()) {
	wait := -math.Log(1-w.Random.Float64()) / rate()
	w.After(time.Duration(wait*float64(time.Second)), func() {
		if w.Now > w.options.Scenario.Length-quietPeriod {
			return
		}
		begin()
		w.arrivals(rate, begin)
	})
}

func (w *world) result() Result {
	o := w.observer
	r := Result{
		Deployment:          w.options.Deployment.Name,
		Scenario:            w.options.Scenario.Name,
		Seed:                w.options.Seed,
		Strategy:            w.options.Strategy.String(),
		Flows:               len(o.firstBackend),
		BrokenFlows:         o.brokenFlows(),
		LostWithBackend:     o.lostWithBackend,
		OwnedByCrashed:      o.ownedByCrashed,
		ImbalancePeakToMean: median(o.imbalance),
		ImbalanceMax:        largest(o.imbalance),
		ImbalanceSurge:      largest(o.surgeImbalance),
		ImbalanceSlots:      median(o.slotImbalance),
		MisroutedDatagrams:  o.misrouted,
		WrongAnswers:        o.wrongAnswers,
		NewWorkAfterDrain:   o.newWorkAfterDrain,
		Requests:            len(o.requests),
		QueueP99:            o.queuePercentile(0.99).Seconds(),
		Convergence:         o.convergence.Seconds(),
		Reverts:             o.reverts,
		EditsMade:           o.editsMade,
		EditConflicts:       o.conflicts,
		EditsAppliedTwice:   o.appliedTwice,
		EditsOverwritten:    o.overwrittenEdits,
		TraceSHA256:         hex.EncodeToString(w.trace.Sum(nil)),
	}
	r.countRequests(o)
	r.countBytes(w)
	if o.surgeUntil > 0 {
		r.Goodput = o.goodput()
	}
	r.checkGuarantees(w.options.Scenario)
	return r
}

func (r *Result) countRequests(o *observer) {
	withOutcome := func(want outcome) int { return o.count(func(q *request) bool { return q.outcome == want }) }
	r.Answered = withOutcome(outcomeAnswered)
	r.Refused = withOutcome(outcomeNotRun)
	r.UnknownOutcomes = withOutcome(outcomeUnknown)
	r.TimedOut = withOutcome(outcomeTimeout)
	r.IncompleteAnswers = withOutcome(outcomeIncomplete)
	r.DoubleRuns = o.count(func(q *request) bool { return q.runs > 1 && !q.repeatable })
	r.FalseNotRun = o.count(func(q *request) bool { return q.reportedNotRun && q.runs > 0 })
	if o.world.options.Scenario.Planned {
		r.InterruptedRequests = r.UnknownOutcomes + r.TimedOut + r.IncompleteAnswers
	}
}

func (r *Result) countBytes(w *world) {
	total := 0
	for _, n := range w.nodes {
		r.ControlBytesMax = max(r.ControlBytesMax, n.control.largest)
		r.RelayBytesMax = max(r.RelayBytesMax, n.relays.largest)
		total += n.control.total
		if n.core != nil {
			r.Deviating += n.core.Counters.Deviating.Load()
		}
	}
	r.ControlBytesMean = float64(total) / float64(len(w.nodes)) / w.Now.Seconds()
}

// goodput returns the lookups sent and answered in the surge window, as a share of the
// servers' capacity in that time.
func (o *observer) goodput() float64 {
	answered := o.count(func(q *request) bool {
		return q.kind == kindLookup && q.outcome == outcomeAnswered && q.sent >= o.surgeFrom && q.sent < o.surgeUntil
	})
	return float64(answered) / (o.world.capacity() * (o.surgeUntil - o.surgeFrom).Seconds())
}

// checkGuarantees sets Violations.
func (r *Result) checkGuarantees(scenario Scenario) {
	r.Violations = []string{}
	check := func(holds bool, guarantee string) {
		if !holds {
			r.Violations = append(r.Violations, guarantee)
		}
	}
	if scenario.Planned {
		check(r.BrokenFlows == 0, "flows survive planned changes")
	}
	if r.OwnedByCrashed > 0 {
		check(float64(r.BrokenFlows) < brokenShareLimit*float64(r.OwnedByCrashed), "a crash breaks less than 1% of the flows held")
	}
	check(r.MisroutedDatagrams == 0, "no datagram reaches another service")
	check(r.IncompleteAnswers == 0 && r.WrongAnswers == 0, "whole answers to one's own requests")
	check(r.FalseNotRun == 0, "not run means not run")
	check(r.DoubleRuns == 0, "at most one run")
	check(r.NewWorkAfterDrain == 0, "no new work on a leaving back end")
	check(r.InterruptedRequests == 0, "a planned change cuts no request")
	check(r.Convergence <= convergenceLimit.Seconds(), "settings in force within seconds")
	check(r.Reverts == 0, "settings never revert")
	check(r.EditsAppliedTwice == 0 && r.EditsOverwritten == 0, "an edit is accepted once and never merged silently")
	check(r.ControlBytesMax <= controlBytesLimit, "control traffic within 4 KB/s")
	if scenario.Name == "steady" {
		check(r.ImbalancePeakToMean <= steadyImbalanceLimit, "imbalance in steady state")
	}
	if scenario.Name == "news-surge" {
		check(r.ImbalanceSurge <= surgeImbalanceLimit, "imbalance in a surge")
	}
	if scenario.Name == "overload" {
		check(r.Goodput >= goodputLimit, "goodput under overload")
	}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

func largest(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return slices.Max(values)
}
