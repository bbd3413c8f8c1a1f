package platform

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"anviltack/standin/control"
)

var errInvalidSession = errors.New("invalid session")

const defaultTTL = 15 * time.Second

func (p *Platform) serveSessionCreate(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL      string
		Behavior string
		Name     string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl := defaultTTL
	if body.TTL != "" {
		var err error
		if ttl, err = time.ParseDuration(body.TTL); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	id := rand.Text()
	p.mu.Lock()
	p.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	p.mu.Unlock()
	control.WriteJSON(w, struct{ ID string }{id})
}

func (p *Platform) serveSessionRenew(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	p.mu.Lock()
	now := time.Now()
	p.expireLeases(now)
	l := p.leases[id]
	if l != nil {
		l.expires = now.Add(l.ttl)
	}
	p.mu.Unlock()
	if l == nil {
		http.Error(w, "Session id '"+id+"' not found", http.StatusNotFound)
		return
	}
	control.WriteJSON(w, []struct{ ID, TTL string }{{id, l.ttl.String()}})
}

func (p *Platform) serveSessionDestroy(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.destroyLease(r.PathValue("id"))
	p.mu.Unlock()
	control.WriteJSON(w, true)
}
