package caller

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"anviltack/core"
)

const (
	// readBufferBytes is the size of the read buffer of every session; larger message
	// bodies bypass it.
	readBufferBytes = 1 << 10
	// headerBytes is the size of a message's type and length fields.
	headerBytes = 5
	// lengthBytes is the size of a message's length field, which includes itself.
	lengthBytes = 4
)

// receiver reads the messages of a session after start-up and decodes them with
// pgproto3. It replaces pgproto3's own reader, which keeps 8 KiB per connection.
type receiver struct {
	reader *bufio.Reader
	limit  int
	body   []byte

	bind      pgproto3.Bind
	describe  pgproto3.Describe
	execute   pgproto3.Execute
	parse     pgproto3.Parse
	query     pgproto3.Query
	terminate pgproto3.Terminate
	sync      pgproto3.Sync
	flush     pgproto3.Flush
	close     pgproto3.Close
	copyData  pgproto3.CopyData
	copyDone  pgproto3.CopyDone
	copyFail  pgproto3.CopyFail
	function  pgproto3.FunctionCall
}

func newReceiver(r io.Reader, limit int) *receiver {
	return &receiver{reader: bufio.NewReaderSize(r, readBufferBytes), limit: limit}
}

// next returns the next message, which is valid until the next call.
func (r *receiver) next() (pgproto3.FrontendMessage, error) {
	header, err := r.reader.Peek(headerBytes)
	if err != nil {
		return nil, classifyReadError(err)
	}
	m := r.messageOf(header[0])
	length := int64(binary.BigEndian.Uint32(header[1:])) - lengthBytes
	if m == nil || length < 0 {
		return nil, core.NewError(core.CodeBadMessage, "malformed message")
	}
	if length > int64(r.limit) {
		return nil, core.NewError(core.CodeTooLarge, "message of %d bytes is above the limit of %d bytes", length, r.limit)
	}
	if _, err := r.reader.Discard(headerBytes); err != nil {
		return nil, classifyReadError(err)
	}
	body, err := r.read(int(length))
	if err != nil {
		return nil, classifyReadError(err)
	}
	if err := m.Decode(body); err != nil {
		return nil, core.NewError(core.CodeBadMessage, "malformed message")
	}
	return m, nil
}

// read returns a message body of n bytes and keeps its buffer for the next message
// unless it is large. The buffer grows with the bytes that arrive, not with the
// length in the header, which cannot be trusted.
func (r *receiver) read(n int) ([]byte, error) {
	body := r.body[:0]
	for len(body) < n {
		chunk := min(n-len(body), maxIdleBufferBytes)
		start := len(body)
		body = append(body, make([]byte, chunk)...)
		if _, err := io.ReadFull(r.reader, body[start:]); err != nil {
			return nil, err
		}
	}
	if cap(body) <= readBufferBytes {
		r.body = body
	}
	return body, nil
}

// messageOf returns the receiver's message of a type, or nil for an unknown type.
func (r *receiver) messageOf(kind byte) pgproto3.FrontendMessage {
	switch kind {
	case 'B':
		return &r.bind
	case 'C':
		return &r.close
	case 'D':
		return &r.describe
	case 'E':
		return &r.execute
	case 'F':
		return &r.function
	case 'H':
		return &r.flush
	case 'P':
		return &r.parse
	case 'Q':
		return &r.query
	case 'S':
		return &r.sync
	case 'X':
		return &r.terminate
	case 'c':
		return &r.copyDone
	case 'd':
		return &r.copyData
	case 'f':
		return &r.copyFail
	}
	return nil
}
