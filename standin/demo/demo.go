package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"anviltack/standin/load"
)

// Programs are the paths of the binaries that the demo starts.
type Programs struct {
	Standin   string
	Anviltack string
}

// Options say how a demo runs.
type Options struct {
	Site     Site
	Programs Programs
	// Duration is how long the callers go on.
	Duration  time.Duration
	Scenarios []Scenario
	Seed      uint64
	Valuers   int
	Analysts  int
	// Keep is a folder for logs and settings that stays; empty for none.
	Keep string
}

// Run runs a demo and returns the callers' report; it leaves no process behind.
func Run(ctx context.Context, o Options, out io.Writer) (report *load.Report, err error) {
	directory := o.Keep
	if directory == "" {
		if directory, err = os.MkdirTemp("", "anviltack-demo-"); err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
		defer func() { _ = os.RemoveAll(directory) }()
	} else if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	b, err := newBench(o.Site, o.Programs, directory)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, b.stop()) }()
	if err := b.start(ctx); err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "site                %s: %d groups of %d endpoints, %d instances in %d data centres\n",
		o.Site.Name, o.Site.Groups, o.Site.Members, o.Site.Instances, len(o.Site.DataCentres))
	return b.runLoad(ctx, o, out)
}

// runLoad runs the callers and plays the scenarios half way.
func (b *bench) runLoad(ctx context.Context, o Options, out io.Writer) (*load.Report, error) {
	var answer bytes.Buffer
	p, err := startProcess(b.directory, "load", &answer, b.programs.Standin, b.loadArguments(o)...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.stop() }()
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-p.ended:
			return false
		case <-time.After(d):
			return true
		}
	}
	if wait(o.Duration / 2) {
		if err := b.play(o.Scenarios, wait, out); err != nil {
			return nil, err
		}
	}
	select {
	case <-p.ended:
	case <-ctx.Done():
		return nil, fmt.Errorf("demo: interrupted: %w", ctx.Err())
	}
	var report load.Report
	if err := json.Unmarshal(answer.Bytes(), &report); err != nil {
		return nil, fmt.Errorf("demo: the load failed: %w", errors.Join(err, p.err, b.logOf("load")))
	}
	return &report, nil
}

// logOf returns the log of a process as an error.
func (b *bench) logOf(name string) error {
	text, err := os.ReadFile(b.directory + "/" + name + ".log")
	if err != nil {
		return err
	}
	return errors.New(strings.TrimSpace(string(text)))
}

func (b *bench) loadArguments(o Options) []string {
	var entries, controls, kinds []string
	for _, e := range b.entries {
		entries = append(entries, e.callers.String())
	}
	for g := range b.site.Groups {
		var addresses []string
		for _, a := range b.controls(g) {
			addresses = append(addresses, a.String())
		}
		controls = append(controls, b.site.groupName(g)+"="+strings.Join(addresses, ","))
	}
	for _, k := range slices.Sorted(maps.Keys(b.site.Kinds)) {
		kinds = append(kinds, fmt.Sprintf("%s=%s", k, b.site.Kinds[k]))
	}
	return []string{
		"load", "--json", "--user", callerName, "--password", callerPassword,
		"--entries", strings.Join(entries, ","),
		"--controls", strings.Join(controls, ";"),
		"--kinds", strings.Join(kinds, ";"),
		"--duration", o.Duration.String(),
		"--seed", fmt.Sprint(o.Seed),
		"--valuers", fmt.Sprint(o.Valuers),
		"--analysts", fmt.Sprint(o.Analysts),
	}
}
