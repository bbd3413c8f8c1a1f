package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"anviltack/core"
)

const (
	// ownIdleTimeout is how long an idle connection of the instance itself stays open.
	// Connections of an instance that loses power are dropped only after 3 s, so fewer
	// open ones leave more room for other instances.
	ownIdleTimeout = 1500 * time.Millisecond
	// idleTimeout is how long an idle connection of an organisation stays open, since it
	// serves no other organisation's statements.
	idleTimeout = 15 * time.Second
	// useHalfLife is the time in which the weight of a past statement halves.
	useHalfLife = 10 * time.Second
	// minUse is the use below which an organisation counts as unused.
	minUse = 0.01
)

// Mix decides how the connections of one instance to one endpoint are divided among
// organisations: which waiting statement runs next, for which organisation a connection
// is opened and which idle one is closed. The empty organisation is the instance itself.
type Mix struct {
	// MaxOpen limits the connections that are opened for statements, and MaxInFlight the
	// statements that run and the connections that are being opened for others. Only the
	// methods of Mix change them and the counts.
	MaxOpen     int
	MaxInFlight int
	// InFlight counts the statements that run.
	InFlight int
	// Open counts all connections: idle, in use and being opened; Opening counts those
	// being opened for statements.
	Open    int
	Opening int

	organisations map[core.Organisation]*account
	// idle holds the idle connections, least recently used first.
	idle []idleConnection
	// waiting holds the waiting statements in the order of their arrival.
	waiting []Waiting
	// ranLast is set if Next last gave a place in flight to a statement, not to an opening.
	ranLast bool
	// opened holds the organisations whose openings succeeded and left their places in flight
	// to a statement.
	opened []core.Organisation
	// isFull is set from the time at which the endpoint turned a connection away until more
	// may be opened, and accepted is how many it held then.
	accepted int
	isFull   bool
	// replacing is set from the step that closes a connection to make room for another
	// until one is established: at most one working connection is lost to openings that fail.
	replacing bool
}

// Waiting is a waiting statement.
type Waiting struct {
	// ID is unique among the waiting statements.
	ID           uint64
	Organisation core.Organisation
	// Priority is lower for more important statements.
	Priority int
	// Deadline is when the statement should be complete.
	Deadline time.Time
	// account is that of the organisation; a statement that waits keeps it.
	account *account
}

type idleConnection struct {
	id           uint64
	organisation core.Organisation
	account      *account
	since        time.Time
}

// account is what a Mix knows of one organisation.
type account struct {
	// open, opening, idle and waiting count connections as in Mix, and waiting statements.
	open, opening, idle, waiting int
	// needed is set while leastNeeded runs if the idle connections are to be kept.
	needed bool
	// use is the number of statements that ran, weighted by useHalfLife, as of usedAt.
	use    float64
	usedAt time.Time
}

// useAt returns the weighted number of statements as of now.
func (a *account) useAt(now time.Time) float64 {
	return a.use * math.Exp2(-float64(now.Sub(a.usedAt))/float64(useHalfLife))
}

// NewMix returns a Mix without connections that allows one.
func NewMix() *Mix {
	return &Mix{MaxOpen: 1, MaxInFlight: 1, organisations: make(map[core.Organisation]*account)}
}

func (m *Mix) account(o core.Organisation) *account {
	a := m.organisations[o]
	if a == nil {
		a = &account{}
		m.organisations[o] = a
	}
	return a
}

// SetLimits sets MaxOpen and MaxInFlight. If one changes, it forgets organisations without
// use.
func (m *Mix) SetLimits(now time.Time, maxOpen, maxInFlight int) {
	if m.MaxOpen == maxOpen && m.MaxInFlight == maxInFlight {
		return
	}
	m.MaxOpen, m.MaxInFlight, m.replacing = maxOpen, maxInFlight, m.replacing && m.MaxOpen == maxOpen
	for o, a := range m.organisations {
		if a.open == 0 && a.waiting == 0 && a.useAt(now) < minUse {
			delete(m.organisations, o)
		}
	}
}

// SetMaxInFlight sets MaxInFlight.
func (m *Mix) SetMaxInFlight(n int) { m.MaxInFlight = n }

