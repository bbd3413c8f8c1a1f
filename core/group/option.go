package group

import (
	"math/rand/v2"
	"time"
)

// Default periods of a machine.
const (
	// DefaultSamplePeriod separates samples of an endpoint when nothing waits.
	DefaultSamplePeriod = 50 * time.Millisecond
	// DefaultBusyPeriod separates samples while statements wait for confirmation.
	DefaultBusyPeriod = 500 * time.Microsecond
	// DefaultSampleTimeout is how long a sample may take before it is repeated
	// over a new connection.
	DefaultSampleTimeout = 250 * time.Millisecond
	// DefaultRefusedSpan separates the first and last refusal that together
	// count as a dead primary.
	DefaultRefusedSpan = 100 * time.Millisecond
	// DefaultSilence is how long a primary answers nothing before it counts as
	// frozen.
	DefaultSilence = 700 * time.Millisecond
	// DefaultStall is how long a position of an answering primary stays
	// unconfirmed before the primary counts as cut off from its replicas.
	DefaultStall = time.Second
	// DefaultAbsence is how long a group stays without a primary, or another
	// instance's fence without a promotion, before this instance acts.
	DefaultAbsence = 300 * time.Millisecond
	// DefaultReachable is the age of an answer up to which an endpoint counts
	// as reachable.
	DefaultReachable = 300 * time.Millisecond
	// DefaultPause is the gap between two events from which the instance
	// concludes that it was paused itself.
	DefaultPause = 150 * time.Millisecond
	// DefaultOpinionTimeout bounds the wait for peers' opinions.
	DefaultOpinionTimeout = 100 * time.Millisecond
	// DefaultHold is how long a peer's objection holds back a failover.
	DefaultHold = 200 * time.Millisecond
	// DefaultRankDelay is the head start of each rank over the next.
	DefaultRankDelay = 300 * time.Millisecond
	// DefaultFenceTimeout bounds the fencing of a majority.
	DefaultFenceTimeout = 400 * time.Millisecond
	// DefaultFenceGrace is how long fencing waits for a majority without the
	// failed primary before it takes one with it.
	DefaultFenceGrace = 100 * time.Millisecond
	// DefaultPromoteTimeout bounds a promotion.
	DefaultPromoteTimeout = 400 * time.Millisecond
	// DefaultBackoff is the longest random delay after an attempt that failed.
	DefaultBackoff = 200 * time.Millisecond
)

const (
	// DefaultDoubt is how long a primary may leave samples unanswered before
	// new writes wait.
	DefaultDoubt = 150 * time.Millisecond
	// DefaultIdle is the longest time between ticks.
	DefaultIdle = 25 * time.Millisecond
)

const (
	// minBackoff is the shortest delay after an attempt that failed.
	minBackoff = 30 * time.Millisecond
	// activeTick is the time between ticks while a failover is considered.
	activeTick = 5 * time.Millisecond
	// minRefusals is the number of refusals that count as a dead primary.
	minRefusals = 2
)

// Periods are the time limits of a machine.
type Periods struct {
	Sample         time.Duration
	Busy           time.Duration
	SampleTimeout  time.Duration
	RefusedSpan    time.Duration
	Silence        time.Duration
	Stall          time.Duration
	Absence        time.Duration
	Reachable      time.Duration
	Pause          time.Duration
	OpinionTimeout time.Duration
	Hold           time.Duration
	RankDelay      time.Duration
	FenceTimeout   time.Duration
	FenceGrace     time.Duration
	PromoteTimeout time.Duration
	Backoff        time.Duration
	Doubt          time.Duration
	Idle           time.Duration
}

// DefaultPeriods returns the default time limits.
func DefaultPeriods() Periods {
	return Periods{
		Sample:         DefaultSamplePeriod,
		Busy:           DefaultBusyPeriod,
		SampleTimeout:  DefaultSampleTimeout,
		RefusedSpan:    DefaultRefusedSpan,
		Silence:        DefaultSilence,
		Stall:          DefaultStall,
		Absence:        DefaultAbsence,
		Reachable:      DefaultReachable,
		Pause:          DefaultPause,
		OpinionTimeout: DefaultOpinionTimeout,
		Hold:           DefaultHold,
		RankDelay:      DefaultRankDelay,
		FenceTimeout:   DefaultFenceTimeout,
		FenceGrace:     DefaultFenceGrace,
		PromoteTimeout: DefaultPromoteTimeout,
		Backoff:        DefaultBackoff,
		Doubt:          DefaultDoubt,
		Idle:           DefaultIdle,
	}
}

// Option changes a machine at its construction.
type Option func(*Machine)

// WithPeriods replaces the time limits.
func WithPeriods(p Periods) Option {
	return func(m *Machine) { m.periods = p }
}

// WithSamplePeriod replaces the time between samples when nothing waits.
func WithSamplePeriod(d time.Duration) Option {
	return func(m *Machine) { m.periods.Sample = d }
}

// WithRandom replaces the source of the random delays.
func WithRandom(r *rand.Rand) Option {
	return func(m *Machine) { m.random = r }
}

// WithGivenTerms tells that whoever carries out promotions gives the terms, each
// the next after the group's, and that fences may be lifted again. Instances then
// fence at one and the same term, and need another way to take turns.
func WithGivenTerms() Option {
	return func(m *Machine) { m.givenTerms = true }
}

// WithForgottenFences tells that an endpoint which starts again holds no fence, and
// that a promotion takes effect within rest of its fences. Endpoints then count for
// confirmations only as far as Runs and Settled show that no promotion still comes
// of a fence that was forgotten.
func WithForgottenFences(rest time.Duration) Option {
	return func(m *Machine) { m.forgottenFor = rest }
}
