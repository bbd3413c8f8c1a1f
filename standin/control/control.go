// Package control holds helpers for the HTTP control addresses of the
// stand-ins.
package control

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
)

// Listen opens listeners on the served address and on the control address; if
// either fails, neither stays open.
func Listen(served, control netip.AddrPort) (net.Listener, net.Listener, error) {
	s, err := net.Listen("tcp", served.String())
	if err != nil {
		return nil, nil, err
	}
	c, err := net.Listen("tcp", control.String())
	if err != nil {
		return nil, nil, errors.Join(err, s.Close())
	}
	return s, c, nil
}

// ReadFault decodes the body of PUT /fault and rejects unknown fields. On an
// error it responds with 400 Bad Request and returns false.
func ReadFault(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON responds with v encoded as JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
