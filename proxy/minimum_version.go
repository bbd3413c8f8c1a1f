package proxy

import (
	"sync/atomic"
	"time"
)

// minimumVersionTimeout is how long statements wait for a configuration that another
// instance has. It covers a few network round trips, since that instance passes the
// configuration on.
const minimumVersionTimeout = 300 * time.Millisecond

// minimumVersion is the newest configuration version that another instance reported.
type minimumVersion struct {
	version atomic.Uint64
	// waitUntil is the deadline of statements that wait for it, in nanoseconds since
	// 1970.
	waitUntil atomic.Int64
}

// configVersions returns the functions that exchange versions with other instances.
func (p *Proxy) configVersions() ConfigVersions {
	return ConfigVersions{Newest: p.newestVersion, Observe: p.observeVersion}
}

// newestVersion returns the newest version in force here or reported by others.
func (p *Proxy) newestVersion() uint64 {
	return max(p.minimumVersion.version.Load(), p.configVersion())
}

// configVersion returns the version in force, or zero without a configuration.
func (p *Proxy) configVersion() uint64 {
	if c := p.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// observeVersion records the version of another instance.
func (p *Proxy) observeVersion(version uint64) {
	for old := p.minimumVersion.version.Load(); version > old; old = p.minimumVersion.version.Load() {
		if p.minimumVersion.version.CompareAndSwap(old, version) {
			p.minimumVersion.waitUntil.Store(p.now().Add(minimumVersionTimeout).UnixNano())
			return
		}
	}
}

// await waits until the configuration in force has at least the minimum version, or the
// deadline passes, and returns how long it waited.
func (m *minimumVersion) await(p *Proxy) time.Duration {
	const pollInterval = 5 * time.Millisecond
	if p.configVersion() >= m.version.Load() {
		return 0
	}
	startedAt := p.now()
	latest := startedAt.Add(minimumVersionTimeout).UnixNano() // versions that come meanwhile extend waitUntil
	for p.configVersion() < m.version.Load() && p.now().UnixNano() < min(m.waitUntil.Load(), latest) {
		time.Sleep(pollInterval)
	}
	return p.now().Sub(startedAt)
}
