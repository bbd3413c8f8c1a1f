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

// AppendResponse is the peer's response to an AppendRequest.
type AppendResponse struct {
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
func (e *Endpoint) handleAppend(request AppendRequest) AppendResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if request.Term < e.fence {
		return AppendResponse{Fence: e.fence}
	}
	if request.Term > e.term {
		e.stepDown()
	}
	e.fence = request.Term
	e.primaryTerm = max(e.primaryTerm, request.Term)
	response := AppendResponse{Fence: e.fence}
	previous := request.Previous.Position
	if e.pointAt(previous) != request.Previous {
		response.RejectHint = min(uint64(len(e.entries)), previous-1)
		return response
	}
	now := time.Now()
	for _, entry := range request.Entries {
		if entry.Position <= uint64(len(e.entries)) {
			if e.pointAt(entry.Position) == entry.Point {
				continue
			}
			e.truncate(entry.Position)
		}
		entry.storedAt = now
		e.entries = append(e.entries, entry)
	}
	e.recordMatch(request.Term, previous+uint64(len(request.Entries)))
	response.Matched = true
	return response
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

// replicator sends the log to one peer while the endpoint is primary.
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
	r := &replicator{endpoint: e, peer: peer, client: &http.Client{Transport: &http.Transport{}, Timeout: appendTimeout}}
	defer r.client.CloseIdleConnections()
	for {
		if e.suspended.wait(ctx) != nil {
			return
		}
		batch, due, changed := r.batch()
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
		if err := r.send(ctx, batch); err != nil && !wait(ctx, nil, appendRetryDelay) {
			return
		}
	}
}

// batch returns the request to send now. If there is none it returns the time
// at which to call it again; if it also returns a channel, the call is due
// earlier if that is closed.
func (r *replicator) batch() (*AppendRequest, time.Time, <-chan struct{}) {
	e := r.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.role != core.RolePrimary || e.faults.isUnreachable(r.peer) {
		return nil, now.Add(heartbeatInterval), e.changed
	}
	if r.term != e.term {
		r.term = e.term
		r.next = uint64(len(e.entries))
	}
	end := r.next - 1
	var due time.Time
	for end < uint64(len(e.entries)) && end-r.next+1 < maxAppendEntries {
		if due = e.entries[end].storedAt.Add(e.networkDelay); due.After(now) {
			break
		}
		end++
	}
	if end < r.next && now.Before(r.heartbeatDue) {
		if due.IsZero() {
			return nil, r.heartbeatDue, e.changed
		}
		return nil, due, nil
	}
	r.heartbeatDue = now.Add(heartbeatInterval)
	return &AppendRequest{
		Term:     e.term,
		Previous: e.pointAt(r.next - 1),
		Entries:  slices.Clone(e.entries[r.next-1 : end]),
	}, time.Time{}, nil
}

func (r *replicator) send(ctx context.Context, batch *AppendRequest) error {
	body, err := json.Marshal(batch)
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.peer.String()+"/replicate", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	httpResponse, err := r.client.Do(request)
	if err != nil {
		return fmt.Errorf("endpoint: replicate to %s: %w", r.peer, err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	var response AppendResponse
	if err := json.NewDecoder(httpResponse.Body).Decode(&response); err != nil {
		return fmt.Errorf("endpoint: replicate to %s: %w", r.peer, err)
	}
	r.handleResponse(batch, response)
	return nil
}

func (r *replicator) handleResponse(batch *AppendRequest, response AppendResponse) {
	switch {
	case response.Fence > batch.Term:
		r.endpoint.mu.Lock()
		if r.endpoint.term == batch.Term {
			r.endpoint.stepDown()
		}
		r.endpoint.mu.Unlock()
	case response.Matched:
		r.next += uint64(len(batch.Entries))
	default:
		r.next = response.RejectHint + 1
		r.heartbeatDue = time.Time{}
	}
}
