package proxy

import (
	"maps"
	"slices"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/home"
	"anviltack/core/mark"
)

// configure applies the list of the group's endpoints. An endpoint whose process was
// restarted under its name is treated as a new endpoint.
func (g *groupControl) configure(now time.Time, list []Endpoint, s GroupSettings, homes []core.Instance) {
	g.homes, g.settings = homes, s
	listed := make(map[core.Endpoint]bool, len(list))
	// unknownPrimary is an endpoint that is listed as a primary and is not the one that
	// machine has.
	var unknownPrimary core.Endpoint
	_, knownPrimary := g.machine.Primary()
	for _, l := range list {
		if l.Role == core.RolePrimary && l.Name != knownPrimary {
			unknownPrimary = l.Name
		}
		e := g.endpoints[l.Name]
		if e != nil && (e.info.Address != l.Address || e.info.StartedAt != l.StartedAt) {
			g.removeEndpoint(now, e)
			e = nil
		}
		if e == nil {
			e = newEndpoint(g, l)
			g.endpoints[l.Name] = e
			g.control.proxy.event(core.EventEndpoint).WithField("group", g.group.name).WithField("endpoint", l.Name).WithField("address", l.Address).Info("endpoint listed")
		}
		listed[l.Name] = true
		e.leaving.Store(l.Leaving)
	}
	for name, e := range g.endpoints {
		if !listed[name] {
			g.removeEndpoint(now, e)
			g.control.proxy.event(core.EventEndpoint).WithField("group", g.group.name).WithField("endpoint", name).Info("endpoint no longer listed")
		}
	}
	g.updateShares(now)
	g.updateMembers(now)
	if _, primary := g.machine.Primary(); unknownPrimary != "" && unknownPrimary != primary {
		g.perform(now, g.machine.SampleAll(now))
	}
}

// updateShares sets this instance's share of the endpoints' connections and slots.
func (g *groupControl) updateShares(now time.Time) {
	share := g.control.handover.Share(now, g.group.name, g.control.self(), g.settings.MaxConnections)
	for _, e := range g.endpoints {
		e.setShare(share, len(g.homes))
	}
}

// removeEndpoint drops an endpoint and everything that it reported: another process
// under its name has none of that state.
func (g *groupControl) removeEndpoint(now time.Time, e *endpoint) {
	e.close()
	delete(g.endpoints, e.info.Name)
	g.updateMembers(now)
}

// updateMembers updates the members of tracker and machine.
func (g *groupControl) updateMembers(now time.Time) {
	g.updateListedVoters()
	g.updateTracker()
	g.machine.SetVoters(g.machineVoters())
	g.rank = g.computeRank()
	g.updateRank()
	members := make([]failover.Member, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		members = append(members, failover.Member{Name: e.info.Name, DataCentre: e.info.DataCentre, Leaving: e.leaving.Load(), Learner: !g.voters.listed[e.info.Name], SameDataCentre: string(e.info.DataCentre) == g.control.proxy.settings.DataCentre})
	}
	g.perform(now, g.machine.Configure(now, members))
}

// updateTracker replaces the tracker if the listed voters changed. The samples of the old one
// stay valid.
func (g *groupControl) updateTracker() {
	g.listedNames = slices.Sorted(maps.Keys(g.endpoints))
	names := slices.Sorted(maps.Keys(g.voters.listed))
	if !slices.Equal(names, g.trackedNames) {
		samples := g.tracker.History()
		g.trackedNames = names
		g.tracker = mark.NewTracker(names...)
		*g.tracker.History() = *samples
	}
	g.tracker.SetUnlisted(g.voters.unlisted)
}

// computeRank returns this instance's rank among the home instances; others rank after
// them. Those in the primary's data centre come last: a failure of that data centre is theirs
// as well.
func (g *groupControl) computeRank() int {
	homes := make([]home.Instance, 0, len(g.homes))
	for _, i := range g.homes {
		homes = append(homes, home.Instance{Name: i, DataCentre: g.control.lastListed[i].peer.DataCentre})
	}
	var primary core.DataCentre
	if e := g.endpoints[g.rankedFor]; e != nil {
		primary = e.info.DataCentre
	}
	return home.Rank(g.control.self(), homes, g.group.name, primary)
}

// updateRank sets the rank of the machine. An instance that cannot reach the lease store
// ranks after all others.
func (g *groupControl) updateRank() {
	if _, primary := g.machine.Primary(); primary != g.rankedFor {
		g.rankedFor = primary
		g.rank = g.computeRank()
	}
	rank := g.rank
	if !g.control.proxy.dependencies.LeaseStore.IsHealthy() {
		rank += len(g.homes)
	}
	g.machine.SetRank(rank, 1)
}
