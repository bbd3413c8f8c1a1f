package proxy

import (
	"cmp"
	"slices"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/voter"
)

const (
	// voterChangeInterval is the least time between two changes of a group's voters.
	voterChangeInterval = time.Second
	// voterLossTimeout is how long voters must be missing before a group that has no
	// majority without them goes on as if they were lost for good: several times as long as
	// a crashed endpoint takes to return with its log.
	voterLossTimeout = 30 * time.Second
)

// voters is what this instance knows of the voters of a group.
type voters struct {
	set voter.Set
	// since is when the logs that vote last changed.
	since time.Time
	// listed holds the listed endpoints that are voters, and unlisted is the number of the
	// other voters.
	listed   map[core.Endpoint]bool
	unlisted int
	// missingSince is since when each voter has been missing in the list of endpoints.
	missingSince map[voter.Voter]time.Time
}

func (e *endpoint) voter() voter.Voter {
	return voter.Voter{Name: e.info.Name, Started: e.info.StartedAt, Address: e.info.Address}
}

// updateListedVoters updates which of the listed endpoints are voters. Until a majority of
// them has confirmed a primary, all of them are.
func (g *groupControl) updateListedVoters() {
	v := &g.voters
	v.listed, v.unlisted = make(map[core.Endpoint]bool), 0
	for _, l := range v.set.Logs(g.voterCandidates()) {
		if l == (voter.Voter{}) {
			v.unlisted++
		} else {
			v.listed[l.Name] = true
		}
	}
	if !v.set.IsKnown() {
		for name := range g.endpoints {
			v.listed[name] = true
		}
	}
}

// voterCandidates returns the listed endpoints by name.
func (g *groupControl) voterCandidates() []voter.Endpoint {
	_, primary := g.machine.Primary()
	list := make([]voter.Endpoint, 0, len(g.endpoints))
	for name, e := range g.endpoints {
		list = append(list, voter.Endpoint{
			Voter: e.voter(), Leaving: e.leaving.Load(), Primary: name == primary, CaughtUp: g.machine.HasCaughtUp(name),
		})
	}
	slices.SortFunc(list, func(a, b voter.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// updateVoters changes the voters of the group if a change is due.
func (g *groupControl) updateVoters(now time.Time) {
	v := &g.voters
	listed := g.voterCandidates()
	g.noteMissing(now, listed)
	confirmed := g.machine.AreVotersConfirmed()
	next, due := v.set.Renamed(listed)
	switch {
	case due:
	case !v.set.IsKnown():
		if confirmed {
			next = voter.New(listed)
			due = len(next.Voters) > 0
		}
	case now.Sub(v.since) < voterChangeInterval:
	case confirmed:
		next, due = v.set.Change(listed)
	default:
		next, due = g.recoverVoters(now, listed)
	}
	if due {
		g.adoptVoters(now, next)
	}
}

// noteMissing updates since when voters have been missing. While the store does not answer,
// the list is not current.
func (g *groupControl) noteMissing(now time.Time, listed []voter.Endpoint) {
	missing := make(map[voter.Voter]time.Time)
	for i, l := range g.voters.set.Logs(listed) {
		if l != (voter.Voter{}) {
			continue
		}
		m := g.voters.set.Voters[i]
		missing[m] = now
		if since, ok := g.voters.missingSince[m]; ok && g.control.proxy.dependencies.LeaseStore.IsHealthy() {
			missing[m] = since
		}
	}
	g.voters.missingSince = missing
}

// recoverVoters returns a set without the voters that are lost for good, if there is no
// majority without them.
func (g *groupControl) recoverVoters(now time.Time, listed []voter.Endpoint) (voter.Set, bool) {
	for _, since := range g.voters.missingSince {
		if now.Sub(since) < voterLossTimeout {
			return g.voters.set, false
		}
	}
	if len(g.voters.missingSince) == 0 {
		return g.voters.set, false
	}
	term, primary := g.machine.Primary()
	floor := term + 1
	if e := g.endpoints[primary]; e != nil && g.voters.listed[primary] && g.machine.IsPrimaryWithoutQuorum() {
		floor = term
	}
	return g.voters.set.Recover(listed, floor)
}

// adoptVoters replaces the set of voters.
func (g *groupControl) adoptVoters(now time.Time, s voter.Set) {
	old := g.voters.set
	renamed, _ := old.Renamed(g.voterCandidates())
	g.voters.set = s
	if !slices.Equal(renamed.Voters, s.Voters) {
		g.voters.since = now
	}
	names := make([]core.Endpoint, 0, len(s.Voters))
	for _, v := range s.Voters {
		names = append(names, v.Name)
	}
	log := g.control.proxy.event(core.EventVoters).WithField("group", g.group.name).WithField("version", s.Version).WithField("voters", names).WithField("floor", s.Floor)
	if s.Floor > old.Floor {
		log.Warn("voters were lost for good; writes that only they held are lost too")
	} else {
		log.Info("voters changed")
	}
	g.updateMembers(now)
}

// machineVoters returns what the machine has to know of the voters beyond its members.
func (g *groupControl) machineVoters() failover.Voters {
	return failover.Voters{Unlisted: g.voters.unlisted, Floor: g.voters.set.Floor, Since: g.voters.since}
}
