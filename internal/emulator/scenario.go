package emulator

import (
	"slices"
	"time"
)

const (
	// defaultDuration is the length of a run. No request begins in the quietPeriod at its end, so
	// that each has an outcome.
	defaultDuration = 40 * time.Second
	quietPeriod     = 9 * time.Second
	// trafficStart is when clients start, faultStart when most scenarios inject their faults.
	trafficStart = 3 * time.Second
	faultStart   = 8 * time.Second
)

// Scenario describes what happens in a run besides the load.
type Scenario struct {
	Name, About string
	schedule    func(*world)
}

func (s Scenario) duration() time.Duration { return defaultDuration }

// Scenarios lists all scenarios. Their names and texts are printed by gaugeyard-sim.
var Scenarios = []Scenario{
	{"calm", "nothing happens", func(*world) {}},
	{"rolling-restart", "every balancer is stopped as planned and starts again", (*world).rollingRestart},
	{"add-balancers", "a balancer is added in each zone", (*world).addBalancers},
	{"release", "every feed server is replaced, one after the other", (*world).release},
	{"restart-servers", "a third of the servers crash and start again under their identifiers", (*world).restartServersOnce},
	{"restart-servers-often", "the same three times within one interval of their entries, and once more", (*world).restartServersOften},
	{"restart-servers-unseen", "the same while half of the balancers are cut off from the store and each other", (*world).restartServersUnseen},
	{"restart-servers-back", "the same while the servers' clocks are set back", (*world).restartServersBack},
	{"release-quiet", "servers leave without saying so; their entries go, they serve on", (*world).releaseQuiet},
	{"ports-reused", "balancers restart in turn, again and again, while callers use the ports of closed flows again", (*world).reusePorts},
	{"ports-reused-lossy", "the same while one datagram in twenty is lost and servers are replaced", combine((*world).reusePorts, combine((*world).lossy, (*world).release))},
	{"foreign-entries", "servers leave without saying so; another writer has entries of a service that no configuration names at their addresses", foreignEntries(serviceUnnamed)},
	{"foreign-entries-named", "the same with entries of a service that the configuration names", foreignEntries(serviceUpload)},
	{"restart-and-release", "balancers restart while servers are replaced", combine((*world).rollingRestart, (*world).release)},
	{"restart-and-release-quiet", "balancers restart while servers leave without saying so", combine((*world).rollingRestart, (*world).releaseQuiet)},
	{"config-storm", "a version every 300 ms; a route comes, goes and changes its service", (*world).configStorm},
	{"weights", "a route is split 90 to 10 between two services", (*world).weights},
	{"split-dark", "all servers of one part of a split route stand still for six seconds", (*world).splitDark},
	{"split-mute", "all servers of one part of a split route take flows and reset all requests for six seconds", (*world).splitMute},
	{"split-empty", "all servers of one part of a split route leave, and others come six seconds later", (*world).splitEmpty},
	{"split-release", "the servers of one part of a split route are replaced, one after the other", (*world).splitRelease},
	{"split-shift", "the weights of a split route are turned round in two steps", (*world).splitShift},
	{"server-crash", "a third of the feed servers crash", func(w *world) { w.crashServers(false) }},
	{"address-reuse", "servers crash and their addresses go to the other service", func(w *world) { w.crashServers(true) }},
	{"address-reuse-cut", "the same while half of the balancers are cut off from the store and each other", combine((*world).partitionDuringAddressReuse, func(w *world) { w.crashServers(true) })},
	{"servers-hang", "a third of the feed servers stand still", (*world).hangServers},
	{"servers-slow", "a third of the feed servers are five times slower", (*world).slowServers},
	{"servers-differ", "feed servers work at speeds of 0.6, 1.0 and 1.6", (*world).mixedSpeedServers},
	{"servers-differ-slow", "the same, and those of 1.6 turn three times slower", combine((*world).mixedSpeedServers, (*world).slowFastest)},
	{"servers-grey-reset", "a third of the feed servers reset two in five requests, and are well by all else", greyServers(failReset)},
	{"servers-errors", "a third of the feed servers answer errors at once, and are well by all else", failRequests(1, failError)},
	{"servers-errors-part", "a third of the feed servers answer errors to two in five requests", failRequests(greyShare, failError)},
	{"answers-vary", "one answer in five of all servers is short and quick, as from a cache", func(w *world) { w.variedAnswers = true }},
	{"answers-shorten", "feed servers are replaced by such as answer in an eighth of the bytes", (*world).releaseShorter},
	{"servers-grey-mute", "a third of the feed servers never answer two in five requests", greyServers(failNoAnswer)},
	{"balancer-kill", "a balancer of each zone is killed", (*world).killOnePerZone},
	{"balancer-freeze", "a balancer of each zone stands still for three seconds", (*world).pauseOnePerZone},
	{"source-freezes-twice", "a balancer that others follow stands still, wakes for a moment and stands still again, while a route goes and servers leave", (*world).pauseSources},
	{"kill-all", "every balancer is killed at once", (*world).killAll},
	{"able-lost", "the able machines are killed for long and come back cut off from the store, while servers leave", (*world).loseHighCapacity},
	{"store-silent", "the store says nothing for six seconds while servers leave", storeFaultDuringRelease(storeUnresponsive)},
	{"store-silent-late", "the store is silent late in the run, and a version follows", (*world).silentLate},
	{"store-busy", "the store is not available for six seconds while servers leave", storeFaultDuringRelease(storeUnavailable)},
	{"store-reset", "the store breaks connections for six seconds", storeFaultDuringRelease(storeReset)},
	{"store-slow", "the store takes sixty times as long for six seconds", storeFaultDuringRelease(storeSlow)},
	{"store-lapse", "all entries lapse during an outage", (*world).storeExpiry},
	{"lapse", "all entries lapse during an outage and are back one by one", (*world).expireInOutage},
	{"lapse-crash", "the same; a third of the feed servers crash in the outage, and some addresses go to the other service", (*world).expireAndCrash},
	{"lapse-release", "the same while servers leave, with and without a word", (*world).expireAndRelease},
	{"lapse-power", "all entries lapse during an outage, in which every balancer loses what it knows", combine((*world).expireInOutage, (*world).restartAllInOutage)},
	{"lapse-power-release", "the same while servers leave, with and without a word", combine((*world).expireAndRelease, (*world).restartAllInOutage)},
	{"lapse-power-writes", "the same while half of the writes to the store are not answered, and writers are killed", combine((*world).expireAndRelease, combine((*world).restartAllInOutage, (*world).loseWrites))},
	{"power-release", "every balancer loses what it knows while servers leave", combine((*world).release, (*world).restartAllInOutage)},
	{"store-compact", "the store loses its history after changes that no watch heard of", (*world).storeCompact},
	{"store-cut", "half of the balancers are cut off from the store, and the cut heals", (*world).storeCut},
	{"cut-sources", "the balancers that others follow are cut off from the store while the others restart in turn and servers leave", (*world).cutSources},
	{"store-turns-away", "the store turns a third of the balancers away, those that others follow among them, while servers leave and settings change", (*world).storeTurnsAway},
	{"connections-silent", "all open connections fall silent, again and again, while servers leave and settings change", (*world).connectionsSilent},
	{"start-in-outage", "balancers start while the store is silent", (*world).startInOutage},
	{"lossy", "one datagram in twenty is lost while balancers come and go", (*world).lossy},
	{"lossy-answers", "half of the first answers to opening packets and one datagram in fifty are lost while balancers come and go", (*world).lossyAnswers},
	{"evacuate", "a zone is evacuated and taken back, then the next one", (*world).evacuateInTurn},
	{"evacuate-all", "every zone is evacuated at once, and taken back", (*world).evacuateAll},
	{"evacuate-compact", "a zone is evacuated and another one taken back while the store loses its history", (*world).evacuateCompact},
	{"evacuate-cut", "half of the balancers are cut off from the store while a zone is evacuated, and hear of it when the cut heals", (*world).evacuateCut},
	{"evacuate-turned-away", "the store turns a third of the balancers away while zones are evacuated and taken back", (*world).evacuateTurnedAway},
	{"evacuate-outage", "the store falls silent just after a zone is evacuated; balancers restart meanwhile", (*world).evacuateOutage},
	{"evacuate-restart", "every balancer is killed while a zone is evacuated and settings change quickly", (*world).evacuateRestart},
	{"evacuate-dark", "the servers of a second zone fall silent while a zone is evacuated", (*world).evacuateDark},
	{"cold-return", "the servers of a zone crash and come back together, cold, with a limit of rate", (*world).coldReturn},
	{"cold-return-kill", "the same while most balancers of the zone are killed", combine((*world).coldReturn, (*world).killMost)},
	{"cold-return-split", "the same while half of the balancers are cut off from the store and each other", combine((*world).coldReturn, (*world).partitionHalf)},
	{"cold-return-restart", "the same while balancers restart in turn", combine((*world).coldReturn, (*world).rollingRestart)},
	{"cold-evacuation", "a zone is evacuated, and its servers are cold with a limit of rate when it is taken back", (*world).coldEvacuation},
	{"chaos", "a mix of all of this, drawn from the seed", (*world).chaos},
}

