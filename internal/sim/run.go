package sim

import (
	"encoding/hex"
	"math"
	"slices"
	"time"
)

// Result is what one run measured. Its JSON names are stable.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	Strategy   string `json:"strategy"`
	// Flows is how many flows reached a back end.
	Flows int `json:"flows"`
	// BrokenFlows moved to another back end, or stalled, while theirs stood;
	// LostWithBackend were at a back end that died.
	BrokenFlows     int `json:"broken_flows"`
	LostWithBackend int `json:"lost_with_backend"`
	// HeldByCrashed is how many flows the balancers owned that died.
	HeldByCrashed int64 `json:"held_by_crashed"`
	// ImbalancePeakToMean is the largest flow count of a back end over the mean,
	// the median over seconds; Max is the worst second.
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
	// CutRequests are requests in progress that a planned change cut.
	CutRequests       int     `json:"cut_requests"`
	Requests          int     `json:"requests"`
	Answered          int     `json:"answered"`
	Refused           int     `json:"refused"`
	UnknownOutcomes   int     `json:"unknown_outcomes"`
	TimedOut          int     `json:"timed_out"`
	Goodput           float64 `json:"goodput_share_of_capacity"`
	QueueP99          float64 `json:"queue_p99_s"`
	Convergence       float64 `json:"settings_max_convergence_s"`
	Reverts           int     `json:"settings_reverts"`
	EditsMade         int     `json:"edits_made"`
	EditConflicts     int     `json:"edit_conflicts"`
	EditsAppliedTwice int     `json:"edits_applied_twice"`
	EditsOverwritten  int     `json:"edits_overwritten"`
	ControlBytesMax   int     `json:"control_bytes_per_node_s_max"`
	ControlBytesMean  float64 `json:"control_bytes_per_node_s_mean"`
	RelayBytesMax     int     `json:"relay_bytes_per_node_s_max"`
	Deviating         uint64  `json:"deviating_flows"`
	TraceSHA256       string  `json:"trace_sha256"`
	// Broken names the promises that broke.
	Broken []string `json:"broken_promises"`
}

// trafficStart is when callers begin.
const trafficStart = 5 * time.Second

// Limits of the promises that are numbers.
const (
	convergenceLimit   = 5 * time.Second
	crashShareLimit    = 0.01
	controlBytesLimit  = 4096
	goodputLimit       = 0.9
	steadyImbalance    = 1.10
	surgeImbalanceGoal = 1.25
)

// Run carries out one run.
func Run(options Options) Result {
	w := newWorld(options)
	w.run()
	return w.result()
}

// run carries out the world's scenario.
func (w *world) run() {
	w.build()
	for _, n := range w.nodes {
		n.start(true)
	}
	w.Every(machineInterval, w.updateMachines)
	w.Every(time.Second, w.truth.sample)
	w.Every(windowSlot, w.truth.sampleSlots)
	w.Every(loadInterval, func() {
		for _, b := range w.backends {
			b.report()
		}
	})
	w.At(trafficStart, w.startTraffic)
	w.options.Scenario.events(w)
	w.RunUntil(w.options.Scenario.Length)
	w.truth.finish()
}

// startTraffic opens feeds and begins lookups and uploads.
func (w *world) startTraffic() {
	deployment := w.options.Deployment
	w.openFeeds(int(float64(deployment.Feeds)*w.options.Scale), 8*time.Second)
	lookups, uploads := w.service(deployment.Lookup), w.service(deployment.Upload)
	w.arrivals(func() float64 { return deployment.LookupRate * w.options.Scale * w.loadFactor }, func() { w.startLookups(lookups) })
	w.arrivals(func() float64 { return deployment.UploadRate * w.options.Scale }, func() { w.startUpload(uploads) })
}

// openFeeds opens feeds, spread over a time.
func (w *world) openFeeds(count int, spread time.Duration) {
	service := w.service(w.options.Deployment.Feed)
	for range count {
		w.After(w.Between(0, spread), func() { w.startFeed(service) })
	}
}

