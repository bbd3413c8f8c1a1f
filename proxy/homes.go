package proxy

import (
	"cmp"
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/home"
)

// listing is an instance as it was listed last.
type listing struct {
	peer Peer
	at   time.Time
}

// absentFor is how long an instance that is no longer listed keeps its part of the
// endpoints' connections: it may be cut off from the list only.
const absentFor = 20 * time.Second

// share takes the listed instances.
func (c *control) share(listed []Peer) {
	now := c.proxy.now()
	for _, p := range listed {
		c.seen[p.Name] = listing{peer: p, at: now}
	}
	var live []Peer
	for i, l := range c.seen {
		if now.Sub(l.at) >= absentFor {
			delete(c.seen, i)
			continue
		}
		live = append(live, l.peer)
	}
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	if slices.Equal(live, c.live) {
		return
	}
	c.proxy.event(core.EventMembers).WithField("instances", len(live)).Info("live instances changed")
	first := len(c.live) == 0
	c.live = live
	if first {
		c.rehome()
		return
	}
	if c.changedAt.IsZero() {
		c.changedAt = now
	}
	c.settledAt = now.Add(shareQuiet)
	if last := c.changedAt.Add(shareLimit); c.settledAt.After(last) {
		c.settledAt = last
	}
}

const (
	// shareQuiet is how long the list of instances has to stand before the groups
	// are dealt anew: a fleet that starts is listed within some hundred milliseconds,
	// and each deal opens and closes connections.
	shareQuiet = 500 * time.Millisecond
	// shareLimit bounds the wait while the list goes on changing.
	shareLimit = 2 * time.Second
)

// rehome deals the groups to the instances that are listed now.
func (c *control) rehome() {
	c.changedAt, c.settledAt = time.Time{}, time.Time{}
	c.homes = nil
	c.arrange()
}

// findHomes works out the homes of all groups.
func (c *control) findHomes(config *Config) {
	if c.homes != nil {
		return
	}
	var instances []home.Instance
	peers := make(map[core.Instance]Peer, len(c.live))
	for _, p := range c.live {
		peers[p.Name] = p
		if p.SessionAddress.IsValid() {
			instances = append(instances, home.Instance{Name: p.Name, DataCentre: p.DataCentre})
		}
	}
	if len(instances) == 0 {
		for _, p := range c.live {
			instances = append(instances, home.Instance{Name: p.Name, DataCentre: p.DataCentre})
		}
	}
	c.homes = make(map[core.Group][]core.Instance, len(config.Groups))
	view := make(map[core.Group][]Peer, len(config.Groups))
	for name, settings := range config.Groups {
		c.homes[name] = home.Choose(name, instances, settings.MaxConnections)
		for _, i := range c.homes[name] {
			if p := peers[i]; i != c.self() && p.SessionAddress.IsValid() {
				view[name] = append(view[name], p)
			}
		}
	}
	c.proxy.homes.Store(&view)
}

func (c *control) self() core.Instance { return core.Instance(c.proxy.settings.Instance) }

// lentFor is how long a group of which this instance is no home stays here after
// its last statement; transactions rest for less.
const lentFor = 20 * time.Second

// serves reports whether a group is served here: this instance is a home, or
// statements of the group came here lately.
func (c *control) serves(now time.Time, name core.Group) bool {
	homes := c.homes[name]
	if len(homes) == 0 || slices.Contains(homes, c.self()) {
		return true
	}
	g := c.groups[name]
	if g == nil || now.Sub(time.Unix(0, g.group.usedAt.Load())) >= lentFor {
		return false
	}
	c.lent = true
	return true
}

// serve begins to serve a group here that homes should serve and do not.
func (c *control) serve(now time.Time, name core.Group) {
	config := c.proxy.config.Load()
	if config == nil || c.groups[name] != nil {
		return
	}
	if _, ok := config.Groups[name]; !ok {
		return
	}
	g := newGroupControl(c, name)
	g.group.usedAt.Store(now.UnixNano())
	c.groups[name] = g
	c.arrange()
}
