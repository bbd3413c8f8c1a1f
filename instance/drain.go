package instance

import (
	"context"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"anviltack/core"
)

// drainPoll is the time between two looks at the sessions that remain.
const drainPoll = 20 * time.Millisecond

// farewellLimit bounds what a stopping instance tells the platform.
const farewellLimit = 2 * time.Second

// drainer carries out a planned stop.
type drainer struct {
	instance *Instance
	// begin is closed when the stop begins.
	begin chan struct{}
	once  sync.Once
}

// Drain begins a planned stop: Serve returns once no caller is left or the
// drain limit is over. A second call does nothing.
func (in *Instance) Drain() {
	in.drainer.once.Do(func() { close(in.drainer.begin) })
}

// isDraining reports whether a planned stop has begun.
func (in *Instance) isDraining() bool {
	select {
	case <-in.drainer.begin:
		return true
	default:
		return false
	}
}

// Serve waits for the stop and carries it out; its end ends the instance.
func (d *drainer) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-d.begin:
	}
	in := d.instance
	in.event(core.EventDraining).WithField("sessions", in.sessions.count()).Info("draining")
	in.control.post(ctx, in.control.fleet.drain)
	var farewell sync.WaitGroup
	farewell.Go(func() { d.leave(ctx) })
	limit := time.Now().Add(in.settings.Drain)
	in.sessions.terminateIdle()
	for ctx.Err() == nil && in.sessions.count() > 0 && time.Now().Before(limit) {
		sleep(ctx, drainPoll)
	}
	farewell.Wait()
	running, open := in.sessions.remaining()
	if running+open > 0 {
		in.event(core.EventCut).WithField("running", running).WithField("transactions", open).
			WithField("limit", in.settings.Drain).Warn("the drain limit cut off work")
	}
	return suture.ErrTerminateSupervisorTree
}

// leave tells the peers and the platform.
func (d *drainer) leave(ctx context.Context) {
	in := d.instance
	ctx, cancel := context.WithTimeout(ctx, farewellLimit)
	defer cancel()
	for !in.beat().Draining && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
	(&beater{instance: in}).round(ctx, in.fleet.Load().neighbours)
	if in.list.Deregister == nil {
		return
	}
	in.listed.Lock()
	defer in.listed.Unlock()
	if err := in.list.Register(ctx, in.listing(true)); err == nil {
		_ = in.list.Deregister(ctx, in.settings.Instance)
	}
}
