// Package consul speaks to the platform's key-value service and its list of
// instances by the published HTTP API of Consul.
package consul

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"anviltack/core"
	"anviltack/core/member"
)

// Entry is a key's value at one moment.
type Entry struct {
	// Index numbers the key's last change; zero when the key is absent.
	Index uint64
	Value []byte
	// WatchIndex is the index after which a watch goes on.
	WatchIndex uint64
}

// Store is the key-value service. Another service means another constructor.
type Store struct {
	// Get reads a key; an absent key is an Entry with index zero.
	Get func(ctx context.Context, key string) (Entry, error)
	// Swap replaces a value whose index is still the one given; index zero only
	// creates. False without an error means that the index was another one. An
	// error with OutcomeUnknown means that the swap may have happened.
	Swap func(ctx context.Context, key string, index uint64, value []byte) (bool, error)
	// Watch waits until a key changes after an index, or for some time, and
	// reads it.
	Watch func(ctx context.Context, key string, after uint64) (Entry, error)
}

// List is the platform's list of instances.
type List struct {
	// Register puts an instance on the list or changes its entry.
	Register func(ctx context.Context, l member.Listing) error
	// Deregister takes an instance off the list.
	Deregister func(ctx context.Context, i core.Instance) error
	// Watch waits until the list changes after an index, or for some time, and
	// returns it with its index.
	Watch func(ctx context.Context, after uint64) ([]member.Listing, uint64, error)
	// Endpoints waits as Watch does and returns the endpoints that the list
	// calls leaving.
	Endpoints func(ctx context.Context, after uint64) ([]core.Endpoint, uint64, error)
}

// Outcome tells what is known of a call that failed.
type Outcome string

// The outcomes of a failed call.
const (
	// OutcomeNotApplied means that the call changed nothing.
	OutcomeNotApplied Outcome = "did not happen"
	// OutcomeUnknown means that the call may have taken effect.
	OutcomeUnknown Outcome = "unknown"
)

// Error is a call that failed.
type Error struct {
	// Call names the call.
	Call    string
	Outcome Outcome
	// Status is the HTTP status; zero when there was no answer.
	Status int
	Err    error
}

// Error returns the call, its outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("consul: %s failed, outcome %s: %v", e.Call, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsUnknown reports whether err is a call that may have taken effect.
func IsUnknown(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Outcome == OutcomeUnknown
}

// The defaults of a client.
const (
	defaultTimeout = 2 * time.Second
	defaultWait    = 30 * time.Second
	// waitMargin is how much longer than asked a blocking call may take.
	waitMargin = 5 * time.Second
	// maxResponseBytes bounds an answer; a value of 1 MiB is 1.4 MiB in base64.
	maxResponseBytes = 4 << 20
)

// Client speaks to one platform at several addresses.
type Client struct {
	addresses []netip.AddrPort
	// current is the index of the address that answered last.
	current atomic.Int64
	http    *http.Client
	timeout time.Duration
	wait    time.Duration
}

// Option changes a default of a client.
type Option func(*Client)

// WithTimeout bounds each call that does not wait.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithWait sets how long a watch waits for a change.
func WithWait(d time.Duration) Option { return func(c *Client) { c.wait = d } }

// New returns a client that tries the addresses in their order.
func New(addresses []netip.AddrPort, options ...Option) *Client {
	c := &Client{
		addresses: addresses,
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}},
		timeout:   defaultTimeout,
		wait:      defaultWait,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Store returns the key-value service.
func (c *Client) Store() Store {
	return Store{Get: c.get, Swap: c.swap, Watch: c.watch}
}

// List returns the list of instances.
func (c *Client) List() List {
	return List{Register: c.register, Deregister: c.deregister, Watch: c.list, Endpoints: c.endpoints}
}
