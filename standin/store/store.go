// Package store is a stand-in for the metadata store of the users' platform: keys with
// revisions, conditional writes, leases and watches over HTTP. It can be restored from an
// older copy of itself, which loses what was written since.
package store

import (
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Prefixes of the keys that only the operator and the endpoints write.
const (
	operatorPrefix = "op/"
	endpointPrefix = "servers/"
)

// item is a key with its value.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// event is a change of a key.
type event struct {
	item
	Removed bool `json:"removed,omitempty"`
}

// lease is a lease with the time that it has left when it is copied.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store holds all its state in memory.
type Store struct {
	mu  sync.Mutex
	era uint64
	// revision counts changes; a restore sets it back.
	revision uint64
	items    map[string]item
	leases   map[uint64]lease
	// lastLease is the ID of the lease granted last; a restore sets it back.
	lastLease uint64
	// events are the changes after oldest.
	events []event
	oldest uint64
	// changed is closed and replaced with each change, and restored with each restore.
	changed  chan struct{}
	restored chan struct{}
	down     bool
	// header overrides the era header of answers; empty means the era.
	header string
	// losesAnswer drops the answer to the next conditional write.
	losesAnswer bool
	calls       int
}

// Copy is a copy of a store's state.
type Copy struct {
	revision  uint64
	items     map[string]item
	leases    map[uint64]lease
	lastLease uint64
	at        time.Time
}

// New returns a store that was never restored.
func New() *Store {
	return &Store{items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{}), restored: make(chan struct{})}
}

// Copy returns a copy of the state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return Copy{revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases), lastLease: s.lastLease, at: time.Now()}
}

// Restore replaces the state by a copy: whatever was written since is gone, leases too.
// Leases of the copy have the time left that they had. Keys of the operator and of
// endpoints are as in the copy until Rewrite writes them again. Waiting watches are cut.
func (s *Store) Restore(c Copy) (lost []Written) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range s.items {
		if isForeign(key) {
			lost = append(lost, Written{key, i.Value})
		}
	}
	s.era++
	s.revision, s.items, s.lastLease = c.revision, maps.Clone(c.items), c.lastLease
	s.leases = make(map[uint64]lease, len(c.leases))
	for id, l := range c.leases {
		s.leases[id] = lease{ttl: l.ttl, expires: time.Now().Add(l.expires.Sub(c.at))}
	}
	s.events, s.oldest = nil, c.revision
	close(s.restored)
	s.restored = make(chan struct{})
	return lost
}

// Written is a key as the operator or an endpoint wrote it.
type Written struct {
	Key   string
	Value []byte
}

// Rewrite writes again what the operator and the endpoints had written.
func (s *Store) Rewrite(keys []Written) {
	for _, w := range keys {
		s.Put(w.Key, w.Value)
	}
}

// Put writes a key as the operator or an endpoint.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove removes a key as the operator or an endpoint.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// SetDown makes the store leave all calls unanswered, or answer again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetHeader overrides the era header of answers; "none" leaves it out, an empty text
// restores it.
func (s *Store) SetHeader(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.header = text
}

// LoseAnswer executes the next conditional write and leaves it unanswered.
func (s *Store) LoseAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losesAnswer = true
}

// Keys returns the keys under a prefix with their values.
func (s *Store) Keys(prefix string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	keys := map[string]string{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys[key] = string(i.Value)
		}
	}
	return keys
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func isForeign(key string) bool {
	return strings.HasPrefix(key, operatorPrefix) || strings.HasPrefix(key, endpointPrefix)
}

// put writes a key; s.mu is held.
func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(event{item: i})
}

// remove removes a key; s.mu is held.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(event{item: item{Key: key, Revision: s.revision}, Removed: true})
}

func (s *Store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases whose time is over; s.mu is held.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys; s.mu is held.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// writeHeader writes the era header.
func (s *Store) writeHeader(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.header {
	case "":
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	case "none":
	default:
		w.Header().Set("Store-Era", s.header)
	}
}
