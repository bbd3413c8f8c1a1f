package proxy

import (
	"cmp"
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/home"
)

// listedPeer is an instance as it was last listed.
type listedPeer struct {
	peer     Peer
	listedAt time.Time
}

func (p Peer) homeInstance() home.Instance {
	return home.Instance{Name: p.Name, DataCentre: p.DataCentre, Strength: p.Strength}
}

// shareRetention is how long an instance that is no longer listed keeps its share of the
// endpoints' connections: it may still run and only be unable to reach the list.
const shareRetention = 20 * time.Second

// updatePeers applies a new list of instances.
func (c *control) updatePeers(listed []Peer) {
	now := c.proxy.now()
	c.proxy.limits.observe(listed)
	for _, p := range listed {
		c.lastListed[p.Name] = listedPeer{peer: p, listedAt: now}
	}
	var live []Peer
	for i, l := range c.lastListed {
		if now.Sub(l.listedAt) >= shareRetention {
			delete(c.lastListed, i)
			continue
		}
		live = append(live, l.peer)
	}
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	if slices.Equal(live, c.livePeers) {
		return
	}
	c.proxy.event(core.EventMembers).WithField("instances", len(live)).Info("live instances changed")
	initial := len(c.livePeers) == 0
	c.livePeers = live
	if initial {
		c.reassignHomes()
		return
	}
	if c.peersChangedAt.IsZero() {
		c.peersChangedAt = now
	}
	c.reassignAt = now.Add(reassignDelay)
	if latest := c.peersChangedAt.Add(maxReassignDelay); c.reassignAt.After(latest) {
		c.reassignAt = latest
	}
}

const (
	// reassignDelay is how long the list of instances must stay unchanged before homes
	// are assigned anew. A starting fleet is listed within a few hundred milliseconds,
	// and each assignment opens and closes connections.
	reassignDelay = 500 * time.Millisecond
	// maxReassignDelay bounds the wait while the list keeps changing.
	maxReassignDelay = 2 * time.Second
)

// reassignHomes assigns the groups to the instances that are listed now.
func (c *control) reassignHomes() {
	c.peersChangedAt, c.reassignAt = time.Time{}, time.Time{}
	c.homes = nil
	c.reconcileGroups()
}

// assignHomes computes the home instances of all groups.
func (c *control) assignHomes(config *Config) {
	if c.homes != nil {
		return
	}
	var instances []home.Instance
	peers := make(map[core.Instance]Peer, len(c.livePeers))
	for _, p := range c.livePeers {
		peers[p.Name] = p
		if p.SessionAddress.IsValid() && !p.Leaving {
			instances = append(instances, p.homeInstance())
		}
	}
	if len(instances) == 0 {
		for _, p := range c.livePeers {
			instances = append(instances, p.homeInstance())
		}
	}
	slots := c.slots()
	limits := make(map[core.Group]home.Limits, len(config.Groups))
	for name, settings := range config.Groups {
		limits[name] = home.Limits{Connections: settings.MaxConnections, Slots: slots[name]}
	}
	c.homes = home.Assign(limits, instances)
	c.handover.Assign(c.proxy.now(), c.homes)
	c.homePeers = make(map[core.Group][]Peer, len(c.homes))
	for name, homes := range c.homes {
		for _, i := range homes {
			if p := peers[i]; i != c.self() && p.SessionAddress.IsValid() {
				c.homePeers[name] = append(c.homePeers[name], p)
			}
		}
	}
	c.monitored = c.chooseMonitored()
	c.reportHomes(len(instances))
}

// reportHomes counts and logs the homes that moved with an assignment.
func (c *control) reportHomes(instances int) {
	moved := home.Moved(c.reportedHomes, c.homes)
	c.reportedHomes = c.homes
	if moved == 0 {
		return
	}
	own := 0
	for _, homes := range c.homes {
		if slices.Contains(homes, c.self()) {
			own++
		}
	}
	c.proxy.counts.homesMoved.Inc(int64(moved))
	c.proxy.event(core.EventHomes).WithField("groups", len(c.homes)).WithField("instances", instances).WithField("moved", moved).WithField("own", own).Info("home instances assigned")
}

