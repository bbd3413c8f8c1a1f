package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the number of clock ticks per second in /proc (USER_HZ).
const ticksPerSecond = 100

// IdleCostOptions say which idle sites are measured.
type IdleCostOptions struct {
	Programs Programs
	// Groups and Instances are the sizes; each pair is one run.
	Groups    []int
	Instances []int
	// Window is how long each run is measured.
	Window time.Duration
	// Sample is the time between two samples in the syntax of the settings
	// file; empty for the default.
	Sample string
}

// usage is what a process has used since its start.
type usage struct {
	cpu      time.Duration
	resident int64
	// ioBytes is the number of bytes read and written, including sockets.
	ioBytes int64
}

// MeasureIdleCost measures what idle entry instances use at several sizes and
// prints one row per size, averaged over the instances.
func MeasureIdleCost(ctx context.Context, o IdleCostOptions, out io.Writer) error {
	fmt.Fprintln(out, "groups instances cpu_percent resident_mb bytes_per_second")
	for _, instances := range o.Instances {
		for _, groups := range o.Groups {
			if err := measureIdleCost(ctx, o, groups, instances, out); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureIdleCost(ctx context.Context, o IdleCostOptions, groups, instances int, out io.Writer) (err error) {
	site := Sites["board"]
	site.Groups, site.Instances = groups, instances
	directory, err := os.MkdirTemp("", "anviltack-slope-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	h, err := newHarness(site, o.Programs, directory)
	if err != nil {
		return err
	}
	h.sampleInterval = o.Sample
	defer func() { err = errors.Join(err, h.stop()) }()
	if err := h.start(ctx); err != nil {
		return err
	}
	before, err := h.usage()
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(o.Window):
	}
	after, err := h.usage()
	if err != nil {
		return err
	}
	instanceCount := float64(instances)
	fmt.Fprintf(out, "%6d %9d %11.2f %11.1f %16.0f\n", groups, instances,
		100*(after.cpu-before.cpu).Seconds()/o.Window.Seconds()/instanceCount,
		float64(after.resident)/instanceCount/(1<<20),
		float64(after.ioBytes-before.ioBytes)/o.Window.Seconds()/instanceCount)
	return nil
}

// usage returns the sum over the entry instances.
func (h *harness) usage() (usage, error) {
	var sum usage
	for _, e := range h.instances {
		u, err := processUsage(e.process.command.Process.Pid)
		if err != nil {
			return sum, err
		}
		sum.cpu += u.cpu
		sum.resident += u.resident
		sum.ioBytes += u.ioBytes
	}
	return sum, nil
}

// processUsage reads the usage of one process from /proc.
func processUsage(pid int) (usage, error) {
	folder := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return usage{}, fmt.Errorf("demo: %w", err)
	}
	const userField, systemField, residentField = 11, 12, 21
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	ticks := parseNumber(fields[userField]) + parseNumber(fields[systemField])
	traffic, err := os.ReadFile(folder + "/io")
	if err != nil {
		return usage{}, fmt.Errorf("demo: %w", err)
	}
	var ioBytes int64
	for line := range strings.Lines(string(traffic)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			ioBytes += parseNumber(value)
		}
	}
	return usage{
		cpu:      time.Duration(ticks) * time.Second / ticksPerSecond,
		resident: parseNumber(fields[residentField]) * int64(os.Getpagesize()),
		ioBytes:  ioBytes,
	}, nil
}

// parseNumber parses a decimal number from /proc; anything else counts as zero.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
