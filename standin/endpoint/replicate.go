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

// Timing and batch size of replication.
const (
	heartbeatInterval = 50 * time.Millisecond
	appendTimeout     = 500 * time.Millisecond
	appendRetryDelay  = 10 * time.Millisecond
	maxAppendEntries  = 512
)

// AppendRequest is what a primary sends to a peer.
type AppendRequest struct {
	Term uint64 `json:"term"`
	// Previous is the point of the entry before the first of Entries.
	Previous core.Point `json:"previous"`
	Entries  []Entry    `json:"entries"`
}

// AppendAnswer is the peer's answer to an AppendRequest.
type AppendAnswer struct {
	// Fence is the fence of the peer. The peer rejected the request if it is
	// above the term of the request.
	Fence uint64 `json:"fence"`
	// Matched is true if the peer has the log up to the end of the request.
	Matched bool `json:"matched"`
	// RejectHint is the position after which to retry if the logs did not
	// match.
	RejectHint uint64 `json:"back"`
}

// handleAppend stores the entries of a request if they follow on from the log.
// Entries of the log that conflict with them are truncated.
func (e *Endpoint) handleAppend(p AppendRequest) AppendAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Term < e.fence {
		return AppendAnswer{Fence: e.fence}
	}
	if p.Term > e.term {
		e.stepDown()
	}
	e.fence = p.Term
	e.primaryTerm = max(e.primaryTerm, p.Term)
	answer := AppendAnswer{Fence: e.fence}
	previous := p.Previous.Position
	if e.pointAt(previous) != p.Previous {
		answer.RejectHint = min(uint64(len(e.entries)), previous-1)
		return answer
	}
	now := time.Now()
	for _, entry := range p.Entries {
		if entry.Position <= uint64(len(e.entries)) {
			if e.pointAt(entry.Position) == entry.Point {
				continue
			}
			e.truncate(entry.Position)
		}
		entry.storedAt = now
		e.entries = append(e.entries, entry)
	}
	e.recordMatch(p.Term, previous+uint64(len(p.Entries)))
	answer.Matched = true
	return answer
}

// recordMatch records that the log equals that of the primary of a term up to a
// position. A new term is adopted only once all applied entries are known to be
// part of it; e.mu is held.
func (e *Endpoint) recordMatch(term, position uint64) {
	switch {
	case term == e.term:
		e.received = max(e.received, position)
	case position >= e.applied:
		e.term = term
		e.received = position
	}
	e.notifyChanged()
}

// runApply applies received entries after the replication lag.
func (e *Endpoint) runApply(ctx context.Context) {
	for {
		if e.suspended.wait(ctx) != nil {
			return
		}
		e.mu.Lock()
		changed := e.changed
		pause := heartbeatInterval
		for e.applied < e.received {
			pause = time.Until(e.entries[e.applied].storedAt.Add(e.faults.lag))
			if pause > 0 {
				break
			}
			e.applyUpTo(e.applied + 1)
		}
		e.mu.Unlock()
		if !wait(ctx, changed, pause) {
			return
		}
	}
}

// wait returns true when changed is closed or the pause is over, and false when
// the context has ended.
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

// replicator sends the log to one peer.
type replicator struct {
	endpoint *Endpoint
	peer     netip.AddrPort
	client   *http.Client
	// term is the term in which next was set.
	term uint64
	// next is the position of the first entry to send.
	next uint64
	// heartbeatDue is when an empty request is due.
	heartbeatDue time.Time
}

func (e *Endpoint) replicate(ctx context.Context, peer netip.AddrPort) {
	p := &replicator{endpoint: e, peer: peer, client: &http.Client{Transport: &http.Transport{}, Timeout: appendTimeout}}
	defer p.client.CloseIdleConnections()
	for {
		if e.suspended.wait(ctx) != nil {
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
		if err := p.send(ctx, batch); err != nil && !wait(ctx, nil, appendRetryDelay) {
			return
		}
	}
}

// batch returns the request to send now. If there is none it returns when to
// call it again: at a time or, if it also returns a channel, once that is
// closed.
func (p *replicator) batch() (*AppendRequest, time.Time, <-chan struct{}) {
	e := p.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.role != core.RolePrimary || e.faults.isUnreachable(p.peer) {
		return nil, now.Add(heartbeatInterval), e.changed
	}
	if p.term != e.term {
		p.term = e.term
		p.next = uint64(len(e.entries))
	}
	end := p.next - 1
	var due time.Time
	for end < uint64(len(e.entries)) && end-p.next+1 < maxAppendEntries {
		if due = e.entries[end].storedAt.Add(e.networkDelay); due.After(now) {
			break
		}
		end++
	}
	if end < p.next && now.Before(p.heartbeatDue) {
		if due.IsZero() {
			return nil, p.heartbeatDue, e.changed
		}
		return nil, due, nil
	}
	p.heartbeatDue = now.Add(heartbeatInterval)
	return &AppendRequest{
		Term:     e.term,
		Previous: e.pointAt(p.next - 1),
		Entries:  slices.Clone(e.entries[p.next-1 : end]),
	}, time.Time{}, nil
}

func (p *replicator) send(ctx context.Context, batch *AppendRequest) error {
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
		return fmt.Errorf("endpoint: replicate to %s: %w", p.peer, err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer AppendAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return fmt.Errorf("endpoint: replicate to %s: %w", p.peer, err)
	}
	p.handleAnswer(batch, answer)
	return nil
}

func (p *replicator) handleAnswer(batch *AppendRequest, answer AppendAnswer) {
	switch {
	case answer.Fence > batch.Term:
		p.endpoint.mu.Lock()
		if p.endpoint.term == batch.Term {
			p.endpoint.stepDown()
		}
		p.endpoint.mu.Unlock()
	case answer.Matched:
		p.next += uint64(len(batch.Entries))
	default:
		p.next = answer.RejectHint + 1
		p.heartbeatDue = time.Time{}
	}
}
