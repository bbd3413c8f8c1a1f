// Package quota divides the limits of organisations among instances. Owners hold token
// buckets with fixed parts of each limit and grant tokens from them alone; holders keep
// stocks of granted tokens for a moment and spend one for each operation.
package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"anviltack/core"
)

const (
	// minSlots is how many parts a limit has at least, so that the loss of one owner
	// leaves two thirds of it.
	minSlots = 3
	// minPartTokens is how many tokens a second, and of burst, each part of a limit with more
	// parts than minSlots has at least; in smaller parts tokens lie where few ask for them.
	minPartTokens = 10
	// maxMultiple is how many times as many parts as minSlots a large limit has at most.
	maxMultiple = 4
	// maxAbsence is how long an instance may be missing in the list and still grant, as the
	// entries of all may be missing for a moment when their store comes back; and how long
	// it may be without a list and then go on.
	maxAbsence = 6 * time.Second
	// currencyMargin is how much longer than the usual silence of the list's source the
	// list counts as current.
	currencyMargin = time.Second
	// takeoverMargin is how much longer than that an instance waits before it grants from
	// a part that another one may have held: the life of a stock and the time in which a
	// change of the list spreads.
	takeoverMargin = 1500 * time.Millisecond
	// ContactInterval is the interval at which an instance contacts another one of its data
	// centre while the source of its list is silent.
	ContactInterval = time.Second
	// AnnounceInterval is the interval at which an instance that is missing in the list and
	// may grant makes itself known to the others of its data centre: one that has just
	// started does not know it.
	AnnounceInterval = 250 * time.Millisecond
	// contactTTL is how long a contact between instances counts.
	contactTTL = 3 * ContactInterval
)

// Instance is an instance that shares the limits.
type Instance struct {
	Name       core.Instance
	DataCentre core.DataCentre
}

// Roster knows the instances and decides which of them own the parts of each limit. The
// number of parts and the data centre of each are fixed: no part moves to another data
// centre, because one that is cut off goes on granting from its own.
type Roster struct {
	self    Instance
	centres []core.DataCentre
	// silence is the longest usual time between two signs of the list's source.
	silence time.Duration
	// others are the other instances that were listed within maxAbsence and takeoverDelay.
	others map[core.Instance]*member
	// listedSince is since when this instance has been listed, without an absence longer
	// than maxAbsence; zero if it is not. goneAt is when it was first missing.
	listedSince time.Time
	goneAt      time.Time
	// resumed is true if an earlier process was listed under this instance's name when
	// this one started.
	resumed bool
	// digest identifies the list, and absent is the number of others that it lacks.
	digest uint64
	absent int
	// heardAt is when the source of the list was last heard, contactAt when an instance
	// near this one last answered that has no newer list, and newerAt when the source of
	// another list was last heard elsewhere.
	heardAt   time.Time
	contactAt time.Time
	newerAt   time.Time
	// inForceAt is when this instance could last rely on its list. isSettled is true once
	// nobody relies on a list by which others own its parts.
	inForceAt time.Time
	isSettled bool
	// grantsSince is since when this instance has been allowed to grant from the parts
	// that it owns; zero if it is not. changedAt is when the owners last changed.
	grantsSince time.Time
	changedAt   time.Time
	// owners and orders cache what Owners and Order return until the instances change.
	owners map[division][]core.Instance
	orders map[division][]Owner
}

// division is an organisation's limit in a number of parts.
type division struct {
	organisation core.Organisation
	slots        int
}

// member is another instance; goneAt is zero while it is listed.
type member struct {
	centre core.DataCentre
	goneAt time.Time
}

// NewRoster returns the roster of an instance. The data centres are those in which there
// may ever be instances.
func NewRoster(self Instance, centres []core.DataCentre, silence time.Duration) *Roster {
	all := slices.Concat(centres, []core.DataCentre{self.DataCentre})
	slices.Sort(all)
	r := &Roster{self: self, centres: slices.Compact(all), silence: silence, others: make(map[core.Instance]*member)}
	r.forget()
	return r
}

// forget drops what was computed from the instances.
func (r *Roster) forget() {
	r.owners = make(map[division][]core.Instance)
	r.orders = make(map[division][]Owner)
}

// currentFor is how long after a sign of its source the list is current.
func (r *Roster) currentFor() time.Duration { return r.silence + currencyMargin }

// takeoverDelay is how long an instance waits before it grants from a part that another
// one may hold by an older list.
func (r *Roster) takeoverDelay() time.Duration { return r.currentFor() + takeoverMargin }

