package patch

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"
	"unicode"

	"anviltack/core"
)

// Ranges that Check allows.
const (
	maxNameBytes       = 63
	maxSlots           = 10_000
	maxConnections     = 10_000
	maxQueue           = 100_000
	minDeadline        = 10 * time.Millisecond
	maxDeadline        = 10 * time.Minute
	minTransactionIdle = 100 * time.Millisecond
	maxTransactionIdle = time.Hour
	minIterations      = 4096
	scramKeyBytes      = 32
)

var addressType = reflect.TypeFor[netip.AddrPort]()

// Check returns every fault of the configuration, in the order of their paths.
func (c Config) Check() []Fault {
	k := checker{
		addresses: make(map[netip.AddrPort]string),
		endpoints: make(map[core.Endpoint]string),
	}
	for _, name := range sortedNames(c.Callers) {
		k.caller(c, name)
	}
	for _, name := range sortedNames(c.Databases) {
		k.database(c, name)
	}
	for _, name := range sortedNames(c.Groups) {
		k.group(name, c.Groups[name])
	}
	k.limits(c.Limits)
	return k.faults
}

// normalize replaces nil maps and slices by empty ones, so that equal
// configurations have equal JSON.
func (c *Config) normalize() {
	if c.Groups == nil {
		c.Groups = map[core.Group]Group{}
	}
	if c.Databases == nil {
		c.Databases = map[core.Database]Database{}
	}
	if c.Callers == nil {
		c.Callers = map[core.Caller]Caller{}
	}
	for n, g := range c.Groups {
		if g.Endpoints == nil {
			c.Groups[n] = Group{Endpoints: map[core.Endpoint]Endpoint{}}
		}
	}
	for n, d := range c.Databases {
		if d.Kinds == nil {
			d.Kinds = map[core.Kind]Kind{}
			c.Databases[n] = d
		}
	}
	for n, r := range c.Callers {
		if r.Databases == nil {
			r.Databases = []core.Database{}
			c.Callers[n] = r
		}
	}
}

type checker struct {
	faults []Fault
	// addresses and endpoints map what was seen so far to its path, to find
	// duplicates.
	addresses map[netip.AddrPort]string
	endpoints map[core.Endpoint]string
}

func (k *checker) fault(path, problem, allowed string) {
	k.faults = append(k.faults, Fault{Path: path, Problem: problem, Allowed: allowed})
}

func (k *checker) name(path, name string) {
	bad := strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) || r == ' ' || r == '.' })
	if name == "" || len(name) > maxNameBytes || bad {
		k.fault(path, "bad name", fmt.Sprintf("1 to %d bytes without spaces, dots and control characters", maxNameBytes))
	}
}

func (k *checker) number(path string, n, maximum int) {
	if n < 1 || n > maximum {
		k.fault(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("1 to %d", maximum))
	}
}

func (k *checker) duration(path string, d Duration, minimum, maximum time.Duration) {
	if v := time.Duration(d); v < minimum || v > maximum {
		k.fault(path, fmt.Sprintf("%v is out of range", v), fmt.Sprintf("%v to %v", minimum, maximum))
	}
}

func (k *checker) caller(c Config, name core.Caller) {
	path := join("callers", string(name))
	k.name(path, string(name))
	if !isSecret(c.Callers[name].Secret) {
		k.fault(join(path, "secret"), "not a SCRAM verifier",
			fmt.Sprintf("SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER as PostgreSQL stores it, at least %d iterations", minIterations))
	}
	for i, d := range c.Callers[name].Databases {
		if _, ok := c.Databases[d]; !ok {
			k.fault(fmt.Sprintf("%s.databases[%d]", path, i), fmt.Sprintf("unknown database %q", d), definedNames(c.Databases))
		}
	}
}

func (k *checker) database(c Config, name core.Database) {
	path := join("databases", string(name))
	k.name(path, string(name))
	d := c.Databases[name]
	if _, ok := c.Groups[d.Group]; !ok {
		k.fault(join(path, "group"), fmt.Sprintf("unknown group %q", d.Group), definedNames(c.Groups))
	}
	for _, n := range sortedNames(d.Kinds) {
		p := join(path, "kinds."+string(n))
		k.name(p, string(n))
		if d.Kinds[n].Age <= 0 {
			k.fault(join(p, "age"), "not above zero", "a duration above 0s")
		}
	}
}

func (k *checker) group(name core.Group, g Group) {
	path := join("groups", string(name))
	k.name(path, string(name))
	k.endpointCount(path, g.Endpoints)
	for _, n := range sortedNames(g.Endpoints) {
		k.endpoint(join(path, "endpoints."+string(n)), n, g.Endpoints[n])
	}
}

func (k *checker) endpoint(path string, name core.Endpoint, e Endpoint) {
	k.name(path, string(name))
	if other, ok := k.endpoints[name]; ok {
		k.fault(path, "the name is already used by "+other, "a name of its own")
	}
	k.endpoints[name] = path
	address := join(path, "address")
	if !e.Address.IsValid() || e.Address.Port() == 0 || e.Address.Addr().IsUnspecified() {
		k.fault(address, "no address", `an IP address and port such as "127.0.0.1:5432"`)
	} else if other, ok := k.addresses[e.Address]; ok {
		k.fault(address, fmt.Sprintf("%v is already used by %s", e.Address, other), "an address of its own")
	}
	k.addresses[e.Address] = address
	k.name(join(path, "data_centre"), string(e.DataCentre))
	k.number(join(path, "slots"), e.Slots, maxSlots)
	k.number(join(path, "connections"), e.Connections, maxConnections)
}

func (k *checker) limits(l Limits) {
	k.duration("limits.deadline", l.Deadline, minDeadline, maxDeadline)
	k.number("limits.queue", l.Queue, maxQueue)
	k.duration("limits.transaction_idle", l.TransactionIdle, minTransactionIdle, maxTransactionIdle)
}

func definedNames[K ~string, V any](m map[K]V) string {
	names := make([]string, 0, len(m))
	for _, n := range sortedNames(m) {
		names = append(names, string(n))
	}
	if len(names) == 0 {
		return "none is defined"
	}
	return "one of " + strings.Join(names, ", ")
}

// isSecret reports whether s is a SCRAM-SHA-256 verifier as PostgreSQL stores it.
func isSecret(s string) bool {
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != "SCRAM-SHA-256" {
		return false
	}
	count, salt, ok := strings.Cut(parts[1], ":")
	stored, server, found := strings.Cut(parts[2], ":")
	n, err := strconv.Atoi(count)
	if !ok || !found || err != nil || n < minIterations {
		return false
	}
	b, err := base64.StdEncoding.DecodeString(salt)
	return err == nil && len(b) > 0 && isKey(stored) && isKey(server)
}

func isKey(s string) bool {
	b, err := base64.StdEncoding.DecodeString(s)
	return err == nil && len(b) == scramKeyBytes
}
