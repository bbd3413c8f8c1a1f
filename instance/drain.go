package instance

import (
	"context"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"anviltack/core"
)

// drainPollPeriod is the time between two checks of a planned stop's progress.
const drainPollPeriod = 20 * time.Millisecond

// leaveTimeout is the timeout for notifying the peers and the platform of a
// planned stop.
const leaveTimeout = 2 * time.Second

// drainer carries out a planned stop.
type drainer struct {
	instance *Instance
	// begun is closed when the planned stop begins.
	begun chan struct{}
	once  sync.Once
}

// Drain begins a planned stop: Serve returns once no caller is connected or the
// drain limit has passed. Further calls do nothing.
func (in *Instance) Drain() {
	in.drainer.once.Do(func() { close(in.drainer.begun) })
}

// isDraining reports whether a planned stop has begun.
func (in *Instance) isDraining() bool {
	select {
	case <-in.drainer.begun:
		return true
	default:
		return false
	}
}

// Serve waits for a planned stop to begin and carries it out; when it returns,
// the supervisor tree stops.
func (d *drainer) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-d.begun:
	}
	in := d.instance
	in.event(core.EventDraining).WithField("sessions", in.sessions.count()).Info("draining")
	in.control.post(ctx, in.control.membership.drain)
	var leaving sync.WaitGroup
	leaving.Go(func() { d.announceLeave(ctx) })
	deadline := time.Now().Add(in.settings.Drain)
	in.sessions.terminateIdle()
	for ctx.Err() == nil && in.sessions.count() > 0 && time.Now().Before(deadline) {
		sleep(ctx, drainPollPeriod)
	}
	leaving.Wait()
	running, inTransaction := in.sessions.cutAll()
	if running+inTransaction > 0 {
		in.event(core.EventCut).WithField("running", running).WithField("transactions", inTransaction).
			WithField("limit", in.settings.Drain).Warn("drain limit reached, remaining statements and transactions aborted")
	}
	return suture.ErrTerminateSupervisorTree
}

// announceLeave notifies the neighbours with a heartbeat and takes this instance
// off the platform's list.
func (d *drainer) announceLeave(ctx context.Context) {
	in := d.instance
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for !in.heartbeat().Draining && ctx.Err() == nil {
		sleep(ctx, drainPollPeriod)
	}
	(&heartbeatSender{instance: in}).sendRound(ctx, in.membership.Load().neighbours)
	if in.list.Deregister == nil {
		return
	}
	in.listingMutex.Lock()
	defer in.listingMutex.Unlock()
	if err := in.list.Register(ctx, in.listing(true)); err == nil {
		_ = in.list.Deregister(ctx, in.settings.Instance)
	}
}
