package cli

import (
	"encoding/json"
	"errors"
	"fmt"

	"anviltack/core/jsonc"
	"anviltack/core/patch"
	"anviltack/settings"
)

type checkCmd struct {
	File          string `arg:"" help:"File to check: settings unless told otherwise." type:"path"`
	Configuration bool   `help:"The file is a whole configuration, as a first patch has it."`
	JSON          bool   `help:"Print the faults as JSON."`
}

// Run validates a settings or configuration file without starting an instance.
func (c *checkCmd) Run(s *streams) error {
	if c.Configuration {
		return c.checkConfiguration(s)
	}
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

// checkConfiguration validates a file that holds a whole configuration.
func (c *checkCmd) checkConfiguration(s *streams) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	standard, err := jsonc.Standardize(text)
	if err != nil {
		return &statusError{status: exitSettings, err: fmt.Errorf("cli: could not parse the configuration as JSON: %w", err)}
	}
	if _, faults := patch.Validate(standard); len(faults) > 0 {
		if c.JSON {
			if err := json.NewEncoder(s.out).Encode(faults); err != nil {
				return err
			}
		}
		return &statusError{status: exitSettings, err: &patch.InvalidError{Faults: faults}}
	}
	_, err = fmt.Fprintln(s.out, c.File+": ok")
	return err
}
