package cli

import "fmt"

type settleCmd struct {
	operatorFlags
	ID   string  `arg:"" help:"Name of the patch."`
	Base *uint64 `help:"Version that the patch was written against." required:""`
}

// Run asks for the outcome of a patch and prints it.
func (c *settleCmd) Run(s *streams) error {
	client, ctx, cancel, err := c.newClient()
	if err != nil {
		return err
	}
	defer cancel()
	got, err := client.PatchOutcome(ctx, c.ID, *c.Base)
	if err != nil {
		return withExitStatus(err)
	}
	if c.JSON {
		return s.printJSON(got)
	}
	if got.Version > 0 {
		fmt.Fprintf(s.out, "%s as version %d\n", got.Outcome, got.Version)
		return nil
	}
	fmt.Fprintln(s.out, got.Outcome)
	return nil
}
