package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// comparison is one comparison of two revisions.
type comparison struct {
	flags
	directory string
	// root is the repository's working tree.
	root string
}

// report is what the comparison reads of the bench's report of one play.
type report struct {
	Worth  float64        `json:"G"`
	Breaks map[string]any `json:"breaks"`
	Fault  any            `json:"fault"`
	All    counts         `json:"all"`
	Zones  []counts       `json:"zones"`
	Kinds  []counts       `json:"classes"`
	// Parts are the name, the weight and the credit of each part of the worth.
	Parts [][]any `json:"parts"`
	// Windows are those of two seconds each.
	Windows []counts `json:"windows"`
}

// counts are outcomes of requests.
type counts struct {
	Name    string  `json:"name"`
	Asked   int     `json:"n"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
}

// pair is one day with one seed, played with both revisions.
type pair struct {
	day     string
	seed    int
	reports [2]report
}

// checkOut creates a worktree for each revision and builds it.
func (c *comparison) checkOut() error {
	root, err := output("", "git", "rev-parse", "--show-toplevel")
	if err != nil {
		return err
	}
	c.root = root
	for i, name := range []string{c.Before, c.After} {
		revision, err := c.resolve(name)
		if err != nil {
			return err
		}
		if _, err := output(root, "git", "worktree", "add", "--detach", c.checkouts()[i], revision); err != nil {
			return err
		}
		if _, err := output(c.checkouts()[i], c.Bench, "build"); err != nil {
			return err
		}
	}
	return nil
}

// resolve returns the commit that a revision names; for the working tree, one that git makes
// without touching any branch.
func (c *comparison) resolve(name string) (string, error) {
	if name != "tree" {
		return output(c.root, "git", "rev-parse", "--verify", name+"^{commit}")
	}
	revision, err := output(c.root, "git", "stash", "create")
	if err == nil && revision == "" {
		return output(c.root, "git", "rev-parse", "HEAD")
	}
	return revision, err
}

// removeCheckouts removes the worktrees and keeps the journal entries that their plays wrote.
func (c *comparison) removeCheckouts() {
	for _, checkout := range c.checkouts() {
		if err := c.keepJournal(checkout); err != nil {
			fmt.Fprintln(os.Stderr, "compare:", err)
		}
		if _, err := output(c.root, "git", "worktree", "remove", "--force", checkout); err != nil {
			fmt.Fprintln(os.Stderr, "compare:", err)
		}
	}
}

// keepJournal copies the journal entries that are new in a checkout.
func (c *comparison) keepJournal(checkout string) error {
	added, err := output(checkout, "git", "status", "--porcelain", "--untracked-files=all", "--", "journal")
	if err != nil {
		return err
	}
	for line := range strings.Lines(added) {
		fields := strings.Fields(line)
		entry := fields[len(fields)-1]
		data, err := os.ReadFile(filepath.Join(checkout, entry))
		if err != nil {
			return fmt.Errorf("could not read a journal entry: %w", err)
		}
		if err := os.WriteFile(filepath.Join(c.root, entry), data, 0o644); err != nil {
			return fmt.Errorf("could not keep a journal entry: %w", err)
		}
	}
	return nil
}

// play plays all pairs, a few plays at a time.
func (c *comparison) play() ([]pair, error) {
	var pairs []pair
	for _, day := range c.Days {
		for _, seed := range c.Seeds {
			pairs = append(pairs, pair{day: day, seed: seed})
		}
	}
	errs := make(chan error, 2*len(pairs))
	running := make(chan struct{}, max(1, c.Jobs))
	var plays sync.WaitGroup
	for i := range pairs {
		for side := range c.checkouts() {
			plays.Go(func() {
				running <- struct{}{}
				defer func() { <-running }()
				errs <- c.playOne(&pairs[i], side)
			})
		}
	}
	plays.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return pairs, nil
}

// playOne plays a pair's day with one of the revisions.
func (c *comparison) playOne(p *pair, side int) error {
	file := filepath.Join(c.directory, fmt.Sprintf("%s-%d-%d.json", filepath.Base(p.day), p.seed, side))
	words := []string{"run", c.Site, p.day, "--seed", strconv.Itoa(p.seed), "--report", file, "--jobs", "1", "--why", fmt.Sprintf("%s: %s", [2]string{c.Before, c.After}[side], c.Why)}
	if !c.CPU {
		words = append(words, "--no-cpu")
	}
	if c.Small {
		words = append(words, "--small")
	}
	if _, err := output(c.checkouts()[side], c.Bench, words...); err != nil {
		return err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("could not read the report of %s: %w", p.day, err)
	}
	if err := json.Unmarshal(data, &p.reports[side]); err != nil {
		return fmt.Errorf("could not decode the report of %s: %w", p.day, err)
	}
	return nil
}

// output runs a program and returns what it printed, without the last line break.
func output(directory, program string, words ...string) (string, error) {
	cmd := exec.Command(program, words...)
	cmd.Dir = directory
	printed, err := cmd.CombinedOutput()
	text := strings.TrimRight(string(printed), "\n")
	if err != nil {
		return "", fmt.Errorf("%s %s failed: %w: %s", filepath.Base(program), words[0], err, text)
	}
	return text, nil
}
