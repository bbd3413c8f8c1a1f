package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"time"
)

// call is a request that may be sent to any of the addresses.
type call struct {
	name    string
	method  string
	path    string
	body    []byte
	timeout time.Duration
}

// response is the response to a successful call, with HTTP status 200 or 404.
type response struct {
	status int
	index  uint64
	body   []byte
}

var errStatus = errors.New("unexpected status")

// do tries the addresses in turn, starting with the one that responded last. It goes
// on to the next address only if the call certainly had no effect at the previous one.
func (c *Client) do(ctx context.Context, r call) (response, error) {
	var last *Error
	first := int(c.current.Load())
	for i := range c.addresses {
		n := (first + i) % len(c.addresses)
		resp, err := c.tryAddress(ctx, c.addresses[n], r)
		if err == nil {
			c.current.Store(int64(n))
			return resp, nil
		}
		last = err
		if ctx.Err() != nil || err.Outcome == OutcomeUnknown {
			break
		}
	}
	if last == nil {
		return response{}, &Error{Call: r.name, Outcome: OutcomeNotApplied, Err: errors.New("no address configured")}
	}
	return response{}, last
}

func (c *Client) tryAddress(ctx context.Context, address netip.AddrPort, r call) (response, *Error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	fail := func(status int, err error) (response, *Error) {
		outcome := OutcomeUnknown
		if !connected || r.method == http.MethodGet || status >= 400 && status < 500 {
			outcome = OutcomeNotApplied
		}
		return response{}, &Error{Call: r.name, Outcome: outcome, Status: status, Err: err}
	}
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+address.String()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return fail(0, err)
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return fail(0, err)
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	_ = httpResponse.Body.Close()
	if err == nil && len(body) > maxResponseBytes {
		err = fmt.Errorf("response of more than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return fail(0, err)
	}
	if httpResponse.StatusCode != http.StatusOK && httpResponse.StatusCode != http.StatusNotFound {
		return fail(httpResponse.StatusCode, fmt.Errorf("%w %s", errStatus, httpResponse.Status))
	}
	index, _ := strconv.ParseUint(httpResponse.Header.Get("X-Consul-Index"), 10, 64)
	return response{status: httpResponse.StatusCode, index: index, body: body}, nil
}

// put sends a PUT request and decodes the response into result unless that is nil.
func (c *Client) put(ctx context.Context, name, path string, body []byte, result any) error {
	resp, err := c.do(ctx, call{name: name, method: http.MethodPut, path: path, body: body, timeout: c.timeout})
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return &Error{Call: name, Outcome: OutcomeNotApplied, Status: resp.status, Err: errStatus}
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(resp.body, result); err != nil {
		return &Error{Call: name, Outcome: OutcomeUnknown, Status: resp.status, Err: err}
	}
	return nil
}

// blockingQuery returns the query string that makes a call wait for a change after an
// index.
func (c *Client) blockingQuery(after uint64) string {
	return fmt.Sprintf("?index=%d&wait=%dms", after, c.wait.Milliseconds())
}
