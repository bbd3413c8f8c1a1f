package queue

import (
	"slices"
	"time"

	"anviltack/core"
)

// level is the waiters of one priority, shared among organisations by start-time fair queueing.
type level struct {
	priority int
	// virtualTime rises with each statement served, at least by one statement divided among the
	// weights of all flows, and is never below the start tag of one that was served.
	virtualTime float64
	// waiting is the number of waiters.
	waiting int
	// flows are the organisations that wait, or did so while they were members.
	flows []*flow
	// arrived counts the statements of the priority.
	arrived tally
}

// flow is the waiters of one organisation in a level.
type flow struct {
	level  *level
	member *member
	// start is the start tag of the next statement, the following ones being 1/weight apart. It
	// is at most one statement below that of the last one served of another flow.
	start float64
	// waiting is the number of waiters.
	waiting int
	// counted is how many waiters a loop over the queue has met.
	counted int
}

// tag returns the start tag of the statement that is served after i others of the flow.
func (f *flow) tag(i int) float64 { return f.start + float64(i)/f.member.weight }

// level returns the level of a priority, or nil.
func (q *Queue) level(priority int) *level {
	for _, l := range q.levels {
		if l.priority == priority {
			return l
		}
	}
	return nil
}

// levelOf returns the level of a priority.
func (q *Queue) levelOf(priority int) *level {
	l := q.level(priority)
	if l == nil {
		l = &level{priority: priority}
		q.levels = append(q.levels, l)
	}
	return l
}

// flow returns the flow of an organisation, or nil.
func (l *level) flow(o core.Organisation) *flow {
	if l == nil {
		return nil
	}
	for _, f := range l.flows {
		if f.member.organisation == o {
			return f
		}
	}
	return nil
}

// join counts a new waiter and sets its flow. An organisation that is new or returns starts at
// the virtual time.
func (q *Queue) join(now time.Time, w *Waiter) {
	m := q.memberOf(now, *w)
	l := q.levelOf(w.Priority)
	f := l.flow(w.Organisation)
	if f == nil {
		f = q.newFlow()
		*f = flow{level: l, member: m}
		l.flows = append(l.flows, f)
	}
	f.start = l.nextTag(f)
	f.waiting++
	l.waiting++
	if m.waiting == 0 {
		m.waitingSince = now
	}
	m.waiting++
	w.flow = f
}

// newFlow returns a forgotten flow, or a new one.
func (q *Queue) newFlow() *flow {
	last := len(q.forgotten) - 1
	if last < 0 {
		return new(flow)
	}
	f := q.forgotten[last]
	q.forgotten = q.forgotten[:last]
	return f
}

// leave removes a waiter from its flow.
func (f *flow) leave() {
	f.waiting--
	f.level.waiting--
	f.member.waiting--
}

// serve moves the tags on by one statement of the flow, before it leaves.
func (f *flow) serve(now time.Time) {
	l, weights := f.level, 0.0
	for _, other := range l.flows {
		weights += other.member.weight
	}
	for _, other := range l.flows {
		other.start = max(other.start, f.start-1/other.member.weight)
	}
	l.virtualTime = max(l.virtualTime, f.start) + 1/weights
	f.start += 1 / f.member.weight
	f.member.usedAt = now
}

// isOverloaded reports whether the organisation has waited for as long as an overloaded queue.
func (f *flow) isOverloaded(now time.Time) bool {
	return now.Sub(f.member.waitingSince) >= overloadAfter
}

// position returns how many waiters would be served before w, of the given flow or of a new one.
func (q *Queue) position(now time.Time, w Waiter, own *flow) int {
	first := q.firstOfPriority(w.Priority)
	l := q.level(w.Priority)
	if l == nil || l.waiting == 0 {
		return first
	}
	peers := q.waiters[first : first+l.waiting]
	tag, isNewest := l.nextTag(own), false
	if own != nil && own.waiting > 0 {
		isNewest = q.isOverloaded(now) && own.isOverloaded(now)
		if !isNewest {
			tag = own.tag(countOf(own, peers[:q.insertIndex(w)-first]))
		}
	}
	for _, f := range l.flows {
		f.counted = 0
	}
	ahead := first
	for _, other := range peers {
		otherTag := other.flow.tag(other.flow.counted)
		other.flow.counted++
		isFirst := compareWaiters(other, w) <= 0
		if other.flow == own && isFirst && !isNewest || other.flow != own && (otherTag < tag || otherTag == tag && isFirst) {
			ahead++
		}
	}
	return ahead
}

// nextTag returns the start tag that the next statement of a flow, or of a new one, would have
// if it came first in it.
func (l *level) nextTag(f *flow) float64 {
	if f == nil || f.waiting == 0 {
		return l.virtualTime
	}
	return f.start
}

// countOf returns how many of the waiters are of the flow.
func countOf(f *flow, waiters []Waiter) (n int) {
	for _, w := range waiters {
		if w.flow == f {
			n++
		}
	}
	return n
}

// RefusalCode returns why w was refused or dropped: core.CodeFairShare if its organisation has
// more than its share of those that wait at the priority, and a first statement of another
// organisation would be admitted; else core.CodeOverloaded.
func (q *Queue) RefusalCode(now time.Time, w Waiter, n int) core.Code {
	own := q.level(w.Priority).flow(w.Organisation)
	if own == nil || !own.isBeyondShare() || q.waitAt(q.position(now, w, nil), n) > w.MaxWait {
		return core.CodeOverloaded
	}
	return core.CodeFairShare
}

// isBeyondShare reports whether the organisation has more than its share of those that wait.
func (f *flow) isBeyondShare() bool {
	weights := 0.0
	for _, other := range f.level.flows {
		weights += other.member.weight
	}
	return float64(f.waiting)*weights > float64(f.level.waiting)*f.member.weight
}

// forgetIdle forgets the organisations that have not been active.
func (q *Queue) forgetIdle(now time.Time) {
	isIdle := func(m *member) bool { return m.waiting == 0 && now.Sub(m.usedAt) >= activeTime }
	if !slices.ContainsFunc(q.members, isIdle) {
		return
	}
	for _, l := range q.levels {
		l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool {
			if isIdle(f.member) {
				q.forgotten = append(q.forgotten, f)
			}
			return isIdle(f.member)
		})
	}
	q.members = slices.DeleteFunc(q.members, isIdle)
}
