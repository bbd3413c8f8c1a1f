package proxy

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"anviltack/core"
	"anviltack/core/quota"
)

// defaultLimitRetry is when to retry if no owner of a limit answered.
const defaultLimitRetry = 200 * time.Millisecond

// refuseLocked counts and reports a refused operation and returns its error.
func (l *limits) refuseLocked(now time.Time, s *limitStock, limit quota.Limit) error {
	owners := l.roster.Order(s.organisation, l.roster.Slots(limit))
	retry, isEmpty := s.RetryAfter(now, owners, func(i core.Instance) bool { return l.isUsableLocked(now, i) })
	reason := "organisation %s has reached its limit of %g operations a second"
	if !isEmpty {
		retry = defaultLimitRetry
		reason = "no instance that grants from the limit of organisation %s (%g operations a second) answered"
	}
	s.refused++
	l.proxy.counts.limitsRefused.Inc(1)
	l.reportLocked(now, s, limit, retry, isEmpty)
	return core.NewError(core.CodeLimitReached, reason, s.organisation, limit.Rate).WithRetry(max(retry, time.Millisecond))
}

// limitReportInterval is the minimum time between two events about an organisation's limit.
const limitReportInterval = time.Second

// reportLocked logs that a limit was reached, at most once for each organisation and
// limitReportInterval.
func (l *limits) reportLocked(now time.Time, s *limitStock, limit quota.Limit, retry time.Duration, isEmpty bool) {
	if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < limitReportInterval || !l.proxy.requestLogs.Allow() {
		return
	}
	entry := l.proxy.event(core.EventLimit).WithField("organisation", s.organisation).WithField("refused", s.refused-s.reported)
	entry = entry.WithField("rate", limit.Rate).WithField("burst", limit.Burst).WithField("retry_ms", retry.Milliseconds())
	s.reportedAt, s.reported = now, s.refused
	entry.WithField("owners_empty", isEmpty).WithField("grants", l.roster.MayGrant()).Warn("operations above the limit of an organisation refused")
}

// largestOrganisations is how many organisations have metrics of their own; those of the
// others are added up.
const largestOrganisations = 10

// heldDump is the stock of an organisation in the dump.
type heldDump struct {
	Organisation core.Organisation
	Tokens       int
	// Demand is the estimated number of operations a second.
	Demand  float64
	Granted int64
	Refused int64
	// Owners are the instances that are asked for tokens, in order.
	Owners []quota.Owner
}

// limitsDump is the state of the limits in the dump.
type limitsDump struct {
	// MayGrant is true if the instance grants from the parts of limits that it owns.
	MayGrant bool
	Owned    []quota.Owned
	Held     []heldDump
}

func (l *limits) dump() limitsDump {
	now := l.proxy.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := limitsDump{MayGrant: l.roster.MayGrant(), Owned: l.ledger.Owned(now)}
	for o, s := range l.stocks {
		limit, _ := l.proxy.limitOf(o)
		d.Held = append(d.Held, heldDump{
			Organisation: o, Tokens: s.Held(now), Demand: s.Demand(now), Granted: s.granted, Refused: s.refused,
			Owners: l.roster.Order(o, l.roster.Slots(limit)),
		})
	}
	return d
}

// writeMetrics writes the counters of the organisations with the most operations, and those
// of all others together.
func (l *limits) writeMetrics(w io.Writer) {
	type counters struct {
		organisation     core.Organisation
		granted, refused int64
	}
	var all []counters
	l.mu.Lock()
	for o, s := range l.stocks {
		all = append(all, counters{o, s.granted, s.refused})
	}
	l.mu.Unlock()
	slices.SortFunc(all, func(a, b counters) int {
		return cmp.Or(cmp.Compare(b.granted+b.refused, a.granted+a.refused), cmp.Compare(a.organisation, b.organisation))
	})
	var others counters
	for i, c := range all {
		if i >= largestOrganisations {
			others.granted += c.granted
			others.refused += c.refused
			continue
		}
		name := labelValue(c.organisation)
		fmt.Fprintf(w, "anviltack_limit_granted{organisation=\"%s\"} %d\nanviltack_limit_refused{organisation=\"%s\"} %d\n", name, c.granted, name, c.refused)
	}
	fmt.Fprintf(w, "anviltack_limit_granted_others %d\nanviltack_limit_refused_others %d\n", others.granted, others.refused)
}

// labelEscaper writes the escapes that the text exposition format has; others make it invalid.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// labelValue returns an organisation's name as the value of a label.
func labelValue(o core.Organisation) string {
	return labelEscaper.Replace(strings.ToValidUTF8(string(o), "\ufffd"))
}
