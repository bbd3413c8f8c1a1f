package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
)

// statementKind tells reads from writes in the latencies.
type statementKind string

const (
	kindRead  statementKind = "read"
	kindWrite statementKind = "write"
)

// brokenKind names a promise that was broken.
type brokenKind string

const (
	brokenLost       brokenKind = "lost"
	brokenDoubled    brokenKind = "doubled"
	brokenAge        brokenKind = "older than its kind's age"
	brokenSession    brokenKind = "older than the session saw"
	brokenCrossed    brokenKind = "crossed"
	brokenRefused    brokenKind = "ran though refused"
	brokenTorn       brokenKind = "torn transactions"
	brokenUnanswered brokenKind = "unanswered"
	brokenLeaderless brokenKind = "no primary at the end"
)

// Bounds of what is kept.
const (
	maxExamples   = 20
	histogramMost = 60_000_000
	histogramKeep = 3
)

// tally counts answers while the callers run.
type tally struct {
	mu          sync.Mutex
	statements  int
	connections int
	refusals    map[string]int
	// first holds the first error of each code.
	first     map[string]string
	failures  map[brokenKind]int
	examples  []string
	latencies map[statementKind]*hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		refusals: make(map[string]int),
		first:    make(map[string]string),
		failures: make(map[brokenKind]int),
		latencies: map[statementKind]*hdrhistogram.Histogram{
			kindRead:  hdrhistogram.New(1, histogramMost, histogramKeep),
			kindWrite: hdrhistogram.New(1, histogramMost, histogramKeep),
		},
	}
}

// statement counts one statement and its error.
func (t *tally) statement(err error) {
	t.mu.Lock()
	t.statements++
	t.refuse(err)
	t.mu.Unlock()
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		t.broken(brokenUnanswered, "no answer within %s", answerLimit)
	case isMisplaced(err):
		t.broken(brokenCrossed, "answer out of place: %v", err)
	}
}

// isMisplaced reports whether the driver failed for messages that do not belong
// to its request, and not for an error answer or a lost connection.
func isMisplaced(err error) bool {
	var server *pgconn.PgError
	var network net.Error
	switch {
	case err == nil, pgconn.SafeToRetry(err), errors.As(err, &server), errors.As(err, &network):
		return false
	}
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed)
}

func (t *tally) connected() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections++
}

// connectFailed counts a connection that did not open.
func (t *tally) connectFailed(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e *pgconn.PgError
	if errors.As(err, &e) {
		t.refuse(err)
		return
	}
	t.add("no connection", err)
}

// refuse counts an error by its code; t.mu is held.
func (t *tally) refuse(err error) {
	var e *pgconn.PgError
	switch {
	case err == nil:
	case !errors.As(err, &e):
		t.add("connection lost", err)
	case codeOf(e) != 0:
		t.add(fmt.Sprintf("%s%d", codePrefix, codeOf(e)), err)
	default:
		t.add("SQLSTATE "+e.Code, err)
	}
}

// add counts an error under a name; t.mu is held.
func (t *tally) add(name string, err error) {
	t.refusals[name]++
	if t.refusals[name] == 1 {
		t.first[name] = err.Error()
	}
}

// took records the latency of one answered statement.
func (t *tally) took(k statementKind, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.latencies[k].RecordValue(d.Microseconds())
}

// broken counts a broken promise and keeps the first examples.
func (t *tally) broken(k brokenKind, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures[k]++
	if len(t.examples) < maxExamples {
		t.examples = append(t.examples, string(k)+": "+fmt.Sprintf(format, args...))
	}
}
