// Package timeline summarizes the logs of balancers over time: when each settings version
// and zone evacuation took effect, the runs of each balancer and whether they ended with a
// planned stop, outages of the store, and the back ends that were added and removed.
//
// # Usage
//
//	lines, _, err := logs.ReadFiles(names, os.Stdin)
//	t := timeline.FromLines(lines)
//	t.WriteText(os.Stdout)
//	t.Draw("day.svg")
package timeline

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"gaugeyard/internal/logs"
)

// Version is one version of the settings and when balancers applied it.
type Version struct {
	Version  uint64
	Revision uint64
	// First, Median and Last are when balancers applied the version. Only balancers that
	// were already running at First are counted.
	First, Median, Last time.Time
	// Balancers is how many are counted, LastNode the last of them.
	Balancers int
	LastNode  string
}

// Run is one run of a balancer process.
type Run struct {
	Node string
	From time.Time
	// Until is the time of its last line.
	Until time.Time
	// PlannedStop reports whether it ended with a planned stop.
	PlannedStop bool `json:"Left"`
	// SettingsAt is when it first applied settings, zero if never.
	SettingsAt time.Time `json:"Known"`
}

// Outage is a period in which one balancer could not reach the store.
type Outage struct {
	Node string
	From time.Time
	// Until is zero if the store did not become reachable again.
	Until time.Time
}

// Evacuation is an evacuation or restoration of a zone and when balancers received it.
type Evacuation struct {
	Zone string
	// Restored is set for a restoration.
	Restored bool
	Revision uint64
	// First and Last are when balancers received it. Only those that were already running at
	// First are counted; LastNode is the last of them.
	First, Last time.Time
	Balancers   int
	LastNode    string
}

// Sample is the state of all balancers at one time.
type Sample struct {
	At time.Time
	// Running is the number of running balancers, Newest of those with the newest version.
	Running, Newest int
	// StoreUnreachable is the number of balancers without the store.
	StoreUnreachable int `json:"Lost"`
}

// Timeline is the summary of a set of logs. Versions are sorted by number, Evacuations by
// time, Runs, Outages and Samples as they occur in the logs.
type Timeline struct {
	From, Until time.Time
	Versions    []Version
	Evacuations []Evacuation
	Runs        []Run
	Outages     []Outage
	// Added, Draining and Gone are the numbers of distinct back ends that were added, set to
	// draining and removed.
	Added, Draining, Gone int
	Samples               []Sample `json:"Moments"`
}

// FromLines returns the timeline of lines, which must be sorted by time.
func FromLines(lines []logs.Line) Timeline {
	timeline := Timeline{}
	if len(lines) == 0 {
		return timeline
	}
	timeline.From, timeline.Until = lines[0].At, lines[len(lines)-1].At
	b := &builder{
		runningRuns: map[string]*Run{}, openOutages: map[string]*Outage{}, versions: map[uint64][]logs.Line{}, zones: map[zoneEvent][]logs.Line{},
		seen: map[string]map[string]bool{}, version: map[string]uint64{},
	}
	for i := range lines {
		b.add(&lines[i])
	}
	b.finish(&timeline)
	return timeline
}

// builder accumulates the state while lines are processed.
type builder struct {
	runs        []*Run
	runningRuns map[string]*Run
	outages     []*Outage
	openOutages map[string]*Outage
	versions    map[uint64][]logs.Line
	// zones holds the lines of each evacuation or restoration.
	zones map[zoneEvent][]logs.Line
	// seen holds the back ends by message.
	seen    map[string]map[string]bool
	version map[string]uint64
	newest  uint64
	samples []Sample
}

func (b *builder) add(line *logs.Line) {
	run := b.runningRuns[line.Node]
	if run == nil || line.Message == logs.Started {
		run = &Run{Node: line.Node, From: line.At}
		b.runningRuns[line.Node] = run
		b.runs = append(b.runs, run)
		delete(b.openOutages, line.Node)
		delete(b.version, line.Node)
	}
	run.Until = line.At
	switch line.Message {
	case logs.Leaving:
		run.PlannedStop = true
	case logs.Stopped:
		delete(b.runningRuns, line.Node)
		delete(b.version, line.Node)
	case logs.SettingsApplied:
		if run.SettingsAt.IsZero() {
			run.SettingsAt = line.At
		}
		b.version[line.Node] = line.Version
		b.newest = max(b.newest, line.Version)
		b.versions[line.Version] = append(b.versions[line.Version], *line)
	case logs.ZoneEvacuated, logs.ZoneRestored:
		event := zoneEvent{line.Zone, line.Message, line.Revision}
		b.zones[event] = append(b.zones[event], *line)
	case logs.StoreUnreachable:
		outage := &Outage{Node: line.Node, From: line.At}
		b.openOutages[line.Node] = outage
		b.outages = append(b.outages, outage)
	case logs.StoreReachable:
		if outage := b.openOutages[line.Node]; outage != nil {
			outage.Until = line.At
			delete(b.openOutages, line.Node)
		}
	case logs.BackendAdded, logs.BackendDraining, logs.BackendRemoved:
		if b.seen[line.Message] == nil {
			b.seen[line.Message] = map[string]bool{}
		}
		b.seen[line.Message][line.Backend] = true
	default:
		return
	}
	b.addSample(line.At)
}

