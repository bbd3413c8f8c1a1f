package process

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// changesPerRun is the number of versions that one measurement submits.
const changesPerRun = 20

// idleDuration is how long the traffic of idle instances, which is their
// heartbeats, is measured.
const idleDuration = 10 * time.Second

// BenchmarkSpread measures, for several numbers of data centres and instances, the
// time from the submission of a patch until every instance has adopted it, the
// platform's calls per change, the bytes of each instance per change and, when
// idle, its bytes and CPU time.
func BenchmarkSpread(b *testing.B) {
	for _, layout := range []struct {
		centres, each int
		kill          bool
	}{{4, 1, false}, {1, 4, false}, {1, 16, false}, {1, 48, false}, {2, 4, true}} {
		name := fmt.Sprintf("centres=%d/instances=%d/killed=%v", layout.centres, layout.each, layout.kill)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				measureSpread(b, layout.centres, layout.each, layout.kill)
			}
		})
	}
}

func measureSpread(b *testing.B, centres, each int, kill bool) {
	h := newHarness(b)
	for c := range centres {
		for i := range each {
			h.startInstance(fmt.Sprintf("c%d-i%d", c, i), fmt.Sprint("c", c))
		}
	}
	h.awaitInstances(centres * each)
	entry := h.instances["c0-i0"]
	h.submit(entry, h.firstPatch())
	h.awaitVersion()
	time.Sleep(2 * time.Second)

	before := h.usage()
	time.Sleep(idleDuration)
	idle := h.usage().minus(before)
	b.ReportMetric(idle.bytes/idleDuration.Seconds(), "idle-B/s/instance")
	b.ReportMetric(100*idle.cpuTime.Seconds()/idleDuration.Seconds(), "idle-%core/instance")

	calls := h.platformCalls()
	before = h.usage()
	var times []time.Duration
	for n := range changesPerRun {
		if kill && n == 0 {
			victim := h.watcher("c1")
			h.kill(victim)
		}
		start := time.Now()
		h.submit(entry, queueLimitPatch(n+1))
		times = append(times, h.waitInForce().Sub(start))
	}
	used := h.usage().minus(before)
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-median")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-worst")
	b.ReportMetric(used.bytes/changesPerRun, "B/change/instance")
	after := h.platformCalls()
	for kind := range after {
		b.Logf("%s: %.1f calls a change", kind, float64(after[kind]-calls[kind])/changesPerRun)
	}
}

// waitInForce waits until all running instances have logged that they adopted the
// newest version, and returns the time at which the last one did.
func (h *harness) waitInForce() time.Time {
	var last time.Time
	for _, p := range h.instances {
		if !p.isRunning() {
			continue
		}
		h.waitFor("the version in the log of "+p.name, func() bool {
			at, ok := p.adoptedAt(h.version)
			if ok && at.After(last) {
				last = at
			}
			return ok
		})
	}
	return last
}

// adoptedAt returns the time at which the instance logged that it adopted a
// version.
func (p *instance) adoptedAt(version uint64) (time.Time, bool) {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return time.Time{}, false
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var line struct {
			Event   int
			Version uint64
			Time    time.Time
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == 200 && line.Version == version {
			return line.Time, true
		}
	}
	return time.Time{}, false
}

// usage is the mean resource usage of an instance.
type usage struct {
	bytes   float64
	cpuTime time.Duration
}

func (u usage) minus(v usage) usage {
	return usage{bytes: u.bytes - v.bytes, cpuTime: u.cpuTime - v.cpuTime}
}

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// usage returns the mean of the bytes that the running instances have read and
// written, and of their CPU time. Without callers and endpoints the bytes are
// control traffic and logs.
func (h *harness) usage() usage {
	var sum usage
	n := 0
	for _, p := range h.instances {
		if !p.isRunning() {
			continue
		}
		n++
		dir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
		io, err := os.ReadFile(dir + "io")
		if err != nil {
			h.t.Skip("/proc is not available")
		}
		for line := range strings.Lines(string(io)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			if name == "rchar" || name == "wchar" {
				v, _ := strconv.ParseFloat(value, 64)
				sum.bytes += v
			}
		}
		stat, err := os.ReadFile(dir + "stat")
		if err != nil {
			h.t.Fatal(err)
		}
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
		for _, f := range fields[11:13] {
			ticks, _ := strconv.Atoi(f)
			sum.cpuTime += time.Duration(ticks) * clockTick
		}
	}
	return usage{bytes: sum.bytes / float64(n), cpuTime: sum.cpuTime / time.Duration(n)}
}