// Find returns the scenario with the given name.
func Find(name string) (Scenario, bool) {
	at := slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })
	if at < 0 {
		return Scenario{}, false
	}
	return Scenarios[at], true
}

func combine(first, second func(*world)) func(*world) {
	return func(w *world) {
		first(w)
		second(w)
	}
}

func (w *world) rollingRestart() {
	for i, n := range w.nodes {
		w.At(faultStart+time.Duration(i)*1300*time.Millisecond, n.stop)
	}
}

func (w *world) addBalancers() {
	w.At(faultStart, func() {
		for i, zone := range w.zones {
			w.addNode(zone, balancerIP(i, 100))
		}
	})
}

// availableFeedServers returns the feed servers that accept flows.
func (w *world) availableFeedServers() []*server {
	var list []*server
	for _, s := range w.incarnations {
		if s.service == serviceFeed && !s.crashed && !s.draining && !s.hung {
			list = append(list, s)
		}
	}
	return list
}

func (w *world) release()      { w.replaceServers(false) }
func (w *world) releaseQuiet() { w.replaceServers(true) }

func (w *world) replaceServers(unannounced bool) {
	w.At(faultStart, func() {
		for i, s := range w.availableFeedServers() {
			w.After(time.Duration(i)*time.Second, func() {
				w.addServer(s.service, s.zone)
				w.After(500*time.Millisecond, func() { s.leave(unannounced) })
			})
		}
	})
}

