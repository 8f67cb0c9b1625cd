package main

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// testSite has a class of requests on long flows and one that opens a flow for each request.
func testSite() *Site {
	site := &Site{}
	site.Bounds.TouchMs = 4000
	site.Classes = []Class{
		{Name: "feed", AimMs: 150, DeadlineMs: 1200, Worth: 1, LateWorth: 0.3, Retries: 2},
		{Name: "edit", AimMs: 150, DeadlineMs: 1500, Worth: 2, LateWorth: 0.6, Retries: 2, Habit: "fresh"},
	}
	for i := range site.Classes {
		site.Classes[i].WorkMs.Mean = 10
	}
	return site
}

// testReport is a day of eight seconds with two zones of two balancers each.
func testReport(events []Event, out map[string]string) *Report {
	report := &Report{
		Worth:   0.9,
		Parts:   []Part{{partDay, 0.4, 0.95}, {partWindows, 0.1, 0.9}, {partClass, 0.3, 0.95}, {partZone, 0.2, 0.95}},
		Prices:  []Price{{priceMachines, 100, 0.01}, {priceHandshake, 400, 0.004}, {"cloud calls", 100, 0.001}},
		Classes: []Tally{{Name: "feed", Count: 600, Worth: 0.95}, {Name: "edit", Count: 200, Worth: 0.95}},
		Zones:   []Tally{{Name: "a", Count: 400, Worth: 0.95}, {Name: "b", Count: 400, Worth: 0.95}},
		Events:  events,
	}
	for _, name := range []string{"0", "2", "4", "6"} {
		report.Windows = append(report.Windows, Tally{Name: name, Count: 200, Worth: 0.95})
	}
	report.Touch.Out = out
	return report
}

func undisturbedMachines() map[string]string {
	return map[string]string{"front-a-1": "", "front-a-2": "", "front-b-1": "", "front-b-2": ""}
}

func mustBound(t *testing.T, report *Report) *result {
	t.Helper()
	got, err := bound(testSite(), report)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func TestUndisturbedDayLosesOnlyPrices(t *testing.T) {
	got := mustBound(t, testReport(nil, undisturbedMachines()))
	// The prices of machines, and of a connection for each of 200 edits, of 400 connections.
	if want := 1 - 0.01 - 0.002; math.Abs(got.worth-want) > 1e-9 {
		t.Errorf("bound %v, want %v", got.worth, want)
	}
	if day := got.day(); math.Abs(day.owed-1000) > 1e-6 || math.Abs(day.avoidable()-50) > 1e-6 {
		t.Errorf("owed %v, avoidable %v; want 1000 and 50", day.owed, day.avoidable())
	}
}

// TestAllBalancersDownLoseRequestsPastDeadline checks the bound when all balancers are down from 2.0
// to 3.0 s.
func TestAllBalancersDownLoseRequestsPastDeadline(t *testing.T) {
	out := undisturbedMachines()
	for machine := range out {
		out[machine] = "2.000 to 7.000"
	}
	got := mustBound(t, testReport([]Event{{At: 2, To: 8, Kind: "closing (kill_all)", What: "front-a-1 and 3 more"}}, out))
	feed, edit := &got.classes[0], &got.classes[1]
	// Retransmissions follow after 0.2, 0.6 and 1.4 s, the last one past the deadline: requests of
	// the first 0.4 s fail, those of the next 0.6 s are late.
	if want := 600.0 - 75*(0.4+0.6*0.7); math.Abs(feed.bound-want) > 1 {
		t.Errorf("feed %v, want %v", feed.bound, want)
	}
	// An edit opens another flow after 1.4 s and is then late.
	if want := 2 * (200.0 - 25*(1.0*0.7)); math.Abs(edit.bound-want) > 1 {
		t.Errorf("edit %v, want %v", edit.bound, want)
	}
	if w := &got.windows[0]; w.bound != w.owed {
		t.Errorf("window before: bound %v of %v", w.bound, w.owed)
	}
}

// TestDeadBalancerCostsItsShareUntilEjected checks the bound when one of two balancers is down and
// routers need at least half a second to eject it.
func TestDeadBalancerCostsItsShareUntilEjected(t *testing.T) {
	out := undisturbedMachines()
	out["front-a-1"] = "2.000 to 12.000"
	got := mustBound(t, testReport([]Event{{At: 2, To: 8, Kind: "node_kill (power)", What: "front-a-1"}}, out))
	// Half of the flows of zone a are late for half a second: the packet that arrives is a
	// retransmission after 0.2 s or more.
	if want := 600.0 - 75*0.5*0.5*0.5*0.7; math.Abs(got.classes[0].bound-want) > 0.5 {
		t.Errorf("feed %v, want %v", got.classes[0].bound, want)
	}
	if b := &got.zones[1]; b.bound != b.owed {
		t.Errorf("the other zone has %v of %v", b.bound, b.owed)
	}
}

// TestUnreportedMachinesCount checks that machines that were never out of touch, which reports do
// not name, count as balancers.
func TestUnreportedMachinesCount(t *testing.T) {
	site := testSite()
	site.Machines = []Machines{{Class: "front", Zone: "a", Count: 4}}
	report := testReport([]Event{{At: 2, To: 8, Kind: "node_kill (power)", What: "front-a-1"}}, map[string]string{"front-a-1": "2.000 to 12.000"})
	got, err := bound(site, report)
	if err != nil {
		t.Fatal(err)
	}
	// A quarter of the flows of zone a for half a second.
	if want := 600.0 - 75*0.5*0.5*0.25*0.7; math.Abs(got.classes[0].bound-want) > 0.5 {
		t.Errorf("feed %v, want %v", got.classes[0].bound, want)
	}
}

func TestOtherDisturbancesCostNothing(t *testing.T) {
	out := undisturbedMachines()
	out["front-a-1"] = "2.000 to 9.000"
	events := []Event{
		{At: 2, To: 3, Kind: "roll_term", What: "front-a-1"},
		{At: 2, To: 5, Kind: "node_cut", What: "front-a-1"},
		{At: 2, To: 3, Kind: "node_kill", What: "front-b-1"},
	}
	// front-b-1 was never out of touch, so the kill does not count.
	if got := mustBound(t, testReport(events, out)); got.day().bound != got.day().owed {
		t.Errorf("bound %v of %v", got.day().bound, got.day().owed)
	}
}

func TestMaxCredit(t *testing.T) {
	site := testSite()
	feed, edit := &site.Classes[0], &site.Classes[1]
	for _, test := range []struct {
		class   *Class
		reached time.Duration
		want    float64
	}{
		{feed, 0, 1},
		{feed, 100 * time.Millisecond, 0.3},
		{feed, 601 * time.Millisecond, 0},
		{edit, 601 * time.Millisecond, 0.3},
		{edit, 1401 * time.Millisecond, 0},
	} {
		if got := site.maxCredit(test.class, test.reached); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s reached after %v: %v, want %v", test.class.Name, test.reached, got, test.want)
		}
	}
}

