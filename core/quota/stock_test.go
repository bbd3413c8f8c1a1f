package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

func usable(core.Instance) bool { return true }

// TestStockLife checks that tokens expire by the time at which they were requested, that one
// put back keeps its time, and that expired ones are returned to their owner.
func TestStockLife(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	limit := Limit{Rate: 100, Burst: 100}
	owners := []Owner{{Name: "near", IsNear: true}, {Name: "far"}}
	s := NewStock("o")
	ask, ok := s.Next(now, owners, usable, limit)
	is.True(ok)
	ask.Want = 3
	s.Answer(now.Add(StockLife/2), ask, Reply{Granted: 3}, limit)
	now = now.Add(StockLife - 1)
	first, ok := s.Take(now)
	is.True(ok)
	s.Put(now, first)
	is.Equal(s.Held(now), 3)
	first, _ = s.Take(now)
	is.True(first.IsValid(now))
	now = now.Add(1)
	is.True(!first.IsValid(now))
	_, ok = s.Take(now)
	is.True(!ok)
	s.Put(now, first)
	is.Equal(s.Held(now), 0)
	ask, _ = s.Next(now, owners, usable, limit)
	is.Equal(ask.Returned, 2)
}

// TestOrderOfRequests checks that a stock asks one owner at a time, the next one if that is
// late or empty, and none that is known to be empty.
func TestOrderOfRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	limit := Limit{Rate: 10, Burst: 10}
	owners := []Owner{{Name: "near", IsNear: true}, {Name: "far"}}
	s := NewStock("o")
	near, _ := s.Next(now, owners, usable, limit)
	is.Equal(near.Owner.Name, core.Instance("near"))
	_, ok := s.Next(now.Add(HedgeDelay-1), owners, usable, limit)
	is.True(!ok)
	now = now.Add(HedgeDelay)
	far, ok := s.Next(now, owners, usable, limit)
	is.True(ok)
	is.Equal(far.Owner.Name, core.Instance("far"))
	s.Answer(now, far, Reply{RetryAfter: 700 * time.Millisecond}, limit)
	s.Answer(now, near, Reply{RetryAfter: 400 * time.Millisecond}, limit)
	_, ok = s.Next(now.Add(400*time.Millisecond-1), owners, usable, limit)
	is.True(!ok)
	retry, ok := s.RetryAfter(now, owners, usable)
	is.True(ok)
	is.Equal(retry, 400*time.Millisecond)
	_, ok = s.Next(now.Add(retry), owners, usable, limit)
	is.True(ok)
}

// TestPartsKeepNoTokens checks that an owner which loses one of its parts loses the tokens of
// that, and that one which may not grant for a while starts empty.
func TestPartsKeepNoTokens(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	limits := func(core.Organisation) Limit { return Limit{Rate: 30, Burst: 60} }
	r := NewRoster(Instance{Name: "i0", DataCentre: "a"}, nil, time.Second)
	l := NewLedger(r, 0)
	advance := func(d time.Duration, hear bool) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(time.Second)
			if hear {
				r.Hear(now)
			}
			l.Tick(now, limits)
		}
	}
	r.Resume()
	r.Hear(now)
	r.Observe(now, nil, true)
	is.Equal(l.Grant(now, "i9", Request{Organisation: "o"}, limits("o")).Granted, 0)
	advance(4*time.Second, true)
	is.Equal(l.Owned(now)[0].Tokens, 60.0) // three parts
	is.Equal(l.Grant(now, "i9", Request{Organisation: "o", Want: 45}, limits("o")).Granted, 45)
	r.Observe(now, []Instance{{Name: "i1", DataCentre: "a"}, {Name: "i2", DataCentre: "a"}}, true)
	l.Tick(now, limits)
	is.Equal(l.Owned(now)[0].Tokens, 5.0)
	advance(4*time.Second, false)
	is.Equal(l.Grant(now, "i9", Request{Organisation: "o", Want: 9}, limits("o")), Reply{RetryAfter: notOwnerRetry})
	r.Hear(now)
	is.Equal(l.Grant(now, "i9", Request{Organisation: "o", Want: 9}, limits("o")).Granted, 0)
	advance(time.Second, true)
	is.Equal(l.Grant(now, "i9", Request{Organisation: "o", Want: 99}, limits("o")).Granted, 10)
}
