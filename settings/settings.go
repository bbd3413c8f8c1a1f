// Package settings reads and validates the settings file of one instance, which is
// JSON with comments. A table lists the settings with their defaults; at start the
// whole file is validated and every problem reported.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"anviltack/core"
	"anviltack/core/jsonc"
)

// Settings are the validated settings of one instance.
type Settings struct {
	// Instance is unique among all instances of the deployment.
	Instance core.Instance
	// DataCentre is where the instance runs.
	DataCentre core.DataCentre
	// Callers is the address that callers connect to.
	Callers netip.AddrPort
	// Operators is the address of the operators' HTTP interface.
	Operators netip.AddrPort
	// Peers is the address that other instances connect to.
	Peers netip.AddrPort
	// Platform holds the addresses of the platform's service; it is never empty.
	Platform []netip.AddrPort
	// Seeds are peer addresses from which to request the configuration at start if
	// the platform does not answer; it may be empty.
	Seeds []netip.AddrPort
	// Token is the bearer token of the operators; it is never empty.
	Token string
	// User is the name under which the instance logs in at endpoints.
	User string
	// Password is for endpoints that require one; it may be empty.
	Password string
	// Database is the name of the database at endpoints.
	Database string
	// Sample is the time between two samples of an idle endpoint.
	Sample time.Duration
	// Connect is the timeout of opening a connection to an endpoint.
	Connect time.Duration
	// Answer is the timeout of a status, fence or promote request.
	Answer time.Duration
	// Drain is how long a planned stop waits for work in flight at most.
	Drain time.Duration
	// Message is the largest size of a caller's message, in bytes; larger ones are
	// refused.
	Message int
	// Sessions is the largest number of callers connected at once.
	Sessions int
	// Level is the lowest level that is logged: debug, info, warning or error.
	Level string
}

// Fault is one problem of a settings file.
type Fault struct {
	// Line counts from 1; zero means the file as a whole.
	Line int
	// Name is the name of the setting; empty if the problem concerns no setting.
	Name string
	// Problem says what is wrong.
	Problem string
	// Allowed says which values are accepted; it may be empty.
	Allowed string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Name != "" {
		fmt.Fprintf(&b, "%s: ", f.Name)
	}
	b.WriteString(f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", f.Allowed)
	}
	return b.String()
}

// Error lists every problem of a settings file.
type Error struct {
	Faults []Fault
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "settings: " + strings.Join(lines, "\nsettings: ")
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: could not read the file: %w", err)
	}
	return Parse(text)
}

// Parse validates the text of a settings file. Its error is an *Error that lists all
// problems.
func Parse(text []byte) (Settings, error) {
	root, err := jsonc.Parse(text)
	if err != nil {
		return Settings{}, &Error{Faults: []Fault{{Problem: err.Error()}}}
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return Settings{}, &Error{Faults: []Fault{{Line: 1, Problem: "the file is not an object", Allowed: "{...}"}}}
	}
	p := parser{text: text}
	p.parseObject(object)
	p.applyDefaults()
	if len(p.faults) > 0 {
		return Settings{}, &Error{Faults: p.faults}
	}
	return p.settings, nil
}
