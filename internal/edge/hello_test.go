package edge

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"gaugeyard/internal/directory"
	"gaugeyard/internal/peers"
	"gaugeyard/internal/settings"
	"gaugeyard/internal/steering"
)

// TestAHelloFitsOneDatagram checks a hello with full lists of the longest values.
func TestAHelloFitsOneDatagram(t *testing.T) {
	const long = time.Hour + 1
	control := netip.MustParseAddrPort("255.255.255.255:65535")
	hello := &peers.Hello{Control: control, Zone: "a-zone-with-a-long-name", Started: math.MaxInt64, Revision: math.MaxUint64, StoreAge: long, Full: true, HasSummary: true, Capacity: math.MaxUint8}
	for range 4 {
		hello.Introductions = append(hello.Introductions, peers.Introduction{Control: control, Zone: hello.Zone, HasView: true, HasSummary: true, Capacity: math.MaxUint8})
	}
	for range peers.MaxLoads {
		hello.Loads = append(hello.Loads, peers.Load{Tag: math.MaxUint32, Requests: 1 << 15, Steady: 1 << 15, Answers: 1 << 15, AnswerMillis: 1 << 17})
	}
	for range peers.MaxFailures {
		hello.Failures = append(hello.Failures, peers.Failure{Tag: directory.Tag(math.MaxUint32), Count: 1 << 15})
	}
	for range peers.MaxSuspects {
		hello.Suspects = append(hello.Suspects, settings.BackendID(math.MaxUint64))
	}
	for range peers.MaxUnresponsiveReports {
		hello.UnresponsiveReports = append(hello.UnresponsiveReports, steering.UnresponsiveReport{Backend: math.MaxUint64, Callers: 8, Silence: long, Down: 2 * time.Second})
	}
	for range peers.MaxBaselines {
		hello.Baselines = append(hello.Baselines, steering.Baseline{})
	}
	datagram, err := encodeHello(hello)
	if err != nil {
		t.Fatal(err)
	}
	if len(datagram) > maxDatagram {
		t.Errorf("a hello has %d bytes, a datagram at most %d", len(datagram), maxDatagram)
	}
}
