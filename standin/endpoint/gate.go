package endpoint

import (
	"context"
	"sync"
)

// gate blocks the goroutines that call wait while it is closed.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens; it is nil while the gate is open.
	opened chan struct{}
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.opened == nil:
		g.opened = make(chan struct{})
	case !closed && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// wait returns once the gate is open, or with an error if the context ends
// first.
func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return nil
	}
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
