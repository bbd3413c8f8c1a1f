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

// Options are the settings of a demo run.
type Options struct {
	Site     Site
	Programs Programs
	// Duration is how long the callers run.
	Duration  time.Duration
	Scenarios []Scenario
	Seed      uint64
	Writers   int
	Readers   int
	// Keep is a folder that keeps the logs and settings after the run; empty
	// for none.
	Keep string
}

// Run runs a demo and returns the callers' report. It ends every process that
// it started.
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
	h, err := newHarness(o.Site, o.Programs, directory)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, h.stop()) }()
	if err := h.start(ctx); err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "site                %s: %d groups of %d endpoints, %d instances in %d data centres\n",
		o.Site.Name, o.Site.Groups, o.Site.EndpointsPerGroup, o.Site.Instances, len(o.Site.DataCentres))
	return h.runLoad(ctx, o, out)
}

// runLoad runs the callers and injects the faults half way.
func (h *harness) runLoad(ctx context.Context, o Options, out io.Writer) (*load.Report, error) {
	var output bytes.Buffer
	p, err := startProcess(h.directory, "load", &output, h.programs.Standin, h.loadArguments(o)...)
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
		if err := h.injectFaults(o.Scenarios, wait, out); err != nil {
			return nil, err
		}
	}
	select {
	case <-p.ended:
	case <-ctx.Done():
		return nil, fmt.Errorf("demo: interrupted: %w", ctx.Err())
	}
	var report load.Report
	if err := json.Unmarshal(output.Bytes(), &report); err != nil {
		return nil, fmt.Errorf("demo: the load failed: %w", errors.Join(err, p.err, h.processLog("load")))
	}
	return &report, nil
}

// processLog returns the log of a process as an error.
func (h *harness) processLog(name string) error {
	text, err := os.ReadFile(h.directory + "/" + name + ".log")
	if err != nil {
		return err
	}
	return errors.New(strings.TrimSpace(string(text)))
}

func (h *harness) loadArguments(o Options) []string {
	var entries, controls, kinds []string
	for _, e := range h.instances {
		entries = append(entries, e.callerAddress.String())
	}
	for g := range h.site.Groups {
		var addresses []string
		for _, a := range h.controlAddresses(g) {
			addresses = append(addresses, a.String())
		}
		controls = append(controls, h.site.groupName(g)+"="+strings.Join(addresses, ","))
	}
	for _, k := range slices.Sorted(maps.Keys(h.site.Kinds)) {
		kinds = append(kinds, fmt.Sprintf("%s=%s", k, h.site.Kinds[k]))
	}
	return []string{
		"load", "--json", "--user", callerName, "--password", callerPassword,
		"--entries", strings.Join(entries, ","),
		"--controls", strings.Join(controls, ";"),
		"--kinds", strings.Join(kinds, ";"),
		"--duration", o.Duration.String(),
		"--seed", fmt.Sprint(o.Seed),
		"--valuers", fmt.Sprint(o.Writers),
		"--analysts", fmt.Sprint(o.Readers),
	}
}
