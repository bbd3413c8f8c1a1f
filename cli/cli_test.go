package cli

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestRun(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	is.Equal(Run([]string{"version"}, &out, &errOut), exitOK)
	is.Equal(out.String(), "anviltack "+Version+"\n")
	is.Equal(Run([]string{"nonsense"}, &out, &errOut), exitUsage)
	is.Equal(Run([]string{"--help"}, &out, &errOut), exitOK)
}
