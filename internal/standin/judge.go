package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"gaugeyard/internal/standin/backend"
	"gaugeyard/internal/standin/caller"
)

type judgeCommand struct {
	Record []string `arg:"--record,separate,required" help:"address of a back end's report"`
	Report []string `arg:"--report,separate,required" help:"file that a caller printed"`
	// Unknown is the number of unknown outcomes that unplanned failures may cause.
	Unknown int `arg:"--allow-unknown" help:"unknown outcomes allowed"`
}

// comparison holds the sums of the callers' reports and the counts of contradictions with what back
// ends ran.
type comparison struct {
	callers                          caller.Report
	misrouted, doubleRuns, falseRuns int
	answeredNotRun, partialUploads   int
}

// errGuaranteeViolated means that the printed table has a violated guarantee.
var errGuaranteeViolated = errors.New("at least one guarantee was violated")

const readTimeout = 5 * time.Second

// judge compares the outcomes that callers saw with what back ends ran and prints a table. It returns
// errGuaranteeViolated if any guarantee was violated.
func judge(command *judgeCommand, out io.Writer) error {
	runs, uploads := map[string]int{}, map[string]int{}
	v := comparison{}
	for _, address := range command.Record {
		record, err := readRecord(address)
		if err != nil {
			return err
		}
		v.misrouted += record.Misrouted
		for id, count := range record.Runs {
			runs[id] += count
		}
		for id, size := range record.Uploads {
			uploads[id] = size
		}
	}
	for _, file := range command.Report {
		if err := v.add(file, runs, uploads); err != nil {
			return err
		}
	}
	for _, count := range runs {
		if count > 1 {
			v.doubleRuns++
		}
	}
	return v.print(out, command.Unknown)
}

func readRecord(address string) (backend.Record, error) {
	var record backend.Record
	client := http.Client{Timeout: readTimeout}
	reply, err := client.Get("http://" + address + "/record")
	if err != nil {
		return record, err
	}
	defer reply.Body.Close()
	return record, json.NewDecoder(reply.Body).Decode(&record)
}

// add adds a caller's report and compares it with the runs at back ends.
func (v *comparison) add(file string, runs, uploads map[string]int) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var report caller.Report
	if err := json.Unmarshal(content, &report); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	for id, outcome := range report.Outcomes {
		switch {
		case outcome == caller.OutcomeNotRun && runs[id] > 0:
			v.falseRuns++
		case outcome == caller.OutcomeAnswered && runs[id] == 0:
			v.answeredNotRun++
		}
	}
	sum := &v.callers
	sum.Feeds += report.Feeds
	sum.BrokenFeeds += report.BrokenFeeds
	sum.MovedFeeds += report.MovedFeeds
	sum.Updates += report.Updates
	sum.LongestPause = max(sum.LongestPause, report.LongestPause)
	sum.Requests += report.Requests
	sum.Answered += report.Answered
	sum.NotRun += report.NotRun
	sum.Unknown += report.Unknown
	sum.WrongAnswers += report.WrongAnswers
	sum.Uploads += report.Uploads
	sum.WholeUploads += report.WholeUploads
	v.partialUploads = sum.Uploads - sum.WholeUploads
	return nil
}

// print prints the table and returns errGuaranteeViolated if any count is
// above its limit.
func (v *comparison) print(out io.Writer, allowedUnknown int) error {
	c := v.callers
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "feeds\t%d\tupdates %d, longest pause %d ms\n", c.Feeds, c.Updates, c.LongestPause)
	fmt.Fprintf(table, "requests\t%d\tand uploads %d: answered %d, not run %d, unknown %d\n", c.Requests, c.Uploads, c.Answered, c.NotRun, c.Unknown)
	violated := false
	for _, row := range []struct {
		name           string
		count, allowed int
	}{
		{"feeds that stalled", c.BrokenFeeds, 0},
		{"feeds that moved", c.MovedFeeds, 0},
		{"datagrams at another service", v.misrouted, 0},
		{"wrong answers", c.WrongAnswers, 0},
		{"answers without a run", v.answeredNotRun, 0},
		{"'not run' that ran", v.falseRuns, 0},
		{"requests that ran twice", v.doubleRuns, 0},
		{"uploads not whole", v.partialUploads, allowedUnknown},
		{"unknown outcomes", c.Unknown, allowedUnknown},
	} {
		state := "kept"
		if row.count > row.allowed {
			state, violated = "BROKEN", true
		}
		fmt.Fprintf(table, "%s\t%d\t%s\n", row.name, row.count, state)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if violated {
		return errGuaranteeViolated
	}
	return nil
}
