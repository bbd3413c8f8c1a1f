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
	// watchPause is the time between two attempts to reach the platform.
	watchPause = 500 * time.Millisecond
	// listPeriod is the longest time after which an instance that does not watch
	// reads the list of instances again; it begins with shorter ones.
	listPeriod = time.Minute
	// registerPeriod is how long the list may lag before an instance that it
	// does not show is put on it again.
	registerPeriod = 10 * time.Second
)

// watcher follows a configuration that does not come from the platform.
type watcher struct {
	instance *Instance
}

// Serve hands every new configuration to the control goroutine.
func (w *watcher) Serve(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		next, config, err := w.instance.watch(ctx, version)
		if err != nil {
			w.instance.event(core.EventConfigSource).WithError(err).Warn("no configuration")
			sleep(ctx, watchPause)
			continue
		}
		version = next
		d := patch.Document{Version: next, Config: *config}
		w.instance.control.post(ctx, func(now time.Time) { w.instance.control.fleet.offer(now, d, patch.SourcePlatform) })
	}
	return ctx.Err()
}

// configWatcher follows the platform's configuration while this instance is one
// of the watchers of its data centre, and reads it once at start.
type configWatcher struct {
	instance *Instance
}

// Serve follows the configuration until the context ends.
func (w *configWatcher) Serve(ctx context.Context) error {
	var index uint64
	for ctx.Err() == nil {
		next, err := w.read(ctx, index)
		if err != nil {
			w.instance.event(core.EventConfigSource).WithError(err).Warn("no configuration from the platform")
			sleep(ctx, watchPause)
			index = 0
			continue
		}
		if next == index && index == 0 {
			sleep(ctx, watchPause)
		}
		index = next
		if !w.instance.awaitWatching(ctx) {
			index = 0
		}
	}
	return ctx.Err()
}

// read waits for a change after an index, or reads at once when it is zero.
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
	if held := w.instance.fleet.Load().document.Version; d.Version < held {
		w.instance.event(core.EventConfigBehind).WithField("version", d.Version).WithField("in_force", held).
			Warn("the platform shows a version below the one in force")
	}
	w.instance.control.post(ctx, func(now time.Time) { w.instance.control.fleet.offer(now, d, patch.SourcePlatform) })
	return e.WatchIndex, nil
}

// awaitWatching waits while this instance is not a watcher and its
// configuration is the newest one heard of. It reports whether it was a watcher
// all along.
func (in *Instance) awaitWatching(ctx context.Context) bool {
	stayed := true
	for ctx.Err() == nil {
		f := in.fleet.Load()
		if f.watching || f.document.Version == 0 {
			return stayed
		}
		stayed = false
		sleep(ctx, fleetPeriod)
	}
	return stayed
}

// lister keeps this instance on the platform's list and follows the list.
type lister struct {
	instance *Instance
	// registered is when the instance was put on the list last.
	registered time.Time
}

// Serve follows the list until the context ends.
func (l *lister) Serve(ctx context.Context) error {
	in := l.instance
	var index uint64
	period := fleetPeriod
	for ctx.Err() == nil {
		list, next, err := in.list.Watch(ctx, index)
		if err != nil {
			in.event(core.EventConfigSource).WithError(err).Warn("no list from the platform")
			sleep(ctx, watchPause)
			index = 0
			continue
		}
		in.control.post(ctx, func(now time.Time) { in.control.fleet.listed(now, list) })
		if !slices.Contains(list, in.listing(false)) && time.Since(l.registered) > registerPeriod {
			l.register(ctx)
			index = 0
			continue
		}
		if index = l.rest(ctx, next, period); index == 0 {
			period = min(2*period, listPeriod)
		}
	}
	return ctx.Err()
}

// register puts this instance on the list, where it is missing at start and
// after the platform lost it. A stopping instance stays off it.
func (l *lister) register(ctx context.Context) {
	in := l.instance
	in.listed.Lock()
	defer in.listed.Unlock()
	if in.isDraining() {
		return
	}
	if err := in.list.Register(ctx, in.listing(false)); err != nil {
		in.event(core.EventConfigSource).WithError(err).Warn("not on the platform's list")
		sleep(ctx, watchPause)
		return
	}
	l.registered = time.Now()
}

// rest waits while this instance is no watcher, up to about a period, which
// differs at random between instances. It returns the index after which to
// watch, or zero to read the list at once.
func (l *lister) rest(ctx context.Context, index uint64, period time.Duration) uint64 {
	end := time.Now().Add(period/2 + rand.N(period))
	for ctx.Err() == nil && !l.instance.fleet.Load().watching && time.Now().Before(end) {
		index = 0
		sleep(ctx, fleetPeriod)
	}
	if index == 0 {
		sleep(ctx, fleetPeriod)
	}
	return index
}

// listing is this instance's entry on the platform's list.
func (in *Instance) listing(leaving bool) member.Listing {
	return member.Listing{
		Instance: in.settings.Instance, DataCentre: in.settings.DataCentre, Address: in.settings.Peers, Leaving: leaving,
	}
}

// endpointLister follows which endpoints the platform's list calls leaving.
type endpointLister struct {
	instance *Instance
}

// Serve follows the list while this instance is a watcher.
func (l *endpointLister) Serve(ctx context.Context) error {
	in := l.instance
	var index uint64
	for ctx.Err() == nil {
		if !in.fleet.Load().watching {
			index = 0
			sleep(ctx, fleetPeriod)
			continue
		}
		leaving, next, err := in.list.Endpoints(ctx, index)
		if err != nil {
			sleep(ctx, watchPause)
			index = 0
			continue
		}
		in.control.post(ctx, func(now time.Time) { in.control.fleet.listLeaving(now, leaving, next) })
		if next == 0 {
			sleep(ctx, watchPause)
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
