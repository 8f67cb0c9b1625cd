package emulator

import (
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/settings"
)

const (
	// serviceUnnamed is a service that no configuration names.
	serviceUnnamed = "audit"
	// foreignLead is how long foreign entries exist before the servers at their addresses leave.
	foreignLead = 2 * time.Second
)

// foreignEntries lets a third of the feed servers leave without saying so, while another writer has
// entries of a service at their addresses.
func foreignEntries(service string) func(*world) {
	return func(w *world) {
		w.At(faultStart, func() {
			for _, s := range w.randomThird() {
				w.writeForeign(service, s)
				w.addServer(s.service, s.zone)
				w.After(foreignLead, func() { s.leave(true) })
			}
		})
	}
}

// writeForeign writes an entry at the address of a server, again and again.
func (w *world) writeForeign(service string, at *server) {
	backend := directory.Backend{
		ID: settings.BackendID(w.Random.Uint64() >> 24), Group: service, Zone: at.zone, Address: at.address, Slots: serverSlots,
	}
	w.store.write(backend)
	w.Every(heartbeatInterval, func() { w.store.write(backend) })
}
