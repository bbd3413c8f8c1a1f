package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"anviltack/core/member"
	"anviltack/core/patch"
	"anviltack/io/consul"
	"anviltack/io/operator"
)

// Timeouts and retry delays of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// submitTimeout bounds the submission of one patch, including the time to
	// find out whether a write whose response was lost succeeded.
	submitTimeout       = 8 * time.Second
	submitRetryDelay    = 50 * time.Millisecond
	maxSubmitRetryDelay = time.Second
)

// httpServer serves HTTP requests on one address.
type httpServer struct {
	name    string
	address netip.AddrPort
	handler http.Handler
}

// String returns the name of the service in logs.
func (s *httpServer) String() string { return s.name }

// Serve answers requests until the context ends.
func (s *httpServer) Serve(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", s.address.String())
	if err != nil {
		return fmt.Errorf("instance: could not listen for %s: %w", s.name, err)
	}
	server := http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(socket)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("instance: %s server ended: %w", s.name, err)
}

var errNoPlatform = errors.New("instance: no platform is configured")

// operatorServer returns the server for operators' requests.
func (in *Instance) operatorServer() operator.Server {
	return operator.Server{
		Token:   in.settings.Token,
		Metrics: in.metrics,
		Dump:    func() any { return in.Dump() },
		Status:  in.status,
		InForce: func() patch.Document { return in.membership.Load().document },
		Stored:  in.stored,
		Submit:  in.submit,
	}
}

// stored reads the configuration document that the platform stores.
func (in *Instance) stored(ctx context.Context) (patch.Document, error) {
	if in.platform.Get == nil {
		return patch.Document{}, &patch.UnavailableError{Err: errNoPlatform}
	}
	e, err := in.platform.Get(ctx, patch.Key)
	if err != nil {
		return patch.Document{}, &patch.UnavailableError{Err: err}
	}
	if e.Index == 0 {
		return patch.Document{}, nil
	}
	return patch.Parse(e.Value)
}

// submit stores a patch and adopts the resulting configuration.
func (in *Instance) submit(ctx context.Context, r patch.Request) (uint64, error) {
	if in.platform.Swap == nil {
		return 0, &patch.UnavailableError{Err: errNoPlatform}
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	d, version, err := submitter(in.platform).Submit(ctx, r, time.Now(), in.membership.Load().document.Version)
	if err != nil {
		return 0, err
	}
	in.control.post(ctx, func(now time.Time) { in.control.membership.adopt(now, d, patch.SourceOperator) })
	return version, nil
}

func submitter(p consul.Store) patch.Submitter {
	return patch.Submitter{
		Get: func(ctx context.Context) (patch.StoredValue, error) {
			e, err := p.Get(ctx, patch.Key)
			return patch.StoredValue{Index: e.Index, Value: e.Value}, err
		},
		Swap: func(ctx context.Context, index uint64, value []byte) (bool, error) {
			swapped, err := p.Swap(ctx, patch.Key, index, value)
			if err != nil && !consul.IsUnknown(err) {
				return false, nil
			}
			return swapped, err
		},
		Wait: func(ctx context.Context, attempt int) error {
			sleep(ctx, min(submitRetryDelay*time.Duration(attempt), maxSubmitRetryDelay))
			return ctx.Err()
		},
	}
}

// status returns the state of groups, endpoints and instances as this instance
// sees it.
func (in *Instance) status() operator.Status {
	view := in.membership.Load()
	s := operator.Status{
		Instance: view.self.Instance, DataCentre: view.self.DataCentre, Version: in.View().Version, Source: view.source,
		Draining: view.self.State == member.StateLeaving, Watching: view.isWatcher, Rank: view.rank, Instances: view.members,
	}
	for _, g := range in.Dump().Groups {
		group := operator.GroupStatus{Group: g.Group, Term: g.Term, Primary: g.Primary}
		for _, m := range g.Members {
			group.Endpoints = append(group.Endpoints, operator.EndpointStatus{
				Endpoint: m.Endpoint, DataCentre: m.DataCentre, Role: m.Status.Role, Leaving: m.Leaving, Applied: m.Status.Applied,
			})
		}
		s.Groups = append(s.Groups, group)
	}
	return s
}
