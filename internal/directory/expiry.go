package directory

import (
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/settings"
)

// A back end renews its entry regularly, and the entry expires without renewal. While the store is unavailable,
// entries of healthy back ends expire too, and are written again soon after the store returns. Until then an
// expired back end may still take new flows, so that those that announce themselves first are not overloaded.
const (
	// minOutageFraction is the shortest time without a confirmation from the store that counts as an outage, as
	// a fraction of the contact bound. Without an outage the known state is at most 0.58 of the bound old.
	minOutageFraction = 0.75
	// maxReturnWindow is the time after the store's return within which healthy back ends renew their entries.
	maxReturnWindow = 2 * time.Second
	// returnWindowFraction limits the window to a fraction of the drain bound: a back end that left just as the
	// store returned must take no flow after the bound, even if balancers learned of the return later.
	returnWindowFraction = 0.6
)

// ExpiryBounds limits the use of back ends whose entries expired in an outage of the store. With the zero value
// they are not used.
type ExpiryBounds struct {
	// MinOutage is the shortest time without a confirmation from the store that counts as an outage.
	MinOutage time.Duration
	// Window is how long after the store's return expired back ends may take new flows.
	Window time.Duration
}

// ExpiryBoundsFor returns the bounds that follow from the contact and drain bounds.
func ExpiryBoundsFor(contact, drain time.Duration) ExpiryBounds {
	return ExpiryBounds{
		MinOutage: time.Duration(minOutageFraction * float64(contact)),
		Window:    min(maxReturnWindow, time.Duration(returnWindowFraction*float64(drain))),
	}
}

// EndsInTime reports whether the window, begun by a process that has run for uptime, ends within the contact
// bound of its start. Until then the process need not be in contact.
func (b ExpiryBounds) EndsInTime(uptime, contact time.Duration) bool {
	return uptime+b.Window <= contact
}

// storeReturn is the end of the last known outage of the store.
type storeReturn struct {
	known bool
	at    time.Duration
}

// SetExpiryBounds sets the bounds for the use of expired back ends.
func (d *Directory) SetExpiryBounds(bounds ExpiryBounds) { d.expiryBounds = bounds }

// DetectStoreReturn takes a confirmation of the known state by the store, age before now, where the previous
// confirmation was staleness before now. It reports whether this was the end of an outage. Back ends whose
// removal comes with this confirmation or within the window after it count as expired. Call it before applying
// what came with the confirmation.
func (d *Directory) DetectStoreReturn(now, age, staleness time.Duration) bool {
	if d.revision == 0 || d.expiryBounds.Window == 0 || staleness-age < d.expiryBounds.MinOutage {
		return false
	}
	if d.lastReturn.known && d.lastReturn.at > now-staleness {
		// A listing begun after this outage did not complete, so nothing has been confirmed since.
		return false
	}
	return d.startReturnWindow(now - age)
}

// ReceiveStoreReturn takes the time of the store's return from another balancer, and reports whether it was
// not known. Call it before applying what that balancer sent.
func (d *Directory) ReceiveStoreReturn(at time.Duration) bool { return d.startReturnWindow(at) }

// IsExpired reports whether the entry of the back end expired in the last outage.
func (d *Directory) IsExpired(id settings.BackendID) bool { return d.removed[id].usableUntil > 0 }

// startReturnWindow starts the window of a return of the store and reports whether it was not known. Other
// balancers see the same return at about the same time, and their reports must not extend the window.
func (d *Directory) startReturnWindow(at time.Duration) bool {
	if d.lastReturn.known && at < d.lastReturn.at+d.expiryBounds.MinOutage {
		return false
	}
	d.lastReturn = storeReturn{known: true, at: at}
	clear(d.expired)
	return true
}

// ReturnAge returns the time since the store returned from an outage, and whether back ends may still count as
// expired.
func (d *Directory) ReturnAge(now time.Duration) (age time.Duration, inWindow bool) {
	return now - d.lastReturn.at, d.inReturnWindow(now)
}

// SinceReturn returns the time since the store returned from the last known outage.
func (d *Directory) SinceReturn(now time.Duration) (age time.Duration, known bool) {
	return now - d.lastReturn.at, d.lastReturn.known
}

// inReturnWindow reports whether back ends may count as expired.
func (d *Directory) inReturnWindow(now time.Duration) bool {
	return d.lastReturn.known && now < d.returnWindowEnd()
}

