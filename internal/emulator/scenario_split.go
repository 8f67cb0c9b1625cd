package emulator

import "time"

const (
	// splitFaultDuration is how long the fault of a group lasts.
	splitFaultDuration = 6 * time.Second
	// splitSharesMeasuredFrom leaves 4 s after the fault for flows that went to the other group to
	// end and for suspicions to expire.
	splitSharesMeasuredFrom = faultStart + splitFaultDuration + 4*time.Second
	// canaryServers is the number of canary servers in each zone.
	canaryServers = 2
)

// setUpSplit starts the canary servers and splits the lookup route between them and the feed
// servers.
func (w *world) setUpSplit(feed, canary float64) {
	for _, zone := range w.zones {
		for range canaryServers {
			w.addServer(serviceCanary, zone)
		}
	}
	w.At(trafficStart, func() { w.splitLookups(feed, canary) })
}

// splitLookups sets the weights of the lookup route and when measuring the shares begins.
func (w *world) splitLookups(feed, canary float64) {
	w.sharesMeasuredFrom = splitSharesMeasuredFrom
	w.operator.lookupServices = []weightedService{{serviceFeed, feed}, {serviceCanary, canary}}
	w.operator.publish()
}

// availableCanaryServers returns the canary servers that accept flows.
func (w *world) availableCanaryServers() []*server {
	var list []*server
	for _, s := range w.incarnations {
		if s.service == serviceCanary && !s.crashed && !s.draining {
			list = append(list, s)
		}
	}
	return list
}

// splitDark hangs all canary servers for a while.
func (w *world) splitDark() {
	w.setUpSplit(70, 30)
	hang := func(hung bool) {
		for _, s := range w.availableCanaryServers() {
			s.hung, s.disturbed = hung, w.Now
		}
	}
	w.At(faultStart, func() { hang(true) })
	w.At(faultStart+splitFaultDuration, func() { hang(false) })
}

// splitMute makes all canary servers accept flows and reset all requests for a while.
func (w *world) splitMute() {
	w.setUpSplit(70, 30)
	fail := func(share float64) {
		for _, s := range w.availableCanaryServers() {
			s.failureRate, s.failureMode = share, failReset
		}
	}
	w.At(faultStart, func() { fail(1) })
	w.At(faultStart+splitFaultDuration, func() { fail(0) })
}

// splitRelease replaces the canary servers one after the other.
func (w *world) splitRelease() {
	w.setUpSplit(70, 30)
	w.At(faultStart, func() {
		for i, s := range w.availableCanaryServers() {
			w.After(time.Duration(i)*time.Second, func() {
				w.addServer(s.service, s.zone)
				w.After(500*time.Millisecond, func() { s.leave(false) })
			})
		}
	})
}

// splitEmpty removes all canary servers at once and adds others later.
func (w *world) splitEmpty() {
	w.setUpSplit(70, 30)
	w.At(faultStart, func() {
		for _, s := range w.availableCanaryServers() {
			s.leave(true)
			w.After(splitFaultDuration, func() { w.addServer(s.service, s.zone) })
		}
	})
}

// splitShift inverts the weights in two steps.
func (w *world) splitShift() {
	w.setUpSplit(20, 80)
	w.At(faultStart, func() { w.splitLookups(50, 50) })
	w.At(faultStart+splitFaultDuration, func() { w.splitLookups(70, 30) })
}
