package cli

import (
	"fmt"

	"anviltack/io/operator"
)

type configShowCmd struct {
	operatorFlags
}

// Run prints the configuration in force, without secrets.
func (c *configShowCmd) Run(s *streams) error {
	var got operator.Configuration
	if err := c.get("/config", &got); err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(got)
	}
	fmt.Fprintf(s.out, "// version %d\n", got.Version)
	return s.printJSON(got.Config)
}
