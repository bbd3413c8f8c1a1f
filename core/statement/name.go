// Package statement names the prepared statements of callers at endpoints and bounds how many
// an endpoint keeps.
package statement

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// nameBytes is how many bytes of a statement's hash its name contains.
const nameBytes = 16

// Name returns the name at endpoints of the prepared statement that the fields describe. All
// sessions that prepare the same statement share it. It consists of letters and digits,
// whatever the fields contain.
func Name(fields ...string) string {
	h := sha256.New()
	for _, f := range fields {
		// The length keeps the end of a field apart from the start of the next one.
		_ = binary.Write(h, binary.BigEndian, uint64(len(f)))
		h.Write([]byte(f))
	}
	return "a" + hex.EncodeToString(h.Sum(nil)[:nameBytes])
}
