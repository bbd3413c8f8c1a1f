package group

import "time"

// isBusy reports whether something waits for the next confirmation: a statement
// or the group itself, at the start of a term.
func (m *Machine) isBusy() bool {
	return m.waiting > 0 || m.primary != "" && m.confirmed.AsOf.IsZero()
}

// samplePeriod returns the time between two samples of one endpoint.
func (m *Machine) samplePeriod() time.Duration {
	if m.isBusy() {
		return m.periods.Busy
	}
	return m.periods.Sample
}

// schedule returns the samples that are due.
func (m *Machine) schedule(now time.Time) []Action {
	var actions []Action
	for _, e := range m.members {
		m.expire(e, now)
		if len(e.outstanding) > 0 || now.Before(e.nextSample) {
			continue
		}
		period := m.samplePeriod()
		if e.failures > 0 {
			period = m.periods.Sample
		}
		e.outstanding = append(e.outstanding, now)
		e.nextSample = now.Add(period)
		actions = append(actions, Action{Kind: ActionSample, Endpoint: e.Name, Fresh: e.fresh})
		e.fresh = false
	}
	return actions
}

// expire gives up samples without an answer and repeats them at once.
func (m *Machine) expire(e *member, now time.Time) {
	for len(e.outstanding) > 0 && now.Sub(e.outstanding[0]) >= m.periods.SampleTimeout {
		e.outstanding = e.outstanding[1:]
		e.fresh = true
		e.nextSample = now
	}
}
