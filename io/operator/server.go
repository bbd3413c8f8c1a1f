package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/io/bearer"
)

// maxRequestBytes bounds the body of an operator's request.
const maxRequestBytes = 1 << 20

// Server serves operators' requests through its function fields; the paths of a nil field
// are not registered.
type Server struct {
	// Token is the bearer token of operators; if it is empty, every request is rejected.
	Token   string
	Metrics metrics.Registry
	// Dump returns a value to be written as JSON.
	Dump   func() any
	Status func() Status
	// InForce returns the document in force on this instance.
	InForce func() patch.Document
	// Stored reads the document from the platform.
	Stored func(ctx context.Context) (patch.Document, error)
	// Submit submits a patch and returns the version that it created.
	Submit func(ctx context.Context, r patch.Request) (uint64, error)
}

// Handler returns the HTTP handler of the server.
func (s Server) Handler() http.Handler {
	mux := http.NewServeMux()
	if s.Metrics != nil {
		mux.HandleFunc("GET /metrics", s.metrics)
	}
	if s.Dump != nil {
		mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Dump()) })
	}
	if s.Status != nil {
		mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Status()) })
	}
	if s.InForce != nil {
		mux.HandleFunc("GET /config", s.config)
	}
	if s.Stored != nil {
		mux.HandleFunc("GET /config/history", s.history)
		mux.HandleFunc("GET /config/diff", s.diff)
		mux.HandleFunc("GET /patch/{id}", s.patchOutcome)
	}
	if s.Submit != nil {
		mux.HandleFunc("POST /patch", s.patch)
	}
	return s.authorize(http.MaxBytesHandler(mux, maxRequestBytes))
}

func (s Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !bearer.HasToken(r, s.Token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, Error{Code: core.CodeOperatorForbidden, Reason: "the bearer token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

func (s Server) config(w http.ResponseWriter, _ *http.Request) {
	d := s.InForce()
	writeJSON(w, http.StatusOK, Configuration{Version: d.Version, Config: d.Config.WithoutSecrets()})
}

func (s Server) history(w http.ResponseWriter, r *http.Request) {
	d, ok := s.stored(w, r)
	if !ok {
		return
	}
	since, ok := queryNumber(w, r, "since")
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, History{
		Version: d.Version, Lowest: d.Lowest, Trimmed: d.Trimmed, Entries: patch.EntriesWithoutSecrets(d.EntriesAfter(since)),
	})
}

// stored reads the document from the platform, or writes an error response.
func (s Server) stored(w http.ResponseWriter, r *http.Request) (patch.Document, bool) {
	d, err := s.Stored(r.Context())
	if err != nil {
		writeError(w, err)
	}
	return d, err == nil
}

func (s Server) diff(w http.ResponseWriter, r *http.Request) {
	from, ok := queryNumber(w, r, "from")
	if !ok {
		return
	}
	d, ok := s.stored(w, r)
	if !ok {
		return
	}
	to := d.Version
	if r.URL.Query().Has("to") {
		if to, ok = queryNumber(w, r, "to"); !ok {
			return
		}
	}
	changes, err := d.Diff(from, to)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, changes)
}

func (s Server) patchOutcome(w http.ResponseWriter, r *http.Request) {
	base, ok := queryNumber(w, r, "base")
	if !ok {
		return
	}
	d, ok := s.stored(w, r)
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, d.OutcomeOf(r.PathValue("id"), base))
}

func (s Server) patch(w http.ResponseWriter, r *http.Request) {
	var request patch.Request
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&request); err != nil {
		writeError(w, &patch.InvalidError{Faults: []patch.Fault{{Path: "", Problem: err.Error(), Allowed: "id, base, who, why and patch"}}})
		return
	}
	version, err := s.Submit(r.Context(), request)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, Accepted{Version: version})
}

// queryNumber parses an optional number of the query, or writes an error response.
func queryNumber(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeError(w, &patch.InvalidError{Faults: []patch.Fault{{Path: name, Problem: "not a number", Allowed: "a version"}}})
		return 0, false
	}
	return n, true
}

func writeError(w http.ResponseWriter, err error) {
	e := Error{Code: core.CodePlatformDown, Reason: err.Error()}
	var coded interface{ Code() core.Code }
	if errors.As(err, &coded) {
		e.Code = coded.Code()
	}
	var trimmed *patch.TrimmedError
	if errors.As(err, &trimmed) {
		e.Code = core.CodePatchInvalid
	}
	var invalid *patch.InvalidError
	if errors.As(err, &invalid) {
		e.Faults = invalid.Faults
	}
	var conflict *patch.ConflictError
	if errors.As(err, &conflict) {
		e.Version, e.Since = conflict.Version, patch.EntriesWithoutSecrets(conflict.Since)
	}
	status, ok := httpStatuses[e.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, e)
}
