package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

// TestNewEraWaits checks that every instance waits for the leases that the store lost,
// also where the copy says that the lease is free, released or its own.
func TestNewEraWaits(t *testing.T) {
	for _, c := range []struct {
		name     string
		revision core.Revision
		text     string
	}{
		{"never acquired", core.Revision{Era: 1}, ""},
		{"held by self in the era before", core.Revision{Era: 1, Number: 4}, "a 1x"},
		{"released in the era before", core.Revision{Era: 2, Number: 4}, "b 1x 1 over"},
		{"era value of the era before", core.Revision{Era: 2, Number: 4}, EraValue(1).String()},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var started, l Lease
			l.Observe(at(0), rev(7), "b 1x")
			for _, l := range []*Lease{&l, &started} {
				l.Observe(at(time.Hour), c.revision, c.text)
				is.Equal(l.AcquireDelay(at(time.Hour), "a"), ExpireAfter)
				is.True(!l.IsInactive(c.revision, at(time.Hour)))
				is.True(!l.LacksEraValue(at(time.Hour)))
				ended := at(time.Hour + ExpireAfter)
				is.Equal(l.AcquireDelay(ended, "a"), time.Duration(0))
				is.True(l.IsInactive(c.revision, ended))
				is.True(l.LacksEraValue(ended))
			}
		})
	}
}

// TestEraValueEndsTheWait checks that an instance which starts after the era value was
// written need not wait.
func TestEraValueEndsTheWait(t *testing.T) {
	is := is.New(t)
	var l Lease
	r := core.Revision{Era: 3, Number: 9}
	l.Observe(at(0), r, EraValue(3).String())
	is.Equal(l.AcquireDelay(at(0), "a"), time.Duration(0))
	is.True(l.IsInactive(r, at(0)))
	is.True(!l.LacksEraValue(at(time.Hour)))
}

// TestAnswerOfAnEarlierEra ignores an answer that was read before the restore and
// arrives after it.
func TestAnswerOfAnEarlierEra(t *testing.T) {
	is := is.New(t)
	var l Lease
	l.Observe(at(0), core.Revision{Era: 1, Number: 4}, "b 1x 1")
	l.Observe(at(1), core.Revision{Number: 9}, "c 1x")
	is.Equal(l.Revision(), core.Revision{Era: 1, Number: 4})
}
