// Package soak runs balancers as separate processes over loopback for minutes, injects faults
// by a schedule that a seed determines, and checks the rules against what clients and servers
// observe. The platform is the stand-in of package tagged, within the soak's own process. The
// soak starts the balancer processes and is the only one to end them.
//
// The soak does not change the machine's clock. Jumps of the wall clock are tested in the
// emulator.
//
// # Usage
//
//	schedule := soak.GenerateSchedule(seed, 2*time.Minute, 6)
//	result, err := soak.Run(ctx, soak.Options{Seed: seed, Schedule: schedule, Program: path, Network: 90})
//	result.Write(os.Stdout)
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gaugeyard/internal/standin/tagged"
)

// Kind is a kind of fault. Its value appears in results.
type Kind string

// The kinds of single faults. Event.Balancer selects the balancer for those of one balancer.
const (
	// Stop is a planned stop, Kill sends SIGKILL. The process starts again after For.
	Stop Kind = "stop"
	Kill Kind = "kill"
	// KillAll kills all balancers at once.
	KillAll Kind = "kill-all"
	// Pause suspends a process for For.
	Pause Kind = "pause"
	// Reload sends SIGHUP.
	Reload Kind = "reload"
	// Cut drops a balancer's datagrams and makes the store unresponsive to it. CutInward and
	// CutOutward drop datagrams in one direction, Lossy drops some, and Delayed delays them.
	Cut        Kind = "cut"
	CutInward  Kind = "cut-inward"
	CutOutward Kind = "cut-outward"
	Lossy      Kind = "lossy"
	Delayed    Kind = "delayed"
	// PeersCut drops what other balancers send to one, PeersDelayed delays it, and
	// PeersReset resets its connections.
	PeersCut     Kind = "peers-cut"
	PeersDelayed Kind = "peers-delayed"
	PeersReset   Kind = "peers-reset"
	// The following are faults of the store towards one balancer.
	StoreSilent     Kind = "store-silent"
	StoreBusy       Kind = "store-busy"
	StoreThrottling Kind = "store-throttling"
	StoreResetting  Kind = "store-resetting"
	StoreSlow       Kind = "store-slow"
	StoreLosing     Kind = "store-losing"
	// StoreDown makes the store unresponsive to all, StoreCompacted discards its history.
	StoreDown      Kind = "store-down"
	StoreCompacted Kind = "store-compacted"
	// ConnectionsSilent makes all open connections to the store and between balancers
	// unresponsive. New ones work.
	ConnectionsSilent Kind = "connections-silent"
	// ServerReplaced replaces a server that announces its end by its state, ServerQuiet one that
	// only removes its entry, and ServerCrashed one that announces nothing and whose address is
	// taken over by a server of another service.
	ServerReplaced Kind = "server-replaced"
	ServerQuiet    Kind = "server-quiet"
	ServerCrashed  Kind = "server-crashed"
	// ServerRestarted restarts a server under its identifier. EntriesForeign adds entries of
	// another writer.
	ServerRestarted Kind = "server-restarted"
	EntriesForeign  Kind = "entries-foreign"
	// ZoneEvacuated evacuates a zone for evacuationDuration.
	ZoneEvacuated Kind = "zone-evacuated"
	// EntriesExpired makes the store unresponsive to all until the entries of servers expire.
	// They come back one by one after its return.
	EntriesExpired Kind = "entries-lapsed"
	// RouteAdded, RouteDropped, RoutesStorm and RoutesMany are edits by the operators.
	RouteAdded   Kind = "route-added"
	RouteDropped Kind = "route-dropped"
	RoutesStorm  Kind = "routes-storm"
	RoutesMany   Kind = "routes-many"
)

// Kinds are all kinds of single faults. Their order is part of each seed's schedule.
var Kinds = []Kind{
	Stop, Kill, KillAll, Pause, Reload, Cut, CutInward, CutOutward, Lossy, Delayed, PeersCut, PeersDelayed, PeersReset,
	StoreSilent, StoreBusy, StoreThrottling, StoreResetting, StoreSlow, StoreLosing, StoreDown, StoreCompacted,
	ServerReplaced, ServerQuiet, ServerCrashed, RouteAdded, RouteDropped, RoutesStorm, RoutesMany, ConnectionsSilent, ZoneEvacuated,
	EntriesExpired, ServerRestarted, EntriesForeign,
}

// randomKinds are the kinds that a phase chooses from at random. The last five kinds occur a
// fixed number of times per phase, EntriesExpired in every second one, and have their own random
// sequences, so that the other faults of a seed's schedule do not depend on them.
var randomKinds = Kinds[:len(Kinds)-5]

// quietKinds follow each phase. Without other faults, they must take effect within the bounds
// of the timed rules.
var quietKinds = []Kind{RouteAdded, RouteDropped, ServerReplaced, ServerQuiet}

