package group

import (
	"math/rand/v2"
	"time"
)

// Default periods of a machine.
const (
	// DefaultSamplePeriod is the interval between samples of an endpoint while no
	// statement waits.
	DefaultSamplePeriod = 50 * time.Millisecond
	// DefaultBusyPeriod is the interval between samples while statements wait for
	// confirmation.
	DefaultBusyPeriod = 500 * time.Microsecond
	// DefaultSampleTimeout is how long a sample may take before it is repeated over a
	// new connection.
	DefaultSampleTimeout = 250 * time.Millisecond
	// DefaultRefusedSpan is the least time between the first and the last refusal for a
	// primary to count as dead.
	DefaultRefusedSpan = 100 * time.Millisecond
	// DefaultSilence is how long a primary may answer nothing before it counts as
	// suspended.
	DefaultSilence = 700 * time.Millisecond
	// DefaultStall is how long a position of an answering primary may stay unconfirmed
	// before the primary counts as partitioned from its replicas.
	DefaultStall = time.Second
	// DefaultAbsence is how long a group may stay without a primary, or fenced by another
	// instance without a promotion, before this instance starts a failover.
	DefaultAbsence = 300 * time.Millisecond
	// DefaultMaxAnswerAge is the age of its last answer up to which an endpoint counts
	// as reachable.
	DefaultMaxAnswerAge = 300 * time.Millisecond
	// DefaultPauseThreshold is the gap between two events above which the instance
	// assumes that its own process was suspended.
	DefaultPauseThreshold = 150 * time.Millisecond
	// DefaultOpinionTimeout is how long an attempt waits for peers' opinions.
	DefaultOpinionTimeout = 100 * time.Millisecond
	// DefaultObjectionDelay is how long a peer's objection delays a failover.
	DefaultObjectionDelay = 200 * time.Millisecond
	// DefaultRankDelay is how much later each rank starts a failover than the rank
	// before it.
	DefaultRankDelay = 300 * time.Millisecond
	// DefaultFenceTimeout is how long fencing a majority may take.
	DefaultFenceTimeout = 400 * time.Millisecond
	// DefaultFenceGrace is how long fencing waits for a majority without the failed
	// primary before it accepts one that includes it.
	DefaultFenceGrace = 100 * time.Millisecond
	// DefaultPromoteTimeout is how long a promotion may take.
	DefaultPromoteTimeout = 400 * time.Millisecond
	// DefaultBackoff bounds the random part of the delay after a failed attempt.
	DefaultBackoff = 200 * time.Millisecond
)

const (
	// DefaultResponseTimeout is how long a primary may leave samples unanswered before
	// new writes are queued.
	DefaultResponseTimeout = 150 * time.Millisecond
	// DefaultMaxTick is the longest time between ticks.
	DefaultMaxTick = 25 * time.Millisecond
)

const (
	// minBackoff is the shortest delay after a failed attempt.
	minBackoff = 30 * time.Millisecond
	// activeTick is the time between ticks while the group has no primary, one is
	// suspected or a failover runs.
	activeTick = 5 * time.Millisecond
	// minRefusals is the number of refused connections from which a primary may count
	// as dead.
	minRefusals = 2
)

// Periods holds the intervals and timeouts of a machine.
type Periods struct {
	Sample          time.Duration
	Busy            time.Duration
	SampleTimeout   time.Duration
	RefusedSpan     time.Duration
	Silence         time.Duration
	Stall           time.Duration
	Absence         time.Duration
	MaxAnswerAge    time.Duration
	PauseThreshold  time.Duration
	OpinionTimeout  time.Duration
	ObjectionDelay  time.Duration
	RankDelay       time.Duration
	FenceTimeout    time.Duration
	FenceGrace      time.Duration
	PromoteTimeout  time.Duration
	Backoff         time.Duration
	ResponseTimeout time.Duration
	MaxTick         time.Duration
}

// DefaultPeriods returns the default intervals and timeouts.
func DefaultPeriods() Periods {
	return Periods{
		Sample:          DefaultSamplePeriod,
		Busy:            DefaultBusyPeriod,
		SampleTimeout:   DefaultSampleTimeout,
		RefusedSpan:     DefaultRefusedSpan,
		Silence:         DefaultSilence,
		Stall:           DefaultStall,
		Absence:         DefaultAbsence,
		MaxAnswerAge:    DefaultMaxAnswerAge,
		PauseThreshold:  DefaultPauseThreshold,
		OpinionTimeout:  DefaultOpinionTimeout,
		ObjectionDelay:  DefaultObjectionDelay,
		RankDelay:       DefaultRankDelay,
		FenceTimeout:    DefaultFenceTimeout,
		FenceGrace:      DefaultFenceGrace,
		PromoteTimeout:  DefaultPromoteTimeout,
		Backoff:         DefaultBackoff,
		ResponseTimeout: DefaultResponseTimeout,
		MaxTick:         DefaultMaxTick,
	}
}

// Option configures a new machine.
type Option func(*Machine)

// WithPeriods replaces the intervals and timeouts.
func WithPeriods(p Periods) Option {
	return func(m *Machine) { m.periods = p }
}

// WithSamplePeriod replaces the interval between samples while no statement waits.
func WithSamplePeriod(d time.Duration) Option {
	return func(m *Machine) { m.periods.Sample = d }
}

// WithRandom replaces the random number generator of the backoff.
func WithRandom(r *rand.Rand) Option {
	return func(m *Machine) { m.random = r }
}

// WithExternalTerms is for groups whose terms are assigned by the system that carries
// out promotions, each the successor of the group's term, and whose fences can be
// lifted. Several instances then fence at the same term, so they need another way to
// exclude one another.
func WithExternalTerms() Option {
	return func(m *Machine) { m.externalTerms = true }
}

// WithVolatileFences is for endpoints that lose their fence when they restart, where a
// promotion takes effect within maxPromotionDelay of its fences. An endpoint then
// counts for confirmations only if SetUpSince and FencesResolved show that no
// promotion can still follow from a fence that it lost.
func WithVolatileFences(maxPromotionDelay time.Duration) Option {
	return func(m *Machine) { m.maxPromotionDelay = maxPromotionDelay }
}
