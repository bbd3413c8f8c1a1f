// Package logs provides a log output that never blocks.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the capacity of the queue in front of the output, about one second
// of log lines under load.
const maxQueuedLines = 2048

// Writer queues whole lines for an output. Lines that find the queue full are dropped
// and counted; the count is written before the next line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewWriter returns a Writer that writes to out from a goroutine of its own.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
	w.done.Go(w.writeQueued)
	return w
}

// Write queues one line or drops it; it never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and waits until they are written. Write must not be
// called afterwards.
func (w *Writer) Close() {
	close(w.lines)
	w.done.Wait()
}

func (w *Writer) writeQueued() {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", n)
		}
		// A failed write cannot be reported: this is the log output itself.
		_, _ = w.out.Write(line)
	}
}