// Event is one fault of a schedule.
type Event struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Balancer is the number of the affected balancer, for kinds that affect one.
	Balancer int `json:"balancer"`
	// For is the duration, for kinds that have one.
	For time.Duration `json:"for"`
}

const (
	// faultFreeStart and faultFreeEnd are periods without faults, so that the run starts in a
	// healthy state and the effects of the last fault can be checked.
	faultFreeStart = 3 * time.Second
	faultFreeEnd   = 8 * time.Second
	// meanFaultGap is the mean time between two faults of a phase.
	meanFaultGap = 1500 * time.Millisecond
	// phaseDuration is the length of a phase with faults, quietDuration that of the quiet
	// period after it: timed rules hold only for balancers that reach the store or a peer.
	phaseDuration = 15 * time.Second
	quietDuration = 16 * time.Second
	// minFaultDuration and maxFaultDuration bound the random duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// silenceSeed seeds the random sequence of ConnectionsSilent.
	silenceSeed = 1 << 32
	// zoneSeed seeds that of ZoneEvacuated, expirySeed that of EntriesExpired.
	zoneSeed   = 1 << 33
	expirySeed = 1 << 34
	// restartSeed seeds that of ServerRestarted and EntriesForeign.
	restartSeed = 1 << 35
	// restartsPerPhase is the number of ServerRestarted events in a phase.
	restartsPerPhase = 3
	// expiryOutage is the duration of EntriesExpired. It exceeds the lifetime of entries that
	// are not renewed.
	expiryOutage = 4500 * time.Millisecond
)

// GenerateSchedule returns the schedule of a seed: phases of faults with quiet periods between
// them, sorted by time. Equal arguments give equal schedules.
func GenerateSchedule(seed uint64, length time.Duration, balancers int) []Event {
	rng, silenceRNG := rand.New(rand.NewPCG(seed, uint64(balancers))), rand.New(rand.NewPCG(seed, silenceSeed))
	restartRNG := rand.New(rand.NewPCG(seed, restartSeed))
	zoneRNG, expiryRNG := rand.New(rand.NewPCG(seed, zoneSeed)), rand.New(rand.NewPCG(seed, expirySeed))
	var events []Event
	for phase, withExpiry := faultFreeStart, false; phase < length-faultFreeEnd; phase, withExpiry = phase+phaseDuration+quietDuration, !withExpiry {
		end := min(phase+phaseDuration, length-faultFreeEnd)
		for at := phase; at < end; at += time.Duration(rng.Int64N(int64(2 * meanFaultGap))) {
			events = append(events, Event{
				At: at.Round(time.Millisecond), Kind: randomKinds[rng.IntN(len(randomKinds))], Balancer: rng.IntN(balancers),
				For: (minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))).Round(time.Millisecond),
			})
		}
		if end > phase {
			at := phase + time.Duration(silenceRNG.Int64N(int64(end-phase)))
			events = append(events, Event{At: at.Round(time.Millisecond), Kind: ConnectionsSilent, For: minFaultDuration})
			at = phase + (end-phase)/2 + time.Duration(zoneRNG.Int64N(int64((end-phase)/2)))
			events = append(events, Event{At: at.Round(time.Millisecond), Kind: ZoneEvacuated, For: minFaultDuration})
		}
		for i := 0; i <= restartsPerPhase && end > phase; i++ {
			kind := ServerRestarted
			if i == restartsPerPhase {
				kind = EntriesForeign
			}
			at := phase + time.Duration(restartRNG.Int64N(int64(end-phase)))
			events = append(events, Event{At: at.Round(time.Millisecond), Kind: kind, For: minFaultDuration})
		}
		if withExpiry && end > phase {
			at := phase + time.Duration(expiryRNG.Int64N(int64(end-phase)))
			events = append(events, Event{At: at.Round(time.Millisecond), Kind: EntriesExpired, For: expiryOutage})
		}
		for _, kind := range quietKinds {
			at := end + time.Duration(rng.Int64N(int64(quietDuration/4)))
			events = append(events, Event{At: at.Round(time.Millisecond), Kind: kind, For: minFaultDuration})
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// storeFaults are the faults of the store towards one balancer.
var storeFaults = map[Kind]tagged.StoreFault{
	StoreSilent: tagged.SilentStore, StoreBusy: tagged.BusyStore, StoreThrottling: tagged.ThrottlingStore,
	StoreResetting: tagged.ResettingStore, StoreSlow: tagged.SlowStore, StoreLosing: tagged.LosingStore,
}

// linkFaults are the faults of a balancer's datagrams.
var linkFaults = map[Kind]tagged.LinkFault{
	Cut: {Inward: true, Outward: true}, CutInward: {Inward: true}, CutOutward: {Outward: true},
	Lossy: {Loss: 0.1}, Delayed: {Delay: 150 * time.Millisecond},
}
