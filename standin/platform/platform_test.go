package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// leaseID matches the identifiers of leases.
var leaseID = regexp.MustCompile(`[A-Z2-7]{26}`)

// harness is a platform and the leases that were created, in the order of
// creation.
type harness struct {
	is       *is.I
	platform *Platform
	server   *httptest.Server
	leases   []string
}

func (h *harness) call(method, url, body string) string {
	for i, id := range h.leases {
		url = strings.ReplaceAll(url, fmt.Sprintf("lease%d", i+1), id)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	h.is.NoErr(err)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	h.is.NoErr(err)
	text := string(answer)
	for _, id := range leaseID.FindAllString(text, -1) {
		if !strings.Contains(strings.Join(h.leases, " "), id) {
			h.leases = append(h.leases, id)
		}
	}
	for i, id := range h.leases {
		text = strings.ReplaceAll(text, id, fmt.Sprintf("lease%d", i+1))
	}
	index := response.Header.Get(indexHeader)
	return fmt.Sprintf("%d %s\n%s", response.StatusCode, index, text)
}

func (h *harness) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "fault":
		w := httptest.NewRecorder()
		h.platform.controlHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/fault", strings.NewReader(d.Input)))
		return fmt.Sprint(w.Code)
	case "lapse":
		h.platform.mu.Lock()
		defer h.platform.mu.Unlock()
		h.platform.expireLeases(time.Now().Add(time.Hour))
		return ""
	}
	return h.call(d.Cmd, h.server.URL+d.CmdArgs[0].String(), d.Input)
}

func TestPlatform(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		p := New(netip.AddrPort{}, netip.AddrPort{})
		h := &harness{is: is.New(t), platform: p, server: httptest.NewServer(p.Handler())}
		defer h.server.Close()
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return h.run(d) })
	})
}

func TestWatchWakes(t *testing.T) {
	is := is.New(t)
	p := New(netip.AddrPort{}, netip.AddrPort{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	h := &harness{is: is, platform: p, server: server}
	answer := make(chan string, 1)
	go func() { answer <- h.call(http.MethodGet, server.URL+"/v1/kv/k?index=1&wait=60s", "") }()
	is.Equal(h.call(http.MethodPut, server.URL+"/v1/kv/k", "v"), "200 \ntrue\n")
	is.True(strings.HasPrefix(<-answer, "200 2"))
}
