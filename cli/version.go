package cli

import "fmt"

// Version is the version of this program.
const Version = "0.1.0"

type versionCmd struct{}

// Run prints the version.
func (*versionCmd) Run(s *streams) error {
	_, err := fmt.Fprintln(s.out, "anviltack", Version)
	return err
}
