package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Lease is a lease on a key that was granted.
type Lease struct {
	client *Client
	key    string
	// session is the platform's name of the holder.
	session string
}

func (c *Client) lease(ctx context.Context, key string, ttl time.Duration) (*Lease, error) {
	body, err := json.Marshal(struct {
		TTL      string
		Behavior string
	}{TTL: fmt.Sprintf("%ds", int(ttl.Round(time.Second).Seconds())), Behavior: "release"})
	if err != nil {
		return nil, fmt.Errorf("platform: cannot encode a lease: %w", err)
	}
	var created struct{ ID string }
	if err := c.put(ctx, "create session", "/v1/session/create", body, &created); err != nil {
		return nil, err
	}
	l := &Lease{client: c, key: key, session: created.ID}
	var granted bool
	if err := c.put(ctx, "acquire", "/v1/kv/"+key+"?acquire="+l.session, nil, &granted); err != nil {
		return nil, err
	}
	if !granted {
		_ = c.put(ctx, "destroy session", "/v1/session/destroy/"+l.session, nil, nil)
		return nil, ErrHeld
	}
	return l, nil
}

// Renew puts off the lease's end; after an error the lease may have ended.
func (l *Lease) Renew(ctx context.Context) error {
	return l.client.put(ctx, "renew session", "/v1/session/renew/"+l.session, nil, nil)
}

// Release gives the lease back.
func (l *Lease) Release(ctx context.Context) error {
	return l.client.put(ctx, "destroy session", "/v1/session/destroy/"+l.session, nil, nil)
}
