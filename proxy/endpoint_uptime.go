package proxy

import "time"

// recordUptime records an answer to a request sent at sentAt and returns the time
// since which the endpoint's process has been running. If other connections got
// answers shortly before this one was opened, the process that it reaches is the one
// that they reach.
func (c *endpointConn) recordUptime(sentAt time.Time) time.Time {
	e := c.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upSince.Before(c.upSince) && c.upSince.Sub(e.lastUpAt) < minRestartTime {
		c.upSince = e.upSince
	}
	switch {
	case c.upSince.Equal(e.upSince):
		e.lastUpAt = later(e.lastUpAt, sentAt)
	case c.upSince.Before(e.upSince), sentAt.Sub(e.lastUpAt) > uptimeStaleAfter:
		e.upSince, e.lastUpAt = c.upSince, sentAt
	}
	return c.upSince
}

// minRestartTime is a lower bound on the time from the end of an endpoint's process
// until another serves under its name: the new process has to read its log first.
const minRestartTime = 100 * time.Millisecond

// uptimeStaleAfter is how long the connections that prove the longest uptime may go
// without an answer before younger connections replace them: a few samples.
const uptimeStaleAfter = 3 * time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// provesUptimeLocked reports whether answers on this idle connection prove the longest
// known uptime of the endpoint's process.
func (e *endpoint) provesUptimeLocked(id uint64) bool { return e.idle[id].upSince.Equal(e.upSince) }

// takeUptimeProofLocked removes an idle connection that proves the endpoint's uptime from
// the pool, any other if none does, or returns nil.
func (e *endpoint) takeUptimeProofLocked(now time.Time) *endpointConn {
	isOpen := func(id uint64) bool { return e.idle[id].conn.IsOpen() }
	id, ok := e.mix.ForControl(now, func(id uint64) bool { return e.provesUptimeLocked(id) && isOpen(id) })
	if !ok {
		id, ok = e.mix.ForControl(now, isOpen)
	}
	if !ok {
		e.closeIdleLocked()
		return nil
	}
	return e.takeIdleLocked(id)
}
