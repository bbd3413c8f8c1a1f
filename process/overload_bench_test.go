package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"anviltack/core"
	"anviltack/standin/endpoint"
)

const (
	loadServiceTime = 5 * time.Millisecond
	loadDeadline    = 250 * time.Millisecond
	loadCallers     = 400
	// loadWindow is the length of the windows of recoveryTime.
	loadWindow = 100 * time.Millisecond
)

// outcome is the result of one write.
type outcome struct {
	key     string
	sentAt  time.Time
	latency time.Duration
	err     error
}

func (o outcome) succeeded() bool { return o.err == nil }

// refused reports whether the error promises that the write did not run.
func (o outcome) refused() bool {
	var e *pgconn.PgError
	return errors.As(o.err, &e) && strings.HasPrefix(e.Message, "AT2")
}

// callerPool sends writes over a fixed set of connections and records their
// outcomes.
type callerPool struct {
	harness  *harness
	free     chan *pgx.Conn
	mu       sync.Mutex
	sent     int
	outcomes []outcome
	skipped  int
	inFlight sync.WaitGroup
}

func newCallerPool(ctx context.Context, h *harness, n int) *callerPool {
	c := &callerPool{harness: h, free: make(chan *pgx.Conn, n)}
	var names []string
	for name := range h.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	for i := range n {
		c.free <- h.mustConnect(ctx, h.instances[names[i%len(names)]])
	}
	return c
}

// sendIfFree sends one write over a free connection; without one it counts the
// write as skipped.
func (c *callerPool) sendIfFree(ctx context.Context) {
	select {
	case conn := <-c.free:
		c.inFlight.Go(func() {
			c.send(ctx, conn)
			c.free <- conn
		})
	default:
		c.mu.Lock()
		c.skipped++
		c.mu.Unlock()
	}
}

func (c *callerPool) send(ctx context.Context, conn *pgx.Conn) outcome {
	c.mu.Lock()
	c.sent++
	key := fmt.Sprint("k", c.sent)
	c.mu.Unlock()
	o := outcome{key: key, sentAt: time.Now()}
	_, o.err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO item (key, value) VALUES ('%s', '1') /*deadline='%s'*/", key, loadDeadline), pgx.QueryExecModeSimpleProtocol)
	o.latency = time.Since(o.sentAt)
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	return o
}

// takeOutcomes waits for the writes in flight and returns the outcomes since the
// last call.
func (c *callerPool) takeOutcomes() []outcome {
	c.inFlight.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.outcomes
	c.outcomes, c.skipped = nil, 0
	return all
}

// warmUp waits until a write has succeeded on every connection.
func (c *callerPool) warmUp(ctx context.Context) {
	for range cap(c.free) {
		conn := <-c.free
		for c.send(ctx, conn).err != nil {
			time.Sleep(loadWindow)
		}
		c.free <- conn
	}
}

// runClosedLoop has n callers send writes back to back and returns the goodput.
func (c *callerPool) runClosedLoop(ctx context.Context, n int, length time.Duration) float64 {
	end := time.Now().Add(length)
	var group sync.WaitGroup
	for range n {
		conn := <-c.free
		group.Go(func() {
			for time.Now().Before(end) {
				c.send(ctx, conn)
			}
			c.free <- conn
		})
	}
	group.Wait()
	return goodput(c.takeOutcomes(), length)
}

// runOpenLoop sends writes at a steady rate, whether or not earlier ones have been
// answered.
func (c *callerPool) runOpenLoop(ctx context.Context, perSecond float64, length time.Duration) {
	start := time.Now()
	for sent := 0; time.Since(start) < length; time.Sleep(time.Millisecond) {
		for due := int(time.Since(start).Seconds() * perSecond); sent < due; sent++ {
			c.sendIfFree(ctx)
		}
	}
}

// goodput returns the successful writes per second.
func goodput(all []outcome, length time.Duration) float64 {
	n := 0
	for _, o := range all {
		if o.succeeded() {
			n++
		}
	}
	return float64(n) / length.Seconds()
}