// quietEnd is the time before a run's end in which no request begins, so that
// each has an outcome.
const quietEnd = 10 * time.Second

// arrivals calls begin at random times, rate times a second.
func (w *world) arrivals(rate func() float64, begin func()) {
	wait := -math.Log(1-w.Random.Float64()) / rate()
	w.After(time.Duration(wait*float64(time.Second)), func() {
		if w.Now > w.options.Scenario.Length-quietEnd {
			return
		}
		begin()
		w.arrivals(rate, begin)
	})
}

func (w *world) result() Result {
	o := w.truth
	r := Result{
		Deployment:          w.options.Deployment.Name,
		Scenario:            w.options.Scenario.Name,
		Seed:                w.options.Seed,
		Strategy:            w.options.Strategy.String(),
		Flows:               len(o.firstAt),
		BrokenFlows:         o.brokenFlows(),
		LostWithBackend:     o.lostWithBackend,
		HeldByCrashed:       o.heldByCrashed,
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
	r.judge(w.options.Scenario)
	return r
}

func (r *Result) countRequests(o *observer) {
	is := func(how outcome) int { return o.count(func(q *request) bool { return q.outcome == how }) }
	r.Answered = is(outcomeAnswered)
	r.Refused = is(outcomeNotRun)
	r.UnknownOutcomes = is(outcomeUnknown)
	r.TimedOut = is(outcomeTimeout)
	r.IncompleteAnswers = is(outcomeIncomplete)
	r.DoubleRuns = o.count(func(q *request) bool { return q.runs > 1 && !q.repeatable })
	r.FalseNotRun = o.count(func(q *request) bool { return q.toldNotRun && q.runs > 0 })
	if o.world.options.Scenario.Planned {
		r.CutRequests = r.UnknownOutcomes + r.TimedOut + r.IncompleteAnswers
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

// goodput is the number of requests sent during the surge and answered, over
// what the servers could run in that time.
func (o *observer) goodput() float64 {
	answered := o.count(func(q *request) bool {
		return q.kind == kindLookup && q.outcome == outcomeAnswered && q.sent >= o.surgeFrom && q.sent < o.surgeUntil
	})
	return float64(answered) / (o.world.capacity() * (o.surgeUntil - o.surgeFrom).Seconds())
}

// judge names the promises that broke.
func (r *Result) judge(scenario Scenario) {
	r.Broken = []string{}
	check := func(kept bool, promise string) {
		if !kept {
			r.Broken = append(r.Broken, promise)
		}
	}
	if scenario.Planned {
		check(r.BrokenFlows == 0, "flows survive planned changes")
	}
	if r.HeldByCrashed > 0 {
		check(float64(r.BrokenFlows) < crashShareLimit*float64(r.HeldByCrashed), "a crash breaks less than 1% of the flows held")
	}
	check(r.MisroutedDatagrams == 0, "no datagram reaches another service")
	check(r.IncompleteAnswers == 0 && r.WrongAnswers == 0, "whole answers to one's own requests")
	check(r.FalseNotRun == 0, "not run means not run")
	check(r.DoubleRuns == 0, "at most one run")
	check(r.NewWorkAfterDrain == 0, "no new work on a leaving back end")
	check(r.CutRequests == 0, "a planned change cuts no request")
	check(r.Convergence <= convergenceLimit.Seconds(), "settings in force within seconds")
	check(r.Reverts == 0, "settings never revert")
	check(r.EditsAppliedTwice == 0 && r.EditsOverwritten == 0, "an edit is accepted once and never merged silently")
	check(r.ControlBytesMax <= controlBytesLimit, "control traffic within 4 KB/s")
	if scenario.Name == "steady" {
		check(r.ImbalancePeakToMean <= steadyImbalance, "imbalance in steady state")
	}
	if scenario.Name == "news-surge" {
		check(r.ImbalanceSurge <= surgeImbalanceGoal, "imbalance in a surge")
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
