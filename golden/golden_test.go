package golden

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5/pgconn"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/standin/endpoint"
	"anviltack/standin/harness"
)

func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := script{Harness: harness.New(t), running: make(map[string]chan string)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.SetTest(t)
			return s.command(d)
		})
	})
}

// script runs the commands of one golden file.
type script struct {
	*harness.Harness
	// running holds the results of statements that run in the background, by
	// session.
	running map[string]chan string
}

// begin runs statements in the background; the command await returns their
// results.
func (s script) begin(session, input string) {
	done := make(chan string, 1)
	s.running[session] = done
	go func() { done <- s.exec(session, input) }()
}

// cancel sends cancel requests for a session until its statement ends, and
// returns the statement's result.
func (s script) cancel(session string) string {
	conn := s.Sessions[session].PgConn()
	for {
		ctx, stop := context.WithTimeout(context.Background(), harness.Timeout)
		err := conn.CancelRequest(ctx)
		stop()
		if err != nil {
			return err.Error()
		}
		select {
		case result := <-s.running[session]:
			return result + "\n"
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// send sends bytes, written as hexadecimal digits, to an instance and returns
// the error codes that it answers before it closes the connection.
func (s script) send(instance, input string) string {
	b, err := hex.DecodeString(strings.Join(strings.Fields(input), ""))
	if err != nil {
		return err.Error()
	}
	c, err := net.Dial("tcp", s.CallerAddress(instance).String())
	if err != nil {
		return err.Error()
	}
	defer c.Close() //nolint:errcheck // The connection is not used again.
	if _, err := c.Write(b); err != nil {
		return err.Error()
	}
	if err := c.SetReadDeadline(time.Now().Add(harness.Timeout)); err != nil {
		return err.Error()
	}
	answer, _ := io.ReadAll(c)
	codes := regexp.MustCompile("AT[0-9]{4}").FindAllString(string(answer), -1)
	return strings.Join(append(codes, "closed"), " ") + "\n"
}

// command runs one command of a script and returns its output.
func (s script) command(d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		return s.commandStart(d)
	case "connect":
		return s.commandConnect(d) + "\n"
	case "exec":
		return s.exec(argument(d, "session"), d.Input) + "\n"
	case "begin":
		s.begin(argument(d, "session"), d.Input)
		return ""
	case "await":
		return <-s.running[argument(d, "session")] + "\n"
	case "cancel":
		return s.cancel(argument(d, "session"))
	case "send":
		return s.send(argument(d, "instance"), d.Input)
	case "fault":
		s.InjectFault(argument(d, "endpoint"), d.Input)
		return ""
	case "kill":
		return s.commandKill(d)
	case "revoke":
		s.revoke(core.Caller(argument(d, "user")), argument(d, "instance"))
		return ""
	case "remove-group":
		s.removeGroup(argument(d, "instance"))
		return ""
	case "await-busy":
		s.WaitFor("connections in use", func() bool {
			return strconv.Itoa(s.BusyConnections(argument(d, "instance"))) == argument(d, "count")
		})
		return ""
	case "await-primary":
		previous := argument(d, "not")
		s.WaitFor("a new primary", func() bool { p := s.Primary(); return p != "" && p != previous })
		return "there is a new primary\n"
	case "await-rows":
		return s.commandAwaitRows(d)
	case "await-applied":
		s.awaitApplied(argument(d, "endpoint"))
		return ""
	case "rows":
		return s.rows(s.Primary())
	}
	return "unknown command " + d.Cmd + "\n"
}

func (s script) commandStart(d *datadriven.TestData) string {
	instances, err := strconv.Atoi(argument(d, "instances"))
	if err != nil {
		return err.Error()
	}
	lag, _ := time.ParseDuration(argument(d, "lag"))
	if idle, err := time.ParseDuration(argument(d, "transaction-idle")); err == nil {
		s.Limits = patch.Limits{TransactionIdle: patch.Duration(idle)}
	}
	s.Start(instances, lag)
	return ""
}

func (s script) commandConnect(d *datadriven.TestData) string {
	parameters := make(map[string]string)
	if from := argument(d, "mark-of"); from != "" {
		parameters["anviltack.mark"] = s.Sessions[from].PgConn().ParameterStatus("anviltack.mark")
	}
	if mark := argument(d, "mark"); mark != "" {
		parameters["anviltack.mark"] = mark
	}
	user := argument(d, "user")
	if user == "" {
		user = "valuer"
	}
	if err := s.Connect(argument(d, "session"), user, argument(d, "instance"), parameters); err != nil {
		return describe(err)
	}
	return "connected"
}

// revoke removes a caller from the configuration and waits until an instance
// rejects it.
func (s script) revoke(user core.Caller, instance string) {
	c := s.Config
	c.Callers = maps.Clone(c.Callers)
	delete(c.Callers, user)
	s.Configure(c)
	s.WaitFor("the caller is unknown", func() bool { return s.Connect("revoked", string(user), instance, nil) != nil })
}

// removeGroup removes the group and its database from the configuration and waits until an instance
// rejects new sessions.
func (s script) removeGroup(instance string) {
	c := s.Config
	c.Groups, c.Databases = nil, nil
	s.Configure(c)
	s.WaitFor("the database is unknown", func() bool { return s.Connect("removed", "valuer", instance, nil) != nil })
}

// commandKill kills an endpoint or an instance.
func (s script) commandKill(d *datadriven.TestData) string {
	if name := argument(d, "endpoint"); name != "" {
		s.KillEndpoint(name)
	}
	if name := argument(d, "instance"); name != "" {
		s.KillInstance(name)
	}
	return ""
}

// commandAwaitRows waits until every endpoint holds the primary's rows.
func (s script) commandAwaitRows(*datadriven.TestData) string {
	want := s.rows(s.Primary())
	for _, name := range s.Endpoints() {
		s.WaitFor("rows on "+name, func() bool { return s.rows(name) == want })
	}
	return ""
}

// awaitApplied waits until everything visible on the primary is visible on an
// endpoint.
func (s script) awaitApplied(name string) {
	var primaryStats, stats endpoint.Stats
	if err := s.GetControl(s.Primary(), "/stats", &primaryStats); err != nil {
		return
	}
	s.WaitFor(name+" applied the log", func() bool {
		return s.GetControl(name, "/stats", &stats) == nil && stats.Status.Visible().Covers(primaryStats.Status.Visible())
	})
}

func argument(d *datadriven.TestData, key string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return ""
}

// exec runs one statement per line and returns one line of result for each.
func (s script) exec(session, input string) string {
	conn := s.Sessions[session]
	var lines []string
	for _, sql := range strings.Split(input, "\n") {
		ctx, cancel := context.WithTimeout(context.Background(), harness.Timeout)
		rows, err := conn.Query(ctx, sql)
		if err != nil {
			lines = append(lines, describe(err))
			cancel()
			continue
		}
		var values []string
		for rows.Next() {
			v, err := rows.Values()
			if err != nil {
				break
			}
			values = append(values, fmt.Sprint(v...))
		}
		if rows.Err() != nil {
			lines = append(lines, describe(rows.Err()))
		} else {
			lines = append(lines, strings.TrimSpace(rows.CommandTag().String()+" "+strings.Join(values, " ")))
		}
		cancel()
	}
	return strings.Join(lines, "\n")
}

// describe formats an error without the parts that differ from run to run.
func describe(err error) string {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return "connection failed"
	}
	code, _, _ := strings.Cut(e.Message, ":")
	text := e.Severity + " " + e.Code
	if strings.HasPrefix(code, "AT") {
		text += " " + code
	}
	if e.Hint != "" {
		text += " with a time to come back"
	}
	return text
}

// rows returns the rows and the submission keys that an endpoint holds.
func (s script) rows(name string) string {
	var found endpoint.Rows
	if err := s.GetControl(name, "/rows", &found); err != nil {
		return "no answer from " + name
	}
	var lines []string
	for key, row := range found.Rows {
		lines = append(lines, key+" = "+row.Value+"\n")
	}
	for key := range found.Submissions {
		lines = append(lines, "submission "+key+"\n")
	}
	sort.Strings(lines)
	return strings.Join(lines, "")
}
