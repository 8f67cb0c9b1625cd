package directory

import (
	"net/netip"
	"time"

	"gaugeyard/internal/settings"
)

// Backend is one server that announced itself, by one start of it.
type Backend struct {
	// ID names the server; most announce another one with each start.
	ID settings.BackendID
	// Born tells starts under one ID apart.
	Born Birth
	// Group is the name that back-end groups discover.
	Group   string
	Zone    string
	Address netip.AddrPort
	// Slots is how many requests it runs at once.
	Slots int
	// Draining back ends keep their flows and get no new one.
	Draining bool
	// WarmUp is how much longer the back end is slow, from when it announced so.
	WarmUp time.Duration
}

// Record is a back end with the store's revision of its entry.
type Record struct {
	Backend  Backend
	Revision uint64
}

// Listing is everything that the store held. Entries may be newer than Revision,
// since the pages of a listing are no snapshot; the changes after Revision repeat them.
type Listing struct {
	Revision uint64
	// Settings is nil while operators have written none.
	Settings *Settings
	// Prepared is Settings prepared beforehand, nil where they were not.
	Prepared *Prepared `msgpack:"-"`
	Records  Records
	// Evacuations are what operators said of zones; a zone that is not named takes flows.
	Evacuations []Evacuation
	// Unusable are back ends whose entries are there and name no server to use.
	Unusable []Gone
	// Departed are back ends that are gone and may still serve flows; only
	// listings from other balancers have any.
	Removed Records `msgpack:"Departed"`
	// Told is set in what another balancer tells, and Lapsed are those of Departed whose entries
	// vanished in an outage of the store by what that one knows.
	Told    bool                 `msgpack:"Told"`
	Expired []settings.BackendID `msgpack:"Lapsed"`
	// Missing are back ends that were there before an outage took their entries, by what a snapshot says.
	Missing []Record `msgpack:"-"`
}

// Changes is what was written after an earlier revision, in order.
type Changes struct {
	// Revision is up to where the changes are complete.
	Revision uint64
	// Settings is the newest version among the changes, nil for none.
	Settings *Settings
	// Step stands in place of Settings where the one who asked has its base.
	Step *Step
	// Prepared is Settings or Step prepared beforehand, nil where they were not.
	Prepared *Prepared `msgpack:"-"`
	Records  Records
	Gone     []Gone `msgpack:"Gone"`
	// Unusable are back ends whose entries are there and name no server to use.
	Unusable []Gone
	// Evacuations are what operators said of zones, the newest word on each last.
	Evacuations []Evacuation
	// Told and Lapsed are as in a Listing, of Gone.
	Told    bool                 `msgpack:"Told"`
	Expired []settings.BackendID `msgpack:"Lapsed"`
}

// Count is how many entries the changes are of.
func (c *Changes) Count() int {
	return len(c.Records) + len(c.Gone) + len(c.Unusable) + len(c.Evacuations)
}

// Gone tells that the entry of a back end vanished, or names no server to use any more.
type Gone struct {
	ID       settings.BackendID
	Revision uint64
}

// Transition names one change of what this balancer believes, for the log.
type Transition string

// The transitions.
const (
	SettingsApplied  Transition = "settings applied"
	SettingsRefused  Transition = "settings refused"
	BackendAdded     Transition = "back end added"
	BackendDraining  Transition = "back end draining"
	BackendReturned  Transition = "back end returned"
	BackendGone      Transition = "back end gone"
	BackendRestarted Transition = "back end started anew"
	BackendUnusable  Transition = "back end entry unusable"
	ZoneEvacuated    Transition = "zone evacuated"
	ZoneRestored     Transition = "zone restored"
)

// Event is one transition with what it is about.
type Event struct {
	Transition Transition
	// Backend is set where the transition is of a back end. It is read-only.
	Backend *Backend
	// Zone is set where it is of a zone.
	Zone string
	// Revision is the store's revision that decided.
	Revision uint64
	// Version is the operators' version, for settings.
	Version uint64
	// Err says why settings were refused.
	Err error
}
