package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's metadata store: keys with revisions, conditional writes,
// leases and watches.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	leases   map[uint64]storeLease
	last     uint64
	events   []storeEvent
	oldest   uint64
	changed  chan struct{}
	// down leaves calls unanswered while it returns true for the caller's address.
	down func(remote string) bool
	era  uint64
	// late delays a write whose answer is lost; zero for none.
	late func() time.Duration
	// loses reports whether the answer to a write is lost.
	loses func() bool
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type storeEvent struct {
	storeItem
	Removed bool `json:"removed,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() *Store {
	s := &Store{items: map[string]storeItem{}, leases: map[uint64]storeLease{}, changed: make(chan struct{})}
	s.down = func(string) bool { return false }
	s.loses = func() bool { return false }
	s.late = func() time.Duration { return 0 }
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			now := time.Now()
			for id, l := range s.leases {
				if now.After(l.expires) {
					s.end(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *Store) record(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(storeEvent{storeItem: i})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.record(storeEvent{storeItem: storeItem{Key: key, Revision: s.revision}, Removed: true})
	}
}

func (s *Store) end(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

// Put writes a key of the operator or a server.
func (s *Store) Put(key string, v any) {
	b, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
}

// Remove removes a key of a server.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the value of a key.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// viewKey is the context key of a reader's view: the addresses by which it reaches servers.
type viewKey struct{}

// seen returns an item as a reader sees it.
func seen(r *http.Request, i storeItem) storeItem {
	if view, ok := r.Context().Value(viewKey{}).(func(storeItem) storeItem); ok {
		return view(i)
	}
	return i
}

func (s *Store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.eraNow(), 10))
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		i, ok := s.items[r.URL.Query().Get("key")]
		rev := s.revision
		s.mu.Unlock()
		if !ok {
			s.answer(w, 404, map[string]any{"storeRevision": rev})
			return
		}
		s.answer(w, 200, struct {
			storeItem
			StoreRevision uint64 `json:"storeRevision"`
		}{i, rev})
	})
	mux.HandleFunc("GET /v1/kv-range", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		items := []storeItem{}
		s.mu.Lock()
		for k, i := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				items = append(items, seen(r, i))
			}
		}
		rev := s.revision
		s.mu.Unlock()
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		s.answer(w, 200, map[string]any{"items": items, "hasMore": false, "storeRevision": rev})
	})
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var b struct{ TTLMs int64 }
		_ = json.NewDecoder(r.Body).Decode(&b)
		s.mu.Lock()
		s.last++
		id := s.last
		ttl := time.Duration(b.TTLMs) * time.Millisecond
		s.leases[id] = storeLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		s.answer(w, 200, map[string]any{"lease": id, "ttlMs": b.TTLMs})
	})
	mux.HandleFunc("POST /v1/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.expires = time.Now().Add(l.ttl)
			s.leases[id] = l
		}
		s.mu.Unlock()
		if !ok {
			s.answer(w, 404, nil)
			return
		}
		s.answer(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		s.end(id)
		s.mu.Unlock()
		s.answer(w, 200, nil)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		if s.down(r.RemoteAddr) {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		events := []storeEvent{}
		s.mu.Lock()
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				e.storeItem = seen(r, e.storeItem)
				events = append(events, e)
			}
		}
		rev, changed := s.revision, s.changed
		known := after >= s.oldest && after <= s.revision
		s.mu.Unlock()
		if !known {
			s.answer(w, 410, nil)
			return
		}
		if len(events) > 0 || !waiting {
			if s.down(r.RemoteAddr) {
				panic(http.ErrAbortHandler)
			}
			s.answer(w, 200, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Precondition []condition
		Puts         []write
		Deletes      []string
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		s.answer(w, 400, nil)
		return
	}
	if d := s.late(); d > 0 {
		go func() {
			time.Sleep(d)
			s.execute(b.Precondition, b.Puts, b.Deletes)
		}()
		panic(http.ErrAbortHandler)
	}
	status, rev, now := s.execute(b.Precondition, b.Puts, b.Deletes)
	if s.loses() {
		panic(http.ErrAbortHandler)
	}
	if status == 412 {
		s.answer(w, 412, map[string]any{"items": now})
		return
	}
	s.answer(w, status, map[string]any{"revision": rev})
}

type condition struct {
	Key      string
	Revision uint64
}

type write struct {
	Key   string
	Value []byte
	Lease uint64
}

func (s *Store) eraNow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Store) execute(preconditions []condition, puts []write, deletes []string) (int, uint64, []storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := 200
	now := []storeItem{}
	for _, c := range preconditions {
		if s.items[c.Key].Revision != c.Revision {
			status = 412
		}
		if i, ok := s.items[c.Key]; ok {
			now = append(now, i)
		}
	}
	for _, p := range puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			status = 404
		}
	}
	if status == 200 {
		for _, p := range puts {
			s.put(p.Key, p.Value, p.Lease)
		}
		for _, k := range deletes {
			s.remove(k)
		}
	}
	return status, s.revision, now
}

// Copy is a copy of a store.
type Copy struct {
	revision uint64
	items    map[string]storeItem
	leases   map[uint64]storeLease
	last     uint64
	at       time.Time
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.items), maps.Clone(s.leases), s.last, time.Now()}
}

// Restore puts a copy in the place of the store. Whatever was written since is gone; it
// returns what the operator and the servers have to write again.
func (s *Store) Restore(c Copy) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	again := map[string][]byte{}
	for k, i := range s.items {
		if strings.HasPrefix(k, "op/") || strings.HasPrefix(k, "servers/") {
			again[k] = i.Value
		}
	}
	s.era++
	s.revision, s.items, s.last, s.events = c.revision, maps.Clone(c.items), c.last, nil
	s.oldest = c.revision
	s.leases = map[uint64]storeLease{}
	for id, l := range c.leases {
		l.expires = l.expires.Add(time.Since(c.at))
		s.leases[id] = l
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return again
}