func (w *world) configStorm() {
	services := []string{serviceFeed, "", serviceUpload, serviceFeed, serviceUpload, ""}
	for i := range 50 {
		w.At(faultStart+time.Duration(i)*300*time.Millisecond, func() {
			w.operator.probeService = services[(i/8)%len(services)]
			w.operator.idleRoutes = 5 + i*7%40
			w.operator.publish()
		})
	}
}

func (w *world) weights() {
	w.At(faultStart, func() {
		w.operator.lookupServices = []weightedService{{serviceFeed, 90}, {serviceUpload, 10}}
		w.operator.publish()
	})
}

// randomThird returns a random third of the available feed servers.
func (w *world) randomThird() []*server {
	list := w.availableFeedServers()
	w.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:len(list)/3]
}

func (w *world) crashServers(reuse bool) {
	w.At(faultStart, func() {
		for _, s := range w.randomThird() {
			s.crash(reuse)
		}
	})
}

func (w *world) hangServers() {
	w.At(faultStart, func() {
		for _, s := range w.randomThird() {
			s.hung, s.disturbed = true, w.Now
		}
	})
}

func (w *world) slowServers() {
	w.At(faultStart, func() {
		for _, s := range w.randomThird() {
			s.slowdown = 5
		}
	})
}

// mixedSpeedServers gives feed servers three speeds in rotation.
func (w *world) mixedSpeedServers() {
	w.speeds = []float64{0.6, 1, 1.6}
	for i, s := range w.availableFeedServers() {
		s.speed = w.speeds[i%len(w.speeds)]
	}
}

// slowFastest slows down the fastest feed servers.
func (w *world) slowFastest() {
	w.At(faultStart, func() {
		for _, s := range w.availableFeedServers() {
			if s.speed > 1 {
				s.slowdown = 3
			}
		}
	})
}

// greyShare is the share of its requests that a server with a grey failure fails.
const greyShare = 0.4

