package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"anviltack/core/member"
	"anviltack/io/bearer"
	"anviltack/io/peer/wire"
)

// The defaults of a client.
const (
	defaultTimeout     = time.Second
	maxIdleConnections = 64
)

// Client calls other instances; one client serves for all of them.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// Option overrides a default of a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// NewClient returns a client that authenticates with the token.
func NewClient(token string, options ...Option) *Client {
	c := &Client{
		http: &http.Client{Transport: &bearer.Transport{Token: token, Next: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: time.Minute, DisableCompression: true,
		}}},
		timeout: defaultTimeout,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

func (c *Client) peer(address netip.AddrPort) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address.String(), c.http)
}

// Heartbeat sends a heartbeat and returns the peer's heartbeat.
func (c *Client) Heartbeat(ctx context.Context, to netip.AddrPort, h member.Heartbeat) (member.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m, err := c.peer(to).Beat(ctx, encodeHeartbeat(h))
	if err != nil {
		return member.Heartbeat{}, fmt.Errorf("peer: could not exchange heartbeats: %w", err)
	}
	return decodeHeartbeat(m)
}

// Pull returns the peer's configuration. The update has no document if the peer's version
// is not above version.
func (c *Client) Pull(ctx context.Context, from netip.AddrPort, version uint64) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m, err := c.peer(from).Pull(ctx, &wire.PullRequest{Version: version})
	if err != nil {
		return Update{}, fmt.Errorf("peer: could not pull a configuration: %w", err)
	}
	return decodeUpdate(m)
}

// Push sends an update and returns the version that the peer has afterwards.
func (c *Client) Push(ctx context.Context, to netip.AddrPort, u Update) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m, err := encodeUpdate(u)
	if err != nil {
		return 0, err
	}
	a, err := c.peer(to).Push(ctx, m)
	if err != nil {
		return 0, fmt.Errorf("peer: could not push an update: %w", err)
	}
	return a.GetVersion(), nil
}

// Opinion returns the peer's view of a group's primary.
func (c *Client) Opinion(ctx context.Context, of netip.AddrPort, r OpinionRequest) (Opinion, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m, err := c.peer(of).Opinion(ctx, &wire.OpinionRequest{Group: string(r.Group), Term: r.Term})
	if err != nil {
		return Opinion{}, fmt.Errorf("peer: could not get the view of a primary: %w", err)
	}
	return Opinion{
		Known: m.GetKnown(), Term: m.GetTerm(),
		SinceResponse: milliseconds(m.GetSilentMs()), SinceConfirmation: milliseconds(m.GetStalledMs()),
	}, nil
}

// AnnouncePromotion notifies the peer of a completed promotion.
func (c *Client) AnnouncePromotion(ctx context.Context, to netip.AddrPort, p Promotion) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.peer(to).Promoted(ctx, &wire.Promotion{Group: string(p.Group), Term: p.Term, Endpoint: string(p.Endpoint)})
	if err != nil {
		return fmt.Errorf("peer: could not announce a promotion: %w", err)
	}
	return nil
}

// IsBehind reports whether a push failed because the update's entries cannot be applied to
// the receiver's version.
func IsBehind(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.FailedPrecondition
}
