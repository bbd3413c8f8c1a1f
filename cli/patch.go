package cli

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"

	"anviltack/core"
	"anviltack/core/jsonc"
	"anviltack/core/patch"
	"anviltack/io/operator"
)

type patchCmd struct {
	operatorFlags
	File string  `arg:"" help:"File with a JSON merge patch, comments allowed; - reads standard input."`
	Base *uint64 `help:"Version that the patch was written against; 0 when there is none yet." required:""`
	ID   string  `help:"Name of the patch, by which it is accepted at most once; made up when left out."`
	Who  string  `help:"Who answers for the change." required:""`
	Why  string  `help:"Reason for the change." required:""`
}

// Run submits a patch. If the answer is lost, the client sends the patch again with the
// same id, under which it is accepted at most once.
func (c *patchCmd) Run(s *streams) error {
	text, err := readFile(c.File)
	if err != nil {
		return &statusError{status: exitUsage, err: err}
	}
	standard, err := jsonc.Standardize(text)
	if err != nil {
		return &statusError{status: exitInvalid, err: fmt.Errorf("cli: could not parse the patch as JSON: %w", err)}
	}
	if c.ID == "" {
		c.ID = rand.Text()
		fmt.Fprintf(s.err, "patch id %s\n", c.ID)
	}
	client, ctx, cancel, err := c.newClient()
	if err != nil {
		return err
	}
	defer cancel()
	accepted, err := client.Submit(ctx, patch.Request{ID: c.ID, Base: *c.Base, Who: c.Who, Why: c.Why, Patch: standard})
	if err != nil {
		c.printRefusal(s, err)
		return withExitStatus(err)
	}
	if c.JSON {
		return s.printJSON(accepted)
	}
	fmt.Fprintf(s.out, "accepted as version %d\n", accepted.Version)
	return nil
}

// printRefusal prints a refusal as JSON or, after a conflict, the newest version and the
// entries accepted since the base version.
func (c *patchCmd) printRefusal(s *streams, err error) {
	var refused *operator.Error
	if !errors.As(err, &refused) {
		return
	}
	if c.JSON {
		_ = s.printJSON(refused)
		return
	}
	if refused.Code == core.CodePatchConflict {
		fmt.Fprintf(s.out, "version %d stands; since version %d:\n", refused.Version, *c.Base)
		printEntries(s.out, refused.Since)
	}
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		b, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("cli: could not read standard input: %w", err)
		}
		return b, nil
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("cli: could not read the file: %w", err)
	}
	return b, nil
}
