package directory

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gaugeyard/internal/settings"
)

// BenchmarkView builds a view after one change.
func BenchmarkView(b *testing.B) {
	for _, backends := range []int{300, 3000, 130000} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := New(testRetention)
			for i := range backends {
				address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)
				d.live[settings.BackendID(i+1)] = entry{member: &Member{Backend: Backend{
					ID: settings.BackendID(i + 1), Group: fmt.Sprintf("g%d", i/100), Zone: "a", Address: address, Slots: 2,
				}, Tag: TagOf(settings.BackendID(i + 1)), AnnouncedRevision: 1}}
				d.changed[settings.BackendID(i+1)] = true
			}
			view := d.View()
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				d.changed[settings.BackendID(backends/2)] = true
				view = d.View()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(backends), "B/backend")
			runtime.KeepAlive(view)
			runtime.KeepAlive(d)
		})
	}
}

// BenchmarkEvacuate starts and ends the evacuation of one of 30 zones, and builds a view after each.
func BenchmarkEvacuate(b *testing.B) {
	const zones = 30
	for _, backends := range []int{300, 3000, 130000} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			d := New(testRetention)
			for i := range backends {
				address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)
				d.live[settings.BackendID(i+1)] = entry{member: &Member{Backend: Backend{
					ID: settings.BackendID(i + 1), Group: fmt.Sprintf("g%d", i/100), Zone: fmt.Sprintf("z%d", i%zones), Address: address, Slots: 2,
				}, Tag: TagOf(settings.BackendID(i + 1)), AnnouncedRevision: 1}}
				d.changed[settings.BackendID(i+1)] = true
			}
			d.View()
			revision := uint64(2)
			for b.Loop() {
				d.Apply(0, evacuate("z7", revision))
				d.View()
				d.Apply(0, restore("z7", revision+1))
				d.View()
				revision += 2
			}
		})
	}
}
