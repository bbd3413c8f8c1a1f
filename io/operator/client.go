package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/io/bearer"
)

// resubmitDelay is the time between two attempts to submit a patch whose answer
// was lost.
const resubmitDelay = 200 * time.Millisecond

// maxResponseBytes bounds an answer.
const maxResponseBytes = 64 << 20

// Client asks entry instances on behalf of an operator.
type Client struct {
	// Addresses are operator addresses of instances, tried in turn.
	Addresses []netip.AddrPort
	Token     string
	HTTP      *http.Client
}

// UnreachableError tells that no instance answered.
type UnreachableError struct {
	Err error
}

// Error returns the last cause.
func (e *UnreachableError) Error() string { return fmt.Sprintf("operator: no answer: %v", e.Err) }

// Unwrap returns the last cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Get fetches a path and decodes the answer into v.
func (c Client) Get(ctx context.Context, path string, v any) error {
	return c.tryAddresses(ctx, http.MethodGet, path, nil, v)
}

// GetText fetches a path as text.
func (c Client) GetText(ctx context.Context, path string) (string, error) {
	var b json.RawMessage
	err := c.tryAddresses(ctx, http.MethodGet, path, nil, &b)
	return string(b), err
}

// Submit brings a patch in. Its id makes it safe to send it again, so a lost
// answer is settled by sending it to the next instance, until ctx is over.
func (c Client) Submit(ctx context.Context, r patch.Request) (Accepted, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Accepted{}, fmt.Errorf("operator: cannot encode the patch: %w", err)
	}
	for {
		var a Accepted
		err := c.tryAddresses(ctx, http.MethodPost, "/patch", body, &a)
		if err == nil || !isOutcomeUnknown(err) {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, &patch.UnknownError{ID: r.ID, Err: err}
		case <-time.After(resubmitDelay):
		}
	}
}

// PatchOutcome asks what became of a patch.
func (c Client) PatchOutcome(ctx context.Context, id string, base uint64) (patch.Result, error) {
	var s patch.Result
	err := c.Get(ctx, fmt.Sprintf("/patch/%s?base=%d", url.PathEscape(id), base), &s)
	return s, err
}

// isOutcomeUnknown reports whether a patch may be in after this error.
func isOutcomeUnknown(err error) bool {
	var f *Error
	return !errors.As(err, &f) || f.Code == core.CodePatchUnknown
}

// tryAddresses asks the addresses in turn until one answers.
func (c Client) tryAddresses(ctx context.Context, method, path string, body []byte, v any) error {
	last := errors.New("no address")
	for _, a := range c.Addresses {
		err := c.call(ctx, a, method, path, body, v)
		var f *Error
		if err == nil || errors.As(err, &f) {
			return err
		}
		last = err
	}
	return &UnreachableError{Err: last}
}

func (c Client) call(ctx context.Context, a netip.AddrPort, method, path string, body []byte, v any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+a.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("operator: bad request: %w", err)
	}
	bearer.SetToken(r, c.Token)
	response, err := c.HTTP.Do(r)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	_ = response.Body.Close()
	if err != nil {
		return fmt.Errorf("operator: answer cut off: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		var f Error
		if err := json.Unmarshal(text, &f); err != nil || f.Code == 0 {
			return fmt.Errorf("operator: %s: %s", response.Status, bytes.TrimSpace(text))
		}
		return &f
	}
	if raw, ok := v.(*json.RawMessage); ok {
		*raw = text
		return nil
	}
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("operator: bad answer: %w", err)
	}
	return nil
}
