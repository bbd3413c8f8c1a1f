package proxy

import (
	"cmp"
	"context"
	"slices"
	"time"

	"anviltack/core"
	failover "anviltack/core/group"
	"anviltack/core/voter"
)

const (
	// voterChangeInterval is the least time between two changes of a group's voters. Every
	// instance that follows the store knows a change before the next one is made.
	voterChangeInterval = time.Second
	// firstVotersDelay is how long a group's list must have been unchanged before its first
	// voters are taken from it: live endpoints register within 2 s.
	firstVotersDelay = 2200 * time.Millisecond
	// voterLossTimeout is how long voters must be missing before a group that has no
	// majority without them goes on as if they were lost for good: several times as long as
	// a crashed endpoint takes to return with its log.
	voterLossTimeout = 30 * time.Second
	// voterRankDelay is the additional delay per rank among the instances that may store a
	// change.
	voterRankDelay = time.Second
	// voterCallInterval is the least time between two calls to the store about the voters of
	// one group, and voterCallTimeout bounds each.
	voterCallInterval = time.Second
	voterCallTimeout  = 1500 * time.Millisecond
	// voterCheckInterval is the least time between two checks whether a change is due.
	voterCheckInterval = maxTick
)

// voters is what this instance knows of the voters of a group.
type voters struct {
	// stored is the set as it was last read, and set the same with the processes that have the
	// logs of its voters by what was listed since, in the same order.
	stored voter.Set
	set    voter.Set
	// since is when the logs that vote last changed.
	since time.Time
	// revision is the newest one read of the stored set, valid if read is set. It never
	// decreases.
	revision core.Revision
	read     bool
	// outdated is true while the store holds an older set, from a copy.
	outdated bool
	// listed holds the listed endpoints that are voters, and unlisted is the number of the
	// other voters.
	listed   map[core.Endpoint]bool
	unlisted int
	// processes are the listed ones, unchanged since listedSince.
	processes   []voter.Voter
	listedSince time.Time
	// missingSince is since when each voter has been missing in the list of endpoints.
	missingSince map[voter.Voter]time.Time
	// dueSince is since when a change has been due; zero while none is.
	dueSince time.Time
	// checkedAt is when changeVoters last ran.
	checkedAt time.Time
	// calling is true while a call to the store runs, and calledAt is when the last one that
	// changed nothing began.
	calling  bool
	calledAt time.Time
}

func (e *endpoint) voter() voter.Voter {
	return voter.Voter{Name: e.info.Name, Started: e.info.StartedAt, Address: e.info.Address}
}

// votersOf returns what is known of the voters of a group. It is kept while this instance
// does not connect to the group.
func (c *control) votersOf(name core.Group) *voters {
	v := c.voters[name]
	if v == nil {
		v = &voters{}
		c.voters[name] = v
	}
	return v
}

// updateVoters applies the stored sets of all groups.
func (c *control) updateVoters(now time.Time, stored map[core.Group]VersionedValue) {
	for name, value := range stored {
		c.observeVoters(now, name, value)
	}
}

// observeVoters applies a read of a group's stored set. A set that is older than the known
// one comes from a copy of the store.
func (c *control) observeVoters(now time.Time, name core.Group, value VersionedValue) {
	v := c.votersOf(name)
	if v.read && value.Revision.Compare(v.revision) <= 0 {
		return
	}
	var s voter.Set
	if value.Revision.Number > 0 {
		var err error
		if s, err = voter.Parse(value.Value); err != nil {
			c.proxy.event(core.EventStore).WithField("group", name).WithError(err).Warn("could not use the stored voters of a group; keeping the last known ones")
			return
		}
	}
	v.revision, v.read = value.Revision, true
	v.outdated = s.Version < v.set.Version
	if v.outdated || s.Version == 0 {
		return
	}
	c.adoptVoters(now, name, s)
}

// adoptVoters puts a set of voters into force.
func (c *control) adoptVoters(now time.Time, name core.Group, s voter.Set) {
	v, g := c.votersOf(name), c.groups[name]
	old := v.set
	v.stored, v.set = s, s.RenamedLike(v.stored, old)
	if g != nil {
		v.set = v.set.Renamed(g.voterCandidates())
	}
	if !slices.Equal(old.Rewritten().Voters, v.set.Rewritten().Voters) {
		v.since = now
	}
	if g == nil {
		return
	}
	names := make([]core.Endpoint, 0, len(s.Voters))
	for _, o := range s.Voters {
		names = append(names, o.Name)
	}
	log := c.proxy.event(core.EventVoters).WithField("group", name).WithField("version", s.Version).WithField("voters", names).WithField("floor", s.Floor)
	if s.Floor > old.Floor && old.IsKnown() {
		log.Warn("voters were lost for good; writes that only they held are lost too")
	} else {
		log.Info("voters changed")
	}
	g.updateMembers(now)
}

