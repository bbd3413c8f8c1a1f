package member

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"anviltack/core"
)

// The defaults of a table.
const (
	defaultSilence  = 3 * time.Second
	defaultForget   = time.Minute
	defaultEveryone = 6
	defaultRing     = 2
)

// DefaultFanOut is to how many instances each one hands a new configuration.
const DefaultFanOut = 4

// neverHeard is the Silent of a member without a heartbeat.
const neverHeard = -1

// Table is what one instance knows of all instances.
type Table struct {
	// self is this instance; its state is live or leaving.
	self Member
	// records are the other instances; self is never among them.
	records map[core.Instance]*record
	// silence is the time without a heartbeat after which an instance that
	// owes heartbeats is dead.
	silence time.Duration
	// forget is the time after which a dead instance off the list is dropped.
	forget time.Duration
	// everyone is the number of instances up to which each one exchanges
	// heartbeats with every other; ring is the number of neighbours on each
	// side beyond it.
	everyone int
	ring     int
	fanOut   int
	// owed caches owing; nil after a change of what it follows from: the names,
	// the data centres and who is leaving.
	owed map[core.Instance]bool
}

type record struct {
	Member
	// leavingList and leavingBeat hold what each source said last; either
	// makes the instance leaving.
	leavingList bool
	leavingBeat bool
	uptime      time.Duration
	heard       time.Time
	known       time.Time
}

// Option changes a default of a table.
type Option func(*Table)

// WithSilence sets the time without a heartbeat after which an instance is dead.
func WithSilence(d time.Duration) Option { return func(t *Table) { t.silence = d } }

// WithForget sets the time after which a dead instance off the list is dropped.
func WithForget(d time.Duration) Option { return func(t *Table) { t.forget = d } }

// WithEveryone sets the number of instances up to which all exchange heartbeats.
func WithEveryone(n int) Option { return func(t *Table) { t.everyone = n } }

// WithFanOut sets to how many instances each one hands a new configuration.
func WithFanOut(n int) Option { return func(t *Table) { t.fanOut = n } }

