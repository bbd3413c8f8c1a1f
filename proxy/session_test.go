package proxy

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"anviltack/core"
)

// TestSessions runs the scripts in testdata/sessions. Each has its own simulation:
// endpoint p is the primary, r and s are replicas, all at 1.10.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		t.Parallel()
		w := newWorld(nil)
		w.run()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				if f := strings.Fields(line); len(f) > 0 {
					fmt.Fprintln(&out, w.command(t, f))
				}
			}
			return out.String()
		})
	})
}

// command runs one line of a script.
func (w *world) command(t *testing.T, f []string) string {
	t.Helper()
	switch f[0] {
	case "open": // open CALLER DATABASE
		w.open(f[1], core.Database(f[2]))
		return f[1]
	case "leave": // leave CALLER
		c := w.callers[f[1]]
		close(c.statements)
		<-c.ended
		return f[1] + " left"
	case "set": // set ENDPOINT FIELD VALUE
		w.setField(w.find(core.Endpoint(f[1])), f[2], f[3])
		return strings.Join(f[1:], " ")
	case "store":
		w.mu.Lock()
		defer w.mu.Unlock()
		w.noStore = f[1] == "down"
		return "store " + f[1]
	case "wait": // wait MILLISECONDS
		ms, _ := strconv.Atoi(f[1])
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return "waited"
	case "ran": // ran: which endpoint ran which callers' statements
		return w.ranStatements()
	case "promoted":
		return w.promotions()
	case "configure": // configure VERSION DATABASE FRESHNESS, or without a route
		w.configure(f[1:])
		return "version " + strconv.FormatUint(w.proxy.config.Load().Version, 10)
	default: // CALLER ID KIND WORDS
		return w.sendStatement(f)
	}
}

func (w *world) setField(f *fake, field, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	on := value == "yes"
	switch field {
	case "dark":
		f.dark = on
	case "deaf":
		f.deaf = on
	case "stuck":
		f.stuck = on
	case "lose":
		f.lose = on
	case "fault":
		f.fault = Fault(value)
	}
}

func (w *world) configure(f []string) {
	version, _ := strconv.ParseUint(f[0], 10, 64)
	c := testConfig(version)
	if len(f) > 1 {
		delete(c.Routes, core.Database(f[1]))
	}
	w.mu.Lock()
	offer := w.config
	w.mu.Unlock()
	offer(c)
	done := make(chan struct{})
	w.proxy.control.offer(func(time.Time) { close(done) })
	<-done
}

func (w *world) ranStatements() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, f := range w.fakes {
		out = append(out, fmt.Sprintf("%s%v", f.info.Name, f.ran))
	}
	return strings.Join(out, " ")
}

// promotions waits for a promotion and until the group accepts writes at the instance
// again.
func (w *world) promotions() string {
	w.until(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.promoted) > 0
	})
	w.until(func() bool { return (*w.proxy.groups.Load())["g"].state.Load().isOpen() })
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.promoted, ", ")
}

// sendStatement sends a caller's statement: begin, begin-read, commit, rollback, read,
// write, set NAME VALUE, prepare NAME read|write SHAPE, execute NAME, deallocate NAME.
func (w *world) sendStatement(f []string) string {
	s := Statement{ID: f[1], Kind: Kind(f[2]), Text: strings.Join(f[2:], " ")}
	switch f[2] {
	case "begin-read":
		s.Kind, s.ReadOnly = KindBegin, true
	case "set":
		s.Name, s.Value = f[3], f[4]
	case "prepare":
		s.Name, s.Access, s.Shape = f[3], Kind(f[4]), f[5]
	case "execute", "deallocate":
		s.Name, s.Arguments = f[3], "x"
	}
	a := w.callers[f[0]].send(s)
	return f[1] + ": " + describe(a)
}

// describe formats an answer without the parts that differ between runs.
func describe(a Answer) string {
	state := " " + string(a.State)
	var e *core.Error
	switch {
	case errors.Is(a.Err, errLeft):
		return "session ended"
	case errors.As(a.Err, &e):
		retry := ""
		if e.RetryAfter > 0 {
			retry = ", come back later"
		}
		return fmt.Sprintf("%d%s%s", e.Code, retry, state)
	case a.Err != nil:
		return a.Err.Error() + state
	case a.Proof == "":
		return "done" + state
	}
	return strings.Join(slices.Concat(a.Rows, []string{a.Proof}), "; ") + state
}
