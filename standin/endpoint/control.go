package endpoint

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/standin/control"
)

// faults are the switches that are on.
type faults struct {
	lag    time.Duration
	slow   time.Duration
	cut    []netip.AddrPort
	cutAll bool
	// away holds the data centres that the endpoint is cut off from.
	away      []core.DataCentre
	crossNext bool
	refuse    bool
}

func (f *faults) isCut(peer netip.AddrPort) bool {
	return f.cutAll || slices.Contains(f.cut, peer)
}

// Fault is the body of PUT /fault; what is absent stays as it is.
type Fault struct {
	Lag     *patch.Duration `json:"lag,omitempty"`
	Slow    *patch.Duration `json:"slow,omitempty"`
	Freeze  *bool           `json:"freeze,omitempty"`
	Silence *bool           `json:"silence,omitempty"`
	Mute    *bool           `json:"mute,omitempty"`
	// Cut names the peers' control addresses that replication no longer
	// reaches; an empty list restores all.
	Cut    *[]netip.AddrPort `json:"cut,omitempty"`
	CutAll *bool             `json:"cut_all,omitempty"`
	// Away names the data centres whose instances get no answers until it is
	// lifted; an empty list lifts it.
	Away      *[]core.DataCentre `json:"away,omitempty"`
	CrossNext *bool              `json:"cross_next,omitempty"`
	Refuse    *bool              `json:"refuse,omitempty"`
	Restart   *bool              `json:"restart,omitempty"`
}

// Rows is the answer to GET /rows.
type Rows struct {
	Status      core.Status     `json:"status"`
	Rows        map[string]Cell `json:"rows"`
	Submissions map[string]Cell `json:"submissions"`
}

// Stats is the answer to GET /stats.
type Stats struct {
	Status          core.Status `json:"status"`
	Connections     int         `json:"connections"`
	ConnectionsMost int         `json:"connections_most"`
	Statements      int         `json:"statements"`
	// Refusals counts connections above the cap.
	Refusals     int `json:"refusals"`
	RunningMost  int `json:"running_most"`
	ReadsPrimary int `json:"reads_primary"`
	ReadsReplica int `json:"reads_replica"`
}

func (e *Endpoint) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /replicate", e.serveReplicate)
	mux.HandleFunc("PUT /fault", e.serveFault)
	mux.HandleFunc("GET /rows", e.serveRows)
	mux.HandleFunc("GET /log", e.serveLog)
	mux.HandleFunc("GET /stats", e.serveStats)
	return mux
}

func (e *Endpoint) serveReplicate(w http.ResponseWriter, r *http.Request) {
	var p Push
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.frozen.wait(r.Context()) != nil {
		return
	}
	control.WriteJSON(w, e.take(p))
}

func (e *Endpoint) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !control.ReadFault(w, r, &f) {
		return
	}
	e.setFault(f)
}

func (e *Endpoint) serveRows(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	rows := Rows{
		Status:      e.status(),
		Rows:        e.tables.dump(TableItem),
		Submissions: e.tables.dump(TableSubmission),
	}
	e.mu.Unlock()
	control.WriteJSON(w, rows)
}

func (e *Endpoint) serveLog(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	entries := slices.Clone(e.entries)
	e.mu.Unlock()
	control.WriteJSON(w, entries)
}

func (e *Endpoint) serveStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	stats := e.stats
	stats.Status = e.status()
	stats.Connections = len(e.sessions)
	e.mu.Unlock()
	control.WriteJSON(w, stats)
}

// setFault turns fault switches on and off.
func (e *Endpoint) setFault(f Fault) {
	if f.Freeze != nil {
		e.frozen.set(*f.Freeze)
	}
	if f.Restart != nil && *f.Restart {
		e.restart()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	replace((*time.Duration)(f.Lag), &e.faults.lag)
	replace((*time.Duration)(f.Slow), &e.faults.slow)
	replace(f.Cut, &e.faults.cut)
	replace(f.CutAll, &e.faults.cutAll)
	replace(f.Away, &e.faults.away)
	replace(f.CrossNext, &e.faults.crossNext)
	replace(f.Refuse, &e.faults.refuse)
	for _, s := range e.sessions {
		if f.Silence != nil && *f.Silence {
			s.silent.Store(true)
		}
		if f.Mute != nil && *f.Mute {
			s.mute.Store(true)
		}
	}
	e.broadcast()
}

func replace[T any](from, to *T) {
	if from != nil {
		*to = *from
	}
}

// restart drops all connections and comes back as a replica with the log kept.
func (e *Endpoint) restart() {
	e.mu.Lock()
	e.stepDown()
	e.mu.Unlock()
	e.dropSessions()
}

// count counts a statement that has taken its slot.
func (e *Endpoint) count(st statement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Statements++
	e.stats.RunningMost = max(e.stats.RunningMost, len(e.slots))
	switch {
	case !st.isRead():
	case e.role == core.RolePrimary:
		e.stats.ReadsPrimary++
	default:
		e.stats.ReadsReplica++
	}
}
