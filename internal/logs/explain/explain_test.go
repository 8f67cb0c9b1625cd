package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gaugeyard/internal/logs"
)

// day makes lines from rows of: second, balancer, message, fields as in the logs.
func day(t *testing.T, rows ...string) []logs.Line {
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

// placed is a flow at back end ab through balancer n1 at 10 s.
const placed = `10|n1|flow placed|"caller":"100.64.0.7:40001","backend":"ab","revision":20`

// TestTheCauseOfAFailedFlow: for each kind of failure the lines that a day of it leaves.
func TestTheCauseOfAFailedFlow(t *testing.T) {
	known := `1|n1|settings applied|"version":6,"revision":18,"from":"store"`
	for _, test := range []struct {
		name string
		rows []string
		want Cause
	}{
		{"a dropped route", []string{known, `10|n1|flow refused|"caller":"100.64.0.7:40001","reason":"no_route","revision":20`}, NoRoute},
		{"no server", []string{known, `10|n1|flow refused|"caller":"100.64.0.7:40001","reason":"no_backend"`}, NoBackend},
		{"a crashed server", []string{known, placed, `10.3|n2|back end doubted|"backend":"ab","silent_ms":80`, `13|n1|back end gone|"backend":"ab"`}, BackendDied},
		{"a flow reset at a lost server", []string{known, placed, `10.3|n2|back end lost|"backend":"ab","silent_ms":350`, `10.3|n1|flow reset|"caller":"100.64.0.7:40001","backend":"ab"`}, BackendLost},
		{"a request refused at a lost server", []string{known, placed, `10.4|n1|flow refused|"caller":"100.64.0.7:40001","reason":"backend_lost"`}, BackendLost},
		{"a doubt that was a lost packet", []string{known, placed, `10.3|n1|back end doubted|"backend":"ab"`, `10.4|n1|back end answers again|"backend":"ab"`, `11|n1|back end draining|"backend":"ab"`}, BackendLeft},
		{"a server that fails requests", []string{known, placed, `10.5|n3|back end leaves requests unanswered|"backend":"ab"`, `10.6|n3|back end doubted|"backend":"ab"`, `10.7|n3|back end answers again|"backend":"ab"`}, BackendFailing},
		{"a crashed server whose requests wait", []string{known, placed, `10.3|n2|back end doubted|"backend":"ab"`, `10.5|n3|back end leaves requests unanswered|"backend":"ab"`}, BackendDied},
		{"a balancer that wrote nothing for a while", []string{known, `9.5|n1|flow placed`, `9.8|n1|flow placed`, placed, `10.2|n1|flow placed`, `13|n1|flow placed`, `13.2|n1|flow placed`}, BalancerSilent},
		{"a balancer that writes little", []string{known, `7|n1|flow placed`, `8.5|n1|flow placed`, placed, `11.6|n1|flow placed`, `13|n1|flow placed`}, ""},
		{"a server that left", []string{known, `9|n1|back end draining|"backend":"ab"`, placed, `11|n1|back end gone|"backend":"ab"`}, BackendLeft},
		{"a killed balancer", []string{`0|n1|started`, known, placed, `13|n1|started`}, BalancerDown},
		{"a balancer that stopped as planned", []string{`0|n1|started`, known, placed, `10.5|n1|leaving`, `12|n1|stopped`, `13|n1|started`}, BalancerStopping},
		{"a balancer that stood still", []string{known, `10|n1|packet dropped|"caller":"100.64.0.7:40001","reason":"stale"`}, BalancerStill},
		{"an unknown back end", []string{known, `10|n1|packet dropped|"caller":"100.64.0.7:40001","reason":"unknown_tag"`}, UnknownTag},
		{"a balancer that knew nothing", []string{`9.9|n1|started`, `10|n1|packet dropped|"caller":"100.64.0.7:40001","reason":"not_ready"`}, NothingKnown},
		{"nothing odd", []string{known, placed, `10.2|n1|back end doubted|"backend":"cd"`, `30|n1|back end gone|"backend":"ab"`}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			story := Explain(day(t, test.rows...), Query{Caller: caller})
			got := Cause("")
			if len(story.Findings) > 0 {
				got = story.Findings[0].Cause
			}
			if got != test.want {
				t.Errorf("cause %q, want %q", got, test.want)
			}
			var text strings.Builder
			if err := story.WriteText(&text); err != nil || !strings.Contains(text.String(), "cause: ") {
				t.Errorf("%v\n%s", err, text.String())
			}
		})
	}
}

// TestStepsTellWhatWasBelieved when each balancer decided.
func TestStepsTellWhatWasBelieved(t *testing.T) {
	lines := day(t,
		`1|n1|settings applied|"version":6,"revision":18`, `2|n2|settings applied|"version":6,"revision":18`,
		`9|n1|settings applied|"version":9,"revision":19`, placed,
		`10.2|n2|flow moved before opening|"caller":"100.64.0.7:40001","backend":"cd","before":"ab","revision":18`,
		`11|n2|started`, `11.5|n2|packet dropped|"caller":"100.64.0.7:40001","reason":"not_ready"`)
	story := Explain(lines, Query{Caller: caller})
	want := []struct {
		version uint64
		age     time.Duration
	}{{9, time.Second}, {6, 8200 * time.Millisecond}, {0, 0}}
	if len(story.Steps) != len(want) {
		t.Fatalf("steps %+v", story.Steps)
	}
	for i, step := range story.Steps {
		if step.Version != want[i].version || step.Age != want[i].age {
			t.Errorf("step %d: version %d, age %v", i, step.Version, step.Age)
		}
	}
}

// TestBalancersThatWereGoneAreFoundByTheTimeAlone: a request that reached no balancer leaves
// no line and names none.
func TestBalancersThatWereGoneAreFoundByTheTimeAlone(t *testing.T) {
	lines := day(t, `0|n1|started`, `0|n2|started`, `0|n3|started`, `9.7|n1|flow placed`, `9.8|n2|flow placed`, `9.9|n3|flow placed`,
		`10.3|n3|leaving`, `11|n3|stopped`, `11.5|n1|started`, `12|n2|flow placed`, `12.1|n3|started`)
	story := Explain(lines, Query{At: lines[0].At.Add(10 * time.Second)})
	if len(story.Findings) != 1 || story.Findings[0].Cause != BalancersGone || len(story.Findings[0].Evidence) != 2 || story.Findings[0].Evidence[0].Node != "n1" {
		t.Errorf("findings %+v", story.Findings)
	}
	if story := Explain(lines, Query{At: lines[0].At.Add(5 * time.Second)}); len(story.Findings) != 0 {
		t.Errorf("while all ran: %+v", story.Findings)
	}
}

// TestAFlowIsFoundByItsBackEnd where the caller is not known.
func TestAFlowIsFoundByItsBackEnd(t *testing.T) {
	lines := day(t, `1|n1|started`, `10.3|n2|back end doubted|"backend":"ab","silent_ms":80`)
	story := Explain(lines, Query{Backend: "ab", At: lines[0].At.Add(9 * time.Second)})
	if len(story.Findings) != 1 || story.Findings[0].Cause != BackendDied {
		t.Errorf("findings %+v", story.Findings)
	}
}
