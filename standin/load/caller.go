package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"anviltack/core"
)

const (
	// answerTimeout is how long a caller waits for the answer to a statement.
	answerTimeout = 20 * time.Second
	// connectTimeout bounds the opening and closing of a connection.
	connectTimeout = 5 * time.Second
	// reconnectDelay is the delay between two attempts to connect.
	reconnectDelay = 50 * time.Millisecond
	// maxRetryDelay caps the retry delay that an error states.
	maxRetryDelay = 2 * time.Second
	// statementsPerConnection is the mean number of statements between two
	// reconnects.
	statementsPerConnection = 40
	markParameter           = "anviltack.mark"
	codePrefix              = "AT"
	hintPrefix              = "retry after "
)

// caller is one caller and its session, which continues across connections.
type caller struct {
	load          *Load
	name          string
	database      core.Database
	random        *rand.Rand
	conn          *pgx.Conn
	instanceIndex int
	// mark is the newest mark that an instance reported to the session.
	mark string
	// statementsLeft is the number of statements until the caller moves to
	// another instance.
	statementsLeft int
	// seen holds the newest version of each key that the session read or wrote.
	seen map[string]uint64
}

func (l *Load) newCaller(d core.Database, name string, number uint64) *caller {
	r := l.newRandom(number)
	return &caller{load: l, name: name, database: d, random: r, instanceIndex: r.IntN(len(l.instances)), seen: make(map[string]uint64)}
}

// ensureConnected opens a connection if there is none or if it is time to move
// to another instance; it returns false when the run ends first.
func (c *caller) ensureConnected(ctx context.Context) bool {
	if c.conn != nil && !c.conn.IsClosed() && c.statementsLeft > 0 {
		c.statementsLeft--
		return ctx.Err() == nil
	}
	c.disconnect()
	for ctx.Err() == nil {
		c.instanceIndex = (c.instanceIndex + 1 + c.random.IntN(max(1, len(c.load.instances)-1))) % len(c.load.instances)
		err := c.connect()
		if err == nil {
			return true
		}
		c.load.results.recordConnectFailure(err)
		if !sleep(ctx, reconnectDelay) {
			return false
		}
	}
	return false
}

func (c *caller) connect() error {
	l := c.load
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", l.instances[c.instanceIndex], c.database))
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	config.User, config.Password = l.user, l.password
	if c.mark != "" && c.random.IntN(2) == 0 {
		config.RuntimeParams[markParameter] = c.mark
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	c.conn = conn
	c.statementsLeft = 1 + c.random.IntN(2*statementsPerConnection)
	l.results.recordConnection()
	return nil
}

// disconnect closes the connection; the session continues on the next one.
func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// roundTrip runs one round trip with the simulated network delay in both
// directions.
func (c *caller) roundTrip(run func(context.Context) error) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	started := time.Now()
	time.Sleep(c.load.oneWayDelay)
	err := run(ctx)
	time.Sleep(c.load.oneWayDelay)
	if c.conn != nil && !c.conn.IsClosed() {
		if m := c.conn.PgConn().ParameterStatus(markParameter); m != "" {
			c.mark = m
		}
	}
	c.load.results.recordStatement(err)
	return time.Since(started), err
}

// exec runs a statement that returns no rows.
func (c *caller) exec(sql string, arguments ...any) (pgconn.CommandTag, time.Duration, error) {
	var tag pgconn.CommandTag
	took, err := c.roundTrip(func(ctx context.Context) error {
		var err error
		tag, err = c.conn.Exec(ctx, sql, arguments...)
		return err
	})
	return tag, took, err
}

// read returns the values of one key.
func (c *caller) read(sql, key string) ([]string, time.Duration, error) {
	var values []string
	took, err := c.roundTrip(func(ctx context.Context) error {
		rows, err := c.conn.Query(ctx, sql, key)
		if err != nil {
			return err
		}
		values, err = pgx.CollectRows(rows, pgx.RowTo[string])
		return err
	})
	return values, took, err
}

// outcomeOf returns the outcome of a write that ended with err.
func outcomeOf(err error) Outcome {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return OutcomeAcknowledged
	case !errors.As(err, &e):
		return OutcomeUnknown
	case codeOf(e) == core.CodeAlreadyRan:
		return OutcomeAcknowledged
	case e.Code == core.CodeOutcomeUnknown.SQLState():
		return OutcomeUnknown
	}
	return OutcomeRefused
}

// codeOf returns the numbered code of an error, or zero if it has none.
func codeOf(e *pgconn.PgError) core.Code {
	var code core.Code
	if _, err := fmt.Sscanf(e.Message, codePrefix+"%d:", &code); err != nil {
		return 0
	}
	return code
}

// retryAfter returns the retry delay that an error states, or reconnectDelay if
// it states none.
func retryAfter(err error) time.Duration {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return reconnectDelay
	}
	text, found := strings.CutPrefix(e.Hint, hintPrefix)
	if !found {
		return reconnectDelay
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return reconnectDelay
	}
	return min(d, maxRetryDelay)
}
