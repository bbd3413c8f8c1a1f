package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"anviltack/core"
	"anviltack/core/member"
)

// The names under which instances stand on the list.
const (
	serviceName  = "anviltack"
	stateLive    = "live"
	stateLeaving = "leaving"
	metaCentre   = "data_centre"
	metaState    = "state"
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
		ID: l.Instance, Name: serviceName, Address: l.Address.Addr().String(), Port: l.Address.Port(),
		Meta: map[string]string{metaCentre: string(l.DataCentre), metaState: state},
	})
	if err != nil {
		return fmt.Errorf("platform: cannot encode a listing: %w", err)
	}
	return c.put(ctx, "register", "/v1/agent/service/register", body, nil)
}

func (c *Client) deregister(ctx context.Context, i core.Instance) error {
	return c.put(ctx, "deregister", "/v1/agent/service/deregister/"+string(i), nil, nil)
}

func (c *Client) list(ctx context.Context, after uint64) ([]member.Listing, uint64, error) {
	path := "/v1/health/service/" + serviceName + c.blocking(after)
	a, err := c.do(ctx, call{name: "list", method: http.MethodGet, path: path, timeout: c.wait + waitSlack})
	if err != nil {
		return nil, 0, err
	}
	var entries []struct {
		Service struct {
			ID      core.Instance
			Address string
			Port    uint16
			Meta    map[string]string
		}
		Checks []struct{ Status string }
	}
	if err := json.Unmarshal(a.body, &entries); err != nil {
		return nil, 0, &Error{Call: "list", Outcome: OutcomeDidNotHappen, Status: a.status, Err: err}
	}
	list := make([]member.Listing, 0, len(entries))
	for _, e := range entries {
		ip, err := netip.ParseAddr(e.Service.Address)
		if err != nil {
			continue
		}
		list = append(list, member.Listing{
			Instance:   e.Service.ID,
			DataCentre: core.DataCentre(e.Service.Meta[metaCentre]),
			Address:    netip.AddrPortFrom(ip, e.Service.Port),
			Leaving:    e.Service.Meta[metaState] == stateLeaving,
		})
	}
	return list, a.index, nil
}
