// Package logs writes log lines without ever making the caller wait.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is how many lines may wait for the output; about a second of them
// under load.
const maxQueuedLines = 2048

// Writer passes whole lines on to an output. Lines for which there is no room
// are dropped and counted, and the count is written once there is room again.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewWriter returns a writer in front of out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
	w.done.Go(w.writeQueued)
	return w
}

// Write takes one line; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. No Write may follow.
func (w *Writer) Close() {
	close(w.lines)
	w.done.Wait()
}

func (w *Writer) writeQueued() {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", n)
		}
		// There is nowhere left to tell that the output is gone.
		_, _ = w.out.Write(line)
	}
}
