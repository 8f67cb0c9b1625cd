package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gaugeyard/internal/logs"
)

// parseRows returns the log lines of rows of the form SECOND|BALANCER|MESSAGE|JSON FIELDS.
func parseRows(t *testing.T, rows ...string) []logs.Line {
	t.Helper()
	var text strings.Builder
	base := time.Date(2026, 6, 9, 14, 41, 0, 0, time.UTC)
	for _, row := range rows {
		parts := strings.SplitN(row, "|", 4)
		after, err := time.ParseDuration(parts[0] + "s")
		if err != nil {
			t.Fatal(err)
		}
		fields := ""
		if len(parts) > 3 {
			fields = "," + parts[3]
		}
		fmt.Fprintf(&text, `{"@timestamp":%q,"@module":%q,"@message":%q%s}`+"\n", base.Add(after).Format(time.RFC3339Nano), parts[1], parts[2], fields)
	}
	lines, skipped, err := logs.ReadFiles(nil, strings.NewReader(text.String()))
	if err != nil || skipped > 0 {
		t.Fatalf("%d skipped, %v", skipped, err)
	}
	return lines
}

const caller = "100.64.0.7:40001"

// placedRow places the flow at back end ab through balancer n1 at 10 s.
const placedRow = `10|n1|flow placed|"caller":"100.64.0.7:40001","backend":"ab","revision":20`

// TestFirstCauseOfAFailedFlow checks the first cause for the log lines of each kind of failure.
func TestFirstCauseOfAFailedFlow(t *testing.T) {
	known := `1|n1|settings applied|"version":6,"revision":18,"from":"store"`
	for _, test := range []struct {
		name string
		rows []string
		want Cause
	}{
		{"a dropped route", []string{known, `10|n1|flow refused|"caller":"100.64.0.7:40001","reason":"no_route","revision":20`}, NoRoute},
		{"no server", []string{known, `10|n1|flow refused|"caller":"100.64.0.7:40001","reason":"no_backend"`}, NoBackend},
		{"a crashed server", []string{known, placedRow, `10.3|n2|back end doubted|"backend":"ab","silent_ms":80`, `13|n1|back end gone|"backend":"ab"`}, BackendUnresponsive},
		{"a flow reset at a lost server", []string{known, placedRow, `10.3|n2|back end lost|"backend":"ab","silent_ms":350`, `10.3|n1|flow reset|"caller":"100.64.0.7:40001","backend":"ab"`}, BackendDown},
		{"a request refused at a lost server", []string{known, placedRow, `10.4|n1|flow refused|"caller":"100.64.0.7:40001","reason":"backend_lost"`}, BackendDown},
		{"a suspicion due to a lost packet", []string{known, placedRow, `10.3|n1|back end doubted|"backend":"ab"`, `10.4|n1|back end answers again|"backend":"ab"`, `11|n1|back end draining|"backend":"ab"`}, BackendRemoved},
		{"a server that fails requests", []string{known, placedRow, `10.5|n3|back end leaves requests unanswered|"backend":"ab"`, `10.6|n3|back end doubted|"backend":"ab"`, `10.7|n3|back end answers again|"backend":"ab"`}, BackendFailing},
		{"a crashed server whose requests wait", []string{known, placedRow, `10.3|n2|back end doubted|"backend":"ab"`, `10.5|n3|back end leaves requests unanswered|"backend":"ab"`}, BackendUnresponsive},
		{"a balancer that wrote nothing for a while", []string{known, `9.5|n1|flow placed`, `9.8|n1|flow placed`, placedRow, `10.2|n1|flow placed`, `13|n1|flow placed`, `13.2|n1|flow placed`}, BalancerSilent},
		{"a balancer that writes little", []string{known, `7|n1|flow placed`, `8.5|n1|flow placed`, placedRow, `11.6|n1|flow placed`, `13|n1|flow placed`}, ""},
		{"a server that left", []string{known, `9|n1|back end draining|"backend":"ab"`, placedRow, `11|n1|back end gone|"backend":"ab"`}, BackendRemoved},
		{"a killed balancer", []string{`0|n1|started`, known, placedRow, `13|n1|started`}, BalancerCrashed},
		{"a balancer that stopped as planned", []string{`0|n1|started`, known, placedRow, `10.5|n1|leaving`, `12|n1|stopped`, `13|n1|started`}, BalancerStopping},
		{"a balancer that stood still", []string{known, `10|n1|packet dropped|"caller":"100.64.0.7:40001","reason":"stale"`}, BalancerPaused},
		{"an unknown back end", []string{known, `10|n1|packet dropped|"caller":"100.64.0.7:40001","reason":"unknown_tag"`}, UnknownTag},
		{"a balancer that knew nothing", []string{`9.9|n1|started`, `10|n1|packet dropped|"caller":"100.64.0.7:40001","reason":"not_ready"`}, NotReady},
		{"nothing odd", []string{known, placedRow, `10.2|n1|back end doubted|"backend":"cd"`, `30|n1|back end gone|"backend":"ab"`}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := Explain(parseRows(t, test.rows...), Query{Caller: caller})
			got := Cause("")
			if len(report.Findings) > 0 {
				got = report.Findings[0].Cause
			}
			if got != test.want {
				t.Errorf("cause %q, want %q", got, test.want)
			}
			var text strings.Builder
			if err := report.WriteText(&text); err != nil || !strings.Contains(text.String(), "cause: ") {
				t.Errorf("%v\n%s", err, text.String())
			}
		})
	}
}

