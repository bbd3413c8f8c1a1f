package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		s, err := Parse([]byte(d.Input))
		var e *Error
		if errors.As(err, &e) {
			var b strings.Builder
			for _, f := range e.Faults {
				fmt.Fprintln(&b, f)
			}
			return b.String()
		}
		return fmt.Sprintf("%+v\n", s)
	})
}
