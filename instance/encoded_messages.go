package instance

import "github.com/jackc/pgx/v5/pgproto3"

// Messages that every read sends, encoded once.
var (
	bindBeginMessage      = encodeFixed(&pgproto3.Bind{PreparedStatement: beginReadOnly.name})
	bindMessage           = encodeFixed(&pgproto3.Bind{})
	describePortalMessage = encodeFixed(&pgproto3.Describe{ObjectType: 'P'})
	executeMessage        = encodeFixed(&pgproto3.Execute{})
	rollbackMessage       = encodeFixed(&pgproto3.Query{String: rollbackStatement})
)

// encodeFixed encodes a message that is known to be well-formed.
func encodeFixed(m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return b
}
