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
	loadWork     = 5 * time.Millisecond
	loadDeadline = 250 * time.Millisecond
	loadCallers  = 400
	loadWindow   = 100 * time.Millisecond
)

// outcome is what one write came to.
type outcome struct {
	key    string
	sentAt time.Time
	took   time.Duration
	err    error
}

func (o outcome) ran() bool { return o.err == nil }

// refused reports whether the answer promises that the write did not run.
func (o outcome) refused() bool {
	var e *pgconn.PgError
	return errors.As(o.err, &e) && strings.HasPrefix(e.Message, "AT2")
}

// callers are connections that take turns at sending writes.
type callers struct {
	site *site
	free chan *pgx.Conn
	mu   sync.Mutex
	sent int
	all  []outcome
	busy int
	wait sync.WaitGroup
}

func newCallers(ctx context.Context, s *site, n int) *callers {
	c := &callers{site: s, free: make(chan *pgx.Conn, n)}
	var names []string
	for name := range s.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	for i := range n {
		c.free <- s.mustConnect(ctx, s.instances[names[i%len(names)]])
	}
	return c
}

// write sends one write over a free connection; without one it is not sent.
func (c *callers) write(ctx context.Context) {
	select {
	case conn := <-c.free:
		c.wait.Go(func() {
			c.send(ctx, conn)
			c.free <- conn
		})
	default:
		c.mu.Lock()
		c.busy++
		c.mu.Unlock()
	}
}

func (c *callers) send(ctx context.Context, conn *pgx.Conn) outcome {
	c.mu.Lock()
	c.sent++
	key := fmt.Sprint("k", c.sent)
	c.mu.Unlock()
	o := outcome{key: key, sentAt: time.Now()}
	_, o.err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO item (key, value) VALUES ('%s', '1') /*deadline='%s'*/", key, loadDeadline), pgx.QueryExecModeSimpleProtocol)
	o.took = time.Since(o.sentAt)
	c.mu.Lock()
	c.all = append(c.all, o)
	c.mu.Unlock()
	return o
}

// take returns the outcomes since the last call.
func (c *callers) take() []outcome {
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.all
	c.all, c.busy = nil, 0
	return all
}

// warm waits until a write succeeds on every instance.
func (c *callers) warm(ctx context.Context) {
	for range cap(c.free) {
		conn := <-c.free
		for c.send(ctx, conn).err != nil {
			time.Sleep(loadWindow)
		}
		c.free <- conn
	}
}

// closed runs n callers without pause and returns the writes a second.
func (c *callers) closed(ctx context.Context, n int, length time.Duration) float64 {
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
	return rate(c.take(), length)
}

// open sends writes at a steady rate whatever becomes of them.
func (c *callers) open(ctx context.Context, perSecond float64, length time.Duration) {
	start := time.Now()
	for sent := 0; time.Since(start) < length; time.Sleep(time.Millisecond) {
		for due := int(time.Since(start).Seconds() * perSecond); sent < due; sent++ {
			c.write(ctx)
		}
	}
}

func rate(all []outcome, length time.Duration) float64 {
	n := 0
	for _, o := range all {
		if o.ran() {
			n++
		}
	}
	return float64(n) / length.Seconds()
}

