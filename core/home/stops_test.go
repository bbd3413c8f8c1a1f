package home

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"anviltack/core"
)

// stoppingFleet is a fleet whose instances stop and start again one after the other. Each
// counts its connections to one endpoint of each group, and has statements for all that it
// may open while it has sessions of the group.
type stoppingFleet struct {
	limits    Limits
	groups    map[core.Group]Limits
	instances []*stoppingInstance
	random    *rand.Rand
	now       time.Time
	// worst is the highest number of connections to an endpoint, and over counts the
	// steps in which an endpoint had more than it accepts.
	worst, over int
}

// stoppingInstance is an instance of a stoppingFleet.
type stoppingInstance struct {
	Instance
	// listed reports whether the list has the instance as one that stays.
	listed bool
	// appliesAt is when it applies the newest list; zero once it has.
	appliesAt time.Time
	homes     map[core.Group][]core.Instance
	handover  Handover
	parts     map[core.Group]*part
}

// part is what an instance has of a group.
type part struct {
	isHome  bool
	nonHome NonHome
	// connections hold until when each is in use.
	connections []time.Time
}

const (
	// stopStep is the time between two steps.
	stopStep = 50 * time.Millisecond
	// listSpread is within which time all instances apply a list.
	listSpread = 500 * time.Millisecond
	// statementTime is how long a statement keeps its connection at most.
	statementTime = 200 * time.Millisecond
)

func newStoppingFleet(instances int, limits Limits) *stoppingFleet {
	f := &stoppingFleet{limits: limits, groups: namedGroups(8, limits), random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}
	for _, i := range liveInstances(instances, 4) {
		f.instances = append(f.instances, &stoppingInstance{Instance: i, listed: true, parts: make(map[core.Group]*part)})
	}
	for _, i := range f.instances {
		f.apply(i)
	}
	return f
}

// listChanged makes all instances apply the list soon.
func (f *stoppingFleet) listChanged() {
	for _, i := range f.instances {
		if i.appliesAt.IsZero() {
			i.appliesAt = f.now.Add(time.Duration(f.random.Int64N(int64(listSpread))))
		}
	}
}

// apply assigns homes from the list as it is.
func (f *stoppingFleet) apply(i *stoppingInstance) {
	i.appliesAt = time.Time{}
	var live []Instance
	for _, other := range f.instances {
		if other.listed {
			live = append(live, other.Instance)
		}
	}
	i.homes = Assign(f.groups, live)
	i.handover.Assign(f.now, i.homes)
	for g, homes := range i.homes {
		p := i.parts[g]
		if p == nil {
			p = &part{}
			i.parts[g] = p
		}
		isHome := slices.Contains(homes, i.Name)
		if p.isHome && !isHome {
			p.nonHome.Since = f.now
		}
		p.isHome = isHome
	}
}

// use advances the connections of an instance to the endpoint of a group.
func (f *stoppingFleet) use(i *stoppingInstance, g core.Group, p *part) {
	share := i.handover.Share(f.now, g, i.Name, f.limits.Connections)
	hasSessions := p.isHome || !p.nonHome.Since.IsZero() && !p.nonHome.EndsSessions(f.now)
	slices.SortFunc(p.connections, func(a, b time.Time) int { return b.Compare(a) })
	for n, until := range p.connections {
		switch {
		case f.now.Before(until):
		case n >= share || !p.isHome && p.nonHome.MayLeave(f.now):
			p.connections = p.connections[:n] // the rest is idle as well
			return
		case hasSessions:
			p.connections[n] = f.now.Add(time.Duration(f.random.Int64N(int64(statementTime))))
			p.nonHome.UsedAt = f.now
		}
	}
	for hasSessions && len(p.connections) < share {
		p.connections = append(p.connections, f.now)
	}
}

// step advances the fleet.
func (f *stoppingFleet) step() {
	f.now = f.now.Add(stopStep)
	open := make(map[core.Group]int)
	for _, i := range f.instances {
		if !i.appliesAt.IsZero() && !f.now.Before(i.appliesAt) {
			f.apply(i)
		}
		for _, g := range slices.Sorted(maps.Keys(i.parts)) {
			f.use(i, g, i.parts[g])
			open[g] += len(i.parts[g].connections)
		}
	}
	for _, n := range open {
		f.worst = max(f.worst, n)
		if n > f.limits.Connections {
			f.over++
		}
	}
}

// run advances the fleet for a time.
func (f *stoppingFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// stopInSeries stops all instances, some at a time, and starts them again.
func (f *stoppingFleet) stopInSeries(atATime int, gap, down time.Duration) {
	for n := 0; n < len(f.instances); n += atATime {
		group := f.instances[n:min(n+atATime, len(f.instances))]
		for _, i := range group {
			i.listed = false
		}
		f.listChanged()
		f.run(down)
		for _, i := range group {
			i.listed = true
			i.homes, i.handover, i.parts = nil, Handover{}, make(map[core.Group]*part)
			f.apply(i)
		}
		f.listChanged()
		f.run(gap)
	}
}

// connected counts the groups that instances have connections to.
func (f *stoppingFleet) connected() int {
	n := 0
	for _, i := range f.instances {
		for _, p := range i.parts {
			n += cmp.Compare(len(p.connections), 0)
		}
	}
	return n
}

// TestStopsInSeries plays planned stops of all instances, some at a time, by the script.
func TestStopsInSeries(t *testing.T) {
	datadriven.RunTest(t, "testdata/stops", func(t *testing.T, d *datadriven.TestData) string {
		instances, atATime, connections, slots := 34, 3, 60, 3
		gap, down := 1500*time.Millisecond, time.Second
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "instances":
				a.Scan(t, 0, &instances)
			case "at-a-time":
				a.Scan(t, 0, &atATime)
			case "connections":
				a.Scan(t, 0, &connections)
			case "slots":
				a.Scan(t, 0, &slots)
			}
		}
		f := newStoppingFleet(instances, Limits{Connections: connections, Slots: slots})
		f.run(time.Second)
		var b strings.Builder
		fmt.Fprintf(&b, "before: %d groups connected, at most %d connections\n", f.connected(), f.worst)
		f.stopInSeries(atATime, gap, down)
		fmt.Fprintf(&b, "stops: %d groups connected, at most %d connections, %d steps over\n", f.connected(), f.worst, f.over)
		f.run(5 * time.Second)
		fmt.Fprintf(&b, "5 s after: %d groups connected\n", f.connected())
		return b.String()
	})
}
