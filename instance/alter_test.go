package instance

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestMayAlter reads statements from testdata/alter, one a line, and prints
// whether each may change the session state.
func TestMayAlter(t *testing.T) {
	datadriven.RunTest(t, "testdata/alter", func(_ *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, sql := range strings.Split(d.Input, "\n") {
			pl := pipeline{simple: true, sql: sql}
			fmt.Fprintf(&out, "%t %s\n", pl.mayAlter(), sql)
		}
		return out.String()
	})
}