// Observe applies a list of the instances; isListed reports whether it names this one.
func (r *Roster) Observe(now time.Time, listed []Instance, isListed bool) {
	present := make(map[core.Instance]bool, len(listed))
	for _, i := range listed {
		if i.Name == r.self.Name {
			continue
		}
		present[i.Name] = true
		if m := r.others[i.Name]; m == nil || m.centre != i.DataCentre {
			r.others[i.Name] = &member{centre: i.DataCentre}
			r.change(now)
		}
		r.others[i.Name].goneAt = time.Time{}
	}
	for name, m := range r.others {
		if !present[name] && m.goneAt.IsZero() {
			m.goneAt = now
		}
	}
	switch {
	case isListed && r.listedSince.IsZero():
		r.listedSince, r.goneAt = now, time.Time{}
		r.change(now)
	case isListed:
		r.goneAt = time.Time{}
	case !r.listedSince.IsZero() && r.goneAt.IsZero():
		r.goneAt = now
	}
	r.summarize()
}

// change records that the owners may have changed.
func (r *Roster) change(now time.Time) {
	r.forget()
	r.changedAt = now
}

// Resume records that an earlier process was listed under this instance's name, so that
// nobody else has taken over its parts.
func (r *Roster) Resume() { r.resumed = true }

// Hear records a sign of the list's source.
func (r *Roster) Hear(at time.Time) {
	if at.After(r.heardAt) {
		r.heardAt = at
	}
}

// Sign tells other instances which list an instance has, and how long ago the source of
// the list was last heard.
type Sign struct {
	Digest uint64
	Age    time.Duration
}

// Sign returns the sign of this instance.
func (r *Roster) Sign(now time.Time) Sign { return Sign{Digest: r.digest, Age: now.Sub(r.heardAt)} }

// Contact records the sign in another instance's answer to a request sent at sentAt. An
// instance with the same list stands for the source.
func (r *Roster) Contact(sentAt time.Time, from core.Instance, sign Sign) {
	heardAt := sentAt.Add(-sign.Age)
	switch m := r.others[from]; {
	case sign.Digest == r.digest:
		r.Hear(heardAt)
	case heardAt.After(r.heardAt):
		if heardAt.After(r.newerAt) {
			r.newerAt = heardAt
		}
		return
	case m == nil || m.centre != r.self.DataCentre && !r.isAlone():
		return
	}
	r.contactAt = sentAt
}

// Meet records an announcement of another instance: it counts as an owner though it may be
// missing in the list.
func (r *Roster) Meet(now time.Time, from Instance) {
	if from.Name == "" || from.Name == r.self.Name || r.others[from.Name] != nil {
		return
	}
	r.others[from.Name] = &member{centre: from.DataCentre, goneAt: now}
	r.absent++
	r.change(now)
}

// IsMissing reports whether this instance is missing in the list and may still grant.
func (r *Roster) IsMissing() bool { return !r.goneAt.IsZero() && r.isSettled }

// summarize sets the digest of the list.
func (r *Roster) summarize() {
	var names []string
	if !r.listedSince.IsZero() && r.goneAt.IsZero() {
		names = append(names, string(r.self.Name))
	}
	r.absent = 0
	for name, m := range r.others {
		if m.goneAt.IsZero() {
			names = append(names, string(name))
		} else {
			r.absent++
		}
	}
	slices.Sort(names)
	r.digest = xxhash.Sum64String(strings.Join(names, "\x00"))
}

// isAlone reports whether no other instance of the data centre is known.
func (r *Roster) isAlone() bool {
	for _, m := range r.others {
		if m.centre == r.self.DataCentre {
			return false
		}
	}
	return true
}

// IsQuiet reports whether the source of the list has been silent for longer than usual, so
// that instances should be contacted every ContactInterval.
func (r *Roster) IsQuiet(now time.Time) bool { return now.Sub(r.heardAt) > r.silence }

// isCurrent reports whether the list is current.
func (r *Roster) isCurrent(now time.Time) bool { return now.Sub(r.heardAt) <= r.currentFor() }

// Knows reports whether another instance may be an owner.
func (r *Roster) Knows(i core.Instance) bool { return r.others[i] != nil }

