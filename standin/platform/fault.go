package platform

import (
	"maps"
	"net/http"
	"strings"
	"time"

	"anviltack/core/patch"
	"anviltack/standin/control"
)

// Fault is the body of PUT /fault; it replaces all faults.
type Fault struct {
	// Down drops the connection of every call without an answer.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow patch.Duration `json:"slow"`
	// LoseAnswers is how many of the next changes take effect without an
	// answer.
	LoseAnswers int `json:"lose_answers"`
	// ListLag is the delay after which a change of the instance list becomes
	// visible.
	ListLag patch.Duration `json:"list_lag"`
}

// Stats is the response to GET /stats.
type Stats struct {
	// Calls counts calls by kind, such as "get kv".
	Calls map[string]int `json:"calls"`
}

// Handler returns the handler of the platform's API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", p.serveGet)
	mux.HandleFunc("PUT /v1/kv/{key...}", p.servePut)
	mux.HandleFunc("DELETE /v1/kv/{key...}", p.serveDelete)
	mux.HandleFunc("PUT /v1/session/create", p.serveSessionCreate)
	mux.HandleFunc("PUT /v1/session/renew/{id}", p.serveSessionRenew)
	mux.HandleFunc("PUT /v1/session/destroy/{id}", p.serveSessionDestroy)
	mux.HandleFunc("PUT /v1/agent/service/register", p.serveRegister)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", p.serveDeregister)
	mux.HandleFunc("GET /v1/health/service/{name}", p.serveHealth)
	return p.withFaults(mux)
}

func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /fault", p.serveFault)
	mux.HandleFunc("GET /stats", p.serveStats)
	return mux
}

// withFaults counts each call and injects the faults into it.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.stats.Calls[callKind(r)]++
		fault := p.fault
		lose := r.Method != http.MethodGet && fault.LoseAnswers > 0
		if lose && !fault.Down {
			p.fault.LoseAnswers--
		}
		p.mu.Unlock()
		if fault.Down {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(time.Duration(fault.Slow))
		if lose {
			next.ServeHTTP(discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
		if p.isDown() {
			panic(http.ErrAbortHandler)
		}
	})
}

func (p *Platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault.Down
}

// callKind returns the method and the first path segment of a call.
func callKind(r *http.Request) string {
	path, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	return strings.ToLower(r.Method) + " " + path
}

// discardWriter is the response writer of an answer that is to be lost.
type discardWriter struct{ header http.Header }

// Header returns a header that is not sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write drops the body.
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (d discardWriter) WriteHeader(int) {}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !control.ReadFault(w, r, &f) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.advanceIndex()
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	stats := Stats{Calls: maps.Clone(p.stats.Calls)}
	p.mu.Unlock()
	control.WriteJSON(w, stats)
}
