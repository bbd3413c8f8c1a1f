package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockingOutput blocks in its first write until release is closed.
type blockingOutput struct {
	mu      sync.Mutex
	text    bytes.Buffer
	release chan struct{}
	blocked chan struct{}
	once    sync.Once
}

// Write closes blocked and waits for release in the first call, and keeps what is
// written.
func (o *blockingOutput) Write(p []byte) (int, error) {
	o.once.Do(func() {
		close(o.blocked)
		<-o.release
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// TestNeverBlocks guards against an output that stops accepting lines and blocks its
// callers: lines beyond the queue are dropped, and their number is logged.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	o := &blockingOutput{release: make(chan struct{}), blocked: make(chan struct{})}
	w := NewWriter(o)
	_, _ = w.Write([]byte("first\n"))
	<-o.blocked
	for range maxQueuedLines + 7 {
		_, err := w.Write([]byte("more\n"))
		is.NoErr(err)
	}
	close(o.release)
	w.Close()
	is.True(strings.Contains(o.text.String(), `"dropped":7`))
	is.Equal(strings.Count(o.text.String(), "more\n"), maxQueuedLines)
}
