package proxy

import (
	"sync/atomic"
	"time"
)

// floorPatience is how long statements wait for a configuration that another
// instance has: a few network trips, since that instance hands it over.
const floorPatience = 300 * time.Millisecond

// floor is the newest version of the configuration that other instances told of.
type floor struct {
	version atomic.Uint64
	// until is up to when statements wait for it, in nanoseconds since 1970.
	until atomic.Int64
}

// versions returns what this instance tells others and learns from them.
func (p *Proxy) versions() ConfigVersions {
	return ConfigVersions{Newest: p.known, Observe: p.learn}
}

// known returns the newest version heard of.
func (p *Proxy) known() uint64 { return max(p.floor.version.Load(), p.version()) }

// version returns that of the configuration in force, zero without one.
func (p *Proxy) version() uint64 {
	if c := p.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// learn takes the version of another instance.
func (p *Proxy) learn(version uint64) {
	for old := p.floor.version.Load(); version > old; old = p.floor.version.Load() {
		if p.floor.version.CompareAndSwap(old, version) {
			p.floor.until.Store(p.now().Add(floorPatience).UnixNano())
			return
		}
	}
}

// await waits until the configuration in force is no older than the floor.
func (f *floor) await(p *Proxy) {
	const look = 5 * time.Millisecond
	for p.version() < f.version.Load() && p.now().UnixNano() < f.until.Load() {
		time.Sleep(look)
	}
}
