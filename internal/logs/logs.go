// Package logs parses the log lines that balancers write to standard output.
//
// Each line is one JSON object. Text before the object, such as a collector's timestamp,
// is ignored. Lines without a valid object are counted and skipped. Files may be
// compressed with gzip.
//
// Timestamps come from each balancer's own clock, so the order of lines of different
// balancers depends on how well their clocks agree.
//
// # Usage
//
//	lines, skipped, err := logs.ReadFiles([]string{"a.log", "b.log.gz"}, os.Stdin)
//	for _, line := range lines { // sorted by time
//		fmt.Println(line.At, line.Node, line.Message)
//	}
package logs

import (
	"bufio"
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"
)

// Line is one log line of a balancer. Fields that the message does not have are zero.
type Line struct {
	// At is the balancer's wall-clock time.
	At time.Time `json:"@timestamp"`
	// Node is the balancer's name.
	Node    string `json:"@module"`
	Message string `json:"@message"`

	// Caller and Service are the ends of the flow, as address:port.
	Caller  string `json:"caller,omitempty"`
	Service string `json:"service,omitempty"`
	// Backend is the identifier of a back end, PreviousBackend the one that a flow was moved from.
	Backend         string `json:"backend,omitempty"`
	PreviousBackend string `json:"before,omitempty"`
	// Address is the back end's listening address, Group its group.
	Address string `json:"address,omitempty"`
	Group   string `json:"group,omitempty"`
	// Zone is the back end's zone, or the zone that operators evacuate or restore.
	Zone   string `json:"zone,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Error is the logged error as raw JSON, usually a string.
	Error json.RawMessage `json:"error,omitempty"`
	// From is the source of the information: the store, or the address of a balancer.
	From string `json:"from,omitempty"`
	// Revision is the store's revision, Version the version of the operators' settings.
	Revision uint64 `json:"revision,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	// AgeMs is the age of the received information, SilentMs how long a back end has sent
	// nothing, ForMs how long it is avoided, all in milliseconds.
	AgeMs    int64 `json:"age_ms,omitempty"`
	SilentMs int64 `json:"silent_ms,omitempty"`
	ForMs    int64 `json:"for_ms,omitempty"`
	// Load is the load per slot of the chosen back end, Mean the mean of the candidates.
	Load       float64 `json:"load,omitempty"`
	Mean       float64 `json:"mean,omitempty"`
	Candidates int     `json:"candidates,omitempty"`
	Spilled    bool    `json:"spilled,omitempty"`
	// Part is the part of the service that a flow was placed in. PartReason says why: "turn"
	// (next in the rotation), "only" (the only part), or why the next part was skipped.
	Part       string `json:"part,omitempty"`
	PartReason string `json:"part_reason,omitempty"`
	Attempt    int    `json:"attempt,omitempty"`
	Count      int    `json:"count,omitempty"`
}

// Messages that the log tools recognize. Package edge writes them; packages directory and steering
// define the texts of their events.
const (
	Started                = "started"
	Stopped                = "stopped"
	Leaving                = "leaving"
	SettingsApplied        = "settings applied"
	FlowPlaced             = "flow placed"
	FlowMoved              = "flow moved before opening"
	FlowRefused            = "flow refused"
	FlowReset              = "flow reset"
	PacketDropped          = "packet dropped"
	BackendAdded           = "back end added"
	BackendDraining        = "back end draining"
	BackendRemoved         = "back end gone"
	ZoneEvacuated          = "zone evacuated"
	ZoneRestored           = "zone restored"
	BackendSuspect         = "back end doubted"
	BackendSilent          = "back end suspected"
	BackendDown            = "back end lost"
	BackendRequestFailures = "back end leaves requests unanswered"
	BackendResponding      = "back end answers again"
	StoreUnreachable       = "store lost"
	StoreReachable         = "store regained"
)

// maxLineBytes is the maximum length of a line. Read fails on a longer one.
const maxLineBytes = 1 << 20

// ReadFiles reads the named files and returns their lines sorted by time, then by balancer,
// and the number of skipped lines. It reads stdin for the name "-" or if names is empty.
func ReadFiles(names []string, stdin io.Reader) (lines []Line, skipped int, err error) {
	if len(names) == 0 {
		names = []string{"-"}
	}
	for _, name := range names {
		fileLines, fileSkipped, err := readFile(name, stdin)
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, fileLines...)
		skipped += fileSkipped
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) })
	return lines, skipped, nil
}

func readFile(name string, stdin io.Reader) ([]Line, int, error) {
	if name == "-" {
		return Read(stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer file.Close()
	return Read(file)
}

// gzipMagic is the signature at the start of a gzip file.
var gzipMagic = []byte{0x1f, 0x8b}

// Read returns the lines of in, plain or gzip, in their original order, and the number of
// lines that are not log lines of a balancer.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	buffered := bufio.NewReader(in)
	var text io.Reader = buffered
	if magic, _ := buffered.Peek(len(gzipMagic)); bytes.Equal(magic, gzipMagic) {
		if text, err = gzip.NewReader(buffered); err != nil {
			return nil, 0, err
		}
	}
	scanner := bufio.NewScanner(text)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var line Line
		object := bytes.IndexByte(scanner.Bytes(), '{')
		if object < 0 || json.Unmarshal(scanner.Bytes()[object:], &line) != nil || line.Node == "" || line.At.IsZero() {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}
