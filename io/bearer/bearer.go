// Package bearer shows and checks bearer tokens in HTTP requests.
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
	// derivedBytes is the length of a derived token before it is written in
	// hexadecimal.
	derivedBytes = 16
)

// HasToken reports whether a request shows the token, compared in constant time;
// an empty token is never shown.
func HasToken(r *http.Request, token string) bool {
	got, ok := strings.CutPrefix(r.Header.Get(header), scheme)
	a, b := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && ok && token != ""
}

// SetToken adds the token to a request.
func SetToken(r *http.Request, token string) { r.Header.Set(header, scheme+token) }

// Derive returns a token for another purpose that does not give away the first.
func Derive(token, purpose string) string {
	sum := sha256.Sum256([]byte(purpose + "\x00" + token))
	return hex.EncodeToString(sum[:derivedBytes])
}

// Transport shows a token in every request.
type Transport struct {
	Token string
	Next  http.RoundTripper
}

// RoundTrip sends a copy of the request that shows the token.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := r.Clone(r.Context())
	SetToken(c, t.Token)
	return t.Next.RoundTrip(c)
}
