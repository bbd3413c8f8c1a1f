// Package bearer sets and checks bearer tokens of HTTP requests.
package bearer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

const (
	header = "Authorization"
	scheme = "Bearer "
	// derivedBytes is the length of a derived token before hexadecimal encoding.
	derivedBytes = 16
)

// HasToken reports whether a request carries the token, compared in constant time.
// It is false for an empty token.
func HasToken(r *http.Request, token string) bool {
	got, ok := strings.CutPrefix(r.Header.Get(header), scheme)
	a, b := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && ok && token != ""
}

// SetToken sets the token of a request.
func SetToken(r *http.Request, token string) { r.Header.Set(header, scheme+token) }

// Derive returns a token for another purpose; the original token cannot be computed
// from it.
func Derive(token, purpose string) string {
	sum := sha256.Sum256([]byte(purpose + "\x00" + token))
	return hex.EncodeToString(sum[:derivedBytes])
}

// Transport adds a token to every request.
type Transport struct {
	Token string
	Next  http.RoundTripper
}

// RoundTrip sends a copy of the request that carries the token.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := r.Clone(r.Context())
	SetToken(c, t.Token)
	return t.Next.RoundTrip(c)
}
