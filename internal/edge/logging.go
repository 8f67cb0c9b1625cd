package edge

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logQueue bounds the lines that wait to be written.
const logQueue = 512

// lineWriter writes lines to an output that may block, without blocking its callers. Lines are dropped and
// counted while the queue is full.
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
			// There is no place to report that the log cannot be written.
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

// flush waits at most limit until the queued lines are written. Write must not be called after it.
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

// maxFlowLines bounds the lines about flows per second, separately for placed flows and for all other
// decisions: 80 kB at about 400 bytes a line. Further lines are omitted and their number is logged.
const maxFlowLines = 100

// lineBudget limits log lines of one kind to maxFlowLines per second. The zero value is ready to use.
type lineBudget struct {
	mutex  sync.Mutex
	second time.Duration
	used   int
	// omitted counts the omitted lines since the last report.
	omitted int
}

// allow reports whether one more line may be written at now, and how many lines were omitted in earlier
// seconds since the last report. The caller logs that number unless it is 0.
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

// logFlow writes a line about a flow if its budget allows it.
func (n *Node) logFlow(budget *lineBudget, message string, args ...any) {
	allowed, omitted := budget.allow(n.now())
	if omitted > 0 {
		n.metrics.linesOmitted.Add(omitted)
		n.log.Info("log lines omitted", "like", message, "count", omitted)
	}
	if allowed {
		n.log.Info(message, args...)
	}
}
