// Package discovery reads the machine list of balancers and the load that back ends report.
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

// Gauges that a back end reports in the Prometheus text format.
const (
	// GaugeBusy is the number of requests running and waiting.
	GaugeBusy = "backend_requests_busy"
	// GaugeSlots is the number of slots.
	GaugeSlots = "backend_slots"
)

// loadReadTimeout bounds one read of a back end's metrics.
const loadReadTimeout = 500 * time.Millisecond

// Utilization returns a back end's load: the requests running and waiting, divided by its slots. It
// fails for a back end that reports no slots.
func Utilization(ctx context.Context, address netip.AddrPort) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadReadTimeout)
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
