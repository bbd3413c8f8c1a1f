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

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// SlopeOptions say which idle sites are measured.
type SlopeOptions struct {
	Programs Programs
	// Groups and Instances are the sizes; each pair is one run.
	Groups    []int
	Instances []int
	// Window is how long each run is measured.
	Window time.Duration
	// Sample is the time between two samples, as the settings write it; empty
	// for the default.
	Sample string
}

// usage is what a process used so far.
type usage struct {
	cpu      time.Duration
	resident int64
	// moved is the number of bytes read and written, sockets included.
	moved int64
}

// Slopes measures what idle entry instances cost at several sizes and prints a
// row each: the average over the instances.
func Slopes(ctx context.Context, o SlopeOptions, out io.Writer) error {
	fmt.Fprintln(out, "groups instances cpu_percent resident_mb bytes_per_second")
	for _, instances := range o.Instances {
		for _, groups := range o.Groups {
			if err := slope(ctx, o, groups, instances, out); err != nil {
				return err
			}
		}
	}
	return nil
}

func slope(ctx context.Context, o SlopeOptions, groups, instances int, out io.Writer) (err error) {
	site := Sites["board"]
	site.Groups, site.Instances = groups, instances
	directory, err := os.MkdirTemp("", "anviltack-slope-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	b, err := newBench(site, o.Programs, directory)
	if err != nil {
		return err
	}
	b.sample = o.Sample
	defer func() { err = errors.Join(err, b.stop()) }()
	if err := b.start(ctx); err != nil {
		return err
	}
	before, err := b.usage()
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(o.Window):
	}
	after, err := b.usage()
	if err != nil {
		return err
	}
	each := float64(instances)
	fmt.Fprintf(out, "%6d %9d %11.2f %11.1f %16.0f\n", groups, instances,
		100*(after.cpu-before.cpu).Seconds()/o.Window.Seconds()/each,
		float64(after.resident)/each/(1<<20),
		float64(after.moved-before.moved)/o.Window.Seconds()/each)
	return nil
}

// usage adds up what the entry instances used.
func (b *bench) usage() (usage, error) {
	var sum usage
	for _, e := range b.entries {
		u, err := processUsage(e.process.command.Process.Pid)
		if err != nil {
			return sum, err
		}
		sum.cpu += u.cpu
		sum.resident += u.resident
		sum.moved += u.moved
	}
	return sum, nil
}

// processUsage reads what one process used from /proc.
func processUsage(pid int) (usage, error) {
	folder := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return usage{}, fmt.Errorf("demo: %w", err)
	}
	const userField, systemField, residentField = 11, 12, 21
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	ticks := number(fields[userField]) + number(fields[systemField])
	traffic, err := os.ReadFile(folder + "/io")
	if err != nil {
		return usage{}, fmt.Errorf("demo: %w", err)
	}
	var moved int64
	for line := range strings.Lines(string(traffic)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			moved += number(value)
		}
	}
	return usage{
		cpu:      time.Duration(ticks) * time.Second / ticksPerSecond,
		resident: number(fields[residentField]) * int64(os.Getpagesize()),
		moved:    moved,
	}, nil
}

// number reads a decimal number of the kernel's; anything else counts as zero.
func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
