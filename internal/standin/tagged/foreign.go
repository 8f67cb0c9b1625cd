package tagged

import (
	"fmt"
	"net/netip"
	"strings"
)

// foreignEntries are invalid entries of another writer below the servers' prefix.
var foreignEntries = map[string]any{
	"servers/":                    "no identifier",
	"servers/i-nothing":           entry{Service: feedService, Address: "127.0.0.1:9", Zone: "a", Version: "v1", Capacity: 2, State: stateReady},
	"servers/i-00000000f0000001":  entry{Service: feedService, Zone: "a", Version: "v1", Capacity: 2, State: stateReady},
	"servers/i-00000000f0000002":  entry{Service: feedService, Address: "127.0.0.1:9", Zone: "a", Version: "v1", Capacity: 2, State: "resting"},
	"servers/i-00000000f0000003":  []int{1, 2, 3},
	"servers/i-00000000f0000004":  map[string]any{"service": 7, "address": true},
	"servers/i-ffffffffffffffff0": entry{Service: feedService, Address: "127.0.0.1:9", Zone: "a", Version: "v1", Capacity: 2, State: stateReady},
}

// nestingDepth is deeper than decoders of JSON accept.
const nestingDepth = 20_000

// foreignTexts are entries that are nested deeply, or whose values are out of range.
var foreignTexts = map[string]string{
	"servers/i-00000000f0000005": strings.Repeat("[", nestingDepth) + strings.Repeat("]", nestingDepth),
	"servers/i-00000000f0000006": foreignText(feedService, "127.0.0.1:9", "2", `,"extra":`+strings.Repeat(`{"a":`, nestingDepth)+"1"+strings.Repeat("}", nestingDepth)),
	"servers/i-00000000f0000007": foreignText(feedService, "127.0.0.1:9", "1e400", ""),
	"servers/i-00000000f0000008": foreignText(feedService, "127.0.0.1:9", strings.Repeat("9", nestingDepth), ""),
	"servers/i-00000000f0000009": foreignText(feedService, "127.0.0.1:65536", "2", ""),
	"servers/i-00000000f000000a": foreignText(feedService, "127.0.0.1:0", "2", ""),
	"servers/i-00000000f000000b": foreignText(feedService, "[::1]:9", "2", ""),
	"servers/i-0":                foreignText(feedService, "127.0.0.1:9", "2", ""),
}

// foreignText returns an entry with a capacity and more fields as they are.
func foreignText(service, address, capacity, more string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","capacity":%s,"state":%q,"warmupLeftMs":0,"callSeq":1%s}`,
		service, address, capacity, stateReady, more)
}

// foreignService is a service that no configuration names, and foreignID the first identifier of its entries.
const (
	foreignService = "audit"
	foreignID      = 0xf1000000
)

// WriteForeignEntries writes the foreign entries to the store, and valid ones of a service that no configuration
// names at the addresses of all servers.
func (w *World) WriteForeignEntries() {
	for key, value := range foreignEntries {
		w.store.Put(key, value)
	}
	for key, text := range foreignTexts {
		w.store.PutRaw(key, []byte(text))
	}
	w.mutex.Lock()
	var addresses []netip.AddrPort
	for _, s := range w.servers {
		addresses = append(addresses, s.address)
	}
	w.mutex.Unlock()
	for i, address := range addresses {
		w.store.PutRaw(fmt.Sprintf("servers/i-%x", foreignID+i), []byte(foreignText(foreignService, address.String(), "2", "")))
	}
	w.logf("another writer puts %d invalid entries under the servers' prefix, and %d at addresses of servers", len(foreignEntries)+len(foreignTexts), len(addresses))
}
