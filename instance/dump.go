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

// Dump is the state of one instance for operators; it contains no secret and no
// statement text.
type Dump struct {
	Instance   core.Instance   `json:"instance"`
	DataCentre core.DataCentre `json:"data_centre"`
	// Version is the version of the configuration in force.
	Version uint64 `json:"version"`
	// Source is where that configuration came from.
	Source patch.Source `json:"source"`
	// Missing is the highest announced version if it is above the one in force,
	// and zero otherwise.
	Missing uint64 `json:"missing"`
	// Rank is the instance's rank for watching the platform.
	Rank     int  `json:"rank"`
	Draining bool `json:"draining"`
	// LeavingEndpoints are the endpoints marked as leaving on the platform's
	// list.
	LeavingEndpoints []core.Endpoint `json:"leaving_endpoints"`
	Instances        []member.Member `json:"instances"`
	Sessions         int             `json:"sessions"`
	Groups           []GroupDump     `json:"groups"`
	// Omitted is how many groups were left out because of maxDumpGroups.
	Omitted int `json:"omitted,omitempty"`
}

// GroupDump is the state of one group.
type GroupDump struct {
	Group     core.Group    `json:"group"`
	Term      uint64        `json:"term"`
	Primary   core.Endpoint `json:"primary"`
	Confirmed core.Point    `json:"confirmed"`
	// Serving and Replicating report whether the group accepts writes, and
	// ClosedFor for how long it has not.
	Serving     bool   `json:"serving"`
	Replicating bool   `json:"replicating"`
	ClosedFor   string `json:"closed_for,omitempty"`
	// ConfirmedAge is the time since the primary was last confirmed to be the
	// primary.
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
	// FreshAge is the maximum age of the data that a read on the endpoint
	// returns.
	FreshAge string `json:"fresh_age"`
	// Lag is the usual replication lag of the endpoint.
	Lag         string          `json:"lag"`
	Connections ConnectionsDump `json:"links"`
}

// ConnectionsDump is the state of the connections to one endpoint.
type ConnectionsDump struct {
	// Share is how many connections may be open.
	Share   int `json:"share"`
	Open    int `json:"open"`
	Busy    int `json:"busy"`
	Idle    int `json:"idle"`
	Suspect int `json:"doubted"`
	// Running and Waiting count statements.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Own and Borrowed count usable slots.
	Own      int `json:"own"`
	Borrowed int `json:"borrowed"`
}

// Dump returns the state from a snapshot of the view; it does not block traffic.
func (in *Instance) Dump() Dump {
	view := in.View()
	d := Dump{
		Instance:   in.settings.Instance,
		DataCentre: in.settings.DataCentre,
		Version:    view.Version,
		Sessions:   in.sessions.count(),
	}
	if mv := in.membership.Load(); mv != nil {
		d.Source, d.Missing, d.Rank = mv.source, mv.missingVersion, mv.rank
		d.Draining, d.LeavingEndpoints, d.Instances = mv.self.State == member.StateLeaving, mv.leaving, mv.members
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
			Endpoint:    m.Name,
			DataCentre:  m.DataCentre,
			Leaving:     m.Leaving,
			Status:      m.Status,
			SampleAge:   age(now, m.SampledAt),
			FreshAge:    age(now, m.FreshAsOf),
			Lag:         m.Forecast.Lag.Round(time.Millisecond).String(),
			Connections: m.pool.dump(),
		})
	}
	slices.SortFunc(d.Members, func(a, b MemberDump) int { return strings.Compare(string(a.Endpoint), string(b.Endpoint)) })
	return d
}

// age returns the time since t as text, or "never" for the zero time.
func age(now, t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return now.Sub(t).Round(time.Millisecond).String()
}