// Wait records that a statement waits for a connection.
func (m *Mix) Wait(w Waiting) {
	w.account = m.account(w.Organisation)
	w.account.waiting++
	m.waiting = append(m.waiting, w)
}

// StopWaiting records that a statement no longer waits.
func (m *Mix) StopWaiting(id uint64) {
	i := slices.IndexFunc(m.waiting, func(w Waiting) bool { return w.ID == id })
	if i >= 0 {
		m.waiting[i].account.waiting--
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
}

// Reserve records that a connection of an organisation is going to be opened, other than
// by Next.
func (m *Mix) Reserve(o core.Organisation) {
	m.Open++
	m.account(o).open++
}

// Opened records that an opening which Next requested succeeded. The connection is in use
// then.
func (m *Mix) Opened(o core.Organisation) {
	m.Opening--
	m.account(o).opening--
	m.opened = append(m.opened, o)
	m.Established()
}

// OpeningFailed records that an opening which Next requested failed.
func (m *Mix) OpeningFailed(o core.Organisation) {
	m.Opening--
	m.account(o).opening--
	m.Closed(o)
}

// TurnedAway records that the endpoint accepts no more connections than it holds. Until more
// may be opened, one that is idle is closed for each that is opened.
func (m *Mix) TurnedAway() { m.isFull, m.accepted = true, m.Open-m.Opening }

// CanReplace reports whether connections can be opened in the place of others although the
// endpoint accepts no more.
func (m *Mix) CanReplace() bool { return m.isFull && !m.replacing && m.Open > m.Opening }

// maxOpen is MaxOpen, or less while the endpoint accepts less.
func (m *Mix) maxOpen() int {
	if m.isFull {
		return min(m.MaxOpen, m.accepted)
	}
	return m.MaxOpen
}

// Established records that the endpoint accepted a connection, also one of Reserve.
func (m *Mix) Established() { m.replacing = false }

// Closed records the end of a connection that was in use, or of Reserve and failed to open.
func (m *Mix) Closed(o core.Organisation) {
	m.Open--
	m.account(o).open--
}

// AddIdle records that a connection in use became idle.
func (m *Mix) AddIdle(now time.Time, id uint64, o core.Organisation) {
	a := m.account(o)
	a.idle++
	m.idle = append(m.idle, idleConnection{id: id, organisation: o, account: a, since: now})
}

// Take removes an idle connection, which is in use then.
func (m *Mix) Take(id uint64) {
	i := slices.IndexFunc(m.idle, func(c idleConnection) bool { return c.id == id })
	if i >= 0 {
		m.idle[i].account.idle--
		m.idle = slices.Delete(m.idle, i, i+1)
	}
}

// Run records that a statement of an organisation runs on a connection in use.
func (m *Mix) Run(now time.Time, o core.Organisation) {
	a := m.account(o)
	a.use, a.usedAt = a.useAt(now)+1, now
	m.InFlight++
}

// Begin records that a statement runs on a connection that its transaction keeps.
func (m *Mix) Begin() { m.InFlight++ }

// End records that a statement ended.
func (m *Mix) End() { m.InFlight-- }

// Newest returns the most recently used idle connection of an organisation.
func (m *Mix) Newest(o core.Organisation) (uint64, bool) {
	for _, c := range slices.Backward(m.idle) {
		if c.organisation == o {
			return c.id, true
		}
	}
	return 0, false
}

// Connected returns how many connections of an organisation are established.
func (m *Mix) Connected(o core.Organisation) int {
	a, ok := m.organisations[o]
	if !ok {
		return 0
	}
	return a.open - a.opening
}

// CanServe reports whether a connection of an organisation exists or is being opened.
func (m *Mix) CanServe(o core.Organisation) bool {
	a, ok := m.organisations[o]
	return ok && a.open > 0
}

// CanRun reports whether a statement of an organisation can run now: one of its
// connections is idle, and a place in flight is free or held by one of its openings. The
// openings of others leave one place to statements, since they may last.
func (m *Mix) CanRun(o core.Organisation) bool {
	a, ok := m.organisations[o]
	return ok && m.canRun(a)
}

func (m *Mix) canRun(a *account) bool {
	return a.idle > 0 && m.InFlight+min(m.Opening-a.opening, m.MaxInFlight-1) < m.MaxInFlight
}

// Free returns how many more statements may be in flight than run, zero if none of the
// organisation can be, because it has no connection and no room for one.
func (m *Mix) Free(o core.Organisation) int {
	a, ok := m.organisations[o]
	hasConnection := ok && a.idle+a.opening > 0
	if !hasConnection && m.Open >= m.maxOpen() && (len(m.idle) == 0 || m.replacing) {
		return 0
	}
	return max(0, m.MaxInFlight-m.InFlight)
}

// StepKind is what has to be done next.
type StepKind string

// The kinds of steps.
const (
	// StepNone means that nothing can be done for the waiting statements.
	StepNone StepKind = ""
	// StepRun is to run the first waiting statement of an organisation that is usable.
	StepRun StepKind = "run"
	// StepOpen is to open a connection for the organisation.
	StepOpen StepKind = "open"
	// StepReplace is to close an idle connection and to open one for the organisation.
	StepReplace StepKind = "replace"
)

// Step is what has to be done next.
type Step struct {
	Kind         StepKind
	Organisation core.Organisation
	// Connection is the one to close.
	Connection uint64
	// IsUsable reports whether a statement of an organisation may run.
	IsUsable func(core.Organisation) bool
}

// Next returns what has to be done next for the waiting statements; openings are already
// recorded. Statements and openings take turns if both wait for a place in flight; the
// place of an opening passes to a statement of its organisation.
// Without mayOpen, connections are opened only in the place of others, and only if the
// endpoint turned one away. Proves reports whether a connection
// proves the endpoint's uptime; the last idle one that does is closed only if no other
// is idle.
func (m *Mix) Next(now time.Time, mayOpen bool, proves func(id uint64) bool) Step {
	m.isFull = m.isFull && !mayOpen
	if len(m.waiting) == 0 || m.InFlight >= m.MaxInFlight {
		m.opened = m.opened[:0]
		return Step{}
	}
	if o, ok := m.nextOpened(); ok {
		return Step{Kind: StepRun, IsUsable: func(other core.Organisation) bool { return other == o }}
	}
	canRun := slices.ContainsFunc(m.idle, func(c idleConnection) bool { return c.account.waiting > 0 && m.canRun(c.account) })
	if (mayOpen || m.isFull) && (m.ranLast || !canRun) {
		if s := m.nextOpening(now, proves); s.Kind != StepNone {
			return s
		}
	}
	if canRun {
		m.ranLast = true
		return Step{Kind: StepRun, IsUsable: m.CanRun}
	}
	return Step{}
}

// nextOpened returns an organisation whose opening ended, for one of its statements.
func (m *Mix) nextOpened() (core.Organisation, bool) {
	for len(m.opened) > 0 {
		o := m.opened[0]
		m.opened = m.opened[1:]
		if m.CanRun(o) && m.account(o).waiting > 0 {
			return o, true
		}
	}
	return "", false
}

// nextOpening returns the step towards the next opening, if one is needed and possible.
func (m *Mix) nextOpening(now time.Time, proves func(id uint64) bool) Step {
	atLimit := m.Open >= m.maxOpen()
	if m.InFlight+m.Opening >= m.MaxInFlight || atLimit && (m.replacing || len(m.idle) == 0) {
		return Step{}
	}
	var next *Waiting
	for i := range m.waiting {
		w := &m.waiting[i]
		if a := w.account; a.idle == 0 && a.waiting > a.opening && (next == nil || m.compareOpenings(w, next) < 0) {
			next = w
		}
	}
	if next == nil {
		return Step{}
	}
	step := Step{Kind: StepOpen, Organisation: next.Organisation}
	if atLimit {
		id, ok := m.leastNeeded(now, proves, next)
		if !ok {
			return Step{}
		}
		step.Kind, step.Connection, m.replacing = StepReplace, id, true
	}
	m.Reserve(next.Organisation)
	m.Opening++
	next.account.opening++
	m.ranLast = false
	return step
}

// compareOpenings orders waiting statements that need a connection to be opened: by
// priority, then the organisations with the fewest connections first, then by deadline.
func (m *Mix) compareOpenings(a, b *Waiting) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.account.open, b.account.open),
		a.Deadline.Compare(b.Deadline),
	)
}

