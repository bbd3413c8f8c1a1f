package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"anviltack/core"
	"anviltack/core/quota"
)

// limitFleet are instances of four data centres that ask one another for tokens, with a
// clock that stands still.
type limitFleet struct {
	mu      sync.Mutex
	now     time.Time
	proxies map[core.Instance]*Proxy
	// silent instances do not answer.
	silent map[core.Instance]bool
	hook   *test.Hook
}

func newLimitFleet(t *testing.T, limit OrganisationSettings) *limitFleet {
	t.Helper()
	log, hook := test.NewNullLogger()
	f := &limitFleet{now: time.Unix(1000, 0), proxies: map[core.Instance]*Proxy{}, silent: map[core.Instance]bool{}, hook: hook}
	var peers []Peer
	centres := []core.DataCentre{"dc0", "dc1", "dc2", "dc3"}
	for n := range 8 {
		peers = append(peers, Peer{Name: core.Instance(fmt.Sprint("i", n)), DataCentre: centres[n%4], SessionAddress: netip.MustParseAddrPort("10.0.0.1:1")})
	}
	for _, peer := range peers {
		p := New(Settings{Instance: string(peer.Name), DataCentre: string(peer.DataCentre), DataCentres: centres}, Dependencies{
			Now: f.clock, Limits: Limits{Ask: f.ask}, Membership: Membership{Silence: time.Second},
		}, logrus.NewEntry(log))
		c := testConfig(1)
		c.Organisations = map[core.Organisation]OrganisationSettings{"o": limit, "free": {}}
		p.config.Store(c)
		p.limits.observe(peers)
		f.proxies[peer.Name] = p
	}
	return f
}

func (f *limitFleet) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// advance lets time pass, in which the instances do what is due.
func (f *limitFleet) advance(d time.Duration) {
	for d > 0 {
		step := min(d, limitsInterval)
		d -= step
		f.mu.Lock()
		f.now = f.now.Add(step)
		f.mu.Unlock()
		for _, p := range f.proxies {
			p.limits.tick()
		}
	}
}

func (f *limitFleet) ask(ctx context.Context, to Peer, q LimitQuestion) (LimitAnswer, error) {
	if f.silent[to.Name] {
		<-ctx.Done()
		return LimitAnswer{}, ctx.Err()
	}
	return f.proxies[to.Name].limits.answer(q), nil
}

// operate runs an operation at an instance.
func (f *limitFleet) operate(i core.Instance, o core.Organisation) error {
	s := &session{proxy: f.proxies[i], organisation: o}
	if err := s.charge(); err != nil {
		return err
	}
	return s.spend()
}

// retryAfter returns the retry time of a refusal.
func retryAfter(err error) time.Duration {
	var e *core.Error
	if !errors.As(err, &e) || e.Code != core.CodeLimitReached {
		return 0
	}
	return e.RetryAfter
}

// TestLimitIsShared checks that the limit holds over all instances, wherever the operations
// arrive, and that the time in a refusal is when there is room again.
func TestLimitIsShared(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, OrganisationSettings{Rate: 8, Burst: 40})
	f.advance(5 * time.Second) // all buckets are full: ten tokens each
	ran := 0
	var err error
	for err = f.operate("i0", "o"); err == nil; err = f.operate("i0", "o") {
		ran++
	}
	is.Equal(ran, 40)
	wait := retryAfter(err)
	is.True(wait > 0)
	f.advance(wait - time.Millisecond)
	is.True(retryAfter(f.operate("i0", "o")) > 0)
	f.advance(time.Millisecond)
	is.NoErr(f.operate("i0", "o"))
	is.NoErr(f.operate("i0", "free"))
	is.NoErr(f.operate("i0", "")) // without an organisation
}

// TestMissingOwnersAreAsked checks that owners are asked while their entries are missing for
// a moment.
func TestMissingOwnersAreAsked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, OrganisationSettings{Rate: 8, Burst: 40})
	f.advance(5 * time.Second)
	f.proxies["i0"].limits.observe(nil)
	f.advance(time.Second)
	for range 40 {
		is.NoErr(f.operate("i0", "o"))
	}
	f.proxies["i0"].limits.observe(nil)
	f.advance(time.Minute)
	is.Equal(len(f.proxies["i0"].limits.peers), 0)
}

