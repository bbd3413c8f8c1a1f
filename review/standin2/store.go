package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type kvEvent struct {
	kvItem
	Removed bool `json:"removed,omitempty"`
}

// kvStore is the platform's metadata store.
type kvStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]kvItem
	events   []kvEvent
	leases   map[uint64]time.Time
	ttls     map[uint64]time.Duration
	last     uint64
	changed  chan struct{}
}

func newStore() *kvStore {
	return &kvStore{revision: 1, items: map[string]kvItem{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, changed: make(chan struct{})}
}

func (s *kvStore) notify() { close(s.changed); s.changed = make(chan struct{}) }

func (s *kvStore) putLocked(key string, value []byte, lease uint64) {
	i := s.items[key]
	if i.Created == 0 {
		i.Created = s.revision
	}
	i.Key, i.Value, i.Revision, i.Lease = key, value, s.revision, lease
	s.items[key] = i
	s.events = append(s.events, kvEvent{kvItem: i})
}

func (s *kvStore) deleteLocked(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, kvEvent{kvItem: kvItem{Key: key, Revision: s.revision}, Removed: true})
	}
}

// Put writes a key as the operator or a backend.
func (s *kvStore) Put(key string, value any) {
	b, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, b, 0)
	s.notify()
}

func (s *kvStore) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.deleteLocked(key)
	s.notify()
}

func (s *kvStore) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, t := range s.leases {
			if time.Now().After(t) {
				s.endLeaseLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *kvStore) endLeaseLocked(id uint64) {
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.deleteLocked(k)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		i, ok := s.items[r.URL.Query().Get("key")]
		rev := s.revision
		s.mu.Unlock()
		status := 200
		if !ok {
			status = 404
		}
		reply(w, status, struct {
			kvItem
			StoreRevision uint64 `json:"storeRevision"`
		}{i, rev})
	})
	mux.HandleFunc("GET /v1/kv-range", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		s.mu.Lock()
		list := []kvItem{}
		for k, i := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				list = append(list, i)
			}
		}
		rev := s.revision
		s.mu.Unlock()
		sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
		n, size := 0, 0
		for n < len(list) && n < 500 && size < 1<<20 {
			size += len(list[n].Value)
			n++
		}
		reply(w, 200, map[string]any{"items": list[:n], "hasMore": n < len(list), "storeRevision": rev})
	})
	mux.HandleFunc("GET /v1/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		for done := false; ; {
			s.mu.Lock()
			events := []kvEvent{}
			for _, e := range s.events {
				if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
					events = append(events, e)
				}
			}
			rev, changed := s.revision, s.changed
			s.mu.Unlock()
			if len(events) > 0 || done {
				reply(w, 200, map[string]any{"events": events, "storeRevision": rev})
				return
			}
			select {
			case <-changed:
			case <-end:
				done = true
			case <-r.Context().Done():
				return
			}
		}
	})
	mux.HandleFunc("POST /v1/kv-txn", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
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
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(400)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, p := range in.Precondition {
			if s.items[p.Key].Revision != p.Revision {
				items := []kvItem{}
				for _, p := range in.Precondition {
					items = append(items, s.items[p.Key])
				}
				reply(w, 412, map[string]any{"items": items})
				return
			}
		}
		for _, p := range in.Puts {
			if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
				reply(w, 404, map[string]any{})
				return
			}
		}
		s.revision++
		for _, p := range in.Puts {
			s.putLocked(p.Key, p.Value, p.Lease)
		}
		for _, k := range in.Deletes {
			s.deleteLocked(k)
		}
		s.notify()
		reply(w, 200, map[string]any{"revision": s.revision})
	})
	mux.HandleFunc("POST /v1/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var in struct{ TtlMs int64 }
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.last++
		id := s.last + 77000
		s.ttls[id] = time.Duration(in.TtlMs) * time.Millisecond
		s.leases[id] = time.Now().Add(s.ttls[id])
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttlMs": in.TtlMs})
	})
	mux.HandleFunc("POST /v1/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.leases[id] = time.Now().Add(s.ttls[id])
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"ttlMs": s.ttls[id].Milliseconds()})
	})
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		s.endLeaseLocked(id)
		s.mu.Unlock()
		reply(w, 200, map[string]any{})
	})
	return mux
}

func serveHTTP(address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	check(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}
