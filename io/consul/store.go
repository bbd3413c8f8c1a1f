package consul

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

func (c *Client) get(ctx context.Context, key string) (Entry, error) {
	a, err := c.do(ctx, call{name: "get", method: http.MethodGet, path: "/v1/kv/" + key, timeout: c.timeout})
	if err != nil {
		return Entry{}, err
	}
	return decodeEntry("get", a)
}

func (c *Client) watch(ctx context.Context, key string, after uint64) (Entry, error) {
	path := "/v1/kv/" + key + c.blockingQuery(after)
	a, err := c.do(ctx, call{name: "watch", method: http.MethodGet, path: path, timeout: c.wait + waitMargin})
	if err != nil {
		return Entry{}, err
	}
	return decodeEntry("watch", a)
}

func decodeEntry(name string, a response) (Entry, error) {
	if a.status == http.StatusNotFound {
		return Entry{WatchIndex: a.index}, nil
	}
	var entries []struct {
		Value       []byte
		ModifyIndex uint64
	}
	err := json.Unmarshal(a.body, &entries)
	if err == nil && len(entries) != 1 {
		err = fmt.Errorf("%d entries in place of one", len(entries))
	}
	if err != nil {
		return Entry{}, &Error{Call: name, Outcome: OutcomeNotApplied, Status: a.status, Err: err}
	}
	e := entries[0]
	return Entry{Index: e.ModifyIndex, Value: e.Value, WatchIndex: max(a.index, e.ModifyIndex)}, nil
}

func (c *Client) swap(ctx context.Context, key string, index uint64, value []byte) (bool, error) {
	var swapped bool
	err := c.put(ctx, "swap", fmt.Sprintf("/v1/kv/%s?cas=%d", key, index), value, &swapped)
	return swapped, err
}