// Neighbours returns the other instances of the data centre, or all others if there are
// none.
func (r *Roster) Neighbours() []core.Instance {
	var names []core.Instance
	alone := r.isAlone()
	for name, m := range r.others {
		if alone || m.centre == r.self.DataCentre {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isInForce reports whether this instance may rely on its list. One that is not current
// stays in force while instances of the data centre answer and have no newer one: then the
// source is out of reach of all of them.
func (r *Roster) isInForce(now time.Time) bool {
	switch {
	case r.isCurrent(now), len(r.others) == 0:
		return true
	default:
		return now.Sub(r.contactAt) <= contactTTL && !r.newerAt.After(r.heardAt)
	}
}

// Tick removes instances that have been absent for long and notes whether this one may
// grant. It is to be called before Share and every second.
func (r *Roster) Tick(now time.Time) {
	for name, m := range r.others {
		if r.absent == 0 {
			break
		}
		if !m.goneAt.IsZero() && now.Sub(m.goneAt) >= maxAbsence+r.takeoverDelay() {
			delete(r.others, name)
			r.absent--
			r.change(now)
		}
	}
	if !r.goneAt.IsZero() && now.Sub(r.goneAt) >= maxAbsence {
		r.listedSince, r.goneAt = time.Time{}, time.Time{}
		r.resumed, r.isSettled = false, false
		r.change(now)
	}
	isInForce := r.isInForce(now)
	if isInForce {
		r.noteInForce(now)
	}
	if !isInForce || !r.isSettled {
		r.grantsSince = time.Time{}
	} else if r.grantsSince.IsZero() {
		r.grantsSince = now
	}
}

// noteInForce records that this instance relies on its list, and settles it. After a time
// without a list its entry may have been missing for that time, so it is as good as new.
func (r *Roster) noteInForce(now time.Time) {
	if !r.inForceAt.IsZero() && now.Sub(r.inForceAt) > maxAbsence {
		r.resumed, r.isSettled = false, false
		if !r.listedSince.IsZero() {
			r.listedSince = now
		}
	}
	r.inForceAt = now
	if !r.listedSince.IsZero() && r.isCurrent(now) && (r.resumed || now.Sub(r.listedSince) >= r.takeoverDelay()) {
		r.isSettled = true
	}
}

// ownsSince returns since when this instance has owned its present parts, at the latest.
func (r *Roster) ownsSince() time.Time {
	if r.changedAt.After(r.grantsSince) {
		return r.changedAt
	}
	return r.grantsSince
}

// MayGrant reports whether this instance may grant from the parts that it owns.
func (r *Roster) MayGrant() bool { return !r.grantsSince.IsZero() }

// Slots returns how many parts a limit has, as many in each data centre: more of a large
// one, so that the loss of an owner costs little of it.
func (r *Roster) Slots(limit Limit) int {
	n := len(r.centres)
	least := (minSlots + n - 1) / n * n
	tokens := min(limit.Rate, limit.Burst, maxWant)
	return least * max(1, min(maxMultiple, int(tokens/(minPartTokens*float64(least)))))
}

// Share returns the fraction of an organisation's limit from which this instance may
// grant now.
func (r *Roster) Share(o core.Organisation, slots int) float64 {
	if r.grantsSince.IsZero() {
		return 0
	}
	held := 0
	for _, i := range r.Owners(o, slots) {
		if i == r.self.Name {
			held++
		}
	}
	return float64(held) / float64(slots)
}

// Owners returns the owner of each part of an organisation's limit, by rendezvous hashing
// among the instances of the part's data centre; empty where there are none.
func (r *Roster) Owners(o core.Organisation, slots int) []core.Instance {
	if owners, ok := r.owners[division{o, slots}]; ok {
		return owners
	}
	ranked := make(map[core.DataCentre][]core.Instance)
	if !r.listedSince.IsZero() {
		ranked[r.self.DataCentre] = append(ranked[r.self.DataCentre], r.self.Name)
	}
	for name, m := range r.others {
		ranked[m.centre] = append(ranked[m.centre], name)
	}
	for _, names := range ranked {
		slices.SortFunc(names, func(a, b core.Instance) int {
			return cmp.Or(cmp.Compare(weight(o, a), weight(o, b)), cmp.Compare(a, b))
		})
	}
	owners := make([]core.Instance, slots)
	for slot := range owners {
		names := ranked[r.centres[slot%len(r.centres)]]
		if len(names) > 0 {
			owners[slot] = names[slot/len(r.centres)%len(names)]
		}
	}
	r.owners[division{o, slots}] = owners
	return owners
}

// isOwner reports whether this instance owns a part of an organisation's limit, which it
// may still have to wait to grant from.
func (r *Roster) isOwner(o core.Organisation, slots int) bool {
	return slices.Contains(r.Owners(o, slots), r.self.Name)
}

// Owner is an instance that owns a part of a limit, as another one sees it.
type Owner struct {
	Name core.Instance
	// IsNear is true in the same data centre.
	IsNear bool
}

// Order returns the owners of an organisation's limit in the order in which this instance
// asks them: itself, those of its data centre, and then the others, which different
// instances ask in different orders.
func (r *Roster) Order(o core.Organisation, slots int) []Owner {
	if order, ok := r.orders[division{o, slots}]; ok {
		return order
	}
	owners := slices.DeleteFunc(slices.Clone(r.Owners(o, slots)), func(i core.Instance) bool { return i == "" })
	distance := func(i core.Instance) int {
		switch m := r.others[i]; {
		case i == r.self.Name:
			return 0
		case m != nil && m.centre == r.self.DataCentre:
			return 1
		default:
			return 2
		}
	}
	own := core.Organisation(string(o) + "\x00" + string(r.self.Name))
	slices.SortFunc(owners, func(a, b core.Instance) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(weight(own, a), weight(own, b)), cmp.Compare(a, b))
	})
	order := []Owner{}
	for _, i := range slices.Compact(owners) {
		order = append(order, Owner{Name: i, IsNear: distance(i) < 2})
	}
	r.orders[division{o, slots}] = order
	return order
}

// weight is an instance's rendezvous hash for an organisation; lower weights come first.
func weight(o core.Organisation, i core.Instance) uint64 {
	return xxhash.Sum64String(string(o) + "\x00" + string(i))
}