// TestStepsHaveTheVersionInForce checks the settings version and its age at each decision,
// also after a restart.
func TestStepsHaveTheVersionInForce(t *testing.T) {
	lines := parseRows(t,
		`1|n1|settings applied|"version":6,"revision":18`, `2|n2|settings applied|"version":6,"revision":18`,
		`9|n1|settings applied|"version":9,"revision":19`, placedRow,
		`10.2|n2|flow moved before opening|"caller":"100.64.0.7:40001","backend":"cd","before":"ab","revision":18`,
		`11|n2|started`, `11.5|n2|packet dropped|"caller":"100.64.0.7:40001","reason":"not_ready"`)
	report := Explain(lines, Query{Caller: caller})
	want := []struct {
		version uint64
		age     time.Duration
	}{{9, time.Second}, {6, 8200 * time.Millisecond}, {0, 0}}
	if len(report.Steps) != len(want) {
		t.Fatalf("steps %+v", report.Steps)
	}
	for i, step := range report.Steps {
		if step.Version != want[i].version || step.Age != want[i].age {
			t.Errorf("step %d: version %d, age %v", i, step.Version, step.Age)
		}
	}
}

// TestCrashedBalancersAreFoundByTimeAlone covers a request that reached no balancer, so that
// no line names its flow.
func TestCrashedBalancersAreFoundByTimeAlone(t *testing.T) {
	lines := parseRows(t, `0|n1|started`, `0|n2|started`, `0|n3|started`, `9.7|n1|flow placed`, `9.8|n2|flow placed`, `9.9|n3|flow placed`,
		`10.3|n3|leaving`, `11|n3|stopped`, `11.5|n1|started`, `12|n2|flow placed`, `12.1|n3|started`)
	report := Explain(lines, Query{At: lines[0].At.Add(10 * time.Second)})
	if len(report.Findings) != 1 || report.Findings[0].Cause != BalancersCrashed || len(report.Findings[0].Evidence) != 2 || report.Findings[0].Evidence[0].Node != "n1" {
		t.Errorf("findings %+v", report.Findings)
	}
	if report := Explain(lines, Query{At: lines[0].At.Add(5 * time.Second)}); len(report.Findings) != 0 {
		t.Errorf("while all ran: %+v", report.Findings)
	}
}

// TestAFlowIsFoundByItsBackEnd covers a query without a caller.
func TestAFlowIsFoundByItsBackEnd(t *testing.T) {
	lines := parseRows(t, `1|n1|started`, `10.3|n2|back end doubted|"backend":"ab","silent_ms":80`)
	report := Explain(lines, Query{Backend: "ab", At: lines[0].At.Add(9 * time.Second)})
	if len(report.Findings) != 1 || report.Findings[0].Cause != BackendUnresponsive {
		t.Errorf("findings %+v", report.Findings)
	}
}
