package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"anviltack/core"
)

// soakEndpoint is an endpoint of the soak test's group. Its log holds the ids of
// committed writes.
type soakEndpoint struct {
	info        Endpoint
	primary     bool
	term, fence uint64
	log         []soakEntry
	applied     int
	// incarnation counts the starts of the process; connections to an earlier one are
	// closed.
	incarnation int
	crashed     bool
	// unlisted endpoints have no entry in the directory.
	unlisted bool
	// An unreachable endpoint answers nothing, notReceiving stops replication to it,
	// and notApplying stops it from applying its log.
	unreachable, notReceiving, notApplying bool
	// loseAnswer drops the answer to the next statement of a caller, which still runs.
	loseAnswer bool
}

type soakEntry struct {
	term uint64
	id   string
}

func (e *soakEndpoint) last() core.Point {
	p := core.Point{Position: uint64(len(e.log))}
	if len(e.log) > 0 {
		p.Term = e.log[len(e.log)-1].term
	}
	return p
}

func (e *soakEndpoint) visible() core.Point {
	p := core.Point{Position: uint64(e.applied)}
	if e.applied > 0 {
		p.Term = e.log[e.applied-1].term
	}
	return p
}

func (e *soakEndpoint) holds(id string, position int) bool {
	return slices.ContainsFunc(e.log[:position], func(entry soakEntry) bool { return entry.id == id })
}

// replicate copies the log of each primary to the endpoints that follow it.
func (s *soak) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		for _, p := range s.endpoints {
			for _, o := range s.endpoints {
				if p.primary && !p.crashed && o != p && o.follows(p) {
					o.primary, o.term, o.log = false, p.term, slices.Clone(p.log)
					o.applied = min(o.applied, len(o.log))
				}
			}
		}
		for _, e := range s.endpoints {
			if !e.notApplying {
				e.applied = len(e.log)
			}
		}
		s.mu.Unlock()
	}
}

// follows reports whether an endpoint replicates from a primary.
func (e *soakEndpoint) follows(p *soakEndpoint) bool {
	return !e.crashed && !e.notReceiving && e.fence <= p.term && (e.term < p.term || e.term == p.term && !e.primary)
}

// soakConn is a connection to an endpoint.
type soakConn struct {
	soak        *soak
	endpoint    *soakEndpoint
	name        string
	incarnation int
	// owner is the session whose transaction is open; pending holds its writes.
	owner   string
	pending []string
}

var errReset = errors.New("connection reset")

// unclaimed owns a transaction in which no caller's statement has run yet.
const unclaimed = "open"

func (s *soak) dial(instance string, name core.Endpoint) (*Conn, error) {
	s.mu.Lock()
	e := s.endpoint(name)
	if e == nil {
		s.mu.Unlock()
		return nil, syscall.ECONNREFUSED
	}
	c := &soakConn{soak: s, endpoint: e, name: instance + " " + string(name), incarnation: e.incarnation}
	s.mu.Unlock()
	if err := c.lockReachable(unreachableTimeout); err != nil {
		return nil, err
	}
	s.mu.Unlock()
	return &Conn{
		Exchange: c.exchange, Status: c.status, CheckPrimary: c.checkPrimary, Fence: c.fence,
		IsOpen: c.isOpen, Close: func() {},
	}, nil
}

func (c *soakConn) isOpen() bool {
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	return !c.endpoint.crashed && c.incarnation == c.endpoint.incarnation
}

// lockReachable acquires the lock if the endpoint is reachable, and otherwise fails as
// a network connection does.
func (c *soakConn) lockReachable(timeout time.Duration) error {
	time.Sleep(time.Duration(rand.IntN(1500)) * time.Microsecond)
	c.soak.mu.Lock()
	switch {
	case c.endpoint.unreachable || c.soak.disconnected[c.name]:
		c.soak.mu.Unlock()
		time.Sleep(min(timeout, unreachableTimeout))
		return errTimeout
	case c.endpoint.crashed:
		c.soak.mu.Unlock()
		return syscall.ECONNREFUSED
	case c.incarnation != c.endpoint.incarnation:
		c.soak.mu.Unlock()
		return errReset
	}
	return nil
}

