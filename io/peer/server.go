package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"anviltack/core"
	"anviltack/core/admit"
	"anviltack/core/member"
	"anviltack/io/bearer"
	"anviltack/io/peer/wire"
)

// maxRequestBytes bounds the body of a peer's request.
const maxRequestBytes = 4 << 20

// Handlers handle the calls of other instances; the call of a nil handler fails as
// unimplemented.
type Handlers struct {
	Heartbeat func(ctx context.Context, h member.Heartbeat) member.Heartbeat
	Pull      func(ctx context.Context, version uint64) Update
	Push      func(ctx context.Context, u Update) (uint64, error)
	Opinion   func(ctx context.Context, r OpinionRequest) Opinion
	Promoted  func(ctx context.Context, p Promotion)
	// RequestSlot blocks until a slot is free or the owner gives up.
	RequestSlot func(ctx context.Context, e core.Endpoint, r admit.SlotRequest) (admit.SlotGrant, error)
	ReturnSlot  func(e core.Endpoint, r admit.SlotRequest)
	RecallSlot  func(e core.Endpoint, from core.Instance, r admit.SlotRecall)
}

// NewHandler returns the HTTP handler of the peer protocol, which rejects requests
// without the token.
func NewHandler(token string, h Handlers) http.Handler {
	next := http.MaxBytesHandler(wire.NewPeerServer(&server{handlers: h}), maxRequestBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !bearer.HasToken(r, token) {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// server implements wire.Peer.
type server struct {
	handlers Handlers
}

func errNotImplemented(name string) error {
	return twirp.NewError(twirp.Unimplemented, name+" is not implemented")
}

// Beat handles a heartbeat and returns this instance's heartbeat.
func (s *server) Beat(ctx context.Context, m *wire.Heartbeat) (*wire.Heartbeat, error) {
	if s.handlers.Heartbeat == nil {
		return nil, errNotImplemented("Beat")
	}
	h, err := decodeHeartbeat(m)
	if err != nil {
		return nil, twirp.InvalidArgumentError("heartbeat", err.Error())
	}
	return encodeHeartbeat(s.handlers.Heartbeat(ctx, h)), nil
}

// Pull returns this instance's configuration if it is newer than the requesting peer's.
func (s *server) Pull(ctx context.Context, m *wire.PullRequest) (*wire.Document, error) {
	if s.handlers.Pull == nil {
		return nil, errNotImplemented("Pull")
	}
	d, err := encodeUpdate(s.handlers.Pull(ctx, m.GetVersion()))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return d, nil
}

// Push handles an update.
func (s *server) Push(ctx context.Context, m *wire.Document) (*wire.Acknowledgement, error) {
	if s.handlers.Push == nil {
		return nil, errNotImplemented("Push")
	}
	u, err := decodeUpdate(m)
	if err != nil {
		return nil, twirp.InvalidArgumentError("document", err.Error())
	}
	version, err := s.handlers.Push(ctx, u)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &wire.Acknowledgement{Version: version}, nil
}

// Opinion returns this instance's view of a group's primary.
func (s *server) Opinion(ctx context.Context, m *wire.OpinionRequest) (*wire.OpinionReply, error) {
	if s.handlers.Opinion == nil {
		return nil, errNotImplemented("Opinion")
	}
	o := s.handlers.Opinion(ctx, OpinionRequest{Group: core.Group(m.GetGroup()), Term: m.GetTerm()})
	return &wire.OpinionReply{
		Known: o.Known, Term: o.Term,
		SilentMs: uint64(max(o.SinceResponse.Milliseconds(), 0)), StalledMs: uint64(max(o.SinceConfirmation.Milliseconds(), 0)),
	}, nil
}

// Promoted handles the announcement of a promotion.
func (s *server) Promoted(ctx context.Context, m *wire.Promotion) (*wire.Acknowledgement, error) {
	if s.handlers.Promoted == nil {
		return nil, errNotImplemented("Promoted")
	}
	s.handlers.Promoted(ctx, Promotion{Group: core.Group(m.GetGroup()), Term: m.GetTerm(), Endpoint: core.Endpoint(m.GetEndpoint())})
	return &wire.Acknowledgement{}, nil
}
