package process

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/standin/endpoint"
)

const (
	// writersPerInstance is the number of callers that write through each
	// instance.
	writersPerInstance = 2
	// writeDeadline is the deadline of one write.
	writeDeadline = 3 * time.Second
	// trialsPerFault is the number of failovers that the benchmark runs for each
	// fault.
	trialsPerFault = 10
)

var buildStandin = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "standin")
	return path, exec.Command("go", "build", "-o", path, "anviltack/standin/cmd").Run()
})

// failoverHarness is a harness whose endpoints are separate processes and that
// loads them with writers.
type failoverHarness struct {
	*harness
	processes map[core.Endpoint]*exec.Cmd
	mu        sync.Mutex
	writes    []write
	stop      context.CancelFunc
	running   sync.WaitGroup
}

// write is one write and the outcome that its caller got.
type write struct {
	key string
	// submission is the idempotency key of the write, which earlier writes with an
	// unknown outcome may share; empty for a write without one.
	submission string
	startedAt  time.Time
	endedAt    time.Time
	succeeded  bool
	// notRun reports whether the error promised that nothing ran.
	notRun bool
	// alreadyRan reports whether the error said that the submission had run before.
	alreadyRan bool
}

func newFailoverHarness(t testing.TB, instances int) *failoverHarness {
	h := &failoverHarness{harness: newHarness(t), processes: make(map[core.Endpoint]*exec.Cmd)}
	standin, err := buildStandin()
	if err != nil {
		t.Fatal(err)
	}
	names := []core.Endpoint{"e1", "e2", "e3"}
	for _, n := range names {
		h.endpoints[n] = patch.Endpoint{Address: freeAddress(t), DataCentre: "a", Slots: 3, Connections: 40}
		h.controls[n] = freeAddress(t)
	}
	for i, n := range names {
		h.startEndpoint(standin, n, i == 0)
	}
	var first *instance
	for i := range instances {
		p := h.startInstance(fmt.Sprint("i", i), "a")
		if i == 0 {
			first = p
		}
	}
	h.waitFor("the first instance answers", func() bool { _, err := first.fetchStatus(); return err == nil })
	h.submit(first, h.firstPatch())
	h.awaitVersion()
	h.awaitInstances(instances)
	return h
}

func (h *failoverHarness) startEndpoint(standin string, n core.Endpoint, primary bool) {
	var peers []string
	for other, control := range h.controls {
		if other != n {
			peers = append(peers, control.String())
		}
	}
	arguments := []string{
		"endpoint", "--name", string(n), "--group", "g", "--listen", h.endpoints[n].Address.String(),
		"--control", h.controls[n].String(), "--peers", strings.Join(peers, ","), "--slots", "3", "--connections", "40",
		"--connect", "10ms", "--delay", "1500us", "--lag", "5ms",
	}
	if primary {
		arguments = append(arguments, "--primary")
	}
	c := exec.Command(standin, arguments...)
	if err := c.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.processes[n] = c
	h.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
}

// startWriters starts writers on every instance; stop ends them.
func (h *failoverHarness) startWriters() {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	for name, p := range h.instances {
		for i := range writersPerInstance {
			h.running.Go(func() { h.writeRows(ctx, p.callers, fmt.Sprint(name, "-", i), i%2 == 0) })
		}
	}
}

