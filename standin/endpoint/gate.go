package endpoint

import (
	"context"
	"sync"
)

// gate holds back everyone who passes it while it is shut.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens; nil while it is open.
	opened chan struct{}
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.opened == nil:
		g.opened = make(chan struct{})
	case !shut && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// wait returns once the gate is open, or with an error when the context ends.
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
