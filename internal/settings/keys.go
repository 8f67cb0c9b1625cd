// Package settings holds the operators' settings tree: services, zones, back-end
// groups and back ends. Each child inherits its parent's values and overrides only
// what differs. The package parses, validates, resolves and compares trees. It does
// no input or output.
//
// A Tree has the values that nodes themselves set, in canonical form. A Snapshot is a
// tree with the effective values of every node. Trees are not modified in place once
// they are in force: With returns a changed copy that shares unchanged nodes, and nodes
// may share their Values. ValidateFrom and ResolveFrom process only what changes affect.
//
// # Usage
//
//	tree, errs := settings.Parse(document)
//	snapshot := settings.Resolve(tree, revision)
//	changes := settings.Diff(tree, next)
//	next, err := tree.With(changes)
//	errs = next.ValidateFrom(snapshot, changes)
//	snapshot = settings.ResolveFrom(snapshot, next, revision, changes)
//
// Advance combines the last three steps, in batches between which the caller can do other work:
//
//	snapshot, err = settings.Advance(snapshot, revision, changes, pause)
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Key names one setting.
type Key string

// The settings of the tree.
const (
	KeyAddress         Key = "address"
	KeyBackendsFrom    Key = "backends_from"
	KeyState           Key = "state"
	KeyEvacuated       Key = "evacuated"
	KeyLoadAddress     Key = "load_address"
	KeyWeight          Key = "weight"
	KeySlots           Key = "slots"
	KeyConnections     Key = "connections"
	KeyQueueFactor     Key = "queue_factor"
	KeyRequestDeadline Key = "request_deadline"
	KeyRequestLifetime Key = "request_lifetime"
	KeyRepeatable      Key = "repeatable"
	KeyRetryBudget     Key = "retry_budget"
	KeyFlowIdle        Key = "flow_idle"
	KeySlowStart       Key = "slow_start"
	KeyDrainTime       Key = "drain_time"
	KeyLoadFactor      Key = "load_factor"
	KeyRefusalRetry    Key = "refusal_retry"
	KeyMaxDatagram     Key = "max_datagram"
	KeyDiscover        Key = "discover"
	KeyShare           Key = "share"
	KeyWarmUpRate      Key = "warm_up_rate"
)

// MaxShare is the largest value of KeyShare.
const MaxShare = 1000000

// Level is the depth of a node in the tree.
type Level int

// The levels, from the root down.
const (
	LevelRoot Level = iota
	LevelService
	LevelZone
	LevelGroup
	LevelBackend
	levelCount
)

// String returns the level's name as used in messages.
func (l Level) String() string {
	return [...]string{"root", "service", "zone", "group", "backend"}[l]
}

// childrenKey is the YAML key under which a node of the level lists its children.
func (l Level) childrenKey() string {
	return [...]string{"services", "zones", "groups", "backends", ""}[l]
}

// Field describes one setting.
type Field struct {
	Key Key
	// Default is the canonical default value; empty means that there is none.
	Default string
	// First and Last bound the levels at which the setting may be set.
	MinLevel, MaxLevel Level
	// Allowed describes the accepted values, for operators.
	Allowed string
	// Help is one line for the reference page.
	Help   string
	format valueFormat
}

// valueFormat parses the text of a value and returns its canonical form.
type valueFormat interface {
	// canonical returns an error if the value is not allowed.
	canonical(text string) (string, error)
	// nearest is like canonical, but returns the nearest allowed value for one that is out of range.
	nearest(text string) (string, error)
}

// Fields lists every setting in the order of the reference page.
var Fields = []Field{
	{KeyAddress, "", LevelService, LevelBackend, "IP:port", "Where callers reach a service, or where a back end listens.", exactFormat(canonicalAddress)},
	{KeyBackendsFrom, "", LevelService, LevelService, "name of a service", "Uses the zones, groups and back ends of another service.", exactFormat(canonicalName)},
	{KeyState, "active", LevelBackend, LevelBackend, "active or drain", "A back end in drain gets no new flow.", wordFormat("active", "drain")},
	{KeyEvacuated, "false", LevelZone, LevelZone, "true or false", "The back ends of an evacuated zone get no new flow, whatever their state.", wordFormat("true", "false")},
	{KeyLoadAddress, "", LevelBackend, LevelBackend, "IP:port", "Where a back end reports its load over HTTP at /metrics; without it, it reports none.", exactFormat(canonicalAddress)},
	{KeyWeight, "1", LevelBackend, LevelBackend, "0.01 to 100", "Share of new flows relative to the group's other back ends.", floatFormat(0.01, 100)},
	{KeySlots, "2", LevelRoot, LevelBackend, "1 to 4096", "Requests that a back end runs at once.", intFormat(1, 4096)},
	{KeyConnections, "2000", LevelRoot, LevelBackend, "1 to 1000000", "Flows that a back end holds at once, over all balancers.", intFormat(1, 1000000)},
	{KeyQueueFactor, "6", LevelRoot, LevelBackend, "1 to 100", "Requests in flight to a back end over all balancers, as a multiple of its slots.", floatFormat(1, 100)},
	{KeyRequestDeadline, "2s", LevelRoot, LevelService, "10ms to 10m", "Time from a request's arrival until it is given up.", durationFormat(10*time.Millisecond, 10*time.Minute)},
	{KeyRequestLifetime, "45s", LevelRoot, LevelService, "1s to 10m", "Time during which copies of one request may still arrive.", durationFormat(time.Second, 10*time.Minute)},
	{KeyRepeatable, "false", LevelRoot, LevelService, "true or false", "Whether a request may run twice without harm.", wordFormat("true", "false")},
	{KeyRetryBudget, "0.2", LevelRoot, LevelService, "0 to 10", "Retransmissions forwarded, as a share of first transmissions.", floatFormat(0, 10)},
	{KeyFlowIdle, "5m", LevelRoot, LevelService, "1s to 24h", "Time without a datagram after which a flow is forgotten.", durationFormat(time.Second, 24*time.Hour)},
	{KeySlowStart, "10s", LevelRoot, LevelGroup, "0s to 10m", "Time over which a new back end's share grows to full.", durationFormat(0, 10*time.Minute)},
	{KeyDrainTime, "10m", LevelRoot, LevelGroup, "0s to 24h", "Longest time that a draining back end keeps its flows before status calls it overdue.", durationFormat(0, 24*time.Hour)},
	{KeyLoadFactor, "1.05", LevelRoot, LevelService, "1 to 10", "The placement dial: how far above the mean a back end's flows may rise before a new flow leaves its default place. Low evens load; high keeps flows at their defaults.", floatFormat(1, 10)},
	{KeyRefusalRetry, "1s", LevelRoot, LevelService, "1s to 10m", "Time after which a refused caller is told to come back.", durationFormat(time.Second, 10*time.Minute)},
	{KeyDiscover, "", LevelGroup, LevelGroup, "name that servers announce", "The group's back ends are the servers that announce themselves under this name.", exactFormat(canonicalLabel)},
	{KeyShare, "1", LevelGroup, LevelGroup, "0 to 1000000", "Share of the service's new flows relative to its other groups.", floatFormat(0, MaxShare)},
	{KeyWarmUpRate, "0", LevelRoot, LevelGroup, "0 to 1000000", "New flows a second that one of the group's servers gets over all balancers while it announces that it warms up; 0 is no limit.", floatFormat(0, 1000000)},
	{KeyMaxDatagram, "4KiB", LevelRoot, LevelService, "64B to 60KiB", "Largest datagram accepted from a caller or back end.", sizeFormat(64, 60<<10)},
}

