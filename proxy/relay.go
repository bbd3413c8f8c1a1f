package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"anviltack/core"
)

const (
	// relayTries bounds the homes at which one session is offered.
	relayTries = 3
	// relayLimit bounds one offer; callers wait 2 s for the start of a session.
	relayLimit = 300 * time.Millisecond
	// avoidFor is how long an instance that took no session is offered no other.
	avoidFor = 2 * time.Second
)

// startRelayed takes a session that another instance hands on.
func (p *Proxy) startRelayed(conn net.Conn) (*Caller, error) {
	return p.dependencies.Callers.StartRelayed(conn, p.configVersions())
}

// relay hands a session on to a home of its group. It reports false when this
// instance is to serve the session, because it is a home or no home took it.
func (p *Proxy) relay(caller *Caller, r Route) bool {
	if (*p.groups.Load())[r.Group] != nil {
		return false
	}
	for _, peer := range p.candidates(r.Group) {
		relay, err := p.offer(caller, peer, r.Timeout)
		if err != nil {
			p.avoidedHomes.add(peer.Name, p.now().Add(avoidFor))
			p.event(core.EventRelay).WithField("group", r.Group).WithField("home", peer.Name).WithError(err).Warn("session not taken by a home of its group")
			continue
		}
		p.handOn(caller, peer, relay)
		return true
	}
	return false
}

// offer opens the session at a home.
func (p *Proxy) offer(caller *Caller, to Peer, timeout time.Duration) (*Relay, error) {
	ctx, cancel := context.WithTimeout(context.Background(), relayLimit)
	defer cancel()
	return caller.Relay(ctx, to, timeout, p.configVersions())
}

// handOn lets a home serve the session until it ends.
func (p *Proxy) handOn(caller *Caller, to Peer, r *Relay) {
	s := &session{proxy: p, caller: caller, relay: r}
	p.enter(s)
	defer p.leave(s)
	p.counts.relayed.Inc(1)
	if caller.Ready() != nil {
		return
	}
	if lost := r.Run(); lost != "" {
		p.avoidedHomes.add(to.Name, p.now().Add(avoidFor))
		p.counts.relaysLost.Inc(1)
		p.event(core.EventRelay).WithField("id", lost).WithField("database", caller.Database).WithField("home", to.Name).Warn("statement got no answer from the home that served it")
	}
}

// candidates returns the homes of a group that a session is offered to: those of
// the own data centre first, each in random order.
func (p *Proxy) candidates(g core.Group) []Peer {
	var near, far []Peer
	now := p.now()
	for _, h := range (*p.homes.Load())[g] {
		switch {
		case p.avoidedHomes.has(h.Name, now):
		case string(h.DataCentre) == p.settings.DataCentre:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	for _, list := range [][]Peer{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	list := append(near, far...)
	return list[:min(relayTries, len(list))]
}

// groupOf returns a group, and begins to serve it here if this instance is no home
// of it; nil when the configuration does not name it.
func (p *Proxy) groupOf(name core.Group) *group {
	if g := (*p.groups.Load())[name]; g != nil {
		return g
	}
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), relayLimit)
	defer cancel()
	p.control.post(ctx, func(now time.Time) {
		p.control.addNonHomeGroup(now, name)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	return (*p.groups.Load())[name]
}

// avoided are the instances that took no session lately.
type avoided struct {
	mu    sync.Mutex
	until map[core.Instance]time.Time
}

func (a *avoided) add(i core.Instance, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = make(map[core.Instance]time.Time)
	}
	a.until[i] = until
}

func (a *avoided) has(i core.Instance, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.until[i])
}
