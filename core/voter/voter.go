// Package voter keeps the voters of a group: the logs of which a majority must hold a write
// before it is acknowledged, be fenced before a promotion, and be sampled before data counts
// as fresh.
//
// An endpoint that the directory no longer lists gets no statements, but its log may hold
// writes that were acknowledged, so it stays a voter. Voters change one at a time, and only
// after a majority of the present ones holds everything that was acknowledged under earlier
// ones: each majority then shares a log with each majority of the set before it, as in the
// membership changes of Raft by single servers.
package voter

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"anviltack/core"
)

var errNoVersion = errors.New("voter: a set has no version or no voters")

// Voter is a log, named after the process that had it last. A process that starts at the
// address of another one, under a name of its own, continues its log; one that starts under
// the same name has an empty log.
type Voter struct {
	Name core.Endpoint `json:"name"`
	// Started is when the process started, by the clock of the endpoint.
	Started int64 `json:"started"`
	// Address is where a process would continue the log; invalid once one has started there
	// with an empty log.
	Address netip.AddrPort `json:"address"`
}

// Set is the voters of a group.
type Set struct {
	// Version counts the changes; zero stands for an unknown set.
	Version uint64 `json:"version"`
	// Floor is the lowest term whose confirmations count: the first one after voters were
	// lost that may have held acknowledged writes. Zero if none were.
	Floor uint64 `json:"floor,omitempty"`
	// Voters is sorted by name and process, and not empty unless Version is zero.
	Voters []Voter `json:"voters"`
}

// Endpoint is a listed endpoint as a candidate for the next set.
type Endpoint struct {
	Voter
	// Leaving is true if the endpoint stops soon.
	Leaving bool
	// CaughtUp is true if the endpoint holds everything that was acknowledged before the
	// present set was adopted.
	CaughtUp bool
	Primary  bool
}

// New returns the first set of a group, with the listed endpoints that do not leave.
func New(listed []Endpoint) Set {
	var s Set
	for _, e := range listed {
		if !e.Leaving {
			s.Voters = append(s.Voters, e.Voter)
		}
	}
	return s.next()
}

// Parse parses the format that String returns.
func Parse(text string) (Set, error) {
	var s Set
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return Set{}, fmt.Errorf("voter: could not parse a set: %w", err)
	}
	if s.Version == 0 || len(s.Voters) == 0 {
		return Set{}, errNoVersion
	}
	sortVoters(s.Voters)
	return s, nil
}

// String returns the set as JSON.
func (s Set) String() string {
	text, err := json.Marshal(s)
	if err != nil {
		return ""
	}
	return string(text)
}

// IsKnown reports whether the set is known.
func (s Set) IsKnown() bool { return s.Version > 0 }

// Logs returns for each voter the listed process that has its log, the newest one if there
// are several; the zero Voter if none is listed.
func (s Set) Logs(listed []Endpoint) []Voter {
	logs := make([]Voter, len(s.Voters))
	for _, e := range listed {
		if i := s.find(e.Voter); i >= 0 && (logs[i] == Voter{} || logs[i].Started < e.Started) {
			logs[i] = e.Voter
		}
	}
	return logs
}

// find returns the index of the voter whose log a process has, -1 for none.
func (s Set) find(p Voter) int {
	found := -1
	for i, v := range s.Voters {
		if v.Name == p.Name && v.Started == p.Started {
			return i
		}
		continues := v.Name != p.Name && v.Address == p.Address && v.Address.IsValid()
		if continues && (found < 0 || s.Voters[found].Started < v.Started) {
			found = i
		}
	}
	return found
}

// Renamed returns the set with the processes that have the voters' logs now, in the order of
// s. The logs are the same, so this is no change: it needs no majority and has the version of
// s.
func (s Set) Renamed(listed []Endpoint) Set {
	voters := slices.Clone(s.Voters)
	for i, l := range s.Logs(listed) {
		if l != (Voter{}) {
			voters[i] = l
		} else if slices.ContainsFunc(listed, func(e Endpoint) bool { return e.Name == voters[i].Name && e.Started > voters[i].Started }) {
			voters[i].Address = netip.AddrPort{}
		}
	}
	s.Voters = voters
	return s
}

// RenamedLike returns s with the names that the voters of an earlier set, stored, have in
// renamed, which has them in the same order.
func (s Set) RenamedLike(stored, renamed Set) Set {
	voters := slices.Clone(s.Voters)
	for i, v := range voters {
		if j := slices.Index(stored.Voters, v); j >= 0 {
			voters[i] = renamed.Voters[j]
		}
	}
	s.Voters = voters
	return s
}

// Change returns the next set, if a change is due. The caller must know that a majority of
// the present voters holds everything that was acknowledged under earlier sets.
//
// A missing voter is removed as soon as that lowers the majority: an endpoint that returns
// with its log then usually finds itself a voter. Endpoints that have caught up are added. A
// leaving voter is removed before it stops, unless it is the primary, an endpoint that may
// replace it is still catching up, or the others that are listed are no majority.
func (s Set) Change(listed []Endpoint) (Set, bool) {
	logs := s.Logs(listed)
	var missing, leaving []int
	joining := false
	for i, l := range logs {
		if l == (Voter{}) {
			missing = append(missing, i)
		}
	}
	if len(missing) > 0 && s.shrinks(len(missing)) {
		return s.without(missing[0]), true
	}
	for _, e := range listed {
		i := slices.Index(logs, e.Voter)
		switch {
		case i < 0 && !e.Leaving && e.CaughtUp:
			return s.with(e.Voter), true
		case i < 0 && !e.Leaving:
			joining = true
		case i >= 0 && e.Leaving && !e.Primary:
			leaving = append(leaving, i)
		}
	}
	if len(leaving) == 0 || joining || !s.shrinks(len(missing)+len(leaving)) {
		return s, false
	}
	next := s.without(leaving[0])
	return next, len(next.Voters)-len(missing) >= next.Majority()
}

// Recover returns a set without its missing voters, which were lost for good and without
// which there is no majority; floor is the lowest term that counts from then on. If all
// voters were lost, the listed endpoints replace them.
func (s Set) Recover(listed []Endpoint, floor uint64) (Set, bool) {
	left := slices.DeleteFunc(s.Logs(listed), func(v Voter) bool { return v == Voter{} })
	if len(left) >= s.Majority() {
		return s, false
	}
	if len(left) == 0 {
		next := New(listed)
		next.Version = s.Version + 1
		return next, len(next.Voters) > 0
	}
	s.Voters, s.Floor = left, max(s.Floor, floor)
	return s.next(), true
}

// Rewritten returns the same set as the next version.
func (s Set) Rewritten() Set {
	s.Voters = slices.Clone(s.Voters)
	return s.next()
}

// Majority returns the number of voters that make a majority.
func (s Set) Majority() int { return majority(len(s.Voters)) }

func majority(n int) int { return n/2 + 1 }

// shrinks reports whether the majority is lower without n of the voters.
func (s Set) shrinks(n int) bool {
	rest := len(s.Voters) - n
	return rest > 0 && majority(rest) < s.Majority()
}

func (s Set) with(v Voter) Set {
	s.Voters = append(slices.Clone(s.Voters), v)
	return s.next()
}

func (s Set) without(i int) Set {
	s.Voters = slices.Delete(slices.Clone(s.Voters), i, i+1)
	return s.next()
}

// next counts a change; the caller owns the voters.
func (s Set) next() Set {
	s.Version++
	sortVoters(s.Voters)
	return s
}

func sortVoters(voters []Voter) {
	slices.SortFunc(voters, func(a, b Voter) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Started, b.Started)) })
}
