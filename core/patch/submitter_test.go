package patch

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

type (
	coreGroup    = core.Group
	coreEndpoint = core.Endpoint
	coreDatabase = core.Database
	coreCaller   = core.Caller
)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 5432)
}

var errLost = errors.New("answer lost")

// platformKey simulates the key in the platform's store. The answer to a swap may
// be lost; the swap then takes effect at once, later or never.
type platformKey struct {
	index uint64
	value []byte
	// delayed holds swaps that have not taken effect yet.
	delayed []func()
}

func (s *platformKey) swap(index uint64, value []byte) bool {
	if index != s.index {
		return false
	}
	s.index += 3
	s.value = value
	return true
}

// operator runs a submission step by step: each call to the platform waits for a
// value on step, so that the test draws the order of all calls.
type operator struct {
	step    chan bool
	done    chan bool
	id      string
	version uint64
	err     error
}

func (o *operator) run(s *platformKey, drawOutcome func() int, attempts int) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	submitter := Submitter{
		Get: func(context.Context) (StoredValue, error) {
			<-o.step
			defer func() { o.done <- false }()
			if drawOutcome() == 0 {
				return StoredValue{}, errLost
			}
			return StoredValue{Index: s.index, Value: s.value}, nil
		},
		Swap: func(_ context.Context, index uint64, value []byte) (bool, error) {
			<-o.step
			defer func() { o.done <- false }()
			switch drawOutcome() {
			case 0:
				s.swap(index, value)
				return false, errLost
			case 1:
				s.delayed = append(s.delayed, func() { s.swap(index, value) })
				return false, errLost
			case 2:
				return false, errLost
			}
			return s.swap(index, value), nil
		},
		Wait: func(ctx context.Context, attempt int) error {
			if attempt >= attempts {
				stop()
			}
			return ctx.Err()
		},
	}
	r := Request{ID: o.id, Who: o.id, Why: "race", Patch: firstPatch(1)}
	_, o.version, o.err = submitter.Submit(ctx, r, start, 0)
	<-o.step
	o.done <- true
}

// TestRace submits patches against one version concurrently, with swaps that lose
// their answer or take effect late. At most one patch may be accepted, every
// definite result must be correct, and OutcomeOf must be correct for the others.
func TestRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := &platformKey{}
		attempts := rapid.IntRange(2, 12).Draw(t, "attempts")
		drawOutcome := func() int { return rapid.IntRange(0, 6).Draw(t, "fate") }
		var all, running []*operator
		for i := range rapid.IntRange(1, 4).Draw(t, "operators") {
			o := &operator{step: make(chan bool), done: make(chan bool), id: fmt.Sprint("op", i)}
			all = append(all, o)
			running = append(running, o)
			go o.run(s, drawOutcome, attempts)
		}
		for len(running) > 0 {
			if len(s.delayed) > 0 && rapid.Bool().Draw(t, "land") {
				s.delayed[0]()
				s.delayed = s.delayed[1:]
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "next")
			running[i].step <- true
			if <-running[i].done {
				running = append(running[:i], running[i+1:]...)
			}
		}
		for _, swap := range s.delayed {
			swap()
		}
		var d Document
		if s.index > 0 {
			var err error
			d, err = Parse(s.value)
			is.NoErr(err)
		}
		is.True(d.Version <= 1)
		for _, o := range all {
			_, in := d.Entry(o.id)
			var conflict *ConflictError
			var unknown *UnknownError
			var unavailable *UnavailableError
			switch {
			case o.err == nil:
				is.True(in)
				is.Equal(o.version, uint64(1))
			case errors.As(o.err, &conflict), errors.As(o.err, &unavailable):
				is.True(!in)
			case errors.As(o.err, &unknown):
				outcome := d.OutcomeOf(o.id, 0).Outcome
				is.Equal(outcome == OutcomeAccepted, in)
			default:
				t.Fatalf("unexpected error %v", o.err)
			}
		}
	})
}

// TestRestoredPlatform checks that no patch is applied to a document below the
// version in force, such as one restored from a backup of the platform.
func TestRestoredPlatform(t *testing.T) {
	is := is.New(t)
	s := &platformKey{}
	submitter := Submitter{
		Get:  func(context.Context) (StoredValue, error) { return StoredValue{Index: s.index, Value: s.value}, nil },
		Swap: func(_ context.Context, index uint64, value []byte) (bool, error) { return s.swap(index, value), nil },
		Wait: func(context.Context, int) error { return context.DeadlineExceeded },
	}
	_, _, err := submitter.Submit(context.Background(), Request{ID: "a", Base: 0, Who: "w", Why: "y", Patch: firstPatch(1)}, start, 7)
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
	is.Equal(s.index, uint64(0))
}
