package soak

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gaugeyard/internal/standin/tagged"
)

func TestScheduleIsDeterministic(t *testing.T) {
	first, again, other := GenerateSchedule(7, 2*time.Minute, 6), GenerateSchedule(7, 2*time.Minute, 6), GenerateSchedule(8, 2*time.Minute, 6)
	if !reflect.DeepEqual(first, again) {
		t.Error("equal seeds give different schedules")
	}
	if reflect.DeepEqual(first, other) {
		t.Error("different seeds give equal schedules")
	}
}

func TestScheduleIsSortedAndWithinBounds(t *testing.T) {
	const length = 5 * time.Minute
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		events := GenerateSchedule(seed, length, 6)
		if !slices.IsSortedFunc(events, func(a, b Event) int { return int(a.At - b.At) }) {
			t.Fatalf("seed %d: events are not sorted by time", seed)
		}
		for _, event := range events {
			seen[event.Kind] = true
			if event.At < faultFreeStart || event.At > length || event.Balancer < 0 || event.Balancer >= 6 || event.For < minFaultDuration || event.For > maxFaultDuration {
				t.Errorf("seed %d: %v", seed, event)
			}
		}
	}
	for _, kind := range Kinds {
		if !seen[kind] {
			t.Errorf("no schedule has %s", kind)
		}
	}
}

// TestFaultsOverlap checks that at least half of the faults overlap the previous one, that all
// kinds occur, and that a seed determines the schedule.
func TestFaultsOverlap(t *testing.T) {
	const length = 3 * time.Minute
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		events := GenerateOverlappingSchedule(seed, length, 6)
		if !reflect.DeepEqual(events, GenerateOverlappingSchedule(seed, length, 6)) {
			t.Fatalf("seed %d gives different schedules", seed)
		}
		overlapping := 0
		for i, event := range events {
			seen[event.Kind] = true
			if event.At < faultFreeStart || event.At > length || event.Balancer < 0 || event.Balancer >= 6 {
				t.Errorf("seed %d: %v", seed, event)
			}
			if i > 0 && event.At < events[i-1].At+events[i-1].For {
				overlapping++
			}
		}
		if overlapping < len(events)/2 {
			t.Errorf("seed %d: %d of %d faults begin while the previous one is active", seed, overlapping, len(events))
		}
	}
	for _, kind := range slices.Concat(Kinds, SeriesKinds) {
		if !seen[kind] {
			t.Errorf("no schedule has %s", kind)
		}
	}
}

func TestTimedRulesAreExcludedOnASlowMachine(t *testing.T) {
	violations := []tagged.Violation{{Rule: tagged.Drain}, {Rule: tagged.Flow}}
	if counted, excluded := partitionViolations(violations, maxLateness); len(counted) != 2 || excluded != nil {
		t.Errorf("in time: %v, %v", counted, excluded)
	}
	if counted, excluded := partitionViolations(violations, maxLateness+1); len(counted) != 1 || counted[0].Rule != tagged.Flow || len(excluded) != 1 {
		t.Errorf("too late: %v, %v", counted, excluded)
	}
}

// TestEachRuleHasASabotage guards against a rule whose check is never shown to fail.
func TestEachRuleHasASabotage(t *testing.T) {
	broken := map[tagged.Rule]bool{}
	for _, rule := range Sabotages {
		broken[rule] = true
	}
	for _, rule := range tagged.Rules {
		if !broken[rule] {
			t.Errorf("no sabotage violates %s", rule)
		}
	}
}

func TestAReportNamesRulesThatWereNeverChecked(t *testing.T) {
	result := &Result{Seed: 5, Report: tagged.Report{
		Requests: 3, Answered: 2, Refused: 1,
		Checks:     map[tagged.Rule]int{tagged.Mixed: 2, tagged.Flow: 9},
		Violations: []tagged.Violation{{Rule: tagged.Flow, At: 1.5, Text: "a flow moves"}},
	}}
	var text bytes.Buffer
	if err := result.Write(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"MIXED         2  kept", "FLOW          9  BROKEN 1 times", "DRAIN         0  never had anything to judge", "FLOW: a flow moves"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
	if !result.Failed() {
		t.Error("a violated rule is not reported as a failure")
	}
}

func TestCommandLineErrors(t *testing.T) {
	for _, c := range []struct {
		arguments string
		want      string
	}{
		{"run --balancers 1", "--balancers=1: must be within 2 to 120"},
		{"run --minutes 0", "--minutes=0: must be more than 0"},
		{"run --sabotage nothing", "--sabotage=nothing: allowed are"},
		{"replay", "SEED"},
		{"", "missing command"},
	} {
		var out, errOut bytes.Buffer
		if status := Main(strings.Fields(c.arguments), &out, &errOut); status != exitInvalid || !strings.Contains(errOut.String(), c.want) {
			t.Errorf("%q: status %d, %s", c.arguments, status, errOut.String())
		}
	}
}

func TestRegressionsAreValid(t *testing.T) {
	list, err := Regressions()
	if err != nil {
		t.Fatal(err)
	}
	for _, regression := range list {
		if regression.Cause == "" || regression.Length <= 0 || regression.Balancers < 2 {
			t.Errorf("%+v", regression)
		}
	}
}

func TestSavePlot(t *testing.T) {
	result := &Result{Schedule: GenerateSchedule(1, time.Minute, 3), Report: tagged.Report{Outcomes: []tagged.Outcome{
		{SentS: 1, Answered: true, LatencyMs: 2}, {SentS: 2},
	}}}
	path := filepath.Join(t.TempDir(), "soak.svg")
	if err := result.SavePlot(path); err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile(path); err != nil || !bytes.Contains(data, []byte("<svg")) {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}
