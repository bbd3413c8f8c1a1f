package voter

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

// TestSets runs the scripts in testdata. An endpoint is written as its name, followed by the
// number of its process if it is not the first one, by @ and the endpoint at whose address it
// is if that is not its own, and by :leaving, :behind or :primary.
func TestSets(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s Set
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var listed []Endpoint
			for _, word := range strings.Fields(d.Input) {
				listed = append(listed, parseEndpoint(word))
			}
			due := true
			switch d.Cmd {
			case "new":
				s = New(listed)
			case "change": // applies the next change while these endpoints are listed
				var next Set
				if next, due = s.Change(listed); due {
					s = next
				}
			case "rename":
				renamed := s.Renamed(listed)
				due = !slices.Equal(renamed.Voters, s.Voters)
				s = renamed
			case "recover": // recover floor=TERM
				var floor int
				d.ScanArgs(t, "floor", &floor)
				s, due = s.Recover(listed, uint64(floor))
			case "parse":
				if _, err := Parse(d.Input); err != nil {
					return err.Error() + "\n"
				}
				return "valid\n"
			}
			if !due {
				return "no change\n"
			}
			return format(s) + "\n"
		})
	})
}

func parseEndpoint(word string) Endpoint {
	f := strings.Split(word, ":")
	process, at, _ := strings.Cut(f[0], "@")
	name := strings.TrimRight(process, "0123456789")
	started, _ := strconv.ParseInt(process[len(name):], 10, 64)
	if at == "" {
		at = name
	}
	return Endpoint{
		Voter:   Voter{Name: core.Endpoint(name), Started: started, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(at[0]))},
		Leaving: slices.Contains(f, "leaving"), CaughtUp: !slices.Contains(f, "behind"), Primary: slices.Contains(f, "primary"),
	}
}

// format returns a set in the words of the scripts.
func format(s Set) string {
	words := []string{fmt.Sprint("version ", s.Version, ", floor ", s.Floor, ":")}
	for _, v := range s.Voters {
		word := string(v.Name)
		if v.Started > 0 {
			word += strconv.FormatInt(v.Started, 10)
		}
		switch at := string(rune(v.Address.Port())); {
		case !v.Address.IsValid():
			word += "@nowhere"
		case at != string(v.Name):
			word += "@" + at
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// TestMajoritiesIntersect checks that each majority of a set shares a voter with each majority
// of the next one, and that the primary stays a voter, whatever is listed.
func TestMajoritiesIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var first []Endpoint
		for i := range rapid.IntRange(1, 7).Draw(t, "voters") {
			first = append(first, Endpoint{Voter: Voter{Name: core.Endpoint(fmt.Sprint("v", i))}})
		}
		s := New(first)
		var listed []Endpoint
		for i := range 10 {
			e := Endpoint{
				Voter:   Voter{Name: core.Endpoint(fmt.Sprint("v", i)), Started: rapid.Int64Range(0, 1).Draw(t, "started")},
				Leaving: rapid.Bool().Draw(t, "leaving"), CaughtUp: rapid.Bool().Draw(t, "caught up"), Primary: i == 0,
			}
			if rapid.Bool().Draw(t, "listed") {
				listed = append(listed, e)
			}
		}
		next, due := s.Change(listed)
		if !due {
			return
		}
		common := 0
		for _, v := range next.Voters {
			if slices.Contains(s.Voters, v) {
				common++
			}
		}
		smaller, larger := min(len(s.Voters), len(next.Voters)), max(len(s.Voters), len(next.Voters))
		is.Equal(common, smaller)
		is.Equal(larger, smaller+1)
		is.True(s.Majority()+next.Majority() > larger)
		is.Equal(next.Version, s.Version+1)
		if len(listed) > 0 && listed[0].Primary && slices.Contains(s.Voters, listed[0].Voter) {
			is.True(slices.Contains(next.Voters, listed[0].Voter))
		}
		parsed, err := Parse(next.String())
		is.NoErr(err)
		is.Equal(parsed, next)
	})
}
