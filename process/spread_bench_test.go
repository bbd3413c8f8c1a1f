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

// changes is how many versions one measurement makes.
const changes = 20

// idleTime is how long instances are left alone to count their heartbeats.
const idleTime = 10 * time.Second

// BenchmarkSpread measures, over fleets of several sizes, the time from the
// submission of a patch to its being in force everywhere, the platform's calls
// for one change and the bytes and processor time of each instance.
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
	s := newSite(b)
	for c := range centres {
		for i := range each {
			s.start(fmt.Sprintf("c%d-i%d", c, i), fmt.Sprint("c", c))
		}
	}
	s.awaitMembers(centres * each)
	entry := s.instances["c0-i0"]
	s.submit(entry, s.firstPatch())
	s.awaitVersion()
	time.Sleep(2 * time.Second)

	before := s.usage()
	time.Sleep(idleTime)
	idle := s.usage().minus(before)
	b.ReportMetric(idle.bytes/idleTime.Seconds(), "idle-B/s/instance")
	b.ReportMetric(100*idle.processor.Seconds()/idleTime.Seconds(), "idle-%core/instance")

	calls := s.calls()
	before = s.usage()
	var times []time.Duration
	for n := range changes {
		if kill && n == 0 {
			victim := s.watcher("c1")
			s.kill(victim)
		}
		start := time.Now()
		s.submit(entry, queuePatch(n+1))
		times = append(times, s.inForce().Sub(start))
	}
	used := s.usage().minus(before)
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-median")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-worst")
	b.ReportMetric(used.bytes/changes, "B/change/instance")
	after := s.calls()
	for kind := range after {
		b.Logf("%s: %.1f calls a change", kind, float64(after[kind]-calls[kind])/changes)
	}
}

// inForce waits until the logs of all running instances tell of the newest
// version, and returns when the last of them adopted it.
func (s *site) inForce() time.Time {
	var last time.Time
	for _, p := range s.instances {
		if !p.isRunning() {
			continue
		}
		s.until("the version in the log of "+p.name, func() bool {
			at, ok := p.adopted(s.version)
			if ok && at.After(last) {
				last = at
			}
			return ok
		})
	}
	return last
}

func (p *instance) adopted(version uint64) (time.Time, bool) {
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

// usage is what an average instance used.
type usage struct {
	bytes     float64
	processor time.Duration
}

func (u usage) minus(v usage) usage {
	return usage{bytes: u.bytes - v.bytes, processor: u.processor - v.processor}
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// usage reads what the running instances read and wrote so far. With no caller
// and no endpoint that is the traffic of control, and their logs.
func (s *site) usage() usage {
	var sum usage
	n := 0
	for _, p := range s.instances {
		if !p.isRunning() {
			continue
		}
		n++
		dir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
		io, err := os.ReadFile(dir + "io")
		if err != nil {
			s.t.Skip("no /proc here")
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
			s.t.Fatal(err)
		}
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
		for _, f := range fields[11:13] {
			ticks, _ := strconv.Atoi(f)
			sum.processor += time.Duration(ticks) * clockTick
		}
	}
	return usage{bytes: sum.bytes / float64(n), processor: sum.processor / time.Duration(n)}
}