// TestMissingInstanceAnnouncesItself checks that an instance which its list lacks makes itself
// known to the other instance of its data centre, for as long as it may grant.
func TestMissingInstanceAnnouncesItself(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, OrganisationSettings{Rate: 8, Burst: 40})
	questions := make(chan LimitQuestion, 100)
	l := f.proxies["i0"].limits
	l.proxy.dependencies.Limits.Ask = func(_ context.Context, to Peer, q LimitQuestion) (LimitAnswer, error) {
		is.Equal(to.Name, core.Instance("i4"))
		questions <- q
		return LimitAnswer{}, nil
	}
	l.proxy.dependencies.Membership.Listing = func() Listing { return Listing{HeardAt: f.clock(), Resumed: true} }
	l.observe([]Peer{l.peers["i4"]})
	q := receive(t, questions, "an announcement")
	is.True(q.IsMissing && q.DataCentre == "dc0" && len(q.Requests) == 0)
	receive(t, questions, "a second announcement")
	for n := range 7 {
		f.advance(time.Second)
		l.mu.Lock()
		is.Equal(l.roster.IsMissing(), n < 5) // the sixth second ends it
		l.mu.Unlock()
	}
}

// TestLimitReports checks that refusals are counted, reported once a second, and in the dump
// and the metrics.
func TestLimitReports(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, OrganisationSettings{Rate: 1, Burst: 1})
	for range 50 {
		is.True(retryAfter(f.operate("i1", "o")) > 0)
	}
	is.Equal(len(f.hook.AllEntries()), 1)
	f.advance(limitReportInterval)
	_ = f.operate("i1", "o")
	is.Equal(len(f.hook.AllEntries()), 2)
	is.Equal(f.hook.LastEntry().Data["event"], int(core.EventLimit))
	is.Equal(f.hook.LastEntry().Data["refused"], int64(50))
	is.Equal(f.proxies["i1"].counts.limitsRefused.Count(), int64(51))
	is.Equal(f.proxies["i1"].limits.dump().Held[0].Refused, int64(51))
}

// TestSilentOwnersOfLimits checks that an operation waits only a moment for owners that do
// not answer, and that the others grant.
func TestSilentOwnersOfLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, OrganisationSettings{Rate: 8, Burst: 40})
	f.advance(5 * time.Second)
	owners := f.proxies["i0"].limits.roster.Order("o", f.proxies["i0"].limits.roster.Slots(quota.Limit{Rate: 8, Burst: 40}))
	f.silent[owners[0].Name], f.silent[owners[1].Name] = true, true
	from := core.Instance("i0")
	for from == owners[0].Name || from == owners[1].Name {
		from = "i4"
	}
	ran, started := 0, time.Now()
	for f.operate(from, "o") == nil {
		ran++
	}
	is.True(ran == 20)
	is.True(time.Since(started) < time.Second)
}

// TestMalformedAnswersOfOwners checks that an answer which does not fit, or ends in a panic,
// counts as none and ends nothing.
func TestMalformedAnswersOfOwners(t *testing.T) {
	t.Parallel()
	for _, ask := range []func(context.Context, Peer, LimitQuestion) (LimitAnswer, error){
		func(context.Context, Peer, LimitQuestion) (LimitAnswer, error) { return LimitAnswer{}, nil },
		func(context.Context, Peer, LimitQuestion) (LimitAnswer, error) { panic("answer") },
		func(context.Context, Peer, LimitQuestion) (LimitAnswer, error) {
			return LimitAnswer{Replies: make([]quota.Reply, 3)}, nil
		},
	} {
		is := is.New(t)
		f := newLimitFleet(t, OrganisationSettings{Rate: 8, Burst: 40})
		f.advance(5 * time.Second)
		f.proxies["i0"].dependencies.Limits.Ask = ask
		ran := 0
		for f.operate("i0", "o") == nil {
			ran++
		}
		is.True(ran <= 10) // the instance may own one part itself
	}
}

// TestExpiredTokenIsReplaced checks that an operation which waited longer than its token
// lives takes another one, and that a statement which did not run keeps the token.
func TestExpiredTokenIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, OrganisationSettings{Rate: 1, Burst: 40})
	f.advance(time.Minute)
	s := &session{proxy: f.proxies["i0"], organisation: "o"}
	spent := func() int64 { return f.proxies["i0"].counts.limitsGranted.Count() }
	is.NoErr(s.charge())
	f.advance(quota.StockLife)
	is.NoErr(s.spend())
	is.Equal(spent(), int64(2))
	s.keepToken(&EndpointError{Kind: ErrorKindBusy})
	is.NoErr(s.spend())
	is.Equal(spent(), int64(2))
	s.keepToken(&EndpointError{Kind: ErrorKindFailed})
	is.NoErr(s.spend()) // another attempt after one that ran
	is.Equal(spent(), int64(3))
	s.returnToken()
	is.NoErr(s.charge())
	s.returnToken() // nothing was sent
	is.NoErr(s.charge())
	is.Equal(f.proxies["i0"].counts.limitsAsked.Count(), int64(4))
}
