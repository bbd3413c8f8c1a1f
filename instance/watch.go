package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/member"
	"anviltack/core/patch"
)

const (
	// watchRetryDelay is the delay before a failed read of the platform is
	// retried.
	watchRetryDelay = 500 * time.Millisecond
	// maxListPeriod is the longest mean period at which an instance that is not a
	// watcher reads the list of instances; the period starts shorter and doubles.
	maxListPeriod = time.Minute
	// registerGracePeriod is how long the list may lag after a registration
	// before an instance missing from it registers again.
	registerGracePeriod = 10 * time.Second
)

// sourceWatcher watches a configuration source other than the platform.
type sourceWatcher struct {
	instance *Instance
}

// Serve passes every new configuration to the control goroutine.
func (w *sourceWatcher) Serve(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		next, config, err := w.instance.watch(ctx, version)
		if err != nil {
			w.instance.event(core.EventConfigSource).WithError(err).Warn("could not read the configuration")
			sleep(ctx, watchRetryDelay)
			continue
		}
		version = next
		d := patch.Document{Version: next, Config: *config}
		w.instance.control.post(ctx, func(now time.Time) { w.instance.control.membership.adopt(now, d, patch.SourcePlatform) })
	}
	return ctx.Err()
}

// configWatcher watches the platform's configuration while this instance is one
// of the watchers of its data centre, and reads it once at start.
type configWatcher struct {
	instance *Instance
}

// Serve watches the configuration until the context ends.
func (w *configWatcher) Serve(ctx context.Context) error {
	var index uint64
	for ctx.Err() == nil {
		next, err := w.read(ctx, index)
		if err != nil {
			w.instance.event(core.EventConfigSource).WithError(err).Warn("could not read the configuration from the platform")
			sleep(ctx, watchRetryDelay)
			index = 0
			continue
		}
		if next == index && index == 0 {
			sleep(ctx, watchRetryDelay)
		}
		index = next
		if !w.instance.awaitWatcherRole(ctx) {
			index = 0
		}
	}
	return ctx.Err()
}

// read blocks until a change after the index, or reads at once when the index is
// zero, and returns the next index.
func (w *configWatcher) read(ctx context.Context, index uint64) (uint64, error) {
	p := w.instance.platform
	e, err := p.Watch(ctx, patch.Key, index)
	if err != nil || e.Index == 0 {
		return e.WatchIndex, err
	}
	d, err := patch.Parse(e.Value)
	if err != nil {
		return 0, err
	}
	if current := w.instance.membership.Load().document.Version; d.Version < current {
		w.instance.event(core.EventConfigBehind).WithField("version", d.Version).WithField("in_force", current).
			Warn("the platform returned a version below the one in force")
	}
	w.instance.control.post(ctx, func(now time.Time) { w.instance.control.membership.adopt(now, d, patch.SourcePlatform) })
	return e.WatchIndex, nil
}

// awaitWatcherRole blocks until this instance is a watcher or has no
// configuration. It reports whether that was the case without waiting.
func (in *Instance) awaitWatcherRole(ctx context.Context) bool {
	wasWatcher := true
	for ctx.Err() == nil {
		view := in.membership.Load()
		if view.isWatcher || view.document.Version == 0 {
			return wasWatcher
		}
		wasWatcher = false
		sleep(ctx, membershipPeriod)
	}
	return wasWatcher
}

// listWatcher keeps this instance registered on the platform's list and watches
// the list.
type listWatcher struct {
	instance *Instance
	// registeredAt is when this instance last registered.
	registeredAt time.Time
}

// Serve watches the list until the context ends.
func (w *listWatcher) Serve(ctx context.Context) error {
	in := w.instance
	var index uint64
	period := membershipPeriod
	for ctx.Err() == nil {
		list, next, err := in.list.Watch(ctx, index)
		if err != nil {
			in.event(core.EventConfigSource).WithError(err).Warn("could not read the list of instances from the platform")
			sleep(ctx, watchRetryDelay)
			index = 0
			continue
		}
		in.control.post(ctx, func(now time.Time) { in.control.membership.applyList(now, list) })
		if !slices.Contains(list, in.listing(false)) && time.Since(w.registeredAt) > registerGracePeriod {
			w.register(ctx)
			index = 0
			continue
		}
		if index = w.pause(ctx, next, period); index == 0 {
			period = min(2*period, maxListPeriod)
		}
	}
	return ctx.Err()
}

// register puts this instance on the list, at start and after the platform lost
// the entry. A draining instance is not registered.
func (w *listWatcher) register(ctx context.Context) {
	in := w.instance
	in.listingMutex.Lock()
	defer in.listingMutex.Unlock()
	if in.isDraining() {
		return
	}
	if err := in.list.Register(ctx, in.listing(false)); err != nil {
		in.event(core.EventConfigSource).WithError(err).Warn("could not register on the platform's list")
		sleep(ctx, watchRetryDelay)
		return
	}
	w.registeredAt = time.Now()
}

// pause waits while this instance is not a watcher, for a period with jitter. It
// returns the index after which to watch, or zero to read the list at once.
func (w *listWatcher) pause(ctx context.Context, index uint64, period time.Duration) uint64 {
	end := time.Now().Add(period/2 + rand.N(period))
	for ctx.Err() == nil && !w.instance.membership.Load().isWatcher && time.Now().Before(end) {
		index = 0
		sleep(ctx, membershipPeriod)
	}
	if index == 0 {
		sleep(ctx, membershipPeriod)
	}
	return index
}

// listing returns this instance's entry for the platform's list.
func (in *Instance) listing(leaving bool) member.Listing {
	return member.Listing{
		Instance: in.settings.Instance, DataCentre: in.settings.DataCentre, Address: in.settings.Peers, Leaving: leaving,
	}
}

// endpointListWatcher watches which endpoints are marked as leaving on the
// platform's list.
type endpointListWatcher struct {
	instance *Instance
}

// Serve watches the list while this instance is a watcher.
func (w *endpointListWatcher) Serve(ctx context.Context) error {
	in := w.instance
	var index uint64
	for ctx.Err() == nil {
		if !in.membership.Load().isWatcher {
			index = 0
			sleep(ctx, membershipPeriod)
			continue
		}
		leaving, next, err := in.list.Endpoints(ctx, index)
		if err != nil {
			sleep(ctx, watchRetryDelay)
			index = 0
			continue
		}
		in.control.post(ctx, func(now time.Time) { in.control.membership.setLeaving(now, leaving, next) })
		if next == 0 {
			sleep(ctx, watchRetryDelay)
		}
		index = next
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
