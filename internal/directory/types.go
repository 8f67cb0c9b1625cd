package directory

import (
	"net/netip"
	"time"

	"gaugeyard/internal/settings"
)

// Backend is a server that announced itself, as of one start of it.
type Backend struct {
	// ID identifies the server. Most servers announce another one with each start.
	ID settings.BackendID
	// StartTime distinguishes starts with the same ID.
	StartTime StartTime
	// Group is the name by which back-end groups discover the server.
	Group   string
	Zone    string
	Address netip.AddrPort
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining back ends keep their flows and get no new ones.
	Draining bool
	// WarmUp is the remaining warm-up time when the entry was written.
	WarmUp time.Duration
}

// Record is a back end and the store's revision of its entry.
type Record struct {
	Backend  Backend
	Revision uint64
}

// Listing is the whole content of the store. Entries may be newer than Revision, since
// the pages of a listing are not a snapshot; the changes after Revision repeat them.
type Listing struct {
	Revision uint64
	// Settings is nil if operators have written none.
	Settings *Settings
	// Prepared is Settings prepared in advance, nil if they were not.
	Prepared *Prepared `msgpack:"-"`
	Records  Records
	// Evacuations are the operators' evacuations; a zone without one takes flows.
	Evacuations []Evacuation
	// Unusable are back ends whose entries exist but name no usable server.
	Unusable []Removal
	// Removed are removed back ends that may still serve flows. Only listings from other
	// balancers have any.
	Removed Records `msgpack:"Departed"`
	// FromPeer is set if another balancer sent the listing. Expired are those of Removed whose entries
	// expired in an outage of the store as known to that balancer.
	FromPeer bool                 `msgpack:"Told"`
	Expired  []settings.BackendID `msgpack:"Lapsed"`
	// Missing are back ends that a snapshot has and whose entries expired in an outage.
	Missing []Record `msgpack:"-"`
}

// Changes are the writes after an earlier revision, in order.
type Changes struct {
	// Revision is the store's revision up to which the changes are complete.
	Revision uint64
	// Settings is the newest version among the changes, nil if there is none.
	Settings *Settings
	// Step replaces Settings if the receiver has its base.
	Step *Step
	// Prepared is Settings or Step prepared in advance, nil if they were not.
	Prepared *Prepared `msgpack:"-"`
	Records  Records
	Removed  []Removal `msgpack:"Gone"`
	// Unusable are back ends whose entries exist but name no usable server.
	Unusable []Removal
	// Evacuations are the operators' evacuations, the newest of each zone last.
	Evacuations []Evacuation
	// FromPeer and Expired are as in a Listing; Expired are some of Removed.
	FromPeer bool                 `msgpack:"Told"`
	Expired  []settings.BackendID `msgpack:"Lapsed"`
}

// Count returns the number of changed entries, without settings.
func (c *Changes) Count() int {
	return len(c.Records) + len(c.Removed) + len(c.Unusable) + len(c.Evacuations)
}

// Removal states that the entry of a back end was removed, or no longer names a usable server.
type Removal struct {
	ID       settings.BackendID
	Revision uint64
}

// Transition names a change of the known state, for the log.
type Transition string

// The transitions.
const (
	SettingsApplied  Transition = "settings applied"
	SettingsRejected Transition = "settings refused"
	BackendAdded     Transition = "back end added"
	BackendDraining  Transition = "back end draining"
	BackendReturned  Transition = "back end returned"
	BackendRemoved   Transition = "back end gone"
	BackendRestarted Transition = "back end started anew"
	BackendUnusable  Transition = "back end entry unusable"
	ZoneEvacuated    Transition = "zone evacuated"
	ZoneRestored     Transition = "zone restored"
)

// Event is a transition and its subject.
type Event struct {
	Transition Transition
	// Backend is set for transitions of a back end. It is read-only.
	Backend *Backend
	// Zone is set for transitions of a zone.
	Zone string
	// Revision is the store's revision that caused the transition.
	Revision uint64
	// Version is the operators' version, for settings.
	Version uint64
	// Err is why settings were rejected.
	Err error
}
