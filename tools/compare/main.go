// Command compare plays days of a site with two revisions of this repository and prints by
// how much the second one differs.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
)

type flags struct {
	Bench  string   `arg:"" type:"existingfile" help:"The bench's program."`
	Site   string   `arg:"" type:"existingfile" help:"The site file."`
	Before string   `arg:"" help:"A revision, or 'tree' for the tracked files of the working tree."`
	After  string   `arg:"" help:"Another one; equal to BEFORE, it shows how far two plays differ."`
	Days   []string `help:"Names of days." default:"quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"`
	Seeds  []int    `help:"Seeds of each day." default:"1,2,3"`
	Jobs   int      `help:"Plays at a time." default:"5"`
	CPU    bool     `help:"Charge processor time. Plays then differ more."`
	Small  bool     `help:"Play small twins of large days."`
	Why    string   `help:"The line for the journal." required:""`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Plays days of a site with two revisions and prints the differences."))
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// run plays each day with each seed with both revisions, in pairs.
func run(f flags) error {
	directory, err := os.MkdirTemp("", "compare")
	if err != nil {
		return fmt.Errorf("could not create a directory for the checkouts: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	c := comparison{flags: f, directory: directory}
	if err := c.checkOut(); err != nil {
		return err
	}
	defer c.removeCheckouts()
	pairs, err := c.play()
	if err != nil {
		return err
	}
	printPairs(os.Stdout, pairs)
	return nil
}

// checkouts returns the directories of the two revisions.
func (c *comparison) checkouts() [2]string {
	return [2]string{filepath.Join(c.directory, "before"), filepath.Join(c.directory, "after")}
}
