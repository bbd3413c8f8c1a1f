package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"anviltack/standin/control"
)

const (
	// pageSize is the most items in one answer to a range, and pageBytes the size in bytes of
	// its values from which it ends.
	pageSize  = 500
	pageBytes = 1 << 20
	// expiryInterval is the time between checks of leases while a watch waits.
	expiryInterval = 50 * time.Millisecond
)

// Handler serves the store's calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /v1/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		down := s.down
		s.expireLeases()
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	s.writeHeader(w)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
	}
	control.WriteJSON(w, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{i, revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < min(len(items), pageSize) && size < pageBytes {
		size += len(items[n].Value)
		n++
	}
	s.writeHeader(w)
	control.WriteJSON(w, struct {
		Items         []item `json:"items"`
		HasMore       bool   `json:"hasMore"`
		StoreRevision uint64 `json:"storeRevision"`
	}{items[:n], n < len(items), revision})
}

// serveWatch answers once there are events after the revision, or when the wait is over.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		s.expireLeases()
		events := []event{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		known := after >= s.oldest && after <= s.revision
		revision, changed, restored := s.revision, s.changed, s.restored
		s.mu.Unlock()
		if !known {
			s.writeHeader(w)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !waiting {
			s.writeHeader(w)
			control.WriteJSON(w, struct {
				Events        []event `json:"events"`
				StoreRevision uint64  `json:"storeRevision"`
			}{events, revision})
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-restored:
			panic(http.ErrAbortHandler)
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusOK
	for _, p := range body.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			status = http.StatusNotFound
		}
		if isForeign(p.Key) {
			status = http.StatusForbidden
		}
	}
	for _, c := range body.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		for _, p := range body.Puts {
			s.put(p.Key, p.Value, p.Lease)
		}
		for _, key := range body.Deletes {
			s.remove(key)
		}
	}
	revision, lost := s.revision, s.losesAnswer
	s.losesAnswer = false
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	s.writeHeader(w)
	w.WriteHeader(status)
	control.WriteJSON(w, struct {
		Revision uint64 `json:"revision"`
	}{revision})
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	s.writeHeader(w)
	control.WriteJSON(w, struct {
		Lease uint64 `json:"lease"`
		TTL   int64  `json:"ttlMs"`
	}{id, body.TTL})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	s.writeHeader(w)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	control.WriteJSON(w, struct {
		TTL int64 `json:"ttlMs"`
	}{l.ttl.Milliseconds()})
}

func (s *Store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	s.writeHeader(w)
}