// updateListedVoters updates which of the listed endpoints are voters. While the voters are
// not known, there is no majority.
func (g *groupControl) updateListedVoters() {
	v := g.voters
	v.listed, v.unlisted = make(map[core.Endpoint]bool), 0
	if !v.set.IsKnown() && len(g.endpoints) > 0 {
		v.unlisted = 1
	}
	listed := g.voterCandidates()
	v.set = v.set.Renamed(listed)
	for _, l := range v.set.Logs(listed) {
		if l == (voter.Voter{}) {
			v.unlisted++
		} else {
			v.listed[l.Name] = true
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

// changeVoters stores the next set of voters if a change is due, and reads the stored one if
// it is not known. The instances do so by rank.
func (g *groupControl) changeVoters(now time.Time) {
	v := g.voters
	if now.Sub(v.checkedAt) < voterCheckInterval {
		return
	}
	v.checkedAt = now
	listed := g.voterCandidates()
	g.noteListed(now, listed)
	mayCall := !v.calling && now.Sub(v.calledAt) >= voterCallInterval
	if !v.read || g.control.era > v.revision.Era {
		if mayCall {
			v.calling, v.calledAt = true, now
			go g.readVoters()
		}
		return
	}
	next, due := g.nextVoters(now, listed)
	if !due {
		v.dueSince = time.Time{}
		return
	}
	if v.dueSince.IsZero() {
		v.dueSince = now
	}
	if mayCall && now.Sub(v.dueSince) >= time.Duration(g.rank)*voterRankDelay {
		v.calling, v.calledAt = true, now
		go g.storeVoters(v.revision, next)
	}
}

// nextVoters returns the set that is to be stored next, if a change is due.
func (g *groupControl) nextVoters(now time.Time, listed []voter.Endpoint) (voter.Set, bool) {
	v := g.voters
	if !v.set.IsKnown() {
		first := voter.New(listed)
		return first, len(first.Voters) > 0 && now.Sub(v.listedSince) >= firstVotersDelay
	}
	if v.outdated || !slices.Equal(v.set.Voters, v.stored.Voters) {
		return v.set.Rewritten(), true
	}
	if now.Sub(v.since) < voterChangeInterval {
		return v.set, false
	}
	if g.machine.AreVotersConfirmed() {
		return v.set.Change(listed)
	}
	return g.recoverVoters(now, listed)
}

// noteListed updates since when the list has been unchanged, and since when voters have been
// missing in it. While the store does not answer, the list is not current.
func (g *groupControl) noteListed(now time.Time, listed []voter.Endpoint) {
	v := g.voters
	healthy := g.control.proxy.dependencies.LeaseStore.IsHealthy()
	processes := make([]voter.Voter, 0, len(listed))
	for _, e := range listed {
		processes = append(processes, e.Voter)
	}
	if !healthy || !slices.Equal(processes, v.processes) {
		v.processes, v.listedSince = processes, now
	}
	missing := make(map[voter.Voter]time.Time)
	for i, l := range v.set.Logs(listed) {
		if l != (voter.Voter{}) {
			continue
		}
		m := v.set.Voters[i]
		missing[m] = now
		if since, ok := v.missingSince[m]; ok && healthy {
			missing[m] = since
		}
	}
	v.missingSince = missing
}

// recoverVoters returns a set without the voters that are lost for good, if there is no
// majority without them.
func (g *groupControl) recoverVoters(now time.Time, listed []voter.Endpoint) (voter.Set, bool) {
	v := g.voters
	for _, since := range v.missingSince {
		if now.Sub(since) < voterLossTimeout {
			return v.set, false
		}
	}
	if len(v.missingSince) == 0 {
		return v.set, false
	}
	term, primary := g.machine.Primary()
	floor := term + 1
	if v.listed[primary] && g.machine.IsPrimaryWithoutQuorum() {
		floor = term
	}
	return v.set.Recover(listed, floor)
}

// readVoters reads the stored set.
func (g *groupControl) readVoters() {
	ctx, cancel := context.WithTimeout(context.Background(), voterCallTimeout)
	defer cancel()
	value, err := g.control.proxy.dependencies.VoterStore.Get(ctx, g.group.name)
	g.finishVoterCall(value, err)
}

// storeVoters replaces the stored set. If another instance has replaced it, or if the outcome
// is not known, it reads the set.
func (g *groupControl) storeVoters(revision core.Revision, next voter.Set) {
	ctx, cancel := context.WithTimeout(context.Background(), voterCallTimeout)
	defer cancel()
	p := g.control.proxy
	value := VersionedValue{Value: next.String()}
	var err error
	value.Revision, err = p.dependencies.VoterStore.CompareAndSwap(ctx, g.group.name, revision, value.Value)
	withError(p.event(core.EventVoters).WithField("group", g.group.name).WithField("version", next.Version).WithField("written", value.Revision.Number > 0), err).Info("change of voters requested")
	if err != nil || value.Revision.Number == 0 {
		g.readVoters()
		return
	}
	g.finishVoterCall(value, nil)
}

// finishVoterCall passes the outcome of a call about the stored set to the control goroutine.
func (g *groupControl) finishVoterCall(value VersionedValue, err error) {
	g.control.post(context.Background(), func(now time.Time) {
		v := g.voters
		v.calling = false
		if err != nil {
			return
		}
		before := v.revision
		g.control.observeVoters(now, g.group.name, value)
		if v.revision != before {
			v.calledAt = time.Time{}
		}
	})
}

// machineVoters returns what the machine has to know of the voters beyond its members.
func (g *groupControl) machineVoters() failover.Voters {
	return failover.Voters{Unlisted: g.voters.unlisted, Floor: g.voters.set.Floor, Since: g.voters.since}
}
