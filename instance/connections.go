package instance

import (
	"context"
	"errors"
	"time"

	"anviltack/core"
	"anviltack/core/pool"
	"anviltack/io/endpoint"
)

const (
	// sqlStateTooManyConnections is the SQLSTATE of an endpoint that has
	// reached its connection limit.
	sqlStateTooManyConnections = "53300"
	// connectRetryDelay is the retry delay for callers while no connection can
	// be opened.
	connectRetryDelay = 200 * time.Millisecond
)

// applyActions carries out actions on connections. The lock must be held.
func (p *endpointPool) applyActions(actions []pool.Action) {
	for _, a := range actions {
		pc := p.byNumber[a.Connection]
		switch a.Kind {
		case pool.ActionOpen:
			go p.openConnection(a.Connection)
		case pool.ActionTest:
			go p.testConnection(pc)
		case pool.ActionMove:
			p.instance.counters.readsMoved.Inc(1)
			pc.conn.Interrupt()
		case pool.ActionClose:
			p.closeConnection(a.Connection)
		case pool.ActionReset:
			// release starts the reset itself, because the slot stays occupied.
		}
	}
}

func (p *endpointPool) closeConnection(n uint64) {
	if pc := p.byNumber[n]; pc != nil {
		delete(p.byNumber, n)
		go pc.conn.Close()
	}
}

func (p *endpointPool) openConnection(n uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), p.instance.settings.Connect)
	defer cancel()
	c, err := endpoint.Dial(ctx, p.name, p.address, p.instance.login())
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.recordOpenFailure(now, n, err)
		return
	}
	p.byNumber[n] = &pooledConnection{conn: c, number: n}
	actions := p.connections.Opened(now, n)
	if p.closed {
		actions = []pool.Action{{Kind: pool.ActionClose, Connection: n}}
	}
	p.applyActions(actions)
	p.applyOutput(now, p.sharing.Tick(now))
}

// recordOpenFailure records that a connection could not be opened. While no
// connection is open at all, waiting statements are rejected at once.
func (p *endpointPool) recordOpenFailure(now time.Time, n uint64, err error) {
	var responseError *endpoint.ResponseError
	tooMany := errors.As(err, &responseError) && responseError.State == sqlStateTooManyConnections
	p.connections.OpenFailed(now, n, tooMany)
	go p.reportFailure(err)
	if len(p.byNumber) > 0 {
		return
	}
	reason := "could not connect to %s"
	if tooMany {
		reason = "%s accepts no more connections"
	}
	p.rejectWaiting(now, core.NewError(core.CodeNoConnection, reason, p.name).WithRetry(connectRetryDelay))
}

// testConnection tests an idle connection with a request for the endpoint's
// status.
func (p *endpointPool) testConnection(pc *pooledConnection) {
	_, err := pc.conn.Status(time.Now().Add(p.instance.settings.Answer))
	p.recordTest(pc, err == nil)
}

// resetConnection discards the session state of a connection. The statement
// that changed the state occupies its slot until then.
func (p *endpointPool) resetConnection(pc *pooledConnection) {
	err := pc.conn.Reset(time.Now().Add(p.instance.settings.Answer))
	p.recordTest(pc, err == nil)
}

// recordTest records the result of a test or a reset.
func (p *endpointPool) recordTest(pc *pooledConnection, ok bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	request := pc.request
	pc.request = 0
	p.applyActions(p.connections.Tested(now, pc.number, ok && !p.closed))
	p.applyOutput(now, p.sharing.Finish(now, request))
}
