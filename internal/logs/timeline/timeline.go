// Package timeline draws a day from the logs of balancers: when each version of the
// settings came into force, first and last; which balancers started, left or were gone
// without a word; who lost the store and for how long; which back ends came and went.
//
// # Usage
//
//	lines, _, err := logs.ReadFiles(names, os.Stdin)
//	day := timeline.Of(lines)
//	day.WriteText(os.Stdout)
//	day.Draw("day.svg")
package timeline

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"gaugeyard/internal/logs"
)

// Version is one version of the settings and when balancers had it in force.
type Version struct {
	Version  uint64
	Revision uint64
	// First, Median and Last are when balancers that ran then took it over; a balancer
	// that started later is not counted.
	First, Median, Last time.Time
	// Balancers is how many took it over, LastNode the last of them.
	Balancers int
	LastNode  string
}

// Run is one run of a balancer's process.
type Run struct {
	Node string
	From time.Time
	// Until is its last line.
	Until time.Time
	// Left is set when it ended by a planned stop.
	Left bool
	// Known is when it had settings first, zero for never.
	Known time.Time
}

// Outage is a time without the store, as one balancer saw it.
type Outage struct {
	Node string
	From time.Time
	// Until is zero when contact did not come back.
	Until time.Time
}

// Evacuation is one word of the operators on a zone and when balancers heard it.
type Evacuation struct {
	Zone string
	// Restored is set where the zone was taken back.
	Restored bool
	Revision uint64
	// First and Last are when balancers that ran then heard it; LastNode is the last of them.
	First, Last time.Time
	Balancers   int
	LastNode    string
}

// Moment is the sum over all balancers at one time.
type Moment struct {
	At time.Time
	// Running balancers, and those of them with the newest version.
	Running, Newest int
	// Lost counts those without the store.
	Lost int
}

// Day is what the lines tell.
type Day struct {
	From, Until time.Time
	Versions    []Version
	Evacuations []Evacuation
	Runs        []Run
	Outages     []Outage
	// Added, Draining and Gone count back ends, each once.
	Added, Draining, Gone int
	Moments               []Moment
}

// Of reads a day from lines in order of time.
func Of(lines []logs.Line) Day {
	day := Day{}
	if len(lines) == 0 {
		return day
	}
	day.From, day.Until = lines[0].At, lines[len(lines)-1].At
	b := &builder{
		open: map[string]*Run{}, lost: map[string]*Outage{}, versions: map[uint64][]logs.Line{}, zones: map[zoneWord][]logs.Line{},
		seen: map[string]map[string]bool{}, version: map[string]uint64{},
	}
	for i := range lines {
		b.add(&lines[i])
	}
	b.finish(&day)
	return day
}

// builder is the state while lines are read.
type builder struct {
	runs     []*Run
	open     map[string]*Run
	outages  []*Outage
	lost     map[string]*Outage
	versions map[uint64][]logs.Line
	// zones has the lines of each word on a zone.
	zones map[zoneWord][]logs.Line
	// seen has the back ends of each message.
	seen    map[string]map[string]bool
	version map[string]uint64
	newest  uint64
	moments []Moment
}

func (b *builder) add(line *logs.Line) {
	run := b.open[line.Node]
	if run == nil || line.Message == logs.Started {
		run = &Run{Node: line.Node, From: line.At}
		b.open[line.Node] = run
		b.runs = append(b.runs, run)
		delete(b.lost, line.Node)
		delete(b.version, line.Node)
	}
	run.Until = line.At
	switch line.Message {
	case logs.Leaving:
		run.Left = true
	case logs.Stopped:
		delete(b.open, line.Node)
		delete(b.version, line.Node)
	case logs.SettingsApplied:
		if run.Known.IsZero() {
			run.Known = line.At
		}
		b.version[line.Node] = line.Version
		b.newest = max(b.newest, line.Version)
		b.versions[line.Version] = append(b.versions[line.Version], *line)
	case logs.ZoneEvacuated, logs.ZoneRestored:
		word := zoneWord{line.Zone, line.Message, line.Revision}
		b.zones[word] = append(b.zones[word], *line)
	case logs.StoreLost:
		outage := &Outage{Node: line.Node, From: line.At}
		b.lost[line.Node] = outage
		b.outages = append(b.outages, outage)
	case logs.StoreRegained:
		if outage := b.lost[line.Node]; outage != nil {
			outage.Until = line.At
			delete(b.lost, line.Node)
		}
	case logs.BackendAdded, logs.BackendDraining, logs.BackendGone:
		if b.seen[line.Message] == nil {
			b.seen[line.Message] = map[string]bool{}
		}
		b.seen[line.Message][line.Backend] = true
	default:
		return
	}
	b.note(line.At)
}