func TestWorkWithin(t *testing.T) {
	class := &Class{}
	class.WorkMs.Mean, class.WorkMs.Spread = 40, 0.5
	median := 40 * math.Exp(-0.125)
	if got := class.workWithin(milliseconds(median)); math.Abs(got-0.5) > 0.001 {
		t.Errorf("%v of the work within the median", got)
	}
	if class.workWithin(0) != 0 || class.workWithin(time.Second) < 0.999 {
		t.Error("work takes between nothing and a second")
	}
}

// TestRunReadsFiles runs the command on files in the format of the bench.
func TestRunReadsFiles(t *testing.T) {
	folder := t.TempDir()
	site := filepath.Join(folder, "site.toml")
	write(t, site, []byte(`
classes = [ { name = "feed", aim_ms = 150, deadline_ms = 1200.0, worth = 1, late_worth = 0.3, retries = 2, work_ms = { mean = 10.0, spread = 0.5 } } ]
[net]
client_ms = 3.0
[bounds]
touch_ms = 4000
`))
	report := filepath.Join(folder, "report.json")
	data, err := json.Marshal(map[string]any{
		"G": 0.98, "parts": []any{[]any{"whole day", 1.0, 0.99}}, "prices": []any{[]any{"machine-seconds", 10.0, 0.01}},
		"classes": []any{map[string]any{"name": "feed", "n": 10, "worth": 0.99}},
		"zones":   []any{map[string]any{"name": "a", "n": 10, "worth": 0.99}},
		"windows": []any{map[string]any{"name": "0", "n": 10, "worth": 0.99}},
		"touch":   map[string]any{"out": map[string]string{"front-a-1": "-10.000 to 1.500"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	write(t, report, data)
	var out bytes.Buffer
	if err := run([]string{site, report}, &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "worth 0.9800, bound 0.9900, below it by 0.0100") {
		t.Errorf("printed %s", out.String())
	}
}

func TestInvalidFilesAreRejected(t *testing.T) {
	folder := t.TempDir()
	empty := filepath.Join(folder, "empty")
	write(t, empty, nil)
	for _, args := range [][]string{{}, {empty, empty}, {filepath.Join(folder, "none"), empty}} {
		if err := run(args, &bytes.Buffer{}); err == nil {
			t.Errorf("%v: no error", args)
		}
	}
	report := testReport(nil, map[string]string{"front-a-1": "early to late"})
	if _, err := bound(testSite(), report); err == nil {
		t.Error("a span without numbers is accepted")
	}
	report = testReport(nil, undisturbedMachines())
	report.Classes[0].Name = "other"
	if _, err := bound(testSite(), report); err == nil {
		t.Error("a class that the site does not have is accepted")
	}
}

func write(t *testing.T, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestRestartOfAllInStoreOutageWaitsForStore checks that a restart of all balancers lasts until a full
// outage of the store ends, but not longer if the outage is partial or ends before, or if a balancer
// keeps running.
func TestRestartOfAllInStoreOutageWaitsForStore(t *testing.T) {
	closing := Event{At: 2, To: 8, Kind: "closing (kill_all)", What: "front-a-1 and 3 more"}
	bestOf := func(out map[string]string, events ...Event) float64 {
		return mustBound(t, testReport(append(events, closing), out)).day().bound
	}
	down := undisturbedMachines()
	for machine := range down {
		down[machine] = "2.000 to 7.000"
	}
	withoutOutage := bestOf(down)
	if got := bestOf(down, Event{At: 1, To: 3.5, Kind: "platform_down (busy lapse)"}); got >= withoutOutage {
		t.Errorf("bound %v with an outage until 3.5 s, %v without", got, withoutOutage)
	}
	for _, event := range []Event{
		{At: 1, To: 3.5, Kind: "platform_down (nodes silent)"},
		{At: 0, To: 1.5, Kind: "platform_down (silent)"},
		{At: 1, To: 2.9, Kind: "platform_down (silent)"},
	} {
		if got := bestOf(down, event); got != withoutOutage {
			t.Errorf("bound %v with %+v, %v without", got, event, withoutOutage)
		}
	}
	down["front-b-2"] = ""
	if without, with := bestOf(down), bestOf(down, Event{At: 1, To: 3.5, Kind: "platform_down (silent)"}); with != without {
		t.Errorf("bound %v though one balancer runs on, %v without the outage", with, without)
	}
}
