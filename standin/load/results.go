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

// statementKind separates reads and writes in the latencies.
type statementKind string

const (
	kindRead  statementKind = "read"
	kindWrite statementKind = "write"
)

// violationKind is the name of a violated guarantee.
type violationKind string

const (
	violationLost             violationKind = "lost"
	violationDuplicated       violationKind = "doubled"
	violationStaleAge         violationKind = "older than its kind's age"
	violationStaleSession     violationKind = "older than the session saw"
	violationCrossed          violationKind = "crossed"
	violationRanThoughRefused violationKind = "ran though refused"
	violationTorn             violationKind = "torn transactions"
	violationUnanswered       violationKind = "unanswered"
	violationNoPrimary        violationKind = "no primary at the end"
)

// Bounds of the recorded examples and latencies.
const (
	maxExamples                 = 20
	histogramMaxMicroseconds    = 60_000_000
	histogramSignificantFigures = 3
)

// results collects the outcomes of statements while the callers run.
type results struct {
	mu          sync.Mutex
	statements  int
	connections int
	refusals    map[string]int
	// firstErrors holds the text of the first error of each code.
	firstErrors map[string]string
	violations  map[violationKind]int
	examples    []string
	latencies   map[statementKind]*hdrhistogram.Histogram
}

func newResults() *results {
	return &results{
		refusals:    make(map[string]int),
		firstErrors: make(map[string]string),
		violations:  make(map[violationKind]int),
		latencies: map[statementKind]*hdrhistogram.Histogram{
			kindRead:  hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantFigures),
			kindWrite: hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantFigures),
		},
	}
}

// recordStatement counts one statement and its error.
func (r *results) recordStatement(err error) {
	r.mu.Lock()
	r.statements++
	r.recordError(err)
	r.mu.Unlock()
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		r.recordViolation(violationUnanswered, "no answer within %s", answerTimeout)
	case isProtocolError(err):
		r.recordViolation(violationCrossed, "answer does not belong to the request: %v", err)
	}
}

// isProtocolError reports whether the driver received messages that do not
// belong to its request, as opposed to an error response or a lost connection.
func isProtocolError(err error) bool {
	var errorResponse *pgconn.PgError
	var networkError net.Error
	switch {
	case err == nil, pgconn.SafeToRetry(err), errors.As(err, &errorResponse), errors.As(err, &networkError):
		return false
	}
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed)
}

func (r *results) recordConnection() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections++
}

// recordConnectFailure counts a failed attempt to connect.
func (r *results) recordConnectFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var e *pgconn.PgError
	if errors.As(err, &e) {
		r.recordError(err)
		return
	}
	r.countError("no connection", err)
}

// recordError counts an error by its code; r.mu must be held.
func (r *results) recordError(err error) {
	var e *pgconn.PgError
	switch {
	case err == nil:
	case !errors.As(err, &e):
		r.countError("connection lost", err)
	case codeOf(e) != 0:
		r.countError(fmt.Sprintf("%s%d", codePrefix, codeOf(e)), err)
	default:
		r.countError("SQLSTATE "+e.Code, err)
	}
}

// countError counts an error under a name; r.mu must be held.
func (r *results) countError(name string, err error) {
	r.refusals[name]++
	if r.refusals[name] == 1 {
		r.firstErrors[name] = err.Error()
	}
}

// recordLatency records the latency of one answered statement.
func (r *results) recordLatency(k statementKind, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.latencies[k].RecordValue(d.Microseconds())
}

// recordViolation counts a violated guarantee and keeps the first maxExamples
// descriptions.
func (r *results) recordViolation(k violationKind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations[k]++
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, string(k)+": "+fmt.Sprintf(format, args...))
	}
}