// writeRows inserts rows one after the other. With useSubmissions it retries a
// failed insert with the same submission key and another row key, until one
// attempt succeeds or is reported as already run.
func (h *failoverHarness) writeRows(ctx context.Context, address netip.AddrPort, name string, useSubmissions bool) {
	var conn *pgx.Conn
	for n, try := 0, 0; ctx.Err() == nil; {
		if conn == nil || conn.IsClosed() {
			var err error
			conn, err = pgx.Connect(ctx, fmt.Sprintf("postgres://valuer:%s@%s/index?sslmode=disable&default_query_exec_mode=simple_protocol", password, address))
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		w := write{key: fmt.Sprint(name, "-", n, "-", try)}
		if useSubmissions {
			w.submission = fmt.Sprint(name, "-", n)
		}
		w.send(conn)
		h.mu.Lock()
		h.writes = append(h.writes, w)
		h.mu.Unlock()
		try++
		if !useSubmissions || w.succeeded || w.alreadyRan {
			n, try = n+1, 0
		}
		time.Sleep(3 * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// send runs the write and records its outcome.
func (w *write) send(conn *pgx.Conn) {
	comment := fmt.Sprintf("deadline='%s'", writeDeadline)
	if w.submission != "" {
		comment += fmt.Sprintf(",submission='%s'", w.submission)
	}
	w.startedAt = time.Now()
	_, err := conn.Exec(context.Background(), fmt.Sprintf("INSERT INTO item (key, value) VALUES ('%s', 'x') /*%s*/", w.key, comment))
	w.endedAt = time.Now()
	var refused *pgconn.PgError
	w.succeeded = err == nil
	if errors.As(err, &refused) {
		w.notRun = strings.HasPrefix(refused.Message, "AT2")
		w.alreadyRan = strings.HasPrefix(refused.Message, "AT1001")
	}
}

// setEndpointFaults injects faults into an endpoint.
func (h *failoverHarness) setEndpointFaults(n core.Endpoint, body string) {
	r, err := http.NewRequest(http.MethodPut, "http://"+h.controls[n].String()+"/fault", bytes.NewReader([]byte(body)))
	if err != nil {
		h.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		h.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// injectFault injects a fault into the first primary and returns once the fault is
// in force. "frozen" suspends the primary; "half cut" makes its peers unreachable
// for replication while callers still reach it.
func (h *failoverHarness) injectFault(fault string) {
	switch fault {
	case "killed":
		_ = h.processes["e1"].Process.Kill()
	case "frozen":
		h.setEndpointFaults("e1", `{"freeze":true}`)
	case "half cut":
		h.setEndpointFaults("e1", `{"cut_all":true}`)
	case "killed with the platform down":
		h.setPlatformFaults(`{"down":true}`)
		_ = h.processes["e1"].Process.Kill()
	case "killed with an instance paused":
		_ = h.instances["i0"].command.Process.Signal(syscall.SIGSTOP)
		_ = h.processes["e1"].Process.Kill()
	case "restarted":
		h.setEndpointFaults("e1", `{"restart":true}`)
	}
}

// gap returns the failover gap: the time from the fault to the first
// acknowledgement of a write that was sent after it; zero without one.
func (h *failoverHarness) gap(injectedAt time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var gap time.Duration
	for _, w := range h.writes {
		if d := w.endedAt.Sub(injectedAt); w.succeeded && w.startedAt.After(injectedAt) && (gap == 0 || d < gap) {
			gap = d
		}
	}
	return gap
}

// hasNewPrimary reports whether an endpoint is primary in a term above 1.
func (h *failoverHarness) hasNewPrimary() bool {
	for _, n := range []core.Endpoint{"e1", "e2", "e3"} {
		if rows, err := h.fetchRows(n); err == nil && rows.Status.Role == core.RolePrimary && rows.Status.Term > 1 {
			return true
		}
	}
	return false
}

func (h *failoverHarness) fetchRows(n core.Endpoint) (endpoint.Rows, error) {
	var rows endpoint.Rows
	response, err := http.Get("http://" + h.controls[n].String() + "/rows")
	if err != nil {
		return rows, err
	}
	defer response.Body.Close() //nolint:errcheck // The body is only read.
	return rows, json.NewDecoder(response.Body).Decode(&rows)
}

// checkWrites checks the recorded outcomes against the rows of the primary of the
// highest term.
func (h *failoverHarness) checkWrites() (acknowledged, refused, unknown int) {
	h.t.Helper()
	var last endpoint.Rows
	for _, n := range []core.Endpoint{"e1", "e2", "e3"} {
		if rows, err := h.fetchRows(n); err == nil && rows.Status.Role == core.RolePrimary && rows.Status.Term > last.Status.Term {
			last = rows
		}
	}
	rows := make(map[string]int)
	ran := make(map[string]bool)
	for _, w := range h.writes {
		_, found := last.Rows[w.key]
		if found && w.submission != "" {
			rows[w.submission]++
		}
		ran[w.submission] = ran[w.submission] || w.alreadyRan
		switch {
		case w.succeeded && !found:
			h.t.Errorf("acknowledged write %s is lost", w.key)
		case w.notRun && found:
			h.t.Errorf("refused write %s ran", w.key)
		}
		switch {
		case w.succeeded:
			acknowledged++
		case w.notRun:
			refused++
		default:
			unknown++
		}
	}
	for submission, n := range rows {
		if n > 1 {
			h.t.Errorf("submission %s ran %d times", submission, n)
		}
	}
	for submission, before := range ran {
		if before && rows[submission] != 1 {
			h.t.Errorf("submission %s was reported as already run and is lost", submission)
		}
	}
	return acknowledged, refused, unknown
}

// runFailover injects a fault into the primary under load and returns the
// failover gap.
func runFailover(t testing.TB, fault string) (*failoverHarness, time.Duration) {
	h := newFailoverHarness(t, 3)
	h.startWriters()
	h.waitFor("writes", func() bool { return h.gap(time.Time{}) > 0 })
	time.Sleep(300 * time.Millisecond)
	h.injectFault(fault)
	injectedAt := time.Now()
	h.waitFor("writes after the fault", func() bool { return h.hasNewPrimary() && h.gap(injectedAt) > 0 })
	switch fault {
	case "frozen":
		h.setEndpointFaults("e1", `{"freeze":false}`)
	case "killed with an instance paused":
		_ = h.instances["i0"].command.Process.Signal(syscall.SIGCONT)
	}
	time.Sleep(300 * time.Millisecond)
	h.stop()
	h.running.Wait()
	return h, h.gap(injectedAt)
}

func TestFailoverKeepsWrites(t *testing.T) {
	for _, fault := range []string{
		"killed", "frozen", "half cut", "killed with the platform down", "killed with an instance paused", "restarted",
	} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			h, _ := runFailover(t, fault)
			acknowledged, refused, unknown := h.checkWrites()
			is.True(acknowledged > 0)
			t.Logf("acknowledged %d, refused %d, unknown %d", acknowledged, refused, unknown)
		})
	}
}

// BenchmarkFailover prints the failover gap as callers see it, and its phases from
// the log of the instance that ran the failover.
func BenchmarkFailover(b *testing.B) {
	for _, fault := range []string{"killed", "frozen", "half cut", "restarted", "killed with an instance paused"} {
		b.Run(fault, func(b *testing.B) {
			for b.Loop() {
				measureFailover(b, fault)
			}
		})
	}
}

func measureFailover(b *testing.B, fault string) {
	var gaps []time.Duration
	total := [3]int{}
	for i := range trialsPerFault {
		h, gap := runFailover(b, fault)
		acknowledged, refused, unknown := h.checkWrites()
		total[0], total[1], total[2] = total[0]+acknowledged, total[1]+refused, total[2]+unknown
		gaps = append(gaps, gap)
		b.Logf("%s %d: gap %v, %s", fault, i, gap.Round(time.Millisecond), h.loggedPhases())
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "worst-ms")
	for i, unit := range []string{"acknowledged", "refused", "unknown"} {
		b.ReportMetric(float64(total[i]), unit)
	}
}

// loggedPhases returns the phases of the failovers that the instances logged.
func (h *failoverHarness) loggedPhases() string {
	var phases []string
	for _, p := range h.instances {
		f, err := os.Open(p.log)
		if err != nil {
			h.t.Fatal(err)
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			var l struct {
				Event                               core.Event
				Term                                uint64
				Reason                              string
				Detect, Ask, Fence, Promote, Resume string
			}
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.Event == core.EventFailover {
				phases = append(phases, fmt.Sprintf("term %d %s: detect %s ask %s fence %s promote %s resume %s",
					l.Term, l.Reason, l.Detect, l.Ask, l.Fence, l.Promote, l.Resume))
			}
		}
		_ = f.Close()
	}
	return strings.Join(phases, "; ")
}