// returnWindowEnd is the time until which back ends that expired in the last outage may take new flows.
func (d *Directory) returnWindowEnd() time.Duration { return d.lastReturn.at + d.expiryBounds.Window }

// markExpired marks those of the back ends as expired that are removed, were not draining, and were the last to
// announce their address.
func (d *Directory) markExpired(now time.Duration, ids []settings.BackendID) {
	if len(ids) == 0 || !d.inReturnWindow(now) {
		return
	}
	candidates := make(map[settings.BackendID]bool, len(ids))
	for _, id := range ids {
		candidates[id] = true
	}
	for address, id := range d.lastAnnouncedAt(ids) {
		removed := d.removed[id]
		if !candidates[id] || removed.Backend.Draining {
			continue
		}
		d.clearExpiredAt(address)
		d.expired[address] = id
		removed.usableUntil = d.returnWindowEnd()
		d.removed[id] = removed
		d.changed[id] = true
	}
}

// lastAnnouncedAt returns, for each address of the back ends that no live back end has, the removed back end
// that announced it last. Those that announced it earlier have ended and may have been of another service.
func (d *Directory) lastAnnouncedAt(ids []settings.BackendID) map[netip.AddrPort]settings.BackendID {
	last := make(map[netip.AddrPort]settings.BackendID, len(ids))
	for _, id := range ids {
		if removed, found := d.removed[id]; found {
			last[removed.Backend.Address] = id
		}
	}
	for id, removed := range d.removed {
		if current, found := last[removed.Backend.Address]; found && d.announcedAfter(&removed, d.removed[current]) {
			last[removed.Backend.Address] = id
		}
	}
	for _, known := range d.live {
		address := known.member.Address
		if id, found := last[address]; found && d.mayReplace(known.member.Group, d.removed[id].Backend.Group) {
			delete(last, address)
		}
	}
	return last
}

// announcedAfter reports whether a removed back end announced its address after another one, as far as the
// entries of the two may tell.
func (d *Directory) announcedAfter(removed *removedBackend, other removedBackend) bool {
	if !d.mayReplace(removed.Backend.Group, other.Backend.Group) {
		return false
	}
	return !d.mayReplace(other.Backend.Group, removed.Backend.Group) || removed.announcedRevision > other.announcedRevision
}

// mayReplace reports whether an entry of one group may show that a back end of another one has ended. An entry
// that no service of the settings in force uses may be of another writer, and does not show it of one in use.
func (d *Directory) mayReplace(group, other string) bool {
	return d.resolved == nil || d.resolved.Discovers(group) || !d.resolved.Discovers(other)
}

// addMissing adds back ends that this balancer has never known and marks them as expired. Only a balancer that
// has just started gets them, so the store counts as just returned.
func (d *Directory) addMissing(now time.Duration, missing []Record) {
	if len(missing) == 0 {
		return
	}
	d.startReturnWindow(now)
	var ids []settings.BackendID
	for _, record := range missing {
		id := record.Backend.ID
		_, live := d.live[id]
		if _, removed := d.removed[id]; !live && !removed {
			ids = append(ids, id)
			d.addRemoved(now, record)
		}
	}
	d.markExpired(now, ids)
}

// replaceExpired ends the use of an expired back end whose address another back end announces.
func (d *Directory) replaceExpired(by *Backend) {
	if id, expired := d.expired[by.Address]; expired && d.mayReplace(by.Group, d.removed[id].Backend.Group) {
		d.clearExpiredAt(by.Address)
	}
}

// clearExpiredAt ends the use of the expired back end of an address, if there is one.
func (d *Directory) clearExpiredAt(address netip.AddrPort) {
	id, expired := d.expired[address]
	if !expired {
		return
	}
	delete(d.expired, address)
	if removed, found := d.removed[id]; found {
		removed.usableUntil = 0
		d.removed[id] = removed
		d.changed[id] = true
	}
}

// expiredSince returns the expired back ends that were removed after a revision, in order of identifier. Other
// balancers take them over and do not compare ages of their own.
func (d *Directory) expiredSince(after uint64) []settings.BackendID {
	var ids []settings.BackendID
	for _, id := range d.expired {
		if removed, found := d.removed[id]; found && removed.Revision > after {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
