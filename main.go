// Command anviltack is a PostgreSQL proxy with session consistency.
package main

import (
	"os"

	"anviltack/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
