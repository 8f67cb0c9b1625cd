package tagged

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// drainTime is how long after a server left new flows may still reach it.
const drainTime = 3 * time.Second

// Report is what a play saw.
type Report struct {
	Asked    int `json:"asked"`
	Answered int `json:"answered"`
	// Failed requests had no answer within their time.
	Failed int `json:"failed"`
	// P99 is the 99th percentile of the time of answers, in milliseconds.
	P99 float64 `json:"p99_ms"`
	// StoreCalls is how often the store was asked.
	StoreCalls int `json:"store_calls"`
	// Busiest is the largest number of requests at a server over the mean of its service.
	Busiest float64  `json:"busiest_over_mean"`
	Broken  []string `json:"broken_rules"`
}

// judge compares what clients were told with what servers ran.
type judge struct {
	mutex  sync.Mutex
	asking map[string]bool
	runs   map[string]int
	begun  map[*server]int
	homes  map[netip.AddrPort]*server
	strays map[netip.AddrPort]bool
	left   map[*server]time.Time
	times  []time.Duration
	count  int
	rules  []string
}

func newJudge() *judge {
	return &judge{
		asking: map[string]bool{}, runs: map[string]int{}, begun: map[*server]int{}, homes: map[netip.AddrPort]*server{},
		strays: map[netip.AddrPort]bool{}, left: map[*server]time.Time{},
	}
}

func (j *judge) broken(rule, format string, arguments ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.note(rule, format, arguments...)
}

func (j *judge) note(rule, format string, arguments ...any) {
	j.rules = append(j.rules, rule+": "+fmt.Sprintf(format, arguments...))
}

func (j *judge) asked(request string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.count++
	j.asking[request] = true
}

// abandoned forgets a request that the end of the play cut.
func (j *judge) abandoned(request string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.count--
}

func (j *judge) answered(request, reply, want string, after time.Duration) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.times = append(j.times, after)
	if reply != want {
		j.note("MIXED", "request %s is answered %q, want %q", request, reply, want)
	}
}

func (j *judge) ran(s *server, request string, p *packet) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.runs[request]++
	j.begun[s]++
	if !j.asking[request] {
		j.note("UNASKED", "server %x runs %q, which nobody asked", s.id, request)
	}
	if j.runs[request] > 1 && request[0] == 'l' {
		j.note("UNASKED", "lookup %s ran %d times", request, j.runs[request])
	}
}

func (j *judge) opens(s *server, p *packet) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if left, gone := j.left[s]; gone && time.Since(left) > drainTime {
		j.note("DRAIN", "server %x takes a flow %v after it left", s.id, time.Since(left))
	}
}

func (j *judge) drained(s *server) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if _, known := j.left[s]; !known {
		j.left[s] = time.Now()
	}
}

// rests notes where a flow is.
func (j *judge) rests(s *server, source netip.AddrPort) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if home := j.homes[source]; home != nil && home != s {
		j.note("FLOW", "flow %s moves from server %x to %x", source, home.id, s.id)
	}
	j.homes[source] = s
}

// resets notes that a server reset a flow that it does not hold.
func (j *judge) resets(s *server, source netip.AddrPort) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if home := j.homes[source]; home != nil && home != s {
		j.note("FLOW", "flow %s, at server %x, is reset by %x", source, home.id, s.id)
	}
	j.strays[source] = true
}

// reset judges a reset that a client got on an open flow.
func (j *judge) reset(source netip.AddrPort) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.homes[source] != nil && !j.strays[source] {
		j.note("FLOW", "flow %s is reset by a balancer", source)
	}
}

func (j *judge) report(calls int) Report {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r := Report{Asked: j.count, Answered: len(j.times), StoreCalls: calls, Broken: j.rules}
	r.Failed = max(0, j.count-len(j.times))
	slices.Sort(j.times)
	if len(j.times) > 0 {
		r.P99 = float64(j.times[len(j.times)*99/100].Microseconds()) / 1000
	}
	most, sum, servers := 0, 0, 0
	for s, begun := range j.begun {
		if _, gone := j.left[s]; s.service != feedService || gone {
			continue
		}
		most, sum, servers = max(most, begun), sum+begun, servers+1
	}
	if sum > 0 {
		r.Busiest = float64(most*servers) / float64(sum)
	}
	return r
}
