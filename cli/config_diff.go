package cli

import (
	"fmt"

	"anviltack/core/patch"
)

type configDiffCmd struct {
	operatorFlags
	From uint64 `arg:"" help:"Version before."`
	To   uint64 `arg:"" optional:"" help:"Version after; the newest when left out."`
}

// Run prints a line for each value that differs between the two versions.
func (c *configDiffCmd) Run(s *streams) error {
	path := fmt.Sprintf("/config/diff?from=%d", c.From)
	if c.To > 0 {
		path += fmt.Sprintf("&to=%d", c.To)
	}
	var changes []patch.Change
	if err := c.get(path, &changes); err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(changes)
	}
	for _, change := range changes {
		fmt.Fprintf(s.out, "%s: %s -> %s\n", change.Path, orNone(change.From), orNone(change.To))
	}
	return nil
}

func orNone(b []byte) string {
	if len(b) == 0 {
		return "(none)"
	}
	return string(b)
}
