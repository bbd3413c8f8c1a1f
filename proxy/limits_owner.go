package proxy

import (
	"context"
	"errors"
	"time"

	"anviltack/core"
	"anviltack/core/quota"
)

// ownerLink holds the requests to an owner of limits. There is one message to it at a time,
// with all requests that came up meanwhile.
type ownerLink struct {
	pending []pendingAsk
	// contactDue is true if a message is due although there are no requests.
	contactDue bool
	running    bool
	// avoidedUntil is the time until which the owner is not asked, after it did not answer
	// failures times in a row.
	avoidedUntil time.Time
	failures     int
}

// pendingAsk is a request of a stock that has not been answered.
type pendingAsk struct {
	stock *limitStock
	ask   quota.Ask
	limit quota.Limit
}

// isUsableLocked reports whether an owner can be asked.
func (l *limits) isUsableLocked(now time.Time, i core.Instance) bool {
	if i == l.selfName() {
		return true
	}
	link := l.links[i]
	return l.proxy.dependencies.Limits.Ask != nil && l.peers[i].SessionAddress.IsValid() && (link == nil || !now.Before(link.avoidedUntil))
}

// sendLocked adds a request to the next message to an owner.
func (l *limits) sendLocked(to core.Instance, a pendingAsk) {
	link := l.linkLocked(to)
	link.pending = append(link.pending, a)
	l.startLocked(to, link)
}

// contactLocked sends a message without requests to an instance, to learn which list of the
// instances it has.
func (l *limits) contactLocked(to core.Instance) {
	if !l.isUsableLocked(l.proxy.now(), to) {
		return
	}
	link := l.linkLocked(to)
	link.contactDue = true
	l.startLocked(to, link)
}

// announce makes this instance known to others of its data centre while it is missing in
// the list.
func (l *limits) announce() {
	for {
		l.mu.Lock()
		l.isAnnouncing = l.roster.IsMissing()
		if !l.isAnnouncing {
			l.mu.Unlock()
			return
		}
		for _, i := range l.roster.Neighbours() {
			l.contactLocked(i)
		}
		l.mu.Unlock()
		time.Sleep(quota.AnnounceInterval)
	}
}

func (l *limits) linkLocked(to core.Instance) *ownerLink {
	link := l.links[to]
	if link == nil {
		link = &ownerLink{}
		l.links[to] = link
	}
	return link
}

func (l *limits) startLocked(to core.Instance, link *ownerLink) {
	if !link.running {
		link.running = true
		go l.runLink(to, link)
	}
}

// runLink sends messages to an owner until no more are due.
func (l *limits) runLink(to core.Instance, link *ownerLink) {
	for {
		l.mu.Lock()
		batch, peer := link.pending, l.peers[to]
		if len(batch) == 0 && !link.contactDue {
			link.running = false
			l.mu.Unlock()
			return
		}
		link.pending, link.contactDue = nil, false
		q := LimitQuestion{From: l.selfName(), DataCentre: core.DataCentre(l.proxy.settings.DataCentre), IsMissing: l.roster.IsMissing()}
		l.mu.Unlock()
		for _, a := range batch {
			q.Requests = append(q.Requests, a.ask.Request)
		}
		sentAt := l.proxy.now()
		answer, err := l.askOwner(peer, q)
		l.mu.Lock()
		if err == nil {
			link.failures = 0
			l.roster.Contact(sentAt, to, answer.Sign)
		} else {
			batch = append(batch, link.pending...)
			link.pending = nil
			l.avoidLocked(to, link, err)
		}
		l.applyLocked(batch, answer.Replies)
		l.mu.Unlock()
	}
}

var errOwner = errors.New("proxy: an owner of limits gave no usable answer")

// askOwner sends one message. An answer that does not fit, or that the program cannot
// handle, is none.
func (l *limits) askOwner(peer Peer, q LimitQuestion) (a LimitAnswer, err error) {
	defer l.proxy.containPanic(func() { a, err = LimitAnswer{}, errOwner })
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	a, err = l.proxy.dependencies.Limits.Ask(ctx, peer, q)
	if err == nil && len(a.Replies) != len(q.Requests) {
		err = errOwner
	}
	return a, err
}

// applyLocked applies the replies to requests; without replies the requests have failed.
func (l *limits) applyLocked(batch []pendingAsk, replies []quota.Reply) {
	now := l.proxy.now()
	for i, a := range batch {
		if i < len(replies) {
			a.stock.Answer(now, a.ask, replies[i], a.limit)
		} else {
			a.stock.Fail(a.ask)
		}
		close(a.stock.changed)
		a.stock.changed = make(chan struct{})
	}
}

// avoidLocked asks an owner that did not answer no more for a while.
func (l *limits) avoidLocked(to core.Instance, link *ownerLink, err error) {
	link.failures++
	d := min(maxOwnerAvoidance, minOwnerAvoidance<<min(link.failures-1, 10))
	link.avoidedUntil = l.proxy.now().Add(d)
	if link.failures == 1 && l.proxy.requestLogs.Allow() {
		l.proxy.event(core.EventLimitOwner).WithField("owner", to).WithError(err).Info("an instance that may own limits did not answer")
	}
}
