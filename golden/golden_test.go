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
		r := script{Harness: harness.New(t), running: make(map[string]chan string)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			r.SetTest(t)
			return r.command(d)
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
func (r script) begin(session, input string) {
	done := make(chan string, 1)
	r.running[session] = done
	go func() { done <- r.exec(session, input) }()
}

// cancel sends cancel requests for a session until its statement ends, and
// returns the statement's result.
func (r script) cancel(session string) string {
	conn := r.Sessions[session].PgConn()
	for {
		ctx, stop := context.WithTimeout(context.Background(), harness.Timeout)
		err := conn.CancelRequest(ctx)
		stop()
		if err != nil {
			return err.Error()
		}
		select {
		case result := <-r.running[session]:
			return result + "\n"
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// send sends bytes, written as hexadecimal digits, to an instance and returns
// the error codes that it answers before it closes the connection.
func (r script) send(instance, input string) string {
	b, err := hex.DecodeString(strings.Join(strings.Fields(input), ""))
	if err != nil {
		return err.Error()
	}
	c, err := net.Dial("tcp", r.CallerAddress(instance).String())
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
func (r script) command(d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		return r.commandStart(d)
	case "connect":
		return r.commandConnect(d) + "\n"
	case "exec":
		return r.exec(argument(d, "session"), d.Input) + "\n"
	case "begin":
		r.begin(argument(d, "session"), d.Input)
		return ""
	case "await":
		return <-r.running[argument(d, "session")] + "\n"
	case "cancel":
		return r.cancel(argument(d, "session"))
	case "send":
		return r.send(argument(d, "instance"), d.Input)
	case "fault":
		r.InjectFault(argument(d, "endpoint"), d.Input)
		return ""
	case "kill":
		return r.commandKill(d)
	case "revoke":
		r.revoke(core.Caller(argument(d, "user")), argument(d, "instance"))
		return ""
	case "await-primary":
		previous := argument(d, "not")
		r.WaitFor("a new primary", func() bool { p := r.Primary(); return p != "" && p != previous })
		return "there is a new primary\n"
	case "await-rows":
		return r.commandAwaitRows(d)
	case "await-applied":
		r.awaitApplied(argument(d, "endpoint"))
		return ""
	case "rows":
		return r.rows(r.Primary())
	}
	return "unknown command " + d.Cmd + "\n"
}

func (r script) commandStart(d *datadriven.TestData) string {
	instances, err := strconv.Atoi(argument(d, "instances"))
	if err != nil {
		return err.Error()
	}
	lag, _ := time.ParseDuration(argument(d, "lag"))
	if idle, err := time.ParseDuration(argument(d, "transaction-idle")); err == nil {
		r.Limits = patch.Limits{TransactionIdle: patch.Duration(idle)}
	}
	r.Start(instances, lag)
	return ""
}

func (r script) commandConnect(d *datadriven.TestData) string {
	parameters := make(map[string]string)
	if from := argument(d, "mark-of"); from != "" {
		parameters["anviltack.mark"] = r.Sessions[from].PgConn().ParameterStatus("anviltack.mark")
	}
	if mark := argument(d, "mark"); mark != "" {
		parameters["anviltack.mark"] = mark
	}
	user := argument(d, "user")
	if user == "" {
		user = "valuer"
	}
	if err := r.Connect(argument(d, "session"), user, argument(d, "instance"), parameters); err != nil {
		return describe(err)
	}
	return "connected"
}

// revoke removes a caller from the configuration and waits until an instance
// rejects it.
func (r script) revoke(user core.Caller, instance string) {
	c := r.Config
	c.Callers = maps.Clone(c.Callers)
	delete(c.Callers, user)
	r.Configure(c)
	r.WaitFor("the caller is unknown", func() bool { return r.Connect("revoked", string(user), instance, nil) != nil })
}

// commandKill kills an endpoint or an instance.
func (r script) commandKill(d *datadriven.TestData) string {
	if name := argument(d, "endpoint"); name != "" {
		r.KillEndpoint(name)
	}
	if name := argument(d, "instance"); name != "" {
		r.KillInstance(name)
	}
	return ""
}

// commandAwaitRows waits until every endpoint holds the primary's rows.
func (r script) commandAwaitRows(*datadriven.TestData) string {
	want := r.rows(r.Primary())
	for _, name := range r.Endpoints() {
		r.WaitFor("rows on "+name, func() bool { return r.rows(name) == want })
	}
	return ""
}

// awaitApplied waits until everything visible on the primary is visible on an
// endpoint.
func (r script) awaitApplied(name string) {
	var primaryStats, stats endpoint.Stats
	if err := r.GetControl(r.Primary(), "/stats", &primaryStats); err != nil {
		return
	}
	r.WaitFor(name+" applied the log", func() bool {
		return r.GetControl(name, "/stats", &stats) == nil && stats.Status.Visible().Covers(primaryStats.Status.Visible())
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
func (r script) exec(session, input string) string {
	conn := r.Sessions[session]
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
func (r script) rows(name string) string {
	var found endpoint.Rows
	if err := r.GetControl(name, "/rows", &found); err != nil {
		return "no answer from " + name
	}
	var lines []string
	for key, cell := range found.Rows {
		lines = append(lines, key+" = "+cell.Value+"\n")
	}
	for key := range found.Submissions {
		lines = append(lines, "submission "+key+"\n")
	}
	sort.Strings(lines)
	return strings.Join(lines, "")
}
