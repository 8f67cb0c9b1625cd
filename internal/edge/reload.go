package edge

import (
	"bytes"
	"maps"
	"os"
	"slices"
	"time"

	"gaugeyard/internal/directory"
)

// reloadPoll is the interval at which the settings file is checked for changes without a signal.
const reloadPoll = 2 * time.Second

// reload reads the settings file again and applies the fields that may change at run time: seeds, bounds and
// defaults. An invalid file changes nothing. An unchanged file is ignored unless requested is set.
func (n *Node) reload(path string, requested bool) {
	document, err := os.ReadFile(path)
	if err == nil && !requested && bytes.Equal(document, n.document) {
		return
	}
	if err != nil {
		n.log.Error("settings file not read, the last one stays in force", "error", err)
		return
	}
	first := n.document == nil
	n.document = document
	next, faults := ParseConfig(document)
	if len(faults) > 0 {
		n.log.Error("settings file refused, the last one stays in force", "error", faults[0], "faults", len(faults))
		return
	}
	changed, needRestart := n.reconfigure(&next)
	if requested || !first {
		n.log.Info("reloaded", "changed", changed, "needs_restart", needRestart)
	}
}

// reconfigure applies the fields of next that may change at run time. It returns the names of the fields that
// changed, and of those that differ but need a restart.
func (n *Node) reconfigure(next *Config) (changed, needRestart []string) {
	merged := *n.config()
	if !slices.Equal(merged.Seeds, next.Seeds) {
		changed, merged.Seeds = append(changed, "seeds"), next.Seeds
	}
	if merged.Bounds != next.Bounds {
		changed, merged.Bounds = append(changed, "bounds"), next.Bounds
	}
	if !maps.Equal(merged.Defaults, next.Defaults) {
		changed, merged.Defaults = append(changed, "defaults"), next.Defaults
	}
	for _, field := range []struct {
		name     string
		old, now any
	}{
		{"node", merged.Node, next.Node}, {"zone", merged.Zone, next.Zone}, {"data", merged.Data, next.Data},
		{"ready", merged.Ready, next.Ready}, {"control", merged.Control, next.Control}, {"store", merged.Store, next.Store},
		{"advertise", merged.Advertise, next.Advertise},
		{"peer_port", merged.PeerPort, next.PeerPort}, {"workers", merged.Workers, next.Workers}, {"ready_path", merged.ReadyPath, next.ReadyPath}, {"link_mbps", merged.LinkMbps, next.LinkMbps},
		{"cpu_share", merged.CPUShare, next.CPUShare},
		{"snapshot", merged.Snapshot, next.Snapshot},
	} {
		if field.old != field.now {
			needRestart = append(needRestart, field.name)
		}
	}
	n.current.Store(&merged)
	n.stateMutex.Lock()
	n.directory.SetRetention(removedRetention(&merged))
	n.directory.SetExpiryBounds(directory.ExpiryBoundsFor(merged.Bounds.Contact, merged.Bounds.Drain))
	n.stateMutex.Unlock()
	n.steeringMutex.Lock()
	n.steerer.Reconfigure(steeringConfig(&merged))
	n.steeringMutex.Unlock()
	return changed, needRestart
}