// note adds the state after a line.
func (b *builder) note(at time.Time) {
	moment := Moment{At: at, Running: len(b.open), Lost: len(b.lost)}
	for _, version := range b.version {
		if version == b.newest {
			moment.Newest++
		}
	}
	b.moments = append(b.moments, moment)
}

func (b *builder) finish(day *Day) {
	for _, run := range b.runs {
		day.Runs = append(day.Runs, *run)
	}
	for _, outage := range b.outages {
		day.Outages = append(day.Outages, *outage)
	}
	for version, lines := range b.versions {
		day.Versions = append(day.Versions, b.spread(version, lines))
	}
	slices.SortFunc(day.Versions, func(x, y Version) int { return cmp.Compare(x.Version, y.Version) })
	for word, lines := range b.zones {
		day.Evacuations = append(day.Evacuations, b.heard(word, lines))
	}
	slices.SortFunc(day.Evacuations, func(x, y Evacuation) int { return x.First.Compare(y.First) })
	day.Added, day.Draining, day.Gone = len(b.seen[logs.BackendAdded]), len(b.seen[logs.BackendDraining]), len(b.seen[logs.BackendGone])
	day.Moments = b.moments
}

// zoneWord is what was said of which zone; it is told apart by the store's revision.
type zoneWord struct {
	zone, message string
	revision      uint64
}

// heard tells when the balancers heard a word on a zone that ran when the first did.
func (b *builder) heard(word zoneWord, lines []logs.Line) Evacuation {
	told := Evacuation{Zone: word.zone, Restored: word.message == logs.ZoneRestored, Revision: word.revision, First: lines[0].At}
	for _, line := range lines {
		if b.ranAt(line.Node, told.First, line.At) {
			told.Last, told.LastNode = line.At, line.Node
			told.Balancers++
		}
	}
	return told
}

// spread tells when a version came into force on the balancers that ran when it first did.
func (b *builder) spread(version uint64, lines []logs.Line) Version {
	first := lines[0].At
	var running []logs.Line
	for _, line := range lines {
		if b.ranAt(line.Node, first, line.At) {
			running = append(running, line)
		}
	}
	last := running[len(running)-1]
	return Version{
		Version: version, Revision: lines[0].Revision, First: first, Median: running[len(running)/2].At,
		Last: last.At, LastNode: last.Node, Balancers: len(running),
	}
}

// ranAt tells whether one run of the balancer spans both times.
func (b *builder) ranAt(node string, first, then time.Time) bool {
	return slices.ContainsFunc(b.runs, func(run *Run) bool {
		return run.Node == node && !run.From.After(first) && !run.Until.Before(then)
	})
}

// WriteText writes the day for a reader.
func (d *Day) WriteText(out io.Writer) error {
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
		said := "evacuated"
		if e.Restored {
			said = "restored"
		}
		p.Line("  %s %s (revision %d): first %s, last +%d ms on %s, %d balancers", e.Zone, said, e.Revision,
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
	known := "never knew settings"
	if !run.Known.IsZero() {
		known = fmt.Sprintf("knew settings after %d ms", run.Known.Sub(run.From).Milliseconds())
	}
	end := "last line"
	if run.Left {
		end = "left, last line"
	}
	return fmt.Sprintf("from %s, %s, %s %s", run.From.Format(logs.ClockFormat), known, end, run.Until.Format(logs.ClockFormat))
}
