package member

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"anviltack/core"
)

// Defaults of the options of a table.
const (
	defaultHeartbeatTimeout  = 3 * time.Second
	defaultDeadRetention     = time.Minute
	defaultFullMeshLimit     = 6
	defaultNeighboursPerSide = 2
)

// DefaultFanOut is the number of instances to which each one forwards a new
// configuration.
const DefaultFanOut = 4

// noHeartbeat is the HeartbeatAge of a member that sent no heartbeat yet.
const noHeartbeat = -1

// Table is the membership table of one instance.
type Table struct {
	// self is this instance; its state is StateLive or StateLeaving.
	self Member
	// records are the other instances; self is not among them.
	records map[core.Instance]*record
	// heartbeatTimeout is the time without a heartbeat after which a neighbour is
	// dead.
	heartbeatTimeout time.Duration
	// deadRetention is how long a dead instance that is not in the platform's list
	// is kept.
	deadRetention time.Duration
	// fullMeshLimit is the number of instances, this one included, up to which
	// every one exchanges heartbeats with every other. In a larger fleet each has
	// neighboursPerSide neighbours on each side of the ring.
	fullMeshLimit     int
	neighboursPerSide int
	fanOut            int
	// cachedNeighbours is the result of findNeighbours. It is reset to nil when a
	// name, a data centre or a leaving flag changes.
	cachedNeighbours map[core.Instance]bool
}

type record struct {
	Member
	// listedLeaving and reportedLeaving are the latest leaving flags from the
	// platform's list and from heartbeats; either makes the instance leaving.
	listedLeaving   bool
	reportedLeaving bool
	uptime          time.Duration
	lastHeartbeat   time.Time
	addedAt         time.Time
}

// Option overrides a default of a table.
type Option func(*Table)

// WithHeartbeatTimeout sets the time without a heartbeat after which an instance
// is dead.
func WithHeartbeatTimeout(d time.Duration) Option { return func(t *Table) { t.heartbeatTimeout = d } }

// WithDeadRetention sets how long a dead instance that is not in the platform's
// list is kept.
func WithDeadRetention(d time.Duration) Option { return func(t *Table) { t.deadRetention = d } }

// WithFullMeshLimit sets the number of instances up to which all exchange
// heartbeats with one another.
func WithFullMeshLimit(n int) Option { return func(t *Table) { t.fullMeshLimit = n } }

// WithFanOut sets the number of instances to which each one forwards a new
// configuration.
func WithFanOut(n int) Option { return func(t *Table) { t.fanOut = n } }

