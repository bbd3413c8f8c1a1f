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
	"time"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/io/bearer"
)

// resubmitDelay is the delay before a patch with an unknown outcome is submitted again.
const resubmitDelay = 200 * time.Millisecond

const maxResponseBytes = 64 << 20

// Client calls the operators' HTTP interface of entry instances.
type Client struct {
	// Addresses are the operator addresses of instances, which are tried in turn.
	Addresses []netip.AddrPort
	Token     string
	HTTP      *http.Client
}

// UnreachableError means that no instance gave a valid response.
type UnreachableError struct {
	Err error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("operator: no instance responded: %v", e.Err)
}

// Unwrap returns the error of the last address.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Get fetches a path and decodes the JSON response into v.
func (c Client) Get(ctx context.Context, path string, v any) error {
	return c.tryAddresses(ctx, http.MethodGet, path, nil, v)
}

// GetText fetches a path as text.
func (c Client) GetText(ctx context.Context, path string) (string, error) {
	var b json.RawMessage
	err := c.tryAddresses(ctx, http.MethodGet, path, nil, &b)
	return string(b), err
}

// Submit submits a patch. Its ID makes the request idempotent, so while the outcome is
// unknown Submit repeats it at the instances in turn, until ctx is done.
func (c Client) Submit(ctx context.Context, r patch.Request) (Accepted, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Accepted{}, fmt.Errorf("operator: could not encode the patch: %w", err)
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

// PatchOutcome returns the outcome of a patch with the given ID and base version.
func (c Client) PatchOutcome(ctx context.Context, id string, base uint64) (patch.Result, error) {
	var result patch.Result
	err := c.Get(ctx, fmt.Sprintf("/patch/%s?base=%d", core.PathSegment(id), base), &result)
	return result, err
}

// isOutcomeUnknown reports whether the patch may have been accepted despite the error.
func isOutcomeUnknown(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Code == core.CodePatchUnknown
}

// tryAddresses sends a request to the addresses in turn until one responds with success
// or an *Error.
func (c Client) tryAddresses(ctx context.Context, method, path string, body []byte, v any) error {
	last := errors.New("no address configured")
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
		return fmt.Errorf("operator: could not create a request: %w", err)
	}
	bearer.SetToken(r, c.Token)
	response, err := c.HTTP.Do(r)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	_ = response.Body.Close()
	if err != nil {
		return fmt.Errorf("operator: could not read the response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		var e Error
		if err := json.Unmarshal(text, &e); err != nil || e.Code == 0 {
			return fmt.Errorf("operator: %s: %s", response.Status, bytes.TrimSpace(text))
		}
		return &e
	}
	if raw, ok := v.(*json.RawMessage); ok {
		*raw = text
		return nil
	}
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("operator: could not decode the response: %w", err)
	}
	return nil
}
