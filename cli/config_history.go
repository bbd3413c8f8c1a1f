package cli

import (
	"fmt"
	"io"
	"time"

	"anviltack/core/patch"
	"anviltack/io/operator"
)

type configHistoryCmd struct {
	operatorFlags
	Since uint64 `help:"Show only what came after this version."`
}

// Run prints the configuration history that the platform stores.
func (c *configHistoryCmd) Run(s *streams) error {
	var got operator.History
	if err := c.get(fmt.Sprintf("/config/history?since=%d", c.Since), &got); err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(got)
	}
	if got.Trimmed > 0 {
		fmt.Fprintf(s.out, "versions below %d were trimmed\n", got.Lowest)
	}
	printEntries(s.out, got.Entries)
	return nil
}

func printEntries(w io.Writer, entries []patch.Entry) {
	for _, e := range entries {
		fmt.Fprintf(w, "version %d  %s  by %s  patch %s\n  %s\n", e.Version, e.When.Format(time.RFC3339), e.Who, e.ID, e.Why)
		if len(e.Patch) > 0 {
			fmt.Fprintf(w, "  %s\n", e.Patch)
		}
	}
}
