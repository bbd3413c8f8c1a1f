package proxy

import (
	"strings"

	"anviltack/core"
	"anviltack/core/statement"
)

const (
	// maxNames limits the values, and separately the prepared statements, of one
	// session.
	maxNames = 1000
	// maxSessionBytes limits the names, values and prepared statements of one session.
	maxSessionBytes = 4 << 20
	// nameOverhead is the size in bytes of the entry for a value or a prepared statement,
	// beside its texts.
	nameOverhead = 512
)

// reserveTexts changes the size of the session's values and prepared statements, unless they
// would exceed a limit.
func (s *session) reserveTexts(change int) error {
	if change > 0 && s.textBytes+change > maxSessionBytes {
		return core.NewError(core.CodeTooLarge, "values and prepared statements of the session exceed %d bytes", maxSessionBytes)
	}
	if !s.proxy.reserveTexts(int64(change)) {
		return core.NewError(core.CodeOverloaded, "values and prepared statements of all sessions exceed %d bytes", s.proxy.settings.MaxTextBytes).WithRetry(defaultRetryAfter)
	}
	s.textBytes += change
	return nil
}

// reserveTexts changes the size of the values and prepared statements of all sessions, and
// returns false without a change if they would exceed their limit.
func (p *Proxy) reserveTexts(change int64) bool {
	for limit := p.settings.MaxTextBytes; ; {
		total := p.textBytes.Load()
		if change > 0 && limit > 0 && total+change > limit {
			return false
		}
		if p.textBytes.CompareAndSwap(total, total+change) {
			return true
		}
	}
}

// releaseTexts gives back what the session reserved.
func (s *session) releaseTexts() {
	s.proxy.textBytes.Add(-int64(s.textBytes))
	s.textBytes = 0
}

func (s *session) set(st Statement) Answer {
	old, isSet := s.values[st.Name]
	if !isSet && len(s.values) >= maxNames {
		return s.fail(core.NewError(core.CodeTooLarge, "more than %d session values", maxNames))
	}
	change := len(st.Value) - len(old)
	if !isSet {
		change += len(st.Name) + nameOverhead
	}
	if err := s.reserveTexts(change); err != nil {
		return s.fail(err)
	}
	s.values[strings.Clone(st.Name)] = strings.Clone(st.Value) // without the rest of the message
	return s.done()
}

func (s *session) prepare(st Statement) Answer {
	old, isPrepared := s.prepared[st.Name]
	if !isPrepared && len(s.prepared) >= maxNames {
		return s.fail(core.NewError(core.CodeTooLarge, "more than %d prepared statements", maxNames))
	}
	change := len(st.Shape) - len(old.Shape)
	if !isPrepared {
		change += len(st.Name) + nameOverhead
	}
	if err := s.reserveTexts(change); err != nil {
		return s.fail(err)
	}
	s.prepared[strings.Clone(st.Name)] = Statement{
		Name: statement.Name(string(st.Access), st.Shape), Access: st.Access, Shape: strings.Clone(st.Shape),
	}
	return s.done()
}

func (s *session) deallocate(st Statement) Answer {
	old, ok := s.prepared[st.Name]
	if !ok {
		return s.fail(core.NewError(core.CodeUnknownPrepared, "no such statement is prepared"))
	}
	_ = s.reserveTexts(-len(st.Name) - nameOverhead - len(old.Shape)) // less always fits
	delete(s.prepared, st.Name)
	return s.done()
}
