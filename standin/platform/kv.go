package platform

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"anviltack/standin/control"
)

// Limits, intervals and response header of the key-value API.
const (
	maxValueBytes      = 1 << 20
	defaultWait        = 5 * time.Minute
	leaseCheckInterval = 100 * time.Millisecond
	indexHeader        = "X-Consul-Index"
)

// Pair is one key in the response to GET /v1/kv.
type Pair struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, timeout, ok := parseWatch(w, r.URL.Query())
	if !ok {
		return
	}
	found, index := p.watchKey(r, key, after, timeout)
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	if found == nil {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	control.WriteJSON(w, []Pair{*found})
}

// watchKey returns a key once its index is above after, or when the timeout
// ends.
func (p *Platform) watchKey(r *http.Request, key string, after uint64, timeout time.Duration) (*Pair, uint64) {
	var found *Pair
	index := uint64(0)
	p.watch(r, timeout, func() bool {
		found, index = nil, p.index
		if k := p.pairs[key]; k != nil {
			found = &Pair{Key: key, Value: k.value, CreateIndex: k.createIndex, ModifyIndex: k.modifyIndex, Session: k.session}
			index = k.modifyIndex
		}
		return after == 0 || index > after
	})
	return found, index
}

// watch calls done under the lock at each change until it returns true, the
// timeout ends or the request is cancelled.
func (p *Platform) watch(r *http.Request, timeout time.Duration, done func() bool) {
	end := time.NewTimer(timeout)
	defer end.Stop()
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		p.mu.Lock()
		p.expireLeases(time.Now())
		finished := done()
		changed := p.changed
		p.mu.Unlock()
		if finished {
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-end.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// parseWatch parses the index and wait parameters. On an error it responds with
// 400 Bad Request and returns false.
func parseWatch(w http.ResponseWriter, q url.Values) (uint64, time.Duration, bool) {
	var after uint64
	timeout := defaultWait
	var err error
	if s := q.Get("index"); s != "" {
		after, err = strconv.ParseUint(s, 10, 64)
	}
	if s := q.Get("wait"); s != "" && err == nil {
		timeout, err = time.ParseDuration(s)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return 0, 0, false
	}
	return after, timeout, true
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	p.expireLeases(time.Now())
	done, err := p.put(r.PathValue("key"), value, r.URL.Query())
	p.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	control.WriteJSON(w, done)
}

// put changes a key if the conditions of its query are met; p.mu is held.
func (p *Platform) put(key string, value []byte, q url.Values) (bool, error) {
	k := p.pairs[key]
	holder := ""
	if k != nil {
		holder = k.session
	}
	switch {
	case q.Has("cas"):
		index, err := strconv.ParseUint(q.Get("cas"), 10, 64)
		if err != nil {
			return false, err
		}
		if k == nil && index != 0 || k != nil && k.modifyIndex != index {
			return false, nil
		}
	case q.Has("acquire"):
		id := q.Get("acquire")
		if p.leases[id] == nil {
			return false, errInvalidSession
		}
		if holder != "" && holder != id {
			return false, nil
		}
		holder = id
	case q.Has("release"):
		if holder != q.Get("release") {
			return false, nil
		}
		holder = ""
	}
	if k == nil {
		k = &pair{createIndex: p.index + 1}
		p.pairs[key] = k
	}
	k.value = value
	k.session = holder
	k.modifyIndex = p.advanceIndex()
	return true, nil
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	if _, found := p.pairs[r.PathValue("key")]; found {
		delete(p.pairs, r.PathValue("key"))
		p.advanceIndex()
	}
	p.mu.Unlock()
	control.WriteJSON(w, true)
}