// fieldsByKey maps a key to its entry in Fields.
var fieldsByKey = func() map[Key]*Field {
	index := make(map[Key]*Field, len(Fields))
	for i := range Fields {
		index[Fields[i].Key] = &Fields[i]
	}
	return index
}()

// FieldOf returns the description of the key and whether there is one.
func FieldOf(key Key) (Field, bool) {
	field := fieldsByKey[key]
	if field == nil {
		return Field{}, false
	}
	return *field, true
}

// exactFormat is a format without a range: no value is near another.
type exactFormat func(text string) (string, error)

func (f exactFormat) canonical(text string) (string, error) { return f(text) }
func (f exactFormat) nearest(text string) (string, error)   { return f(text) }

// rangeFormat is the format of numbers, durations and sizes between low and high.
type rangeFormat[T cmp.Ordered] struct {
	low, high T
	// parse saturates values that T cannot hold, where it can parse them.
	parse  func(text string) (T, error)
	format func(value T) string
}

func (f rangeFormat[T]) canonical(text string) (string, error) {
	value, err := f.parse(text)
	if err != nil {
		return "", err
	}
	if value < f.low || value > f.high {
		return "", fmt.Errorf("out of range")
	}
	return f.format(value), nil
}

func (f rangeFormat[T]) nearest(text string) (string, error) {
	value, err := f.parse(text)
	if err != nil {
		return "", err
	}
	return f.format(min(max(value, f.low), f.high)), nil
}

func canonicalAddress(text string) (string, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", err
	}
	if address.Port() == 0 {
		return "", fmt.Errorf("port must not be 0")
	}
	var canonical [64]byte
	if string(address.AppendTo(canonical[:0])) == text {
		// Most addresses are already canonical; avoids an allocation for each.
		return text, nil
	}
	return address.String(), nil
}

func canonicalName(text string) (string, error) {
	if !validName(text) {
		return "", fmt.Errorf("invalid name")
	}
	return text, nil
}

func canonicalLabel(text string) (string, error) {
	if text == "" {
		return "", fmt.Errorf("empty")
	}
	return text, nil
}

func wordFormat(words ...string) exactFormat {
	return func(text string) (string, error) {
		if !slices.Contains(words, text) {
			return "", fmt.Errorf("not an allowed value")
		}
		return text, nil
	}
}

func intFormat(low, high int) rangeFormat[int] {
	return rangeFormat[int]{low, high, parseInt, strconv.Itoa}
}

func parseInt(text string) (int, error) {
	value, err := strconv.Atoi(text)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, fmt.Errorf("not a whole number")
	}
	return value, nil
}

func floatFormat(low, high float64) rangeFormat[float64] {
	return rangeFormat[float64]{low, high, parseFloat, formatFloat}
}

func parseFloat(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(value) {
		return 0, fmt.Errorf("not a number")
	}
	return value, nil
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

func durationFormat(low, high time.Duration) rangeFormat[time.Duration] {
	return rangeFormat[time.Duration]{low, high, parseDuration, time.Duration.String}
}

func parseDuration(text string) (time.Duration, error) {
	value, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("not a duration with a unit")
	}
	return value, nil
}

var sizeUnits = []struct {
	suffix string
	bytes  int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

// parseSize parses a size with a unit, such as 4KiB, into bytes.
func parseSize(text string) (int, error) {
	for _, unit := range sizeUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.Atoi(number)
		if err != nil || value > 1<<30 {
			break
		}
		return value * unit.bytes, nil
	}
	return 0, fmt.Errorf("not a size with a unit")
}

func sizeFormat(low, high int) rangeFormat[int] {
	return rangeFormat[int]{low, high, parseSize, formatSize}
}

func formatSize(value int) string {
	if value%(1<<10) == 0 {
		return strconv.Itoa(value>>10) + "KiB"
	}
	return strconv.Itoa(value) + "B"
}