// percentile returns a percentile of the time that successful writes took.
func percentile(all []outcome, p int) time.Duration {
	var took []time.Duration
	for _, o := range all {
		if o.ran() {
			took = append(took, o.took)
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[(len(took)-1)*p/100]
}

// settled returns how long after a time the last window began in which a write
// failed or the median was above the limit.
func settled(all []outcome, since time.Time, limit time.Duration) time.Duration {
	windows := make(map[int][]outcome)
	last := 0
	for _, o := range all {
		w := int(o.sentAt.Sub(since) / loadWindow)
		windows[w] = append(windows[w], o)
		if !o.ran() {
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

func describe(all []outcome) string {
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

func (s *site) stats(name core.Endpoint) endpoint.Stats {
	var got endpoint.Stats
	s.control1(name, "/stats", &got)
	return got
}

func (s *site) control1(name core.Endpoint, page string, into any) {
	s.t.Helper()
	answer, err := http.Get("http://" + s.controls[name].String() + page)
	if err != nil {
		s.t.Fatal(err)
	}
	defer answer.Body.Close() //nolint:errcheck // Only read from.
	if err := json.NewDecoder(answer.Body).Decode(into); err != nil {
		s.t.Fatal(err)
	}
}

// judge checks every outcome against the rows of the primary.
func (s *site) judge(all []outcome) {
	s.t.Helper()
	var rows endpoint.Rows
	s.control1("e1", "/rows", &rows)
	for _, o := range all {
		_, there := rows.Rows[o.key]
		if o.ran() && !there {
			s.t.Errorf("write %s was acknowledged and is not there", o.key)
		}
		if o.refused() && there {
			s.t.Errorf("write %s was refused and ran", o.key)
		}
	}
}

func (s *site) startAll(n int, more ...endpoint.Option) {
	s.startEndpoints(more...)
	for i := range n {
		s.start(fmt.Sprint("i", i), "a")
	}
	s.awaitMembers(n)
	s.submit(s.instances["i0"], s.firstPatch())
	s.awaitVersion()
}

// BenchmarkOverload offers one and three times the capacity of a primary with 3
// slots behind 4 instances, and then half of it. It prints what is measured by
// the clock and fails only for a broken promise.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*patience)
		s := newSite(b)
		s.startAll(4, endpoint.WithServiceTime(loadWork))
		c := newCallers(ctx, s, loadCallers)
		var judged []outcome
		c.warm(ctx)
		judged = append(judged, c.take()...)
		capacity := c.closed(ctx, 24, 5*time.Second)
		c.open(ctx, capacity/2, 3*time.Second)
		normal := c.take()
		report := func(name string, load float64, all []outcome, length time.Duration) {
			b.Logf("%-10s offered %6.0f/s goodput %6.0f/s p50 %s p99 %s %s", name, load, rate(all, length),
				percentile(all, 50).Round(time.Millisecond/10), percentile(all, 99).Round(time.Millisecond/10), describe(all))
			judged = append(judged, all...)
		}
		report("half", capacity/2, normal, 3*time.Second)
		c.open(ctx, capacity, 5*time.Second)
		report("capacity", capacity, c.take(), 5*time.Second)
		c.open(ctx, 3*capacity, 6*time.Second)
		c.mu.Lock()
		skipped := c.busy
		c.mu.Unlock()
		ended := time.Now()
		c.open(ctx, capacity/2, 4*time.Second)
		all := c.take()
		slices.SortFunc(all, func(a, b outcome) int { return a.sentAt.Compare(b.sentAt) })
		split := slices.IndexFunc(all, func(o outcome) bool { return o.sentAt.After(ended) })
		report("3 times", 3*capacity, all[:split], 6*time.Second)
		report("afterwards", capacity/2, all[split:], 4*time.Second)
		b.Logf("normal %s after the overload, %d writes not sent for want of a free caller", settled(all[split:], ended, 2*percentile(normal, 50)), skipped)
		b.Logf("closed loop of 24 callers %.0f/s, at the primary %+v", capacity, s.stats("e1"))
		s.judge(judged)
		cancel()
	}
}

// BenchmarkStorm kills one of 4 instances under 200 callers, a quarter of whom
// connect again at once, and prints how long it takes until each is answered.
func BenchmarkStorm(b *testing.B) {
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*patience)
		s := newSite(b)
		s.connections = 20
		s.startAll(4, endpoint.WithConnectDelay(10*time.Millisecond))
		c := newCallers(ctx, s, 150)
		var doomed []*pgx.Conn
		for range 50 {
			doomed = append(doomed, s.mustConnect(ctx, s.instances["i3"]))
		}
		c.warm(ctx)
		c.open(ctx, 200, 3*time.Second)
		before := c.take()
		s.kill(s.instances["i3"])
		killed := time.Now()
		first := make(chan time.Duration, len(doomed))
		for i, old := range doomed {
			go func() {
				_ = old.Close(ctx)
				for {
					conn, err := s.connect(ctx, s.instances[fmt.Sprint("i", i%3)])
					if err == nil {
						o := c.send(ctx, conn)
						if o.ran() {
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
		c.open(ctx, 1, 100*time.Millisecond)
		var took []time.Duration
		for range doomed {
			took = append(took, <-first)
		}
		slices.Sort(took)
		all := append(before, c.take()...)
		b.Logf("callers answered again: half after %s, all after %s; %s", took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), describe(all))
		for _, e := range []core.Endpoint{"e1", "e2", "e3"} {
			got := s.stats(e)
			b.Logf("%s: most connections %d of %d, %d refused", e, got.ConnectionsMost, s.connections, got.Refusals)
			if got.ConnectionsMost > s.connections || got.Refusals > 0 {
				b.Errorf("%s had too many connections", e)
			}
		}
		s.judge(all)
		cancel()
	}
}
