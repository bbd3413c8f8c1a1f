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

// faults holds the faults that are injected now.
type faults struct {
	lag                 time.Duration
	answerDelay         time.Duration
	unreachablePeers    []netip.AddrPort
	allPeersUnreachable bool
	// unreachableDataCentres lists the data centres that are partitioned from
	// the endpoint.
	unreachableDataCentres []core.DataCentre
	misdirectNext          bool
	refuseConnections      bool
}

// isUnreachable reports whether replication to a peer is partitioned.
func (f *faults) isUnreachable(peer netip.AddrPort) bool {
	return f.allPeersUnreachable || slices.Contains(f.unreachablePeers, peer)
}

// Fault is the body of PUT /fault; fields that are absent leave their fault
// unchanged.
type Fault struct {
	// Lag is the time from received to applied on a replica.
	Lag *patch.Duration `json:"lag,omitempty"`
	// AnswerDelay delays each answer.
	AnswerDelay *patch.Duration `json:"slow,omitempty"`
	// Suspend suspends the endpoint until it is set to false.
	Suspend *bool `json:"freeze,omitempty"`
	// DropMessages drops the messages in both directions of the connections that are
	// open now.
	DropMessages *bool `json:"silence,omitempty"`
	// DropAnswers drops the answers on the connections that are open now;
	// their statements still run.
	DropAnswers *bool `json:"mute,omitempty"`
	// UnreachablePeers lists the control addresses of the peers that
	// replication cannot reach; an empty list restores all.
	UnreachablePeers *[]netip.AddrPort `json:"cut,omitempty"`
	// AllPeersUnreachable makes all peers unreachable for replication.
	AllPeersUnreachable *bool `json:"cut_all,omitempty"`
	// UnreachableDataCentres lists the data centres that are partitioned from
	// the endpoint: their instances get no answers until the partition ends. An
	// empty list ends it.
	UnreachableDataCentres *[]core.DataCentre `json:"away,omitempty"`
	// MisdirectNext sends the next answer of a statement that ran in a slot on the
	// connection of another session.
	MisdirectNext *bool `json:"cross_next,omitempty"`
	// RefuseConnections closes new connections at once.
	RefuseConnections *bool `json:"refuse,omitempty"`
	// Restart closes all connections and makes a primary a replica.
	Restart *bool `json:"restart,omitempty"`
}

// Rows is the response to GET /rows.
type Rows struct {
	Status      core.Status         `json:"status"`
	Rows        map[string]RowValue `json:"rows"`
	Submissions map[string]RowValue `json:"submissions"`
}

// Stats is the response to GET /stats.
type Stats struct {
	Status          core.Status `json:"status"`
	Connections     int         `json:"connections"`
	PeakConnections int         `json:"connections_most"`
	Statements      int         `json:"statements"`
	// Refusals counts connections rejected at the connection limit.
	Refusals     int `json:"refusals"`
	PeakRunning  int `json:"running_most"`
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
	var request AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.suspended.wait(r.Context()) != nil {
		return
	}
	control.WriteJSON(w, e.handleAppend(request))
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

// setFault injects and clears faults.
func (e *Endpoint) setFault(f Fault) {
	if f.Suspend != nil {
		e.suspended.set(*f.Suspend)
	}
	if f.Restart != nil && *f.Restart {
		e.restart()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	setIfGiven((*time.Duration)(f.Lag), &e.faults.lag)
	setIfGiven((*time.Duration)(f.AnswerDelay), &e.faults.answerDelay)
	setIfGiven(f.UnreachablePeers, &e.faults.unreachablePeers)
	setIfGiven(f.AllPeersUnreachable, &e.faults.allPeersUnreachable)
	setIfGiven(f.UnreachableDataCentres, &e.faults.unreachableDataCentres)
	setIfGiven(f.MisdirectNext, &e.faults.misdirectNext)
	setIfGiven(f.RefuseConnections, &e.faults.refuseConnections)
	for _, s := range e.sessions {
		if f.DropMessages != nil && *f.DropMessages {
			s.dropMessages.Store(true)
		}
		if f.DropAnswers != nil && *f.DropAnswers {
			s.dropAnswers.Store(true)
		}
	}
	e.notifyChanged()
}

// setIfGiven copies from to to unless from is nil.
func setIfGiven[T any](from, to *T) {
	if from != nil {
		*to = *from
	}
}

// restart closes all connections and makes a primary a replica; the log is
// kept.
func (e *Endpoint) restart() {
	e.mu.Lock()
	e.stepDown()
	e.mu.Unlock()
	e.dropSessions()
}

// countStatement counts a statement that has acquired its slot.
func (e *Endpoint) countStatement(st statement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Statements++
	e.stats.PeakRunning = max(e.stats.PeakRunning, len(e.slots))
	switch {
	case !st.isRead():
	case e.role == core.RolePrimary:
		e.stats.ReadsPrimary++
	default:
		e.stats.ReadsReplica++
	}
}