// NewTable returns the table of an instance that knows of no other.
func NewTable(self Member, options ...Option) *Table {
	self.State = StateLive
	t := &Table{
		self: self, records: make(map[core.Instance]*record), silence: defaultSilence,
		forget: defaultForget, everyone: defaultEveryone, ring: defaultRing, fanOut: DefaultFanOut,
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Drain marks this instance as leaving; nothing makes it live again.
func (t *Table) Drain() { t.self.State = StateLeaving }

// Adopt notes the version in force on this instance.
func (t *Table) Adopt(version uint64) { t.self.Version = max(t.self.Version, version) }

// List takes in the platform's list.
func (t *Table) List(now time.Time, list []Listing) {
	t.owed = nil
	t.self.Listed = false
	for _, r := range t.records {
		r.Listed, r.leavingList = false, false
	}
	for _, l := range list {
		if l.Instance == t.self.Instance {
			t.self.Listed = true
			continue
		}
		r := t.record(now, l.Instance)
		r.Listed, r.leavingList = true, l.Leaving
		if r.heard.IsZero() {
			r.DataCentre, r.Address = l.DataCentre, l.Address
		}
	}
	maps.DeleteFunc(t.records, func(_ core.Instance, r *record) bool {
		return !r.Listed && now.Sub(maxTime(r.heard, r.known)) > t.forget
	})
}

// Hear takes in a heartbeat of another instance, asked for or not.
func (t *Table) Hear(now time.Time, b Beat) {
	if b.Instance == t.self.Instance || b.Instance == "" {
		return
	}
	r := t.record(now, b.Instance)
	restarted := b.Uptime < r.uptime
	leaving := b.Draining || r.leavingBeat && !restarted
	if leaving != r.leavingBeat || b.DataCentre != r.DataCentre {
		t.owed = nil
	}
	r.leavingBeat = leaving
	if restarted {
		r.Version = 0
	}
	r.DataCentre, r.Address, r.uptime, r.heard = b.DataCentre, b.Address, b.Uptime, now
	r.Version = max(r.Version, b.Version)
}

// Acknowledge notes the version that an instance told of in answer to a push.
func (t *Table) Acknowledge(address netip.AddrPort, version uint64) {
	for _, r := range t.records {
		if r.Address == address {
			r.Version = max(r.Version, version)
		}
	}
}

func (t *Table) record(now time.Time, name core.Instance) *record {
	r, ok := t.records[name]
	if !ok {
		t.owed = nil
		r = &record{Member: Member{Instance: name}, known: now}
		t.records[name] = r
	}
	return r
}

// Self returns this instance.
func (t *Table) Self() Member { return t.self }

// Members returns every instance known, this one included, in the order of
// their names.
func (t *Table) Members(now time.Time) []Member {
	owing := t.owing()
	members := make([]Member, 0, len(t.records)+1)
	members = append(members, t.self)
	for _, r := range t.records {
		members = append(members, t.member(now, r, owing))
	}
	sortByName(members)
	return members
}

func (t *Table) member(now time.Time, r *record, owing map[core.Instance]bool) Member {
	m := r.Member
	m.State = t.state(now, r, owing)
	m.Silent = neverHeard
	if !r.heard.IsZero() {
		m.Silent = now.Sub(r.heard)
	}
	return m
}

func sortByName(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
}

// state decides with caution: one source that calls an instance leaving is
// enough, while the list alone makes no instance live that owes a heartbeat.
func (t *Table) state(now time.Time, r *record, owing map[core.Instance]bool) State {
	heard := !r.heard.IsZero() && now.Sub(r.heard) <= t.silence
	alive := heard || r.Listed && !owing[r.Instance]
	switch {
	case !alive:
		return StateDead
	case r.leavingList || r.leavingBeat:
		return StateLeaving
	default:
		return StateLive
	}
}

// Due returns the neighbours to which this instance sends a heartbeat in each
// period. An exchange tells both sides, so the first by name begins it, and the
// other one only when nothing came for longer.
func (t *Table) Due(now time.Time, period time.Duration) []Member {
	return slices.DeleteFunc(t.Neighbours(now), func(m Member) bool {
		return m.Instance < t.self.Instance && m.Silent >= 0 && m.Silent < period+period/2
	})
}

// Neighbours returns the instances with which this one exchanges heartbeats.
// Dead ones are among them, so that their return is noticed.
func (t *Table) Neighbours(now time.Time) []Member {
	owing := t.owing()
	neighbours := make([]Member, 0, len(owing))
	for name := range owing {
		neighbours = append(neighbours, t.member(now, t.records[name], owing))
	}
	sortByName(neighbours)
	return neighbours
}

// owing returns the instances that owe this one heartbeats: all in a small
// fleet, and in a larger one the nearest on a ring in the order of hashes.
func (t *Table) owing() map[core.Instance]bool {
	if t.owed == nil {
		t.owed = t.findOwing()
	}
	return t.owed
}

func (t *Table) findOwing() map[core.Instance]bool {
	owing := make(map[core.Instance]bool, len(t.records))
	if len(t.records) < t.everyone {
		for name := range t.records {
			owing[name] = true
		}
		return owing
	}
	names := append(slices.Collect(maps.Keys(t.records)), t.self.Instance)
	slices.SortFunc(names, func(a, b core.Instance) int {
		return cmp.Or(cmp.Compare(weight(ringDuty, a), weight(ringDuty, b)), cmp.Compare(a, b))
	})
	i := slices.Index(names, t.self.Instance)
	for step := 1; step <= t.ring; step++ {
		owing[names[(i+step)%len(names)]] = true
		owing[names[(i-step+len(names))%len(names)]] = true
	}
	t.addWatchers(owing)
	return owing
}

// addWatchers adds the first ranks of the data centre's watch when this
// instance is among them, so that the next rank notices a silent watcher. The
// ranks are those of the list, since the live ones follow from what is owed.
func (t *Table) addWatchers(owing map[core.Instance]bool) {
	members := []Member{t.self}
	for _, r := range t.records {
		if r.DataCentre == t.self.DataCentre && !r.leavingList && !r.leavingBeat {
			members = append(members, r.Member)
		}
	}
	ranked := order(DutyWatch, members)
	ranked = ranked[:min(watchers+spareWatchers, len(ranked))]
	if !slices.ContainsFunc(ranked, func(m Member) bool { return m.Instance == t.self.Instance }) {
		return
	}
	for _, m := range ranked {
		if m.Instance != t.self.Instance {
			owing[m.Instance] = true
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
