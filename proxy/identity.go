package proxy

import (
	"time"

	"anviltack/core"
)

// withdrawnKeyGrace is how long a transaction that began before its caller's key was
// withdrawn may go on. A withdrawn key may be in use for some seconds at most.
const withdrawnKeyGrace = time.Second

// indexKeys sets keyHolders.
func (c *Config) indexKeys() {
	c.keyHolders = make(map[core.Key]core.Organisation)
	for name, o := range c.Organisations {
		for _, k := range o.Keys {
			c.keyHolders[k] = name
		}
	}
}

// setWeights sets weights: the limits of the organisations. One without a limit, and the
// callers of public routes that belong to none, count like the one with the largest.
func (c *Config) setWeights() {
	if c.Organisations == nil {
		return
	}
	largest := 0.0
	for _, o := range c.Organisations {
		largest = max(largest, o.Rate)
	}
	c.weights = map[core.Organisation]float64{"": largest}
	for name, o := range c.Organisations {
		c.weights[name] = o.Rate
		if o.Rate == 0 {
			c.weights[name] = largest
		}
	}
}

// identify returns the organisation that holds a caller's key; empty for a caller without
// one on a public route and where the configuration names no organisations.
func (c *Config) identify(key core.Key, r Route) (core.Organisation, error) {
	if c.Organisations == nil {
		return "", nil
	}
	if o, ok := c.keyHolders[key]; ok {
		return o, nil
	}
	if r.Public {
		return "", nil
	}
	return "", core.NewError(core.CodeUnknownKey, "no organisation of configuration version %d holds the caller's key", c.Version)
}

// isDenied reports whether the configuration in force does not serve the session's caller.
func (s *session) isDenied(c *Config) bool {
	r, ok := c.Routes[s.caller.Database]
	if !ok {
		return false
	}
	_, err := c.identify(s.caller.Key, r)
	return err != nil
}

// endDeniedSessions ends the sessions of callers whose keys were withdrawn: idle ones now,
// others after their statement or transaction.
func (p *Proxy) endDeniedSessions(c *Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	denied := 0
	for s := range p.sessions {
		if !s.isDenied(c) {
			continue
		}
		denied++
		s.keyWithdrawnAt.CompareAndSwap(0, p.now().UnixNano())
		s.stop(false)
	}
	if denied > 0 {
		p.counts.keysDenied.Inc(int64(denied))
		p.event(core.EventKeyDenied).WithField("version", c.Version).WithField("sessions", denied).Info("ending sessions whose keys were withdrawn")
	}
}

// checkTransactionKey returns an error if the key of the caller of an open transaction was
// withdrawn too long ago for the transaction to go on.
func (s *session) checkTransactionKey() error {
	withdrawnAt := s.keyWithdrawnAt.Load()
	if withdrawnAt == 0 || s.proxy.now().Sub(time.Unix(0, withdrawnAt)) < withdrawnKeyGrace {
		return nil
	}
	return core.NewError(core.CodeTransactionLost, "the caller's key was withdrawn during the transaction")
}
