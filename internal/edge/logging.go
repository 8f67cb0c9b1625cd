package edge

import (
	"io"
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
