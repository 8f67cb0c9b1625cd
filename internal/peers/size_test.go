package peers

import (
	"math"
	"testing"
	"time"
)

// tableWithZone returns the table of a balancer that received hellos from others balancers of its
// zone, and from one in each of two more zones.
func tableWithZone(self, others int) *Table {
	table := New(Introduction{Control: address(self), Zone: "a"})
	for number := range others + 1 {
		table.Receive(0, newHello(address(number), "a", 0))
	}
	table.Receive(0, newHello(address(others+1), "b", 0))
	table.Receive(0, newHello(address(others+2), "c", 0))
	return table
}

// TestSizesAreExactBelowTableLimit checks that sizes are exact, without silent peers, while the
// zone fits the table.
func TestSizesAreExactBelowTableLimit(t *testing.T) {
	table := tableWithZone(0, 9)
	if zone, fleet := table.Sizes(0); zone != 10 || fleet != 30 {
		t.Errorf("%d in the zone, %d in all", zone, fleet)
	}
	if zone, _ := table.Sizes(aliveTimeout + time.Second); zone != 1 {
		t.Errorf("%d in the zone when all others are silent", zone)
	}
	if zone, fleet := New(Introduction{Control: address(1), Zone: "a"}).Sizes(0); zone != 1 || fleet != 1 {
		t.Errorf("single balancer: %d, %d", zone, fleet)
	}
}

// TestSizesOfLargeZonesAreEstimated bounds the bias and the error of estimates. Balancers that
// share neighbours share errors, so that the error over some of one zone may be twice that of one.
func TestSizesOfLargeZonesAreEstimated(t *testing.T) {
	for _, size := range []int{60, 198, 400, 2000} {
		const samples, maxError = 50, 2 * 0.21
		sum, squares := 0.0, 0.0
		for self := range samples {
			zone, _ := tableWithZone(self, size-1).Sizes(0)
			ratio := float64(zone) / float64(size)
			sum += ratio
			squares += (ratio - 1) * (ratio - 1)
		}
		if mean, spread := sum/samples, math.Sqrt(squares/samples); math.Abs(mean-1) > 0.1 || spread > maxError {
			t.Errorf("zone of %d: mean estimate %.2f of the size, error %.2f", size, mean, spread)
		}
	}
}
