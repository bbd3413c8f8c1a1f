package lease

import (
	"testing"

	"github.com/matryer/is"
)

// TestValue parses what instances write, in this version and without eras, and takes any
// other text for a lease of an unknown holder.
func TestValue(t *testing.T) {
	for text, v := range map[string]Value{
		"b 1x":        {Holder: "b", Nonce: "1x"},
		"b 1x over":   {Holder: "b", Nonce: "1x", Released: true},
		"b 1x 3":      {Holder: "b", Nonce: "1x", Era: 3},
		"b 1x 3 over": {Holder: "b", Nonce: "1x", Era: 3, Released: true},
		"- - 3 over":  EraValue(3),
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ParseValue(text), v)
			is.Equal(v.String(), text)
		})
	}
	is := is.New(t)
	for _, text := range []string{"", "over", "b 1x 3 4", "b 1x -3", "b 1x 3 over over"} {
		v := ParseValue(text)
		is.Equal(v.Holder, "")
		is.True(!v.Released || text == "over")
	}
}