// NewTable returns a table that contains only the instance itself.
func NewTable(self Member, options ...Option) *Table {
	self.State = StateLive
	t := &Table{
		self: self, records: make(map[core.Instance]*record), heartbeatTimeout: defaultHeartbeatTimeout,
		deadRetention: defaultDeadRetention, fullMeshLimit: defaultFullMeshLimit, neighboursPerSide: defaultNeighboursPerSide, fanOut: DefaultFanOut,
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Drain marks this instance as leaving; this cannot be undone.
func (t *Table) Drain() { t.self.State = StateLeaving }

// AdoptVersion records the configuration version in force on this instance; a
// lower one than before is ignored.
func (t *Table) AdoptVersion(version uint64) { t.self.Version = max(t.self.Version, version) }

// ApplyList updates the table from the platform's list and removes the instances
// that are off the list and were neither added nor heard from for deadRetention.
func (t *Table) ApplyList(now time.Time, list []Listing) {
	t.cachedNeighbours = nil
	t.self.Listed = false
	for _, r := range t.records {
		r.Listed, r.listedLeaving = false, false
	}
	for _, l := range list {
		if l.Instance == t.self.Instance {
			t.self.Listed = true
			continue
		}
		r := t.record(now, l.Instance)
		r.Listed, r.listedLeaving = true, l.Leaving
		if r.lastHeartbeat.IsZero() {
			r.DataCentre, r.Address = l.DataCentre, l.Address
		}
	}
	maps.DeleteFunc(t.records, func(_ core.Instance, r *record) bool {
		return !r.Listed && now.Sub(latest(r.lastHeartbeat, r.addedAt)) > t.deadRetention
	})
}

// RecordHeartbeat updates the table from a heartbeat that another instance sent
// or replied.
func (t *Table) RecordHeartbeat(now time.Time, h Heartbeat) {
	if h.Instance == t.self.Instance || h.Instance == "" {
		return
	}
	r := t.record(now, h.Instance)
	restarted := h.Uptime < r.uptime
	leaving := h.Draining || r.reportedLeaving && !restarted
	if leaving != r.reportedLeaving || h.DataCentre != r.DataCentre {
		t.cachedNeighbours = nil
	}
	r.reportedLeaving = leaving
	if restarted {
		r.Version = 0
	}
	r.DataCentre, r.Address, r.uptime, r.lastHeartbeat = h.DataCentre, h.Address, h.Uptime, now
	r.Version = max(r.Version, h.Version)
}

// RecordAcknowledgement records the version that an instance returned in reply to
// a push.
func (t *Table) RecordAcknowledgement(address netip.AddrPort, version uint64) {
	for _, r := range t.records {
		if r.Address == address {
			r.Version = max(r.Version, version)
		}
	}
}

func (t *Table) record(now time.Time, name core.Instance) *record {
	r, ok := t.records[name]
	if !ok {
		t.cachedNeighbours = nil
		r = &record{Member: Member{Instance: name}, addedAt: now}
		t.records[name] = r
	}
	return r
}

// Self returns this instance.
func (t *Table) Self() Member { return t.self }

// Members returns all known instances, this one included, sorted by name.
func (t *Table) Members(now time.Time) []Member {
	neighbours := t.neighbourSet()
	members := make([]Member, 0, len(t.records)+1)
	members = append(members, t.self)
	for _, r := range t.records {
		members = append(members, t.member(now, r, neighbours))
	}
	sortByName(members)
	return members
}

func (t *Table) member(now time.Time, r *record, neighbours map[core.Instance]bool) Member {
	m := r.Member
	m.State = t.state(now, r, neighbours)
	m.HeartbeatAge = noHeartbeat
	if !r.lastHeartbeat.IsZero() {
		m.HeartbeatAge = now.Sub(r.lastHeartbeat)
	}
	return m
}

func sortByName(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
}

// state returns the state of an instance. A leaving flag in the list or in a
// heartbeat is enough to make it leaving, but a neighbour is live only while its heartbeats arrive, even if the
// platform lists it.
func (t *Table) state(now time.Time, r *record, neighbours map[core.Instance]bool) State {
	recentHeartbeat := !r.lastHeartbeat.IsZero() && now.Sub(r.lastHeartbeat) <= t.heartbeatTimeout
	alive := recentHeartbeat || r.Listed && !neighbours[r.Instance]
	switch {
	case !alive:
		return StateDead
	case r.listedLeaving || r.reportedLeaving:
		return StateLeaving
	default:
		return StateLive
	}
}

// HeartbeatsDue returns the neighbours to which this instance sends a heartbeat in
// a period. The reply carries the neighbour's own heartbeat, so only the instance
// whose name sorts first starts an exchange; the other one does if none arrived
// for one and a half periods.
func (t *Table) HeartbeatsDue(now time.Time, period time.Duration) []Member {
	return slices.DeleteFunc(t.Neighbours(now), func(m Member) bool {
		return m.Instance < t.self.Instance && m.HeartbeatAge >= 0 && m.HeartbeatAge < period+period/2
	})
}

// Neighbours returns the instances with which this one exchanges heartbeats. Dead
// ones are included, so that their return is noticed.
func (t *Table) Neighbours(now time.Time) []Member {
	set := t.neighbourSet()
	neighbours := make([]Member, 0, len(set))
	for name := range set {
		neighbours = append(neighbours, t.member(now, t.records[name], set))
	}
	sortByName(neighbours)
	return neighbours
}

// neighbourSet returns the instances with which this one exchanges heartbeats: all
// others in a small fleet, and in a larger one the nearest on the heartbeat ring.
func (t *Table) neighbourSet() map[core.Instance]bool {
	if t.cachedNeighbours == nil {
		t.cachedNeighbours = t.findNeighbours()
	}
	return t.cachedNeighbours
}

func (t *Table) findNeighbours() map[core.Instance]bool {
	neighbours := make(map[core.Instance]bool, len(t.records))
	if len(t.records) < t.fullMeshLimit {
		for name := range t.records {
			neighbours[name] = true
		}
		return neighbours
	}
	names := append(slices.Collect(maps.Keys(t.records)), t.self.Instance)
	slices.SortFunc(names, func(a, b core.Instance) int {
		return cmp.Or(cmp.Compare(weight(ringHashKey, a), weight(ringHashKey, b)), cmp.Compare(a, b))
	})
	i := slices.Index(names, t.self.Instance)
	for step := 1; step <= t.neighboursPerSide; step++ {
		neighbours[names[(i+step)%len(names)]] = true
		neighbours[names[(i-step+len(names))%len(names)]] = true
	}
	t.addWatchers(neighbours)
	return neighbours
}

// addWatchers adds the data centre's watchers and standby watchers if this
// instance is one of them, so that the next rank notices a failed watcher. All
// instances that are not leaving are ranked, dead ones too, since which ones are
// live depends on the neighbours.
func (t *Table) addWatchers(neighbours map[core.Instance]bool) {
	members := []Member{t.self}
	for _, r := range t.records {
		if r.DataCentre == t.self.DataCentre && !r.listedLeaving && !r.reportedLeaving {
			members = append(members, r.Member)
		}
	}
	ranked := rankMembers(DutyWatch, members)
	ranked = ranked[:min(watchersPerDataCentre+standbyWatchers, len(ranked))]
	if !slices.ContainsFunc(ranked, func(m Member) bool { return m.Instance == t.self.Instance }) {
		return
	}
	for _, m := range ranked {
		if m.Instance != t.self.Instance {
			neighbours[m.Instance] = true
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
