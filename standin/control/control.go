// Package control holds what the control addresses of the stand-ins have in
// common.
package control

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
)

// Listen opens the address that a stand-in serves and its control address, or
// neither.
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

// ReadFault reads the body of PUT /fault, in which unknown names are refused; it
// answers a bad one and returns false.
func ReadFault(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with a value.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
