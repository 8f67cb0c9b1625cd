package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of faults that consist of a series of actions.
const (
	// StopTwice sends SIGTERM twice, StopKilled sends SIGKILL while the process stops, and
	// StopPaused sends SIGTERM to a suspended process.
	StopTwice  Kind = "stop-twice"
	StopKilled Kind = "stop-killed"
	StopPaused Kind = "stop-paused"
	// StopAfterStart repeatedly stops a process shortly after its start.
	StopAfterStart Kind = "start-stopped"
	// RollingRestart restarts all balancers one after another, several of them at a time.
	RollingRestart Kind = "roll"
	// ReloadSeries sends SIGHUP several times in quick succession, together with an edit.
	ReloadSeries Kind = "reload-series"
	// PeersDisordered duplicates and reorders datagrams from other balancers.
	PeersDisordered Kind = "peers-disordered"
	// ServerFlapped repeatedly drains a server and takes it back within one renewal interval of
	// its entry.
	ServerFlapped Kind = "server-flapped"
	// InputHostile sends malformed input to every port.
	InputHostile Kind = "input-hostile"
)

// SeriesKinds are all kinds of series. Their order is part of each seed's schedule.
var SeriesKinds = []Kind{StopTwice, StopKilled, StopPaused, StopAfterStart, RollingRestart, ReloadSeries, PeersDisordered, ServerFlapped, InputHostile}

const (
	// overlapMeanFaultGap is the mean time between two faults. It is shorter than a typical
	// fault, so that several faults are active at once.
	overlapMeanFaultGap = 600 * time.Millisecond
	// overlapPhaseDuration is the length of a phase with faults, overlapQuietDuration that of
	// the quiet period after it.
	overlapPhaseDuration = 30 * time.Second
	overlapQuietDuration = 12 * time.Second
	// overlapSeed seeds the random sequence of overlapping schedules.
	overlapSeed = 1 << 36
)

// GenerateOverlappingSchedule returns the schedule of a seed in which faults overlap, sorted
// by time. Equal arguments give equal schedules.
func GenerateOverlappingSchedule(seed uint64, length time.Duration, balancers int) []Event {
	rng := rand.New(rand.NewPCG(seed, overlapSeed+uint64(balancers)))
	// Repetition makes series about as frequent as single faults.
	kinds := slices.Concat(Kinds, SeriesKinds, SeriesKinds, SeriesKinds)
	var events []Event
	add := func(at time.Duration, kind Kind) {
		events = append(events, Event{
			At: at.Round(time.Millisecond), Kind: kind, Balancer: rng.IntN(balancers),
			For: (minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))).Round(time.Millisecond),
		})
	}
	for phase := faultFreeStart; phase < length-faultFreeEnd; phase += overlapPhaseDuration + overlapQuietDuration {
		end := min(phase+overlapPhaseDuration, length-faultFreeEnd)
		for at := phase; at < end; at += time.Duration(rng.Int64N(int64(2 * overlapMeanFaultGap))) {
			add(at, kinds[rng.IntN(len(kinds))])
		}
		for _, kind := range quietKinds {
			add(end+time.Duration(rng.Int64N(int64(overlapQuietDuration/4))), kind)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}
