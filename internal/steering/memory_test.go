package steering

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkFlowMemory reports the memory for each open flow, and measures a tick over all of them.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 21700
	f := newFleet(&testing.T{})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range flows {
		f.opened(i, feedAddress)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for range b.N {
		f.now += time.Microsecond
		f.steerer.Tick(f.now)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
	runtime.KeepAlive(f)
}
