package directory

import (
	"net/netip"
	"slices"
	"time"

	"gaugeyard/internal/settings"
)

// A back end announces itself again and again, and its entry vanishes after some silence. While the
// store is away nobody can write there, so entries of sound back ends vanish as well and are back in a
// moment. Those that are back first must not take the work of all: a lapsed back end is departed, and
// may take new flows for a short time after the store's return.
const (
	// missingPart is for which part of the contact bound nobody had heard of the store before its
	// return, for that to have been an outage: by the ages that balancers in touch keep, beliefs are
	// 0.58 of the bound old at most.
	minOutageFraction = 0.75
	// returnTime is within what time of the store's return entries of sound back ends are back.
	maxReturnWindow = 2 * time.Second
	// returnPart is which part of the drain bound that is at most: a back end that left just as the
	// store returned takes no flow after the bound, though balancers heard of the return later.
	returnWindowFraction = 0.6
)

// Lapse bounds the belief in back ends whose entries vanished in an outage. The zero value is none.
type ExpiryBounds struct {
	// Missing is for how long the store had confirmed nothing, at least.
	MinOutage time.Duration
	// Window is how long after the store's return the belief lasts.
	Window time.Duration
}

// LapseWithin returns what the platform's bounds allow.
func LapseWithin(contact, drain time.Duration) ExpiryBounds {
	return ExpiryBounds{
		MinOutage: time.Duration(minOutageFraction * float64(contact)),
		Window:    min(maxReturnWindow, time.Duration(returnWindowFraction*float64(drain))),
	}
}

// EndsInTime tells whether the belief, taken up by a process that has run for up, ends within the contact bound
// of its start: until then it need not be in touch.
func (l ExpiryBounds) EndsInTime(up, contact time.Duration) bool { return up+l.Window <= contact }

// storeReturn is the end of the last outage of the store that is known here.
type storeReturn struct {
	known bool
	at    time.Duration
}

// SetLapse changes the bounds of the belief in lapsed back ends.
func (d *Directory) SetLapse(bounds ExpiryBounds) { d.expiryBounds = bounds }

// NoteConfirmed notes that the store confirmed age ago what is believed, where the confirmation before
// is old by now. It tells whether that was the end of an outage. What vanishes from then on, or came
// with it, lapsed. Call it before what came with the confirmation is applied.
func (d *Directory) NoteConfirmed(now, age, old time.Duration) bool {
	if d.revision == 0 || d.expiryBounds.Window == 0 || old-age < d.expiryBounds.MinOutage {
		return false
	}
	if d.lastReturn.known && d.lastReturn.at > now-old {
		// A listing that began after this outage did not end, so that nothing has been confirmed since.
		return false
	}
	return d.startReturnWindow(now - age)
}

// HearReturn takes over from another balancer that the store returned at a time. Call it before
// what that one told is applied. It tells whether the return is news.
func (d *Directory) HearReturn(at time.Duration) bool { return d.startReturnWindow(at) }

// IsLapsed tells whether the back end lapsed in the last outage.
func (d *Directory) IsLapsed(id settings.BackendID) bool { return d.removed[id].usableUntil > 0 }

// noteReturn begins the time of a return that is not known yet; others saw the same return at about the
// same time, and the belief must not last longer each time that it is told.
func (d *Directory) startReturnWindow(at time.Duration) bool {
	if d.lastReturn.known && at < d.lastReturn.at+d.expiryBounds.MinOutage {
		return false
	}
	d.lastReturn = storeReturn{known: true, at: at}
	clear(d.expired)
	return true
}

// ReturnAge is how long ago the store returned from an outage, while back ends may be lapsed.
func (d *Directory) ReturnAge(now time.Duration) (age time.Duration, returning bool) {
	return now - d.lastReturn.at, d.inReturnWindow(now)
}

// SinceReturn is how long ago the store returned from the last outage that is known here.
func (d *Directory) SinceReturn(now time.Duration) (age time.Duration, known bool) {
	return now - d.lastReturn.at, d.lastReturn.known
}

// returning tells whether back ends may be lapsed.
func (d *Directory) inReturnWindow(now time.Duration) bool {
	return d.lastReturn.known && now < d.returnWindowEnd()
}

// lapsedUntil is when lapsed back ends of the last outage are no longer believed in.
func (d *Directory) returnWindowEnd() time.Duration { return d.lastReturn.at + d.expiryBounds.Window }

// lapseAll takes those back ends for lapsed that are gone, were not draining, and that were the last to
// announce their address.
func (d *Directory) markExpired(now time.Duration, ids []settings.BackendID) {
	if len(ids) == 0 || !d.inReturnWindow(now) {
		return
	}
	vanished := make(map[settings.BackendID]bool, len(ids))
	for _, id := range ids {
		vanished[id] = true
	}
	for address, id := range d.lastAnnouncedAt(ids) {
		left := d.removed[id]
		if !vanished[id] || left.Backend.Draining {
			continue
		}
		d.clearExpiredAt(address)
		d.expired[address] = id
		left.usableUntil = d.returnWindowEnd()
		d.removed[id] = left
		d.changed[id] = true
	}
}

// lastAt returns, of the addresses of the back ends that no live one has, which of those that are gone
// announced itself there last: the ones before it have ended, and may have been of another service.
func (d *Directory) lastAnnouncedAt(ids []settings.BackendID) map[netip.AddrPort]settings.BackendID {
	last := make(map[netip.AddrPort]settings.BackendID, len(ids))
	for _, id := range ids {
		if left, gone := d.removed[id]; gone {
			last[left.Backend.Address] = id
		}
	}
	for _, known := range d.live {
		delete(last, known.member.Address)
	}
	for id, left := range d.removed {
		if current, asked := last[left.Backend.Address]; asked && left.announcedRevision > d.removed[current].announcedRevision {
			last[left.Backend.Address] = id
		}
	}
	return last
}

// believeMissing takes back ends that this balancer has never known for lapsed. The store has just
// returned, as far as one can tell that knew nothing before.
func (d *Directory) addMissing(now time.Duration, missing []Record) {
	if len(missing) == 0 {
		return
	}
	d.startReturnWindow(now)
	var ids []settings.BackendID
	for _, record := range missing {
		id := record.Backend.ID
		_, live := d.live[id]
		if _, gone := d.removed[id]; !live && !gone {
			ids = append(ids, id)
			d.addRemoved(now, record)
		}
	}
	d.markExpired(now, ids)
}

// endLapseAt ends the belief in a lapsed back end whose address another back end announces.
func (d *Directory) clearExpiredAt(address netip.AddrPort) {
	id, lapsed := d.expired[address]
	if !lapsed {
		return
	}
	delete(d.expired, address)
	if left, gone := d.removed[id]; gone {
		left.usableUntil = 0
		d.removed[id] = left
		d.changed[id] = true
	}
}

// lapsedNow returns the lapsed back ends, for other balancers, which compare no ages of their own.
func (d *Directory) expiredSince(after uint64) []settings.BackendID {
	var ids []settings.BackendID
	for _, id := range d.expired {
		if left, gone := d.removed[id]; gone && left.Revision > after {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