func greyServers(mode failureMode) func(*world) { return failRequests(greyShare, mode) }

// failRequests makes a third of the feed servers fail a share of their requests.
func failRequests(share float64, mode failureMode) func(*world) {
	return func(w *world) {
		w.At(faultStart, func() {
			for _, s := range w.randomThird() {
				s.failureRate, s.failureMode = share, mode
			}
		})
	}
}

// releaseShorter replaces servers by a version with much shorter answers.
func (w *world) releaseShorter() {
	w.At(faultStart, func() {
		for i, s := range w.availableFeedServers() {
			w.After(time.Duration(i)*time.Second, func() {
				w.addServer(s.service, s.zone).answerScale = 1.0 / 8
				w.After(500*time.Millisecond, func() { s.leave(false) })
			})
		}
	})
}

// randomNodePerZone returns a random balancer of each zone.
func (w *world) randomNodePerZone() []*node {
	var list []*node
	for i := range w.zones {
		list = append(list, w.nodes[i*w.options.BalancersPerZone+w.Random.IntN(w.options.BalancersPerZone)])
	}
	return list
}

func (w *world) killOnePerZone() {
	w.At(faultStart, func() {
		for _, n := range w.randomNodePerZone() {
			n.kill(2 * time.Second)
		}
	})
}

func (w *world) pauseOnePerZone() {
	w.At(faultStart, func() {
		for _, n := range w.randomNodePerZone() {
			n.pause(3 * time.Second)
		}
	})
}

func (w *world) killAll() {
	w.At(faultStart, func() {
		w.observer.allKilled = true
		w.observer.restartedAt = w.Now + time.Second
		for _, n := range w.nodes {
			n.kill(time.Second)
		}
	})
}

func (w *world) lossy() {
	w.At(trafficStart, func() { w.loss = 0.05 })
	w.rollingRestart()
}

func (w *world) lossyAnswers() {
	w.At(trafficStart, func() { w.openAnswerLoss, w.loss = 0.5, 0.02 })
	w.rollingRestart()
}

// chaos injects random faults at random times.
func (w *world) chaos() {
	w.loss = 0.005
	faults := []func(){
		func() { w.nodes[w.Random.IntN(len(w.nodes))].stop() },
		func() { w.nodes[w.Random.IntN(len(w.nodes))].kill(w.Between(300*time.Millisecond, 4*time.Second)) },
		func() {
			w.nodes[w.Random.IntN(len(w.nodes))].pause(w.Between(300*time.Millisecond, 5*time.Second))
		},
		func() {
			w.nodes[w.Random.IntN(len(w.nodes))].partition(w.Between(time.Second, 8*time.Second), w.Chance(0.5))
		},
		func() { w.replaceRandomServer().leave(w.Chance(0.3)) },
		func() { w.replaceRandomServer().crash(w.Chance(0.5)) },
		func() { s := w.replaceRandomServer(); s.hung, s.disturbed = true, w.Now },
		func() { w.addServer(serviceFeed, w.zones[w.Random.IntN(len(w.zones))]) },
		func() {
			w.operator.probeService = []string{"", serviceFeed, serviceUpload}[w.Random.IntN(3)]
			w.operator.publish()
		},
		func() {
			w.store.setFault(storeFault(1 + w.Random.IntN(4)))
			w.After(w.Between(500*time.Millisecond, 6*time.Second), func() { w.store.setFault(storeHealthy) })
		},
		func() {
			w.store.watchesBlocked = true
			w.After(time.Second, w.store.compact)
		},
		func() {
			w.store.setFault(storeUnresponsive)
			w.After(w.Between(4*time.Second, 6*time.Second), func() {
				w.store.expireAll()
				w.store.setFault(storeHealthy)
			})
		},
	}
	for at := faultStart; at < defaultDuration-quietPeriod; at += w.Between(200*time.Millisecond, 2*time.Second) {
		w.At(at, faults[w.Random.IntN(len(faults))])
	}
}

// replaceRandomServer returns a random feed server after adding another one to its zone.
func (w *world) replaceRandomServer() *server {
	list := w.availableFeedServers()
	s := list[w.Random.IntN(len(list))]
	w.addServer(s.service, s.zone)
	return s
}
