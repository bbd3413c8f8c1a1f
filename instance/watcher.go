package instance

import (
	"context"
	"time"

	"anviltack/core"
)

// watchPause is the time between two attempts to reach the platform.
const watchPause = 500 * time.Millisecond

// watcher follows the configuration.
type watcher struct {
	instance *Instance
}

// Serve hands every new configuration to the control goroutine.
func (w *watcher) Serve(ctx context.Context) error {
	if w.instance.watch == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	var version uint64
	for ctx.Err() == nil {
		next, config, err := w.instance.watch(ctx, version)
		if err != nil {
			w.instance.event(core.EventConfigSource).WithError(err).Warn("no configuration")
			sleep(ctx, watchPause)
			continue
		}
		version = next
		w.instance.control.post(ctx, func(time.Time) { w.instance.control.adopt(next, config) })
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