// addSample appends a sample of the current state.
func (b *builder) addSample(at time.Time) {
	sample := Sample{At: at, Running: len(b.runningRuns), StoreUnreachable: len(b.openOutages)}
	for _, version := range b.version {
		if version == b.newest {
			sample.Newest++
		}
	}
	b.samples = append(b.samples, sample)
}

func (b *builder) finish(timeline *Timeline) {
	for _, run := range b.runs {
		timeline.Runs = append(timeline.Runs, *run)
	}
	for _, outage := range b.outages {
		timeline.Outages = append(timeline.Outages, *outage)
	}
	for version, lines := range b.versions {
		timeline.Versions = append(timeline.Versions, b.versionSummary(version, lines))
	}
	slices.SortFunc(timeline.Versions, func(x, y Version) int { return cmp.Compare(x.Version, y.Version) })
	for event, lines := range b.zones {
		timeline.Evacuations = append(timeline.Evacuations, b.evacuation(event, lines))
	}
	slices.SortFunc(timeline.Evacuations, func(x, y Evacuation) int { return x.First.Compare(y.First) })
	timeline.Added, timeline.Draining, timeline.Gone = len(b.seen[logs.BackendAdded]), len(b.seen[logs.BackendDraining]), len(b.seen[logs.BackendRemoved])
	timeline.Samples = b.samples
}

// zoneEvent identifies an evacuation or restoration of a zone by the store's revision.
type zoneEvent struct {
	zone, message string
	revision      uint64
}

// evacuation returns when the event was received by the balancers that ran when the first
// of them received it.
func (b *builder) evacuation(event zoneEvent, lines []logs.Line) Evacuation {
	evacuation := Evacuation{Zone: event.zone, Restored: event.message == logs.ZoneRestored, Revision: event.revision, First: lines[0].At}
	for _, line := range lines {
		if b.ranThroughout(line.Node, evacuation.First, line.At) {
			evacuation.Last, evacuation.LastNode = line.At, line.Node
			evacuation.Balancers++
		}
	}
	return evacuation
}

// versionSummary returns when a version was applied by the balancers that ran when the first
// of them applied it.
func (b *builder) versionSummary(version uint64, lines []logs.Line) Version {
	first := lines[0].At
	var running []logs.Line
	for _, line := range lines {
		if b.ranThroughout(line.Node, first, line.At) {
			running = append(running, line)
		}
	}
	last := running[len(running)-1]
	return Version{
		Version: version, Revision: lines[0].Revision, First: first, Median: running[len(running)/2].At,
		Last: last.At, LastNode: last.Node, Balancers: len(running),
	}
}

// ranThroughout reports whether one run of the balancer covers both times.
func (b *builder) ranThroughout(node string, first, then time.Time) bool {
	return slices.ContainsFunc(b.runs, func(run *Run) bool {
		return run.Node == node && !run.From.After(first) && !run.Until.Before(then)
	})
}

// WriteText writes the timeline as text.
func (d *Timeline) WriteText(out io.Writer) error {
	p := &logs.Printer{Out: out}
	p.Line("%s to %s, %d runs of balancers, %d back ends added one by one, %d draining, %d gone", d.From.Format(logs.ClockFormat), d.Until.Format(logs.ClockFormat), len(d.Runs), d.Added, d.Draining, d.Gone)
	p.Line("settings in force:")
	for _, v := range d.Versions {
		p.Line("  version %d (revision %d): first %s, median +%d ms, last +%d ms on %s, %d balancers", v.Version, v.Revision,
			v.First.Format(logs.ClockFormat), v.Median.Sub(v.First).Milliseconds(), v.Last.Sub(v.First).Milliseconds(), v.LastNode, v.Balancers)
	}
	if len(d.Evacuations) > 0 {
		p.Line("zones:")
	}
	for _, e := range d.Evacuations {
		change := "evacuated"
		if e.Restored {
			change = "restored"
		}
		p.Line("  %s %s (revision %d): first %s, last +%d ms on %s, %d balancers", e.Zone, change, e.Revision,
			e.First.Format(logs.ClockFormat), e.Last.Sub(e.First).Milliseconds(), e.LastNode, e.Balancers)
	}
	p.Line("balancers:")
	for _, run := range d.Runs {
		p.Line("  %s %s", run.Node, describeRun(&run))
	}
	if len(d.Outages) > 0 {
		p.Line("without the store:")
	}
	for _, outage := range d.Outages {
		until := "to the end of its logs"
		if !outage.Until.IsZero() {
			until = fmt.Sprintf("for %d ms", outage.Until.Sub(outage.From).Milliseconds())
		}
		p.Line("  %s from %s %s", outage.Node, outage.From.Format(logs.ClockFormat), until)
	}
	return p.Err
}

func describeRun(run *Run) string {
	settings := "never knew settings"
	if !run.SettingsAt.IsZero() {
		settings = fmt.Sprintf("knew settings after %d ms", run.SettingsAt.Sub(run.From).Milliseconds())
	}
	end := "last line"
	if run.PlannedStop {
		end = "left, last line"
	}
	return fmt.Sprintf("from %s, %s, %s %s", run.From.Format(logs.ClockFormat), settings, end, run.Until.Format(logs.ClockFormat))
}
