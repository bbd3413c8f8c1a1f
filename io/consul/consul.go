// Package consul is a client of the platform's key-value store and list of instances,
// which have the HTTP API of Consul.
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

// Entry is a key's value as read at one point in time.
type Entry struct {
	// Index is the key's ModifyIndex; zero if the key does not exist.
	Index uint64
	Value []byte
	// WatchIndex is the index to pass to the next Watch.
	WatchIndex uint64
}

// Store is a key-value store with compare-and-swap. Support for another service needs
// only another constructor.
type Store struct {
	// Get reads a key. If the key does not exist, the entry's index is zero.
	Get func(ctx context.Context, key string) (Entry, error)
	// Swap replaces a value if the key's index still is the one given; index zero
	// means that the key must not exist. It returns false without an error if the
	// index has changed. After an error with OutcomeUnknown the value may have been
	// replaced.
	Swap func(ctx context.Context, key string, index uint64, value []byte) (bool, error)
	// Watch is a long poll: it waits until the key changes after an index or the wait
	// time passes, and returns the entry.
	Watch func(ctx context.Context, key string, after uint64) (Entry, error)
}

// List is the platform's list of instances.
type List struct {
	// Register adds an instance to the list or replaces its entry.
	Register func(ctx context.Context, l member.Listing) error
	// Deregister removes an instance from the list.
	Deregister func(ctx context.Context, i core.Instance) error
	// Watch is a long poll: it waits until the list changes after an index or the wait
	// time passes, and returns the list with its index.
	Watch func(ctx context.Context, after uint64) ([]member.Listing, uint64, error)
	// Endpoints is a long poll like Watch that returns only the endpoints that are listed
	// as leaving.
	Endpoints func(ctx context.Context, after uint64) ([]core.Endpoint, uint64, error)
}

// Outcome states whether a failed call may have had an effect.
type Outcome string

// The outcomes of a failed call.
const (
	// OutcomeNotApplied means that the call had no effect.
	OutcomeNotApplied Outcome = "did not happen"
	// OutcomeUnknown means that the call may have had an effect.
	OutcomeUnknown Outcome = "unknown"
)

// Error is the error of a failed call.
type Error struct {
	// Call is the name of the call.
	Call    string
	Outcome Outcome
	// Status is the HTTP status, or zero without a usable response.
	Status int
	Err    error
}

// Error returns the call, its outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("consul: %s failed, outcome %s: %v", e.Call, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsUnknown reports whether the failed call may have had an effect.
func IsUnknown(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Outcome == OutcomeUnknown
}

// The defaults of a client.
const (
	defaultTimeout = 2 * time.Second
	defaultWait    = 30 * time.Second
	// waitMargin is how much longer than its wait time a blocking query may take.
	waitMargin = 5 * time.Second
	// maxResponseBytes bounds a response body; a value of 1 MiB is 1.4 MiB in base64.
	maxResponseBytes = 4 << 20
)

// Client calls a platform that is reachable at several addresses.
type Client struct {
	addresses []netip.AddrPort
	// current is the index of the address of the last successful call.
	current atomic.Int64
	http    *http.Client
	timeout time.Duration
	wait    time.Duration
}

// Option overrides a default of a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each call other than a blocking query.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithWait sets the wait time of blocking queries.
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

// Store returns the key-value store.
func (c *Client) Store() Store {
	return Store{Get: c.get, Swap: c.swap, Watch: c.watch}
}

// List returns the list of instances.
func (c *Client) List() List {
	return List{Register: c.register, Deregister: c.deregister, Watch: c.list, Endpoints: c.endpoints}
}
