package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"anviltack/core"
)

// Entry describes one setting.
type Entry struct {
	Name string
	// Default is the text of the default value; empty if there is none.
	Default string
	// Allowed says which values are accepted, with their unit.
	Allowed string
	Help    string

	required bool
	list     bool
	set      func(s *Settings, values []string) error
}

const (
	allowedAddress  = `an IP address with a port, such as "10.0.0.1:6432"`
	allowedDuration = `a duration between %s and %s, such as "20ms"`
	allowedName     = "1 to 63 letters, digits, dots, dashes and underscores"
	minTokenBytes   = 8
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)

// table lists every setting; a test compares the names and defaults with
// docs/SETTINGS.md.
var table = []Entry{
	nameEntry("instance", "Name of this instance, unique in the deployment.", func(s *Settings) *core.Instance { return &s.Instance }),
	nameEntry("data_centre", "Data centre in which this instance runs.", func(s *Settings) *core.DataCentre { return &s.DataCentre }),
	addressEntry("callers", "Address that callers connect to.", func(s *Settings) *netip.AddrPort { return &s.Callers }),
	addressEntry("operators", "Address of the operators' HTTP interface.", func(s *Settings) *netip.AddrPort { return &s.Operators }),
	addressEntry("peers", "Address for other instances.", func(s *Settings) *netip.AddrPort { return &s.Peers }),
	addressListEntry("platform", true, "Addresses of the platform's service.", func(s *Settings) *[]netip.AddrPort { return &s.Platform }),
	addressListEntry("seeds", false, "Peer addresses to ask for the configuration while the platform is down.", func(s *Settings) *[]netip.AddrPort { return &s.Seeds }),
	{
		Name: "token", Allowed: fmt.Sprintf("a text of at least %d bytes", minTokenBytes), required: true,
		Help: "Bearer token of the operators, the same on all instances; what instances show each other is derived from it.",
		set: func(s *Settings, values []string) error {
			if len(values[0]) < minTokenBytes {
				return errors.New("too short")
			}
			s.Token = values[0]
			return nil
		},
	},
	{
		Name: "user", Default: "anviltack", Allowed: allowedName,
		Help: "User name under which the instance logs in at endpoints.",
		set: func(s *Settings, values []string) error {
			s.User = values[0]
			return checkName(values[0])
		},
	},
	{
		Name: "password", Allowed: "a text", Help: "Password with which the instance logs in at endpoints.",
		set: func(s *Settings, values []string) error {
			s.Password = values[0]
			return nil
		},
	},
	{
		Name: "database", Default: "postgres", Allowed: allowedName,
		Help: "Name of the database at endpoints.",
		set: func(s *Settings, values []string) error {
			s.Database = values[0]
			return checkName(values[0])
		},
	},
	durationEntry("sample", "20ms", time.Millisecond, time.Second, "Time between two samples of an idle endpoint.", func(s *Settings) *time.Duration { return &s.Sample }),
	durationEntry("connect", "1s", 10*time.Millisecond, time.Minute, "Longest opening of a connection to an endpoint.", func(s *Settings) *time.Duration { return &s.Connect }),
	durationEntry("answer", "250ms", 10*time.Millisecond, 10*time.Second, "Longest answer to a status, fence or promote request.", func(s *Settings) *time.Duration { return &s.Answer }),
	durationEntry("drain", "30s", 0, time.Hour, "Longest wait of a planned stop for work in flight.", func(s *Settings) *time.Duration { return &s.Drain }),
	integerEntry("message", "16777216", 1024, 1<<30, "bytes", "Largest message of a caller.", func(s *Settings) *int { return &s.Message }),
	integerEntry("sessions", "10000", 1, 1000000, "callers", "Callers connected at once.", func(s *Settings) *int { return &s.Sessions }),
	{
		Name: "level", Default: "info", Allowed: "debug, info, warning or error",
		Help: "Lowest level that is logged.",
		set: func(s *Settings, values []string) error {
			switch values[0] {
			case "debug", "info", "warning", "error":
				s.Level = values[0]
				return nil
			}
			return errors.New("unknown level")
		},
	},
}

// Table returns a description of every setting.
func Table() []Entry {
	return append([]Entry(nil), table...)
}

// Names returns the names of all settings in the order of the table.
func Names() []string {
	names := make([]string, len(table))
	for i, e := range table {
		names[i] = e.Name
	}
	return names
}

func lookup(name string) (Entry, bool) {
	for _, e := range table {
		if e.Name == name {
			return e, true
		}
	}
	return Entry{}, false
}

func checkName(s string) error {
	if !namePattern.MatchString(s) {
		return errors.New("not a name")
	}
	return nil
}

func nameEntry[T ~string](name, help string, field func(*Settings) *T) Entry {
	return Entry{
		Name: name, Allowed: allowedName, Help: help, required: true,
		set: func(s *Settings, values []string) error {
			*field(s) = T(values[0])
			return checkName(values[0])
		},
	}
}

func addressEntry(name, help string, field func(*Settings) *netip.AddrPort) Entry {
	return Entry{
		Name: name, Allowed: allowedAddress, Help: help, required: true,
		set: func(s *Settings, values []string) error {
			a, err := netip.ParseAddrPort(values[0])
			if err != nil {
				return errors.New("not an address")
			}
			*field(s) = a
			return nil
		},
	}
}

func addressListEntry(name string, required bool, help string, field func(*Settings) *[]netip.AddrPort) Entry {
	return Entry{
		Name: name, Allowed: "a list of addresses, each " + allowedAddress, Help: help, required: required, list: true,
		set: func(s *Settings, values []string) error {
			list := make([]netip.AddrPort, len(values))
			for i, v := range values {
				a, err := netip.ParseAddrPort(v)
				if err != nil {
					return fmt.Errorf("%q is not an address", v)
				}
				list[i] = a
			}
			if required && len(list) == 0 {
				return errors.New("empty list")
			}
			*field(s) = list
			return nil
		},
	}
}

func durationEntry(name, defaultValue string, low, high time.Duration, help string, field func(*Settings) *time.Duration) Entry {
	return Entry{
		Name: name, Default: defaultValue, Allowed: fmt.Sprintf(allowedDuration, low, high), Help: help,
		set: func(s *Settings, values []string) error {
			d, err := time.ParseDuration(values[0])
			if err != nil {
				return errors.New("not a duration")
			}
			if d < low || d > high {
				return errors.New("out of range")
			}
			*field(s) = d
			return nil
		},
	}
}

func integerEntry(name, defaultValue string, low, high int, unit, help string, field func(*Settings) *int) Entry {
	return Entry{
		Name: name, Default: defaultValue, Allowed: fmt.Sprintf("a whole number of %s between %d and %d", unit, low, high), Help: help,
		set: func(s *Settings, values []string) error {
			n, err := strconv.Atoi(values[0])
			if err != nil {
				return errors.New("not a whole number")
			}
			if n < low || n > high {
				return errors.New("out of range")
			}
			*field(s) = n
			return nil
		},
	}
}
