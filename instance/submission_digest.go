package instance

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/jackc/pgx/v5/pgproto3"
)

// digestSize is how many bytes of a submission's hash are stored with its key.
const digestSize = 16

// submissionDigest distinguishes submissions under one key. It covers the
// statements' texts without their trailing comments, and their parameter values.
type submissionDigest struct {
	hash hash.Hash
}

// add hashes one statement with its parameter values.
func (d *submissionDigest) add(sql string, values ...[]byte) {
	if d.hash == nil {
		d.hash = sha256.New()
	}
	statement, _ := cutComment(sql)
	d.writePart([]byte(statement))
	for _, v := range values {
		d.writePart(v)
	}
}

// writePart hashes one part after its length, so that the boundaries between
// parts are unambiguous.
func (d *submissionDigest) writePart(part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	d.hash.Write(length[:])
	d.hash.Write(part)
}

// String returns the digest in hexadecimal.
func (d *submissionDigest) String() string {
	if d.hash == nil {
		return ""
	}
	return hex.EncodeToString(d.hash.Sum(nil)[:digestSize])
}

// addBindToDigest adds a bound statement with its values to the digest of a
// submission with a key.
func (pl *pipeline) addBindToDigest(p *prepared, m *pgproto3.Bind) {
	if pl.annotation.submission != "" {
		pl.digest.add(p.sql, m.Parameters...)
	}
}
