package consul

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

func (c *Client) get(ctx context.Context, key string) (Entry, error) {
	resp, err := c.do(ctx, call{name: "get", method: http.MethodGet, path: "/v1/kv/" + key, timeout: c.timeout})
	if err != nil {
		return Entry{}, err
	}
	return decodeEntry("get", resp)
}

func (c *Client) watch(ctx context.Context, key string, after uint64) (Entry, error) {
	path := "/v1/kv/" + key + c.blockingQuery(after)
	resp, err := c.do(ctx, call{name: "watch", method: http.MethodGet, path: path, timeout: c.wait + waitMargin})
	if err != nil {
		return Entry{}, err
	}
	return decodeEntry("watch", resp)
}

func decodeEntry(name string, resp response) (Entry, error) {
	if resp.status == http.StatusNotFound {
		return Entry{WatchIndex: resp.index}, nil
	}
	var entries []struct {
		Value       []byte
		ModifyIndex uint64
	}
	err := json.Unmarshal(resp.body, &entries)
	if err == nil && len(entries) != 1 {
		err = fmt.Errorf("%d entries instead of one", len(entries))
	}
	if err != nil {
		return Entry{}, &Error{Call: name, Outcome: OutcomeNotApplied, Status: resp.status, Err: err}
	}
	e := entries[0]
	return Entry{Index: e.ModifyIndex, Value: e.Value, WatchIndex: max(resp.index, e.ModifyIndex)}, nil
}

func (c *Client) swap(ctx context.Context, key string, index uint64, value []byte) (bool, error) {
	var swapped bool
	err := c.put(ctx, "swap", fmt.Sprintf("/v1/kv/%s?cas=%d", key, index), value, &swapped)
	return swapped, err
}