// LeastNeeded returns the idle connection that is least likely to be needed, if more
// connections are open than MaxOpen.
func (m *Mix) LeastNeeded(now time.Time, proves func(id uint64) bool) (uint64, bool) {
	if m.Open <= m.MaxOpen {
		return 0, false
	}
	return m.leastNeeded(now, proves, nil)
}

// leastNeeded prefers organisations without waiting statements, then those with the
// least use for each connection, then connections that have been idle for longest. Those of
// organisations with a waiting statement that would get an opening no later than next, if
// set, are kept.
func (m *Mix) leastNeeded(now time.Time, proves func(id uint64) bool, next *Waiting) (uint64, bool) {
	proof := m.onlyProof(proves)
	m.markNeeded(next)
	best := -1
	compare := func(a, b idleConnection) int {
		of, than := a.account, b.account
		return cmp.Or(
			compareBool(a.id == proof, b.id == proof),
			compareBool(of.waiting > 0, than.waiting > 0),
			cmp.Compare(of.useAt(now)/float64(of.open), than.useAt(now)/float64(than.open)),
		)
	}
	for i, c := range m.idle {
		if c.account.needed {
			continue
		}
		if best < 0 || compare(c, m.idle[best]) < 0 {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	return m.idle[best].id, true
}

// markNeeded sets needed of the organisations with idle connections.
func (m *Mix) markNeeded(next *Waiting) {
	for _, c := range m.idle {
		c.account.needed = false
	}
	if next == nil {
		return
	}
	for i := range m.waiting {
		if w := &m.waiting[i]; m.compareOpenings(w, next) <= 0 {
			w.account.needed = true
		}
	}
}

// onlyProof returns the connection that alone proves the uptime, zero if there is none.
func (m *Mix) onlyProof(proves func(id uint64) bool) uint64 {
	only := uint64(0)
	for _, c := range m.idle {
		if !proves(c.id) {
			continue
		}
		if only != 0 {
			return 0
		}
		only = c.id
	}
	return only
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Unused returns a connection that has been idle for too long. The last idle one stays.
// If it alone proves the uptime, the one of its organisation that has been idle for
// longest besides is returned instead.
func (m *Mix) Unused(now time.Time, proves func(id uint64) bool) (uint64, bool) {
	if len(m.idle) < 2 {
		return 0, false
	}
	for i, c := range m.idle {
		if now.Sub(c.since) < timeoutOf(c.organisation) {
			continue
		}
		if c.id != m.onlyProof(proves) {
			return c.id, true
		}
		m.idle = append(slices.Delete(m.idle, i, i+1), idleConnection{id: c.id, organisation: c.organisation, account: c.account, since: now})
		j := slices.IndexFunc(m.idle, func(other idleConnection) bool { return other.organisation == c.organisation })
		if m.idle[j].id == c.id {
			return 0, false
		}
		return m.idle[j].id, true
	}
	return 0, false
}

// timeoutOf returns how long a connection of an organisation may be idle.
func timeoutOf(o core.Organisation) time.Duration {
	if o == "" {
		return ownIdleTimeout
	}
	return idleTimeout
}

// ForControl returns an idle connection for a control request among those that fit: one
// of the organisation with the least use, of these the most recently used.
func (m *Mix) ForControl(now time.Time, fits func(id uint64) bool) (uint64, bool) {
	best, bestUse := uint64(0), math.Inf(1)
	for _, c := range slices.Backward(m.idle) {
		if use := c.account.useAt(now); use < bestUse && fits(c.id) {
			best, bestUse = c.id, use
		}
	}
	return best, best != 0
}

// Idle is the number of idle connections of an organisation.
type Idle struct {
	Organisation core.Organisation
	Connections  int
}

// LargestIdle returns the n organisations with the most idle connections.
func (m *Mix) LargestIdle(n int) []Idle {
	var list []Idle
	for o, a := range m.organisations {
		if a.idle > 0 && o != "" {
			list = append(list, Idle{Organisation: o, Connections: a.idle})
		}
	}
	slices.SortFunc(list, func(a, b Idle) int {
		return cmp.Or(cmp.Compare(b.Connections, a.Connections), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list[:min(n, len(list))]
}
