package core

import (
	"cmp"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestTokensHaveTheOrderOfRevisions draws two revisions and compares their tokens.
func TestTokensHaveTheOrderOfRevisions(t *testing.T) {
	draw := func(t *rapid.T, name string) Revision {
		return Revision{Era: rapid.Uint64Range(0, 1<<13-1).Draw(t, name+" era"), Number: rapid.Uint64Range(0, 1<<40-1).Draw(t, name+" number")}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t, "a"), draw(t, "b")
		tokenA, errA := a.Token()
		tokenB, errB := b.Token()
		if errA != nil || errB != nil || cmp.Compare(tokenA, tokenB) != a.Compare(b) {
			t.Fatalf("%s has token %d (%v), %s has %d (%v)", a, tokenA, errA, b, tokenB, errB)
		}
	})
}

// TestTokensRiseOverEras checks that tokens have the order of their revisions, and that a
// revision too large for a token gets none.
func TestTokensRiseOverEras(t *testing.T) {
	is := is.New(t)
	last := uint64(0)
	for _, r := range []Revision{{0, 1}, {0, 1 << 39}, {1, 1}, {1, 2}, {2, 1}, {8191, 1<<40 - 1}} {
		token, err := r.Token()
		is.NoErr(err)
		is.True(token > last)
		is.True(token < 1<<53)
		last = token
	}
	for _, r := range []Revision{{0, 1 << 40}, {8192, 1}} {
		_, err := r.Token()
		is.True(err != nil)
	}
	is.True(Revision{Era: 1}.Compare(Revision{Number: 9}) > 0)
	r, err := ParseRevision(Revision{Era: 1, Number: 9}.String())
	is.NoErr(err)
	is.Equal(r, Revision{Era: 1, Number: 9})
	for _, text := range []string{"", "7", "1.", ".9", "1.9.2", "-1.9"} {
		_, err := ParseRevision(text)
		is.True(err != nil)
	}
}
