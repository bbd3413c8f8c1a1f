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
	// writersEach is how many callers write through each instance.
	writersEach = 2
	// writeDeadline is the deadline of one write.
	writeDeadline = 3 * time.Second
	// trialsEach is how often the benchmark repeats each fault.
	trialsEach = 10
)

var buildStandin = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "standin")
	return path, exec.Command("go", "build", "-o", path, "anviltack/standin/cmd").Run()
})

// outage is a group whose endpoints are processes, under load by callers.
type outage struct {
	*site
	processes map[core.Endpoint]*exec.Cmd
	mu        sync.Mutex
	writes    []write
	stop      context.CancelFunc
	running   sync.WaitGroup
}

// write is one write and what its caller was told.
type write struct {
	key string
	// submission is the key under which the write was submitted, perhaps after
	// others with an unknown outcome; empty for none.
	submission string
	begun      time.Time
	ended      time.Time
	succeeded  bool
	// notRun tells that the caller was told that nothing ran.
	notRun bool
	// ranBefore tells that the caller was told that its submission ran before.
	ranBefore bool
}

func newOutage(t testing.TB, instances int) *outage {
	o := &outage{site: newSite(t), processes: make(map[core.Endpoint]*exec.Cmd)}
	standin, err := buildStandin()
	if err != nil {
		t.Fatal(err)
	}
	names := []core.Endpoint{"e1", "e2", "e3"}
	for _, n := range names {
		o.endpoints[n] = patch.Endpoint{Address: freeAddress(t), DataCentre: "a", Slots: 3, Connections: 40}
		o.controls[n] = freeAddress(t)
	}
	for i, n := range names {
		o.startEndpoint(standin, n, i == 0)
	}
	var first *instance
	for i := range instances {
		p := o.start(fmt.Sprint("i", i), "a")
		if i == 0 {
			first = p
		}
	}
	o.until("first instance answers", func() bool { _, err := first.statusOf(); return err == nil })
	o.submit(first, o.firstPatch())
	o.awaitVersion()
	o.awaitMembers(instances)
	return o
}

func (o *outage) startEndpoint(standin string, n core.Endpoint, primary bool) {
	var peers []string
	for other, control := range o.controls {
		if other != n {
			peers = append(peers, control.String())
		}
	}
	arguments := []string{
		"endpoint", "--name", string(n), "--group", "g", "--listen", o.endpoints[n].Address.String(),
		"--control", o.controls[n].String(), "--peers", strings.Join(peers, ","), "--slots", "3", "--connections", "40",
		"--connect", "10ms", "--delay", "1500us", "--lag", "5ms",
	}
	if primary {
		arguments = append(arguments, "--primary")
	}
	c := exec.Command(standin, arguments...)
	if err := c.Start(); err != nil {
		o.t.Fatal(err)
	}
	o.processes[n] = c
	o.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
}

// load has callers write through every instance until stopped.
func (o *outage) load() {
	ctx, stop := context.WithCancel(context.Background())
	o.stop = stop
	for name, p := range o.instances {
		for i := range writersEach {
			o.running.Go(func() { o.writer(ctx, p.callers, fmt.Sprint(name, "-", i), i%2 == 0) })
		}
	}
}