func (c *soakConn) report() Report {
	e := c.endpoint
	role := core.RoleReplica
	if e.primary {
		role = core.RolePrimary
	}
	return Report{Status: core.Status{Role: role, Term: e.term, Fence: max(e.term, e.fence), Received: uint64(len(e.log)), Applied: uint64(e.applied), Last: e.last()}}
}

func (c *soakConn) status(timeout time.Duration) (Report, error) {
	if err := c.lockReachable(timeout); err != nil {
		return Report{}, err
	}
	defer c.soak.mu.Unlock()
	return c.report(), nil
}

func (c *soakConn) checkPrimary(timeout time.Duration) (core.Point, error) {
	if err := c.lockReachable(timeout); err != nil {
		return core.Point{}, err
	}
	defer c.soak.mu.Unlock()
	if !c.endpoint.primary {
		return core.Point{}, &EndpointError{Kind: ErrorKindReadOnly}
	}
	return c.endpoint.last(), nil
}

func (c *soakConn) fence(timeout time.Duration, term uint64, _ core.Role) (Report, error) {
	if err := c.lockReachable(timeout); err != nil {
		return Report{}, err
	}
	defer c.soak.mu.Unlock()
	if c.endpoint.primary && term > c.endpoint.term {
		c.endpoint.primary = false
	}
	c.endpoint.fence = max(c.endpoint.fence, term)
	return c.report(), nil
}

func (c *soakConn) exchange(timeout time.Duration, statements []Statement) ([]Answer, error) {
	if err := c.lockReachable(timeout); err != nil {
		return nil, err
	}
	defer c.soak.mu.Unlock()
	var answers []Answer
	for _, st := range statements {
		a := c.run(st)
		if st.ID != "" && c.endpoint.loseAnswer {
			c.endpoint.loseAnswer = false
			return answers, errTimeout
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// run runs one statement; the caller holds the lock.
func (c *soakConn) run(st Statement) Answer {
	e := c.endpoint
	session, _, _ := strings.Cut(st.ID, ".")
	if st.ID != "" && c.owner == unclaimed {
		c.owner = session
	}
	if st.ID != "" && c.owner != "" && c.owner != session {
		c.soak.recordViolation("statement %s ran in the transaction of %s", st.ID, c.owner)
	}
	reject := func(kind ErrorKind) Answer {
		return Answer{Err: &EndpointError{Kind: kind}, State: c.state(), Point: e.visible()}
	}
	if e.visible().Less(st.After) {
		return reject(ErrorKindLagging)
	}
	switch st.Kind {
	case KindBegin:
		if !st.ReadOnly && !e.primary {
			return reject(ErrorKindReadOnly)
		}
		c.owner, c.pending = unclaimed, nil
	case KindRollback:
		c.owner, c.pending = "", nil
	case KindRead:
		c.soak.checkVisible(st.ID, e)
	case KindWrite:
		if !e.primary {
			return reject(ErrorKindReadOnly)
		}
		if c.owner == "" {
			e.commit(st.ID)
			break
		}
		c.pending = append(c.pending, st.ID)
	case KindCommit:
		if len(c.pending) > 0 && !e.primary {
			return reject(ErrorKindReadOnly)
		}
		e.commit(c.pending...)
		c.owner, c.pending = "", nil
	}
	return Answer{Rows: []string{st.ID}, Proof: st.ID + " by " + string(e.info.Name), State: c.state(), Point: e.visible()}
}

func (c *soakConn) state() State {
	if c.owner != "" {
		return StateTransaction
	}
	return StateIdle
}

func (e *soakEndpoint) commit(ids ...string) {
	for _, id := range ids {
		e.log = append(e.log, soakEntry{e.term, id})
	}
	e.applied = len(e.log)
}
