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
	// answerLimit is when a caller gives a statement up as unanswered.
	answerLimit = 20 * time.Second
	// connectLimit bounds the opening of a connection.
	connectLimit = 5 * time.Second
	// connectPause is the time between two attempts to connect.
	connectPause = 50 * time.Millisecond
	// retryLimit bounds the retry time that a refusal states.
	retryLimit = 2 * time.Second
	// roamEvery is the mean count of statements between two reconnects.
	roamEvery     = 40
	markParameter = "anviltack.mark"
	codePrefix    = "AT"
	hintPrefix    = "retry after "
)

// client is one caller's session, which lives on over many connections.
type client struct {
	load     *Load
	name     string
	database core.Database
	random   *rand.Rand
	conn     *pgx.Conn
	entry    int
	// mark is the newest mark that the session was told.
	mark string
	// left counts the statements until the session roams.
	left int
	// seen holds the newest version of each key that the session read or wrote.
	seen map[string]uint64
}

func (l *Load) newClient(d core.Database, name string, number uint64) *client {
	r := l.random(number)
	return &client{load: l, name: name, database: d, random: r, entry: r.IntN(len(l.entries)), seen: make(map[string]uint64)}
}

// ready makes sure of a connection, at another instance when it is time to
// roam; it returns false when the run ends first.
func (c *client) ready(ctx context.Context) bool {
	if c.conn != nil && !c.conn.IsClosed() && c.left > 0 {
		c.left--
		return ctx.Err() == nil
	}
	c.leave()
	for ctx.Err() == nil {
		c.entry = (c.entry + 1 + c.random.IntN(max(1, len(c.load.entries)-1))) % len(c.load.entries)
		err := c.connect()
		if err == nil {
			return true
		}
		c.load.tally.connectFailed(err)
		if !pause(ctx, connectPause) {
			return false
		}
	}
	return false
}

func (c *client) connect() error {
	l := c.load
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", l.entries[c.entry], c.database))
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	config.User, config.Password = l.user, l.password
	if c.mark != "" && c.random.IntN(2) == 0 {
		config.RuntimeParams[markParameter] = c.mark
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectLimit)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	c.conn = conn
	c.left = 1 + c.random.IntN(2*roamEvery)
	l.tally.connected()
	return nil
}

// leave ends the connection; the session itself goes on.
func (c *client) leave() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectLimit)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// do runs one round trip with the simulated way to the instance and back.
func (c *client) do(run func(context.Context) error) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	started := time.Now()
	time.Sleep(c.load.oneWay)
	err := run(ctx)
	time.Sleep(c.load.oneWay)
	if c.conn != nil && !c.conn.IsClosed() {
		if m := c.conn.PgConn().ParameterStatus(markParameter); m != "" {
			c.mark = m
		}
	}
	c.load.tally.statement(err)
	return time.Since(started), err
}

// exec runs a statement without rows.
func (c *client) exec(sql string, arguments ...any) (pgconn.CommandTag, time.Duration, error) {
	var tag pgconn.CommandTag
	took, err := c.do(func(ctx context.Context) error {
		var err error
		tag, err = c.conn.Exec(ctx, sql, arguments...)
		return err
	})
	return tag, took, err
}

// read returns the values of one key.
func (c *client) read(sql, key string) ([]string, time.Duration, error) {
	var values []string
	took, err := c.do(func(ctx context.Context) error {
		rows, err := c.conn.Query(ctx, sql, key)
		if err != nil {
			return err
		}
		values, err = pgx.CollectRows(rows, pgx.RowTo[string])
		return err
	})
	return values, took, err
}

// outcomeOf tells what an error says of a write.
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

// codeOf returns the numbered code of an error, zero when it has none.
func codeOf(e *pgconn.PgError) core.Code {
	var code core.Code
	if _, err := fmt.Sscanf(e.Message, codePrefix+"%d:", &code); err != nil {
		return 0
	}
	return code
}

// retryAfter returns the retry time that an error states, or a short default.
func retryAfter(err error) time.Duration {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return connectPause
	}
	text, found := strings.CutPrefix(e.Hint, hintPrefix)
	if !found {
		return connectPause
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return connectPause
	}
	return min(d, retryLimit)
}
