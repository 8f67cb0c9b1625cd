package edge

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gaugeyard/internal/errkind"
	"gaugeyard/internal/steering"
)

type processMetrics struct {
	set                        *metrics.Set
	packets, forwarded, placed *metrics.Counter
	moved, repinned, spilled   *metrics.Counter
	replaced                   *metrics.Counter
	inquiries                  *metrics.Counter
	resets, delayedCopies      *metrics.Counter
	outOfRotation, expired     *metrics.Counter
	storeCalls, storeFailures  *metrics.Counter
	// snapshotFaults counts snapshot parts that were rejected.
	snapshotWrites, snapshotFailures, snapshotFaults *metrics.Counter
	sendFailures, linesOmitted                       *metrics.Counter
	peerCalls, peerMalformed                         *metrics.Counter
	helloBytes, answerBytes                          *metrics.Counter
	answersForwarded                                 *metrics.Counter
	refused, dropped                                 map[errkind.Kind]*metrics.Counter
	entriesRejected                                  map[errkind.Kind]*metrics.Counter
	entriesCorrected                                 *metrics.Counter
	byPart                                           map[steering.PartReason]*metrics.Counter
	handling                                         *metrics.Histogram
}

func newMetrics(n *Node) *processMetrics {
	set := metrics.NewSet()
	m := &processMetrics{
		set:              set,
		packets:          set.NewCounter("gaugeyard_packets_total"),
		forwarded:        set.NewCounter("gaugeyard_packets_forwarded_total"),
		placed:           set.NewCounter("gaugeyard_flows_placed_total"),
		moved:            set.NewCounter("gaugeyard_flows_moved_before_opening_total"),
		inquiries:        set.NewCounter("gaugeyard_flows_sought_total"),
		repinned:         set.NewCounter("gaugeyard_packets_kept_at_their_backend_total"),
		replaced:         set.NewCounter("gaugeyard_flow_records_replaced_total"),
		spilled:          set.NewCounter("gaugeyard_flows_placed_in_another_zone_total"),
		delayedCopies:    set.NewCounter("gaugeyard_copies_waited_total"),
		resets:           set.NewCounter("gaugeyard_flows_reset_total"),
		outOfRotation:    set.NewCounter("gaugeyard_backends_out_of_rotation_total"),
		storeCalls:       set.NewCounter("gaugeyard_store_calls_total"),
		storeFailures:    set.NewCounter("gaugeyard_store_failures_total"),
		linesOmitted:     set.NewCounter("gaugeyard_log_lines_left_out_total"),
		sendFailures:     set.NewCounter("gaugeyard_send_failures_total"),
		peerCalls:        set.NewCounter("gaugeyard_peer_calls_total"),
		helloBytes:       set.NewCounter("gaugeyard_peer_hello_bytes_total"),
		answerBytes:      set.NewCounter("gaugeyard_peer_answer_bytes_total"),
		answersForwarded: set.NewCounter("gaugeyard_peer_answers_passed_on_total"),
		peerMalformed:    set.NewCounter("gaugeyard_peer_datagrams_malformed_total"),
		refused:          map[errkind.Kind]*metrics.Counter{},
		dropped:          map[errkind.Kind]*metrics.Counter{},
		entriesRejected:  map[errkind.Kind]*metrics.Counter{},
		entriesCorrected: set.NewCounter("gaugeyard_entries_corrected_total"),
		handling:         set.NewHistogram("gaugeyard_packet_handling_seconds"),
		byPart:           map[steering.PartReason]*metrics.Counter{},
		expired:          set.NewCounter("gaugeyard_backends_lapsed_total"),
		snapshotWrites:   set.NewCounter("gaugeyard_snapshot_writes_total"),
		snapshotFailures: set.NewCounter("gaugeyard_snapshot_write_failures_total"),
		snapshotFaults:   set.NewCounter("gaugeyard_snapshot_faults_total"),
	}
	for _, kind := range errkind.All() {
		m.refused[kind] = set.NewCounter(fmt.Sprintf("gaugeyard_flows_refused_total{reason=%q}", kind))
		m.dropped[kind] = set.NewCounter(fmt.Sprintf("gaugeyard_packets_dropped_total{reason=%q}", kind))
	}
	for _, kind := range []errkind.Kind{errkind.None, errkind.Malformed, errkind.Incomplete} {
		m.entriesRejected[kind] = set.NewCounter(fmt.Sprintf("gaugeyard_entries_rejected_total{reason=%q}", kind))
	}
	for _, reason := range steering.PartReasons() {
		m.byPart[reason] = set.NewCounter(fmt.Sprintf("gaugeyard_flows_by_part_total{reason=%q}", reason))
	}
	set.NewGauge("gaugeyard_flows", func() float64 {
		n.steeringMutex.Lock()
		defer n.steeringMutex.Unlock()
		return float64(n.steerer.Flows())
	})
	set.NewGauge("gaugeyard_directory_revision", func() float64 { return float64(n.revision()) })
	set.NewGauge("gaugeyard_settings_version", func() float64 {
		n.stateMutex.Lock()
		defer n.stateMutex.Unlock()
		return float64(n.directory.SettingsVersion())
	})
	set.NewGauge("gaugeyard_zones_evacuated", func() float64 {
		n.stateMutex.Lock()
		defer n.stateMutex.Unlock()
		return float64(len(n.directory.EvacuatedZones()))
	})
	set.NewGauge("gaugeyard_log_lines_dropped", func() float64 { return float64(n.lines.dropped.Load()) })
	return m
}

// observeHandling records the handling time of a packet. One packet in sampleEvery is measured.
func (m *processMetrics) observeHandling(started, ended time.Duration) {
	m.handling.Update((ended - started).Seconds())
}
