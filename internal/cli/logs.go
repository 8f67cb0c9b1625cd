package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"gaugeyard/internal/logs"
	"gaugeyard/internal/logs/explain"
	"gaugeyard/internal/logs/timeline"
	"gaugeyard/internal/operator"
)

// explainCommand reconstructs the history of a flow from logs.
type explainCommand struct {
	Caller  string        `arg:"--caller" help:"the caller's address:port"`
	Backend string        `arg:"--backend" help:"identifier of the back end, where the caller is not known"`
	Node    string        `arg:"--balancer" help:"name of the balancer, where the caller is not known"`
	At      string        `arg:"--at" help:"when the request was sent: RFC 3339, or a time after the first line, such as 14.05s"`
	Window  time.Duration `arg:"--window" default:"5s" help:"how far around that evidence is looked for"`
	JSON    bool          `arg:"--json" help:"print JSON"`
	Files   []string      `arg:"positional" help:"logs of balancers, plain or gzip; none or - is standard input"`
}

// timelineCommand reconstructs from logs what balancers observed over time.
type timelineCommand struct {
	JSON  bool     `arg:"--json" help:"print JSON"`
	Plot  string   `arg:"--plot" help:"draw a picture into this file (.svg, .png or .pdf)"`
	Files []string `arg:"positional" help:"logs of balancers, plain or gzip; none or - is standard input"`
}

func (c *explainCommand) run(in io.Reader, out, errOut io.Writer) int {
	if c.Caller == "" && c.At == "" {
		fmt.Fprintln(errOut, "explain: --caller or --at is required; --at may be combined with --backend or --balancer")
		return operator.ExitInvalid
	}
	lines, status := readLogs(c.Files, in, errOut)
	if status != operator.ExitOK {
		return status
	}
	at, err := parseTime(c.At, lines)
	if err != nil {
		fmt.Fprintf(errOut, "explain: --at: %v\n", err)
		return operator.ExitInvalid
	}
	explanation := explain.Explain(lines, explain.Query{Caller: c.Caller, Backend: c.Backend, Node: c.Node, At: at, Window: c.Window})
	return writeResult(c.JSON, &explanation, explanation.WriteText, out, errOut)
}

func (c *timelineCommand) run(in io.Reader, out, errOut io.Writer) int {
	lines, status := readLogs(c.Files, in, errOut)
	if status != operator.ExitOK {
		return status
	}
	view := timeline.FromLines(lines)
	if c.Plot != "" {
		if err := view.Draw(c.Plot); err != nil {
			fmt.Fprintln(errOut, err)
			return operator.ExitFailed
		}
	}
	return writeResult(c.JSON, &view, view.WriteText, out, errOut)
}

// readLogs reads the files and reports the number of skipped lines. It returns an exit status
// other than ExitOK if it read no lines.
func readLogs(files []string, in io.Reader, errOut io.Writer) ([]logs.Line, int) {
	lines, skipped, err := logs.ReadFiles(files, in)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return nil, operator.ExitFailed
	}
	if skipped > 0 {
		fmt.Fprintf(errOut, "skipped %d lines that are not balancer logs\n", skipped)
	}
	if len(lines) == 0 {
		fmt.Fprintln(errOut, "no balancer logs found")
		return nil, operator.ExitInvalid
	}
	return lines, operator.ExitOK
}

// parseTime parses an RFC 3339 time, or a duration relative to the first of the lines, of which
// there must be one. For an empty text it returns the zero time.
func parseTime(text string, lines []logs.Line) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if after, err := time.ParseDuration(text); err == nil {
		return lines[0].At.Add(after), nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is neither RFC 3339 nor a duration", text)
	}
	return at, nil
}

// writeResult writes a result as JSON or as text and returns the exit status.
func writeResult(asJSON bool, result any, writeText func(io.Writer) error, out, errOut io.Writer) int {
	var err error
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(result)
	} else {
		err = writeText(out)
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return operator.ExitFailed
	}
	return operator.ExitOK
}

// stdin is read when no log file is given.
var stdin io.Reader = os.Stdin