// chooseMonitored returns the group that this instance connects to although it is home of
// none; empty if it is home of one.
func (c *control) chooseMonitored() core.Group {
	var names []core.Group
	for name, homes := range c.homes {
		if slices.Contains(homes, c.self()) {
			return ""
		}
		names = append(names, name)
	}
	return home.Monitored(c.self(), names)
}

// slots returns the slots of each group's listed endpoints; the highest where they differ.
func (c *control) slots() map[core.Group]int {
	slots := make(map[core.Group]int)
	for _, e := range c.listedEndpoints {
		slots[e.Group] = max(slots[e.Group], e.Slots)
	}
	return slots
}

func (c *control) self() core.Instance { return core.Instance(c.proxy.settings.Instance) }

// groupUpdateInterval is the interval between two calls of updateGroups.
const groupUpdateInterval = 500 * time.Millisecond

// shouldConnect reports whether this instance connects to the endpoints of a group: it is
// a home instance, it is home of no group and needs one to notice that it is isolated, or
// it still serves sessions of the group.
func (c *control) shouldConnect(now time.Time, name core.Group) bool {
	if c.isHome(name) || name == c.monitored {
		return true
	}
	g := c.groups[name]
	return g != nil && !g.nonHome().MayLeave(now)
}

// updateGroups adapts this instance's shares of connections, ends the sessions of the groups
// of which it is no home instance, and leaves those that it no longer uses.
func (c *control) updateGroups(now time.Time) {
	c.groupsUpdatedAt = now
	mayLeave := false
	for name, g := range c.groups {
		g.updateNonHome(now, c.isHome(name))
		g.updateShares(now)
		mayLeave = mayLeave || !c.shouldConnect(now, name)
	}
	if mayLeave {
		c.reconcileGroups()
	}
}

// isHome reports whether this instance is a home instance of a group; all are if none is
// assigned.
func (c *control) isHome(name core.Group) bool {
	homes := c.homes[name]
	return len(homes) == 0 || slices.Contains(homes, c.self())
}

// nonHome describes the use of a group of which this instance is no home instance.
func (g *groupControl) nonHome() home.NonHome {
	return home.NonHome{
		Since: g.nonHomeSince, FallbackUntil: time.Unix(0, g.group.fallbackUntil.Load()),
		Uses: int(g.group.uses.Load()), UsedAt: time.Unix(0, g.group.lastUsedAt.Load()),
	}
}

// updateNonHome ends idle sessions of a group of which this instance is no longer a home
// instance, or which it served while the home instances accepted none.
func (g *groupControl) updateNonHome(now time.Time, isHome bool) {
	if isHome {
		g.nonHomeSince = time.Time{}
		return
	}
	if g.nonHomeSince.IsZero() {
		g.nonHomeSince = now
	}
	if !g.nonHome().EndsSessions(now) {
		return
	}
	p := g.control.proxy
	go p.endSessions(false, func(s *session) bool {
		r, err := p.route(s.caller.Database)
		return s.relay == nil && err == nil && r.Group == g.group.name
	})
}

// addNonHomeGroup connects to a group whose home instances do not serve it.
func (c *control) addNonHomeGroup(now time.Time, name core.Group) {
	config := c.proxy.config.Load()
	if config == nil || c.groups[name] != nil {
		return
	}
	if _, ok := config.Groups[name]; !ok {
		return
	}
	g := newGroupControl(c, name)
	g.group.lastUsedAt.Store(now.UnixNano())
	g.group.fallbackUntil.Store(now.Add(fallbackDuration).UnixNano())
	c.groups[name] = g
	c.reconcileGroups()
}
