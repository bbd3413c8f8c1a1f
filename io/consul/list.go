package consul

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"anviltack/core"
	"anviltack/core/member"
)

// Service names, metadata keys and states of instances and endpoints on the list.
const (
	instanceService = "anviltack"
	endpointService = "anviltack-endpoint"
	stateLive       = "live"
	stateLeaving    = "leaving"
	metaCentre      = "data_centre"
	metaState       = "state"
)

func (c *Client) register(ctx context.Context, l member.Listing) error {
	state := stateLive
	if l.Leaving {
		state = stateLeaving
	}
	body, err := json.Marshal(struct {
		ID      core.Instance
		Name    string
		Address string
		Port    uint16
		Meta    map[string]string
	}{
		ID: l.Instance, Name: instanceService, Address: l.Address.Addr().String(), Port: l.Address.Port(),
		Meta: map[string]string{metaCentre: string(l.DataCentre), metaState: state},
	})
	if err != nil {
		return fmt.Errorf("consul: could not encode a listing: %w", err)
	}
	return c.put(ctx, "register", "/v1/agent/service/register", body, nil)
}

func (c *Client) deregister(ctx context.Context, i core.Instance) error {
	return c.put(ctx, "deregister", "/v1/agent/service/deregister/"+core.PathSegment(string(i)), nil, nil)
}

// service is an entry of the list in a response of the platform.
type service struct {
	ID      string
	Address string
	Port    uint16
	Meta    map[string]string
}

func (c *Client) services(ctx context.Context, name string, after uint64) ([]service, uint64, error) {
	path := "/v1/health/service/" + name + c.blockingQuery(after)
	resp, err := c.do(ctx, call{name: "list", method: http.MethodGet, path: path, timeout: c.wait + waitMargin})
	if err != nil {
		return nil, 0, err
	}
	var entries []struct{ Service service }
	if err := json.Unmarshal(resp.body, &entries); err != nil {
		return nil, 0, &Error{Call: "list", Outcome: OutcomeNotApplied, Status: resp.status, Err: err}
	}
	list := make([]service, 0, len(entries))
	for _, e := range entries {
		list = append(list, e.Service)
	}
	return list, resp.index, nil
}

func (c *Client) list(ctx context.Context, after uint64) ([]member.Listing, uint64, error) {
	services, index, err := c.services(ctx, instanceService, after)
	if err != nil {
		return nil, 0, err
	}
	list := make([]member.Listing, 0, len(services))
	for _, s := range services {
		ip, err := netip.ParseAddr(s.Address)
		if err != nil {
			continue
		}
		list = append(list, member.Listing{
			Instance:   core.Instance(s.ID),
			DataCentre: core.DataCentre(s.Meta[metaCentre]),
			Address:    netip.AddrPortFrom(ip, s.Port),
			Leaving:    s.Meta[metaState] == stateLeaving,
		})
	}
	return list, index, nil
}

func (c *Client) endpoints(ctx context.Context, after uint64) ([]core.Endpoint, uint64, error) {
	services, index, err := c.services(ctx, endpointService, after)
	if err != nil {
		return nil, 0, err
	}
	var leaving []core.Endpoint
	for _, s := range services {
		if s.Meta[metaState] == stateLeaving {
			leaving = append(leaving, core.Endpoint(s.ID))
		}
	}
	return leaving, index, nil
}
