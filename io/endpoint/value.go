package endpoint

import "github.com/jackc/pgx/v5/pgproto3"

// ReceiveValue reads the whole response to a simple query for a single value. The value
// is empty if there is no row.
func (c *Conn) ReceiveValue() (string, error) {
	var value string
	var failure error
	for {
		m, err := c.Receive()
		if err != nil {
			return "", err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			if len(m.Values) != 1 {
				failure = ErrMalformedResponse
				continue
			}
			value = string(m.Values[0])
		case *pgproto3.ErrorResponse:
			failure = &ResponseError{State: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			return value, failure
		}
	}
}
