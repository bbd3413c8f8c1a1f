package consul

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core/member"
)

// fakeConsul serves one key and the list, and can drop its responses to changes.
type fakeConsul struct {
	mu            sync.Mutex
	index         uint64
	value         []byte
	status        int
	dropResponses bool
	registrations []string
	calls         int
}

func (f *fakeConsul) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	body, _ := io.ReadAll(r.Body)
	if f.status != 0 {
		w.WriteHeader(f.status)
		return
	}
	result := f.handle(r, body)
	if f.dropResponses && r.Method == http.MethodPut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Consul-Index", fmt.Sprint(f.index))
	if result == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(result)
}

func (f *fakeConsul) stored() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return string(f.value)
}

func (f *fakeConsul) handle(r *http.Request, body []byte) any {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/v1/kv/k":
		if f.index == 0 {
			return nil
		}
		return []any{map[string]any{"Value": f.value, "ModifyIndex": f.index}}
	case r.Method == http.MethodGet:
		entries := make([]any, 0, len(f.registrations))
		for _, b := range f.registrations {
			entries = append(entries, map[string]any{"Service": json.RawMessage(b)})
		}
		return entries
	case r.URL.Query().Has("cas"):
		if r.URL.Query().Get("cas") != fmt.Sprint(f.index) {
			return false
		}
		f.index += 2
		f.value = body
		return true
	case r.URL.Path == "/v1/session/create":
		return map[string]string{"ID": "s1"}
	case r.URL.Query().Has("acquire"):
		return len(f.registrations) == 0
	}
	f.registrations = append(f.registrations, string(body))
	return true
}

func serve(t *testing.T, f *fakeConsul) netip.AddrPort {
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// closedAddress returns an address that refuses connections.
func closedAddress() netip.AddrPort {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func TestStore(t *testing.T) {
	is := is.New(t)
	f := &fakeConsul{}
	p := New([]netip.AddrPort{closedAddress(), serve(t, f)}).Store()
	ctx := context.Background()
	e, err := p.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(e.Index, uint64(0))
	swapped, err := p.Swap(ctx, "k", 0, []byte("one"))
	is.NoErr(err)
	is.True(swapped)
	swapped, err = p.Swap(ctx, "k", 0, []byte("two"))
	is.NoErr(err)
	is.True(!swapped)
	e, err = p.Watch(ctx, "k", 0)
	is.NoErr(err)
	is.Equal(string(e.Value), "one")
	is.Equal(e.Index, uint64(2))
}

// TestOutcomes checks that the error of a failed change states whether the change may
// have been applied, and that such a change is not sent to another address.
func TestOutcomes(t *testing.T) {
	ctx := context.Background()
	t.Run("refused connection", func(t *testing.T) {
		is := is.New(t)
		_, err := New([]netip.AddrPort{closedAddress()}).Store().Swap(ctx, "k", 0, nil)
		is.True(err != nil)
		is.True(!IsUnknown(err))
	})
	t.Run("lost response", func(t *testing.T) {
		is := is.New(t)
		f, other := &fakeConsul{dropResponses: true}, &fakeConsul{}
		p := New([]netip.AddrPort{serve(t, f), serve(t, other)}).Store()
		_, err := p.Swap(ctx, "k", 0, []byte("one"))
		is.True(IsUnknown(err))
		is.Equal(f.stored(), "one")
		is.Equal(other.calls, 0)
	})
	t.Run("timeout", func(t *testing.T) {
		is := is.New(t)
		stop := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
		defer s.Close()
		defer close(stop)
		a := netip.MustParseAddrPort(s.Listener.Addr().String())
		_, err := New([]netip.AddrPort{a}, WithTimeout(20*time.Millisecond)).Store().Swap(ctx, "k", 0, nil)
		is.True(IsUnknown(err))
	})
	for status, unknown := range map[int]bool{500: true, 503: true, 400: false, 403: false, 404: false} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			_, err := New([]netip.AddrPort{serve(t, &fakeConsul{status: status})}).Store().Swap(ctx, "k", 0, nil)
			is.True(err != nil)
			is.Equal(IsUnknown(err), unknown)
		})
	}
}

func TestList(t *testing.T) {
	is := is.New(t)
	f := &fakeConsul{}
	l := New([]netip.AddrPort{serve(t, f)}).List()
	ctx := context.Background()
	want := member.Listing{Instance: "a", DataCentre: "x", Address: netip.MustParseAddrPort("127.0.0.1:7432"), Leaving: true}
	is.NoErr(l.Register(ctx, want))
	got, _, err := l.Watch(ctx, 0)
	is.NoErr(err)
	is.Equal(got, []member.Listing{want})
	is.NoErr(l.Deregister(ctx, "a"))
}
