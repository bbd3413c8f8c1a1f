package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"anviltack/core"
)

// Times and sizes of replication.
const (
	heartbeat   = 50 * time.Millisecond
	pushTimeout = 500 * time.Millisecond
	pushRetry   = 10 * time.Millisecond
	pushEntries = 512
)

// Push is what a primary sends to a peer.
type Push struct {
	Term uint64 `json:"term"`
	// Previous is the point of the entry before the first of Entries.
	Previous core.Point `json:"previous"`
	Entries  []Entry    `json:"entries"`
}

// PushAnswer is what a peer answers.
type PushAnswer struct {
	// Fence is the fence of the peer; above the term of the push it refuses.
	Fence uint64 `json:"fence"`
	// Matched tells that the peer holds the log up to the end of the push.
	Matched bool `json:"matched"`
	// Back is the position to go on from when the logs did not match.
	Back uint64 `json:"back"`
}

// take matches a push against the log.
func (e *Endpoint) take(p Push) PushAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Term < e.fence {
		return PushAnswer{Fence: e.fence}
	}
	if p.Term > e.term {
		e.stepDown()
	}
	e.fence = p.Term
	e.pushed = max(e.pushed, p.Term)
	answer := PushAnswer{Fence: e.fence}
	previous := p.Previous.Position
	if e.pointAt(previous) != p.Previous {
		answer.Back = min(uint64(len(e.entries)), previous-1)
		return answer
	}
	now := time.Now()
	for _, entry := range p.Entries {
		if entry.Position <= uint64(len(e.entries)) {
			if e.pointAt(entry.Position) == entry.Point {
				continue
			}
			e.cut(entry.Position)
		}
		entry.at = now
		e.entries = append(e.entries, entry)
	}
	e.match(p.Term, previous+uint64(len(p.Entries)))
	answer.Matched = true
	return answer
}

// match records that the log is that of the primary of a term up to a position.
// A new term counts only once everything visible is known to be part of it;
// e.mu is held.
func (e *Endpoint) match(term, position uint64) {
	switch {
	case term == e.term:
		e.received = max(e.received, position)
	case position >= e.applied:
		e.term = term
		e.received = position
	}
	e.broadcast()
}

// apply makes received entries visible after the lag.
func (e *Endpoint) apply(ctx context.Context) {
	for {
		if e.frozen.wait(ctx) != nil {
			return
		}
		e.mu.Lock()
		changed := e.changed
		pause := heartbeat
		for e.applied < e.received {
			pause = time.Until(e.entries[e.applied].at.Add(e.faults.lag))
			if pause > 0 {
				break
			}
			e.show(e.applied + 1)
		}
		e.mu.Unlock()
		if !wait(ctx, changed, pause) {
			return
		}
	}
}

// wait returns when changed is closed or the pause is over, and false when the
// context ends.
func wait(ctx context.Context, changed <-chan struct{}, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// pusher sends the log to one peer.
type pusher struct {
	e      *Endpoint
	peer   netip.AddrPort
	client *http.Client
	// term is that in which next was set.
	term uint64
	// next is the position of the first entry to send.
	next uint64
	// beat is when an empty push is due.
	beat time.Time
}

func (e *Endpoint) push(ctx context.Context, peer netip.AddrPort) {
	p := &pusher{e: e, peer: peer, client: &http.Client{Transport: &http.Transport{}, Timeout: pushTimeout}}
	defer p.client.CloseIdleConnections()
	for {
		if e.frozen.wait(ctx) != nil {
			return
		}
		batch, due, changed := p.batch()
		switch {
		case batch == nil && changed == nil:
			sleepUntil(due)
			continue
		case batch == nil:
			if !wait(ctx, changed, time.Until(due)) {
				return
			}
			continue
		}
		if err := p.send(ctx, batch); err != nil && !wait(ctx, nil, pushRetry) {
			return
		}
	}
}

// batch returns what has to go to the peer now, or when to look again: at a
// change too when it returns a channel.
func (p *pusher) batch() (*Push, time.Time, <-chan struct{}) {
	e := p.e
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.role != core.RolePrimary || e.faults.isCut(p.peer) {
		return nil, now.Add(heartbeat), e.changed
	}
	if p.term != e.term {
		p.term = e.term
		p.next = uint64(len(e.entries))
	}
	end := p.next - 1
	var due time.Time
	for end < uint64(len(e.entries)) && end-p.next+1 < pushEntries {
		if due = e.entries[end].at.Add(e.delay); due.After(now) {
			break
		}
		end++
	}
	if end < p.next && now.Before(p.beat) {
		if due.IsZero() {
			return nil, p.beat, e.changed
		}
		return nil, due, nil
	}
	p.beat = now.Add(heartbeat)
	return &Push{
		Term:     e.term,
		Previous: e.pointAt(p.next - 1),
		Entries:  slices.Clone(e.entries[p.next-1 : end]),
	}, time.Time{}, nil
}

func (p *pusher) send(ctx context.Context, batch *Push) error {
	body, err := json.Marshal(batch)
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.peer.String()+"/replicate", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return fmt.Errorf("endpoint: push to %s: %w", p.peer, err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer PushAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return fmt.Errorf("endpoint: push to %s: %w", p.peer, err)
	}
	p.settle(batch, answer)
	return nil
}

func (p *pusher) settle(batch *Push, answer PushAnswer) {
	switch {
	case answer.Fence > batch.Term:
		p.e.mu.Lock()
		if p.e.term == batch.Term {
			p.e.stepDown()
		}
		p.e.mu.Unlock()
	case answer.Matched:
		p.next += uint64(len(batch.Entries))
	default:
		p.next = answer.Back + 1
		p.beat = time.Time{}
	}
}
