package edge

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logQueue is how many lines may wait to be written.
const logQueue = 512

// lineWriter hands lines to a reader that may be slow or stuck, without ever
// waiting for it: lines that find the queue full are dropped and counted.
type lineWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// A reader that is gone loses the lines; there is nowhere to say so.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks.
func (w *lineWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush waits for queued lines, at most limit. No line may be written after it.
func (w *lineWriter) flush(limit time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func newLogger(node string, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: node, Output: out, JSONFormat: true})
}

// maxFlowLines is how many lines about flows are written in a second: that many of flows
// that were placed, and as many of those that were refused or dropped. With 400 bytes a
// line that is 80 kB a second at most; more are counted, and their number is written.
const maxFlowLines = 100

// lineBudget bounds the lines of one sort in each second. The zero value is ready.
type lineBudget struct {
	mutex  sync.Mutex
	second time.Duration
	used   int
	// left counts the lines that were left out since the last report.
	omitted int
}

// allows tells whether one more line may be written at now, the time of the process, and
// how many were left out in seconds that are over: what is not 0 is to be written.
func (b *lineBudget) allow(now time.Duration) (allowed bool, omitted int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if second := now.Truncate(time.Second); second != b.second {
		omitted = b.omitted
		b.second, b.used, b.omitted = second, 0, 0
	}
	if b.used >= maxFlowLines {
		b.omitted++
		return false, omitted
	}
	b.used++
	return true, omitted
}

// logFlow writes a line about a flow if the budget of its sort allows it.
func (n *Node) logFlow(budget *lineBudget, message string, args ...any) {
	allowed, omitted := budget.allow(n.now())
	if omitted > 0 {
		n.metrics.linesOmitted.Add(omitted)
		n.log.Info("lines left out", "like", message, "count", omitted)
	}
	if allowed {
		n.log.Info(message, args...)
	}
}
