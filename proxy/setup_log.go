package proxy

import (
	"github.com/sirupsen/logrus"

	"anviltack/core"
)

// recordRefusedMessage counts and logs that a statement was not sent because a message for it
// could not be written.
func (c *endpointConn) recordRefusedMessage(id string, err error) {
	c.endpoint.groupControl.control.proxy.counts.messagesRefused.Inc(1)
	c.logSetup(core.EventMessage, id, err, "a statement was not sent because it cannot be written as a message")
}

// recordRefusedConnection counts and logs that no connection was requested because the message
// for it could not be written.
func (p *Proxy) recordRefusedConnection(e *endpoint, err error) {
	p.counts.messagesRefused.Inc(1)
	if p.requestLogs.Allow() {
		p.event(core.EventMessage).WithField("endpoint", e.info.Name).WithError(err).Warn("no connection was requested because the message for it cannot be written")
	}
}

// recordSetupFailure counts and logs that the endpoint did not accept session values or a
// preparation.
func (c *endpointConn) recordSetupFailure(err error) {
	c.endpoint.groupControl.control.proxy.counts.setupsRejected.Inc(1)
	c.logSetup(core.EventSetup, "", err, "the endpoint did not accept the session values or the prepared statement")
}

// recordUnknownName counts and logs that the endpoint does not know a name that was prepared
// on the connection.
func (c *endpointConn) recordUnknownName(st Statement, err error) {
	c.endpoint.groupControl.control.proxy.counts.namesUnknown.Inc(1)
	c.logSetup(core.EventSetup, st.ID, err, "the endpoint does not know a prepared statement")
}

// logSetup logs an event about what was set up on the connection.
func (c *endpointConn) logSetup(e core.Event, id string, err error, text string) {
	p := c.endpoint.groupControl.control.proxy
	if !p.requestLogs.Allow() {
		return
	}
	p.event(e).WithFields(logrus.Fields{
		"endpoint": c.endpoint.info.Name, "connection": c.id, "id": loggedID(id), "values": len(c.values), "names": c.prepared.Len(),
	}).WithError(err).Warn(text)
}
