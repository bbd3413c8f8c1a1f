package instance

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/jackc/pgx/v5/pgproto3"
)

// digestBytes is how much of a submission's hash is kept with its key.
const digestBytes = 16

// digest tells submissions under one key apart: it covers the statements'
// texts without their trailing comments, and their values.
type digest struct {
	hash hash.Hash
}

// add takes in one statement with its values.
func (d *digest) add(sql string, values ...[]byte) {
	if d.hash == nil {
		d.hash = sha256.New()
	}
	statement, _ := cutComment(sql)
	d.write([]byte(statement))
	for _, v := range values {
		d.write(v)
	}
}

// write takes in one part behind its length, so that parts cannot run together.
func (d *digest) write(part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	d.hash.Write(length[:])
	d.hash.Write(part)
}

// String returns the digest in hexadecimal.
func (d *digest) String() string {
	if d.hash == nil {
		return ""
	}
	return hex.EncodeToString(d.hash.Sum(nil)[:digestBytes])
}

// digestBind takes the values of a bound submission into the unit's digest.
func (pl *pipeline) digestBind(p *prepared, m *pgproto3.Bind) {
	if pl.annotation.submission != "" {
		pl.digest.add(p.sql, m.Parameters...)
	}
}
