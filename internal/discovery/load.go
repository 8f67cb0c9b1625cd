// Package discovery reads what is around a balancer: the machine list of balancers
// and the load that back ends report of themselves.
package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Names of the gauges that a back end reports in the usual exposition format.
const (
	// GaugeBusy is the number of requests running and waiting.
	GaugeBusy = "backend_requests_busy"
	// GaugeSlots is the number of slots.
	GaugeSlots = "backend_slots"
)

// loadTimeout bounds one read of a load endpoint.
const loadTimeout = 500 * time.Millisecond

// Utilization reads a back end's load: requests running and waiting, divided by
// slots.
func Utilization(ctx context.Context, address netip.AddrPort) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer reply.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(reply.Body)
	if err != nil {
		return 0, err
	}
	gauge := func(name string) float64 {
		metrics := families[name].GetMetric()
		if len(metrics) == 0 {
			return 0
		}
		return metrics[0].GetUntyped().GetValue() + metrics[0].GetGauge().GetValue()
	}
	slots := gauge(GaugeSlots)
	if slots <= 0 {
		return 0, fmt.Errorf("%s reports no slots", address)
	}
	return gauge(GaugeBusy) / slots, nil
}