// percentile returns a percentile of the latency of successful writes.
func percentile(all []outcome, p int) time.Duration {
	var latencies []time.Duration
	for _, o := range all {
		if o.succeeded() {
			latencies = append(latencies, o.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)*p/100]
}

// recoveryTime returns the time from since to the end of the last window in which
// a write failed or the median latency was above the limit.
func recoveryTime(all []outcome, since time.Time, limit time.Duration) time.Duration {
	windows := make(map[int][]outcome)
	last := 0
	for _, o := range all {
		w := int(o.sentAt.Sub(since) / loadWindow)
		windows[w] = append(windows[w], o)
		if !o.succeeded() {
			last = max(last, w+1)
		}
	}
	for w, outcomes := range windows {
		if percentile(outcomes, 50) > limit {
			last = max(last, w+1)
		}
	}
	return time.Duration(last) * loadWindow
}

// countAnswers describes how often each answer occurred.
func countAnswers(all []outcome) string {
	counts := make(map[string]int)
	for _, o := range all {
		text := "acknowledged"
		var e *pgconn.PgError
		if errors.As(o.err, &e) {
			text = e.Message[:min(6, len(e.Message))]
		} else if o.err != nil {
			text = "no answer"
		}
		counts[text]++
	}
	return fmt.Sprint(counts)
}

func (h *harness) stats(name core.Endpoint) endpoint.Stats {
	var got endpoint.Stats
	h.readControl(name, "/stats", &got)
	return got
}

func (h *harness) readControl(name core.Endpoint, path string, into any) {
	h.t.Helper()
	response, err := http.Get("http://" + h.controls[name].String() + path)
	if err != nil {
		h.t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // The body is only read.
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		h.t.Fatal(err)
	}
}

// checkOutcomes checks every outcome against the rows of the first primary.
func (h *harness) checkOutcomes(all []outcome) {
	h.t.Helper()
	var rows endpoint.Rows
	h.readControl("e1", "/rows", &rows)
	for _, o := range all {
		_, found := rows.Rows[o.key]
		if o.succeeded() && !found {
			h.t.Errorf("write %s was acknowledged and is lost", o.key)
		}
		if o.refused() && found {
			h.t.Errorf("write %s was refused and ran", o.key)
		}
	}
}

// startAll starts the endpoints and n instances with a first configuration.
func (h *harness) startAll(n int, more ...endpoint.Option) {
	h.startEndpoints(more...)
	for i := range n {
		h.startInstance(fmt.Sprint("i", i), "a")
	}
	h.awaitInstances(n)
	h.submit(h.instances["i0"], h.firstPatch())
	h.awaitVersion()
}

// BenchmarkOverload offers half, one and three times the capacity of a primary
// with 3 slots behind 4 instances, and then half of it again. It prints the
// timings, and fails only if an acknowledged write is lost or a refused one ran.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*timeout)
		h := newHarness(b)
		h.startAll(4, endpoint.WithServiceTime(loadServiceTime))
		c := newCallerPool(ctx, h, loadCallers)
		var checked []outcome
		c.warmUp(ctx)
		checked = append(checked, c.takeOutcomes()...)
		capacity := c.runClosedLoop(ctx, 24, 5*time.Second)
		c.runOpenLoop(ctx, capacity/2, 3*time.Second)
		normal := c.takeOutcomes()
		report := func(name string, load float64, all []outcome, length time.Duration) {
			b.Logf("%-10s offered %6.0f/s goodput %6.0f/s p50 %s p99 %s %s", name, load, goodput(all, length),
				percentile(all, 50).Round(time.Millisecond/10), percentile(all, 99).Round(time.Millisecond/10), countAnswers(all))
			checked = append(checked, all...)
		}
		report("half", capacity/2, normal, 3*time.Second)
		c.runOpenLoop(ctx, capacity, 5*time.Second)
		report("capacity", capacity, c.takeOutcomes(), 5*time.Second)
		c.runOpenLoop(ctx, 3*capacity, 6*time.Second)
		c.mu.Lock()
		skipped := c.skipped
		c.mu.Unlock()
		ended := time.Now()
		c.runOpenLoop(ctx, capacity/2, 4*time.Second)
		all := c.takeOutcomes()
		slices.SortFunc(all, func(a, b outcome) int { return a.sentAt.Compare(b.sentAt) })
		split := slices.IndexFunc(all, func(o outcome) bool { return o.sentAt.After(ended) })
		report("3 times", 3*capacity, all[:split], 6*time.Second)
		report("afterwards", capacity/2, all[split:], 4*time.Second)
		b.Logf("normal %s after the overload, %d writes not sent for want of a free caller", recoveryTime(all[split:], ended, 2*percentile(normal, 50)), skipped)
		b.Logf("closed loop of 24 callers %.0f/s, at the primary %+v", capacity, h.stats("e1"))
		h.checkOutcomes(checked)
		cancel()
	}
}

// BenchmarkStorm kills one of 4 instances under 200 callers, a quarter of which
// reconnect at once to the other instances, and prints the time until a write of
// each has succeeded. It fails if an endpoint gets more connections than it
// accepts, an acknowledged write is lost or a refused one ran.
func BenchmarkStorm(b *testing.B) {
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*timeout)
		h := newHarness(b)
		h.connections = 20
		h.startAll(4, endpoint.WithConnectDelay(10*time.Millisecond))
		c := newCallerPool(ctx, h, 150)
		var reconnecting []*pgx.Conn
		for range 50 {
			reconnecting = append(reconnecting, h.mustConnect(ctx, h.instances["i3"]))
		}
		c.warmUp(ctx)
		c.runOpenLoop(ctx, 200, 3*time.Second)
		before := c.takeOutcomes()
		h.kill(h.instances["i3"])
		killed := time.Now()
		first := make(chan time.Duration, len(reconnecting))
		for i, old := range reconnecting {
			go func() {
				_ = old.Close(ctx)
				for {
					conn, err := h.connect(ctx, h.instances[fmt.Sprint("i", i%3)])
					if err == nil {
						o := c.send(ctx, conn)
						if o.succeeded() {
							first <- time.Since(killed)
							c.free <- conn
							return
						}
						_ = conn.Close(ctx)
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
		c.free = make(chan *pgx.Conn, loadCallers)
		c.runOpenLoop(ctx, 1, 100*time.Millisecond)
		var reconnectTimes []time.Duration
		for range reconnecting {
			reconnectTimes = append(reconnectTimes, <-first)
		}
		slices.Sort(reconnectTimes)
		all := append(before, c.takeOutcomes()...)
		b.Logf("callers answered again: half after %s, all after %s; %s", reconnectTimes[len(reconnectTimes)/2].Round(time.Millisecond), reconnectTimes[len(reconnectTimes)-1].Round(time.Millisecond), countAnswers(all))
		for _, e := range []core.Endpoint{"e1", "e2", "e3"} {
			got := h.stats(e)
			b.Logf("%s: most connections %d of %d, %d refused", e, got.PeakConnections, h.connections, got.Refusals)
			if got.PeakConnections > h.connections || got.Refusals > 0 {
				b.Errorf("%s had too many connections", e)
			}
		}
		h.checkOutcomes(all)
		cancel()
	}
}
