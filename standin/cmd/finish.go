package main

import (
	"encoding/json"
	"fmt"
	"io"

	"anviltack/standin/load"
)

// finish prints a report and returns an error when a promise was broken.
func finish(report *load.Report, asJSON bool, out io.Writer) error {
	if asJSON {
		if err := json.NewEncoder(out).Encode(report); err != nil {
			return fmt.Errorf("load: could not print the report: %w", err)
		}
	} else {
		report.Print(out)
	}
	if n := report.Broken(); n > 0 {
		return fmt.Errorf("load: %d broken promises", n)
	}
	return nil
}
