package peer

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/core/member"
	"anviltack/core/patch"
)

const testToken = "token"

func TestCalls(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	self := member.Heartbeat{
		Instance: "b", DataCentre: "y", Address: netip.MustParseAddrPort("127.0.0.1:7002"), Version: 3,
		Uptime: 1500 * time.Millisecond, Draining: true, Leaving: []core.Endpoint{"e1"}, LeavingIndex: 9,
	}
	sender := member.Heartbeat{Instance: "a", DataCentre: "x", Address: netip.MustParseAddrPort("127.0.0.1:7001")}
	var received member.Heartbeat
	var pushed Update
	var announced Promotion
	s := httptest.NewServer(NewHandler(testToken, Handlers{
		Heartbeat: func(_ context.Context, h member.Heartbeat) member.Heartbeat { received = h; return self },
		Pull: func(_ context.Context, version uint64) Update {
			return Update{Version: version + 1, Document: &patch.Document{Version: version + 1}}
		},
		Push: func(_ context.Context, u Update) (uint64, error) { pushed = u; return u.Version, nil },
		Opinion: func(_ context.Context, r OpinionRequest) Opinion {
			return Opinion{Known: true, Term: r.Term + 1, SinceResponse: time.Second, SinceConfirmation: time.Minute}
		},
		Promoted: func(_ context.Context, p Promotion) { announced = p },
	}))
	defer s.Close()
	to := netip.MustParseAddrPort(s.Listener.Addr().String())
	c := NewClient(testToken)

	h, err := c.Heartbeat(ctx, to, sender)
	is.NoErr(err)
	is.Equal(h, self)
	is.Equal(received, sender)

	u, err := c.Pull(ctx, to, 4)
	is.NoErr(err)
	is.Equal(u.Document.Version, uint64(5))

	sent := Update{
		Version: 5, Receivers: []netip.AddrPort{to}, From: "x",
		Entries: []patch.Entry{{Version: 5, Base: 4, ID: "p", Patch: []byte(`{}`)}},
	}
	v, err := c.Push(ctx, to, sent)
	is.NoErr(err)
	is.Equal(v, uint64(5))
	is.Equal(pushed, sent)

	o, err := c.Opinion(ctx, to, OpinionRequest{Group: "g", Term: 7})
	is.NoErr(err)
	is.Equal(o, Opinion{Known: true, Term: 8, SinceResponse: time.Second, SinceConfirmation: time.Minute})

	p := Promotion{Group: "g", Term: 8, Endpoint: "e"}
	is.NoErr(c.AnnouncePromotion(ctx, to, p))
	is.Equal(announced, p)
}

func TestUnsupportedCalls(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(NewHandler(testToken, Handlers{}))
	defer s.Close()
	to := netip.MustParseAddrPort(s.Listener.Addr().String())
	_, err := NewClient(testToken).Heartbeat(context.Background(), to, member.Heartbeat{Instance: "a", DataCentre: "x"})
	is.True(err != nil)
	_, err = NewClient(testToken).Pull(context.Background(), to, 1)
	is.True(err != nil)
}

// TestToken checks that a push with a missing or wrong token is rejected.
func TestToken(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(NewHandler(testToken, Handlers{
		Push: func(context.Context, Update) (uint64, error) { t.Error("pushed without a token"); return 0, nil },
	}))
	defer s.Close()
	to := netip.MustParseAddrPort(s.Listener.Addr().String())
	for _, token := range []string{"", "other"} {
		_, err := NewClient(token).Push(context.Background(), to, Update{Version: 1 << 60})
		is.True(err != nil)
	}
}