// writer writes one row after the other. A writer with submissions sends one
// whose outcome is unknown again, under the same key with another row.
func (o *outage) writer(ctx context.Context, address netip.AddrPort, name string, submits bool) {
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
		if submits {
			w.submission = fmt.Sprint(name, "-", n)
		}
		w.run(conn)
		o.mu.Lock()
		o.writes = append(o.writes, w)
		o.mu.Unlock()
		try++
		if !submits || w.succeeded || w.ranBefore {
			n, try = n+1, 0
		}
		time.Sleep(3 * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// run sends the write and notes what came of it.
func (w *write) run(conn *pgx.Conn) {
	comment := fmt.Sprintf("deadline='%s'", writeDeadline)
	if w.submission != "" {
		comment += fmt.Sprintf(",submission='%s'", w.submission)
	}
	w.begun = time.Now()
	_, err := conn.Exec(context.Background(), fmt.Sprintf("INSERT INTO item (key, value) VALUES ('%s', 'x') /*%s*/", w.key, comment))
	w.ended = time.Now()
	var refused *pgconn.PgError
	w.succeeded = err == nil
	if errors.As(err, &refused) {
		w.notRun = strings.HasPrefix(refused.Message, "AT2")
		w.ranBefore = strings.HasPrefix(refused.Message, "AT1001")
	}
}

// put sets faults of an endpoint.
func (o *outage) put(n core.Endpoint, body string) {
	r, err := http.NewRequest(http.MethodPut, "http://"+o.controls[n].String()+"/fault", bytes.NewReader([]byte(body)))
	if err != nil {
		o.t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		o.t.Fatal(err)
	}
	_ = answer.Body.Close()
}

// strike applies a fault to the first primary; the fault is in force when it
// returns.
func (o *outage) strike(fault string) {
	switch fault {
	case "killed":
		_ = o.processes["e1"].Process.Kill()
	case "frozen":
		o.put("e1", `{"freeze":true}`)
	case "half cut":
		o.put("e1", `{"cut_all":true}`)
	case "killed with the platform down":
		o.fault(`{"down":true}`)
		_ = o.processes["e1"].Process.Kill()
	case "killed with an instance paused":
		_ = o.instances["i0"].command.Process.Signal(syscall.SIGSTOP)
		_ = o.processes["e1"].Process.Kill()
	case "restarted":
		o.put("e1", `{"restart":true}`)
	}
}

// gap returns the time from the fault to the first acknowledgement of a write
// that began after it, zero without one.
func (o *outage) gap(struck time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	var gap time.Duration
	for _, w := range o.writes {
		if d := w.ended.Sub(struck); w.succeeded && w.begun.After(struck) && (gap == 0 || d < gap) {
			gap = d
		}
	}
	return gap
}

// isReplaced reports whether there is a primary of a later term.
func (o *outage) isReplaced() bool {
	for _, n := range []core.Endpoint{"e1", "e2", "e3"} {
		if s, err := o.rowsOf(n); err == nil && s.Status.Role == core.RolePrimary && s.Status.Term > 1 {
			return true
		}
	}
	return false
}

func (o *outage) rowsOf(n core.Endpoint) (endpoint.Rows, error) {
	var rows endpoint.Rows
	answer, err := http.Get("http://" + o.controls[n].String() + "/rows")
	if err != nil {
		return rows, err
	}
	defer answer.Body.Close() //nolint:errcheck // Nothing is left to read.
	return rows, json.NewDecoder(answer.Body).Decode(&rows)
}

// judge compares what callers were told with the rows of the last primary.
func (o *outage) judge() (acknowledged, refused, unknown int) {
	o.t.Helper()
	var last endpoint.Rows
	for _, n := range []core.Endpoint{"e1", "e2", "e3"} {
		if rows, err := o.rowsOf(n); err == nil && rows.Status.Role == core.RolePrimary && rows.Status.Term > last.Status.Term {
			last = rows
		}
	}
	rows := make(map[string]int)
	ran := make(map[string]bool)
	for _, w := range o.writes {
		_, found := last.Rows[w.key]
		if found && w.submission != "" {
			rows[w.submission]++
		}
		ran[w.submission] = ran[w.submission] || w.ranBefore
		switch {
		case w.succeeded && !found:
			o.t.Errorf("acknowledged write %s is lost", w.key)
		case w.notRun && found:
			o.t.Errorf("refused write %s ran", w.key)
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
			o.t.Errorf("submission %s ran %d times", submission, n)
		}
	}
	for submission, before := range ran {
		if before && rows[submission] != 1 {
			o.t.Errorf("submission %s is said to have run, and is lost", submission)
		}
	}
	return acknowledged, refused, unknown
}

// trial strikes the primary under load and returns the failover gap.
func trial(t testing.TB, fault string) (*outage, time.Duration) {
	o := newOutage(t, 3)
	o.load()
	o.until("writes", func() bool { return o.gap(time.Time{}) > 0 })
	time.Sleep(300 * time.Millisecond)
	o.strike(fault)
	struck := time.Now()
	o.until("writes after the fault", func() bool { return o.isReplaced() && o.gap(struck) > 0 })
	switch fault {
	case "frozen":
		o.put("e1", `{"freeze":false}`)
	case "killed with an instance paused":
		_ = o.instances["i0"].command.Process.Signal(syscall.SIGCONT)
	}
	time.Sleep(300 * time.Millisecond)
	o.stop()
	o.running.Wait()
	return o, o.gap(struck)
}

func TestFailoverKeepsWrites(t *testing.T) {
	for _, fault := range []string{
		"killed", "frozen", "half cut", "killed with the platform down", "killed with an instance paused", "restarted",
	} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			o, _ := trial(t, fault)
			acknowledged, refused, unknown := o.judge()
			is.True(acknowledged > 0)
			t.Logf("acknowledged %d, refused %d, unknown %d", acknowledged, refused, unknown)
		})
	}
}

// BenchmarkFailover prints the failover gap as callers see it, and its parts as
// the instance that ran the failover logs them.
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
	for i := range trialsEach {
		o, gap := trial(b, fault)
		acknowledged, refused, unknown := o.judge()
		total[0], total[1], total[2] = total[0]+acknowledged, total[1]+refused, total[2]+unknown
		gaps = append(gaps, gap)
		b.Logf("%s %d: gap %v, %s", fault, i, gap.Round(time.Millisecond), o.parts())
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "worst-ms")
	for i, unit := range []string{"acknowledged", "refused", "unknown"} {
		b.ReportMetric(float64(total[i]), unit)
	}
}

// parts returns the parts of the failovers that the instances logged.
func (o *outage) parts() string {
	var parts []string
	for _, p := range o.instances {
		f, err := os.Open(p.log)
		if err != nil {
			o.t.Fatal(err)
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			var l struct {
				Event                               core.Event
				Term                                uint64
				Reason                              string
				Detect, Ask, Fence, Promote, Resume string
			}
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.Event == core.EventFailover {
				parts = append(parts, fmt.Sprintf("term %d %s: detect %s ask %s fence %s promote %s resume %s",
					l.Term, l.Reason, l.Detect, l.Ask, l.Fence, l.Promote, l.Resume))
			}
		}
		_ = f.Close()
	}
	return strings.Join(parts, "; ")
}
