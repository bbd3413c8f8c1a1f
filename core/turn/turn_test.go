package turn

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// TestTurnsDoNotMeet keeps an instance from taking a turn while another's may
// still act or take effect.
func TestTurnsDoNotMeet(t *testing.T) {
	is := is.New(t)
	var u Turn
	is.Equal(u.Wait(at(0), "a"), Rest) // nothing was read yet
	u.Seen(at(0), 0, "")
	is.Equal(u.Wait(at(0), "a"), time.Duration(0)) // nobody ever had a turn
	u.Seen(at(time.Second), 7, "b")
	is.Equal(u.Wait(at(time.Second), "a"), Rest)
	is.Equal(u.Wait(at(2*time.Second), "a"), Rest-time.Second)
	is.Equal(u.Wait(at(time.Second+Rest), "a"), time.Duration(0))
	is.Equal(u.Wait(at(time.Second), "b"), time.Duration(0)) // an earlier process of that name is gone
	is.Equal(u.Revision(), uint64(7))
}

// TestSeenAgainKeepsItsAge does not take a second read of the same turn, nor a late
// one of an older turn, for a new turn.
func TestSeenAgainKeepsItsAge(t *testing.T) {
	is := is.New(t)
	var u Turn
	u.Seen(at(0), 7, "b")
	u.Seen(at(Rest), 7, "b")
	u.Seen(at(Rest), 6, "c")
	is.Equal(u.Wait(at(Rest), "a"), time.Duration(0))
}

// TestActEndsBeforeTheNextTurn leaves a promotion that was called at the end of a
// window time to take effect before anyone else may take a turn.
func TestActEndsBeforeTheNextTurn(t *testing.T) {
	is := is.New(t)
	is.Equal(Remaining(at(0), at(0)), Window)
	is.Equal(Remaining(at(Window), at(0)), time.Duration(0))
	is.Equal(Remaining(at(2*Window), at(0)), time.Duration(0))
	is.True(Rest >= Window+time.Second)
}

// TestProves accepts an unchanged turn as proof only where the promotion it led to
// had taken effect before the proof that it is counted from.
func TestProves(t *testing.T) {
	is := is.New(t)
	var u Turn
	is.True(!u.Proves(0, at(time.Hour))) // nothing was read yet
	u.Seen(at(0), 7, "b")
	is.True(!u.Proves(7, at(Rest-1)))
	is.True(u.Proves(7, at(Rest)))
	is.True(!u.Proves(8, at(Rest))) // somebody took a turn
}

// TestNextTurnComesAfterTheLastAct lets an instance that heard of a turn at any time
// after it was asked for begin the next one only when the first is over and what it
// led to has taken effect.
func TestNextTurnComesAfterTheLastAct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heard := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "heard"))
		looked := heard + time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "looked"))
		var u Turn
		u.Seen(at(heard), 7, "b")
		u.Seen(at(looked), 7, "b")
		next := at(looked).Add(u.Wait(at(looked), "a"))
		if next.Before(at(Rest)) || Remaining(next, at(0)) > 0 {
			t.Fatalf("the next turn began at %v", next.Sub(at(0)))
		}
	})
}

// TestSettled takes nothing to be still to come only where nobody ever had a turn,
// the last one is marked as over, or a rest has passed since it was seen.
func TestSettled(t *testing.T) {
	is := is.New(t)
	var u Turn
	is.True(!u.IsSettled(0, at(time.Hour))) // nothing was read yet
	u.Seen(at(0), 0, "")
	is.True(u.IsSettled(0, at(0)))
	u.Seen(at(0), 7, "b 1")
	is.True(!u.IsSettled(7, at(Rest-1)))
	is.True(u.IsSettled(7, at(Rest)))
	is.True(!u.IsSettled(8, at(Rest))) // a turn that was not seen before
	u.Seen(at(Rest), 8, Over("b 1"))
	is.True(u.IsSettled(8, at(Rest)))
	is.Equal(u.Wait(at(Rest), "a"), Rest) // its effect has to become known first
	u.Seen(at(Rest), 9, "a 2")
	is.True(!u.IsSettled(9, at(Rest)))
}
