package proxy

import (
	"context"
	"maps"
	"sync"
	"time"

	"anviltack/core"
	"anviltack/core/quota"
)

const (
	// maxLimitWait bounds how long an operation waits for the owners of its
	// organisation's limit: a few round trips.
	maxLimitWait = 150 * time.Millisecond
	// ownerTimeout bounds one request to an owner.
	ownerTimeout = 100 * time.Millisecond
	// minOwnerAvoidance and maxOwnerAvoidance bound how long an owner that did not answer
	// is not asked, which doubles with each failure.
	minOwnerAvoidance = 500 * time.Millisecond
	maxOwnerAvoidance = 4 * time.Second
	// limitsInterval is the interval between two ticks of the limits.
	limitsInterval = quota.ContactInterval
)

// limits count the operations of organisations against their limits. Owners grant tokens,
// and each operation that is sent to an endpoint spends one.
type limits struct {
	proxy *Proxy

	mu     sync.Mutex
	roster *quota.Roster
	// isResumed is true once the roster knows that the instance was listed at its start.
	isResumed bool
	// isAnnouncing is true while announce runs.
	isAnnouncing bool
	ledger       *quota.Ledger
	stocks       map[core.Organisation]*limitStock
	// peers are the instances that the roster knows by name, as they were last listed.
	peers map[core.Instance]Peer
	links map[core.Instance]*ownerLink
	// nextContact counts the instances contacted while the list's source is silent.
	nextContact int
}

// limitStock is the stock of an organisation.
type limitStock struct {
	*quota.Stock
	organisation core.Organisation
	// changed is closed and replaced after each answer of an owner.
	changed chan struct{}
	// granted and refused count operations.
	granted, refused int64
	// reportedAt and reported are the time of the last event and what refused was then.
	reportedAt time.Time
	reported   int64
}

func newLimits(p *Proxy) *limits {
	s := p.settings
	roster := quota.NewRoster(quota.Instance{Name: core.Instance(s.Instance), DataCentre: core.DataCentre(s.DataCentre)}, s.DataCentres, p.dependencies.Membership.Silence)
	return &limits{
		proxy: p, roster: roster, ledger: quota.NewLedger(roster, s.LimitSlack),
		stocks: make(map[core.Organisation]*limitStock), peers: make(map[core.Instance]Peer), links: make(map[core.Instance]*ownerLink),
	}
}

// limitOf returns the limit of an organisation in the configuration in force; isKnown is
// false if that does not name the organisation. A rate of zero stands for no limit.
func (p *Proxy) limitOf(o core.Organisation) (limit quota.Limit, isKnown bool) {
	c := p.config.Load()
	if c == nil {
		return quota.Limit{}, false
	}
	settings, ok := c.Organisations[o]
	return quota.Limit{Rate: settings.Rate, Burst: settings.Burst}, ok
}

// listing describes the list of live instances; without a description it is current.
func (p *Proxy) listing() Listing {
	if p.dependencies.Membership.Listing == nil {
		return Listing{HeardAt: p.now(), Listed: true, Resumed: true}
	}
	return p.dependencies.Membership.Listing()
}

// observe applies a list of live instances.
func (l *limits) observe(listed []Peer) {
	instances := make([]quota.Instance, 0, len(listed))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range listed {
		instances = append(instances, quota.Instance{Name: p.Name, DataCentre: p.DataCentre})
		l.peers[p.Name] = p
	}
	l.roster.Observe(l.proxy.now(), instances, l.proxy.listing().Listed)
	l.refreshLocked()
	if l.roster.IsMissing() && !l.isAnnouncing {
		l.isAnnouncing = true
		go l.announce()
	}
}

// refreshLocked brings what is known of the list, and whether this instance may grant, up
// to date.
func (l *limits) refreshLocked() {
	listing := l.proxy.listing()
	l.roster.Hear(listing.HeardAt)
	if listing.Resumed && !l.isResumed {
		l.isResumed = true
		l.roster.Resume()
	}
	l.roster.Tick(l.proxy.now())
}

// run does what is due every limitsInterval until ctx ends.
func (l *limits) run(ctx context.Context) error {
	return repeat(ctx, limitsInterval, l.tick)
}

