// Package logs reads what balancers on the platform wrote to standard output, so that a
// failure can be traced afterwards. Lines are JSON objects, one each; whatever stands
// before the object on a line is skipped, since collectors put times and names there, and
// lines without an object are counted and left out. Files may be compressed by gzip.
//
// Times are those of the balancers' own clocks. Clocks of machines differ and may jump,
// so that the order of lines of two balancers is only as good as their clocks.
//
// # Usage
//
//	lines, skipped, err := logs.ReadFiles([]string{"a.log", "b.log.gz"}, os.Stdin)
//	for _, line := range lines { // in order of time
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

// Line is one line of a balancer. Fields that a message does not have are zero.
type Line struct {
	// At is the balancer's time of day.
	At time.Time `json:"@timestamp"`
	// Node is the balancer's name.
	Node    string `json:"@module"`
	Message string `json:"@message"`

	// Caller and Service are the flow, as address:port.
	Caller  string `json:"caller,omitempty"`
	Service string `json:"service,omitempty"`
	// Backend is the identifier of a back end, Before the one that was left.
	Backend string `json:"backend,omitempty"`
	Before  string `json:"before,omitempty"`
	// Address is where the back end listens, Group what it serves.
	Address string `json:"address,omitempty"`
	Group   string `json:"group,omitempty"`
	// Zone is where the back end is, or the zone that operators evacuate or take back.
	Zone   string `json:"zone,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Error is an error as it was written, a text mostly.
	Error json.RawMessage `json:"error,omitempty"`
	// From is who told: the store, or the address of a balancer.
	From string `json:"from,omitempty"`
	// Revision is the store's, Version the operators'.
	Revision uint64 `json:"revision,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	// AgeMs is how old what was told was, SilentMs how long a back end has been
	// silent, ForMs how long it is avoided, in milliseconds.
	AgeMs    int64 `json:"age_ms,omitempty"`
	SilentMs int64 `json:"silent_ms,omitempty"`
	ForMs    int64 `json:"for_ms,omitempty"`
	// Load is that of the chosen back end for each slot, Mean that of the candidates.
	Load       float64 `json:"load,omitempty"`
	Mean       float64 `json:"mean,omitempty"`
	Candidates int     `json:"candidates,omitempty"`
	Spilled    bool    `json:"spilled,omitempty"`
	// Part is the part of its service that a flow went to, and PartReason why: "turn" or "only", or what
	// kept the part from it whose turn it was.
	Part       string `json:"part,omitempty"`
	PartReason string `json:"part_reason,omitempty"`
	Attempt    int    `json:"attempt,omitempty"`
	Count      int    `json:"count,omitempty"`
}

// Messages that readers of logs look for; package edge writes them.
const (
	Started          = "started"
	Stopped          = "stopped"
	Leaving          = "leaving"
	SettingsApplied  = "settings applied"
	FlowPlaced       = "flow placed"
	FlowMoved        = "flow moved before opening"
	FlowRefused      = "flow refused"
	FlowReset        = "flow reset"
	PacketDropped    = "packet dropped"
	BackendAdded     = "back end added"
	BackendDraining  = "back end draining"
	BackendGone      = "back end gone"
	ZoneEvacuated    = "zone evacuated"
	ZoneRestored     = "zone restored"
	BackendDoubted   = "back end doubted"
	BackendSuspected = "back end suspected"
	BackendLost      = "back end lost"
	BackendFaulty    = "back end leaves requests unanswered"
	BackendAnswers   = "back end answers again"
	StoreLost        = "store lost"
	StoreRegained    = "store regained"
)

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// ReadFiles reads the files, and stdin where there are none or one is "-", and returns
// their lines in order of time with how many were skipped.
func ReadFiles(names []string, stdin io.Reader) (lines []Line, skipped int, err error) {
	if len(names) == 0 {
		names = []string{"-"}
	}
	for _, name := range names {
		more, left, err := readFile(name, stdin)
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, more...)
		skipped += left
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

// gzipMagic are the first bytes of gzip.
var gzipMagic = []byte{0x1f, 0x8b}

// Read reads lines as they come, and returns how many were no line of a balancer.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	buffered := bufio.NewReader(in)
	var text io.Reader = buffered
	if magic, _ := buffered.Peek(len(gzipMagic)); bytes.Equal(magic, gzipMagic) {
		if text, err = gzip.NewReader(buffered); err != nil {
			return nil, 0, err
		}
	}
	scanner := bufio.NewScanner(text)
	scanner.Buffer(nil, maxLine)
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
