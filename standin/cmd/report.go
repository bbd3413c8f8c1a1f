package main

import (
	"encoding/json"
	"fmt"
	"io"

	"anviltack/standin/load"
)

// printReport prints a report and returns an error if it contains violations.
func printReport(report *load.Report, asJSON bool, out io.Writer) error {
	if asJSON {
		if err := json.NewEncoder(out).Encode(report); err != nil {
			return fmt.Errorf("load: could not print the report: %w", err)
		}
	} else {
		report.Print(out)
	}
	if n := report.Violations(); n > 0 {
		return fmt.Errorf("load: %d violations of guarantees", n)
	}
	return nil
}
