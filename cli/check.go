package cli

import (
	"encoding/json"
	"errors"
	"fmt"

	"anviltack/settings"
)

type checkCmd struct {
	File string `arg:"" help:"Settings file to check." type:"path"`
	JSON bool   `help:"Print the faults as JSON."`
}

// Run checks a settings file without starting anything.
func (c *checkCmd) Run(s *streams) error {
	_, err := settings.Load(c.File)
	var faults *settings.Error
	if errors.As(err, &faults) {
		if c.JSON {
			if err := json.NewEncoder(s.out).Encode(faults.Faults); err != nil {
				return err
			}
		}
		return &statusError{status: exitSettings, err: err}
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, c.File+": ok")
	return err
}