func (l *limits) tick() {
	c := l.proxy.config.Load()
	now := l.proxy.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshLocked()
	maps.DeleteFunc(l.peers, func(i core.Instance, _ Peer) bool { return !l.roster.Knows(i) })
	maps.DeleteFunc(l.links, func(i core.Instance, link *ownerLink) bool { return !l.roster.Knows(i) && !link.running })
	if c == nil || c.Organisations == nil {
		return
	}
	l.ledger.Tick(now, func(o core.Organisation) quota.Limit {
		limit, _ := l.proxy.limitOf(o)
		return limit
	})
	for o, s := range l.stocks {
		if _, isKnown := c.Organisations[o]; !isKnown && s.IsIdle() {
			delete(l.stocks, o)
		}
	}
	if near := l.roster.Neighbours(); len(near) > 0 && l.roster.IsQuiet(now) {
		l.nextContact++
		l.contactLocked(near[l.nextContact%len(near)])
	}
}

// answer answers the question of another instance.
func (l *limits) answer(q LimitQuestion) LimitAnswer {
	now := l.proxy.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshLocked()
	if q.IsMissing {
		l.roster.Meet(now, quota.Instance{Name: q.From, DataCentre: q.DataCentre})
	}
	a := LimitAnswer{Sign: l.roster.Sign(now), Replies: make([]quota.Reply, 0, len(q.Requests))}
	for _, r := range q.Requests {
		a.Replies = append(a.Replies, l.grantLocked(now, q.From, r))
	}
	return a
}

// grantLocked answers one request, which an organisation without a limit may get by an
// instance with an older configuration.
func (l *limits) grantLocked(now time.Time, from core.Instance, r quota.Request) quota.Reply {
	limit, isKnown := l.proxy.limitOf(r.Organisation)
	switch {
	case !isKnown:
		return quota.Reply{RetryAfter: defaultLimitRetry}
	case limit.Rate <= 0:
		return quota.Reply{Granted: r.Want}
	}
	return l.ledger.Grant(now, from, r, limit)
}

// take takes a token for an operation of an organisation with a limit. It waits for an
// owner only if there is none in stock. isNew is false if the token replaces another one
// of the operation.
func (l *limits) take(o core.Organisation, limit quota.Limit, isNew bool) (quota.Token, error) {
	now := l.proxy.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stockLocked(o)
	if isNew {
		s.Arrive(now)
	}
	if t, ok := s.Take(now); ok {
		l.countGrant(s)
		if s.IsLow(now) {
			l.askLocked(now, s, limit)
		}
		return t, nil
	}
	return l.awaitLocked(now, s, limit)
}

// awaitLocked waits until an owner has granted a token, while one may still answer.
func (l *limits) awaitLocked(now time.Time, s *limitStock, limit quota.Limit) (quota.Token, error) {
	s.Wait(1)
	defer s.Wait(-1)
	for deadline := now.Add(maxLimitWait); ; now = l.proxy.now() {
		if t, ok := s.Take(now); ok {
			l.countGrant(s)
			return t, nil
		}
		if l.askLocked(now, s, limit) {
			continue
		}
		wait, isPending := s.Pending(now)
		if !isPending || !now.Before(deadline) {
			return quota.Token{}, l.refuseLocked(now, s, limit)
		}
		changed := s.changed
		l.mu.Unlock()
		timer := time.NewTimer(min(wait, deadline.Sub(now)))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		l.mu.Lock()
	}
}

func (l *limits) countGrant(s *limitStock) {
	s.granted++
	l.proxy.counts.limitsGranted.Inc(1)
}

// put puts a token back that an operation did not spend.
func (l *limits) put(o core.Organisation, t quota.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stockLocked(o).Put(l.proxy.now(), t)
}

func (l *limits) stockLocked(o core.Organisation) *limitStock {
	s := l.stocks[o]
	if s == nil {
		s = &limitStock{Stock: quota.NewStock(o), organisation: o, changed: make(chan struct{})}
		l.stocks[o] = s
	}
	return s
}

// askLocked sends a request to the next owner, and reports whether there was one that may
// have tokens.
func (l *limits) askLocked(now time.Time, s *limitStock, limit quota.Limit) bool {
	isUsable := func(i core.Instance) bool { return l.isUsableLocked(now, i) }
	a, ok := s.Next(now, l.roster.Order(s.organisation, l.roster.Slots(limit)), isUsable, limit)
	if !ok {
		return false
	}
	l.proxy.counts.limitsAsked.Inc(1)
	if a.Owner.Name == l.selfName() {
		l.refreshLocked()
		s.Answer(now, a, l.grantLocked(now, a.Owner.Name, a.Request), limit)
		return true
	}
	l.sendLocked(a.Owner.Name, pendingAsk{stock: s, ask: a, limit: limit})
	return true
}

func (l *limits) selfName() core.Instance { return core.Instance(l.proxy.settings.Instance) }
