package instance

import (
	"slices"
	"strings"
	"time"

	"anviltack/core"
	"anviltack/core/member"
	"anviltack/core/patch"
)

// maxDumpGroups bounds the groups in one dump.
const maxDumpGroups = 5000

// Dump is the state of one instance as operators see it; it holds no secret and
// no statement text.
type Dump struct {
	Instance   core.Instance   `json:"instance"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Version is the version of the configuration in force.
	Version uint64 `json:"version"`
	// Source tells where that configuration came from.
	Source patch.Source `json:"source"`
	// Missing is a higher version that was heard of, or zero.
	Missing uint64 `json:"missing"`
	// Rank is the instance's rank for watching the platform.
	Rank     int  `json:"rank"`
	Draining bool `json:"draining"`
	// LeavingEndpoints are those that the platform's list calls leaving.
	LeavingEndpoints []core.Endpoint `json:"leaving_endpoints"`
	Instances        []member.Member `json:"instances"`
	Sessions         int             `json:"sessions"`
	Groups           []GroupDump     `json:"groups"`
	// Omitted is how many groups were left out.
	Omitted int `json:"omitted,omitempty"`
}

// GroupDump is the state of one group.
type GroupDump struct {
	Group     core.Group    `json:"group"`
	Term      uint64        `json:"term"`
	Primary   core.Endpoint `json:"primary"`
	Confirmed core.Point    `json:"confirmed"`
	// Serving and Replicating tell whether writes are taken, and ClosedFor how
	// long they have not been.
	Serving     bool   `json:"serving"`
	Replicating bool   `json:"replicating"`
	ClosedFor   string `json:"closed_for,omitempty"`
	// ConfirmedAge is how long ago the primary was last known to be the primary.
	ConfirmedAge string       `json:"confirmed_age"`
	Waiting      int64        `json:"waiting"`
	Members      []MemberDump `json:"members"`
}

// MemberDump is the state of one endpoint.
type MemberDump struct {
	Endpoint   core.Endpoint   `json:"endpoint"`
	DataCentre core.DataCentre `json:"data_centre"`
	Leaving    bool            `json:"leaving"`
	Status     core.Status     `json:"status"`
	SampleAge  string          `json:"sample_age"`
	// FreshAge is how old the data of a read on the endpoint may be at most.
	FreshAge string `json:"fresh_age"`
	// Lag is how long after the group the endpoint usually shows a write.
	Lag   string    `json:"lag"`
	Links LinksDump `json:"links"`
}

// LinksDump is the state of the connections to one endpoint.
type LinksDump struct {
	// Share is how many connections may be open.
	Share   int `json:"share"`
	Open    int `json:"open"`
	Busy    int `json:"busy"`
	Idle    int `json:"idle"`
	Doubted int `json:"doubted"`
	// Running and Waiting count statements.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Own and Borrowed count usable slots.
	Own      int `json:"own"`
	Borrowed int `json:"borrowed"`
}

// Dump returns the state from a copy of the view; it does not hold up traffic.
func (in *Instance) Dump() Dump {
	view := in.View()
	d := Dump{
		Instance:   in.settings.Instance,
		DataCentre: in.settings.DataCentre,
		Version:    view.Version,
		Sessions:   in.sessions.count(),
	}
	if f := in.fleet.Load(); f != nil {
		d.Source, d.Missing, d.Rank = f.source, f.missing, f.rank
		d.Draining, d.LeavingEndpoints, d.Instances = f.self.State == member.StateLeaving, f.leaving, f.members
	}
	now := time.Now()
	for _, g := range view.Groups {
		if len(d.Groups) >= maxDumpGroups {
			d.Omitted++
			continue
		}
		d.Groups = append(d.Groups, g.dump(now))
	}
	slices.SortFunc(d.Groups, func(a, b GroupDump) int { return strings.Compare(string(a.Group), string(b.Group)) })
	return d
}

func (g *Group) dump(now time.Time) GroupDump {
	s := g.State()
	d := GroupDump{
		Group:        g.Name,
		Term:         s.Term,
		Primary:      s.Primary,
		Confirmed:    s.Confirmed,
		ConfirmedAge: age(now, s.AsOf),
		Serving:      s.Availability.Serving,
		Replicating:  s.Availability.Replicating,
		Waiting:      g.waiting.Load(),
	}
	if !s.Availability.IsOpen() {
		d.ClosedFor = age(now, s.Availability.Since)
	}
	for _, m := range s.Members {
		d.Members = append(d.Members, MemberDump{
			Endpoint:   m.Name,
			DataCentre: m.DataCentre,
			Leaving:    m.Leaving,
			Status:     m.Status,
			SampleAge:  age(now, m.SampledAt),
			FreshAge:   age(now, m.FreshAsOf),
			Lag:        m.Outlook.Lag.Round(time.Millisecond).String(),
			Links:      m.links.dump(),
		})
	}
	slices.SortFunc(d.Members, func(a, b MemberDump) int { return strings.Compare(string(a.Endpoint), string(b.Endpoint)) })
	return d
}

// age returns the time since t as text, "never" for the zero time.
func age(now, t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return now.Sub(t).Round(time.Millisecond).String()
}
