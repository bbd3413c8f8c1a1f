package endpoint

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE values of error responses.
const (
	stateReadOnly      = "25006"
	stateActive        = "25001"
	stateFailed        = "25P02"
	stateNotReady      = "55000"
	stateDuplicate     = "23505"
	stateTooMany       = "53300"
	stateSyntax        = "42601"
	stateProtocol      = "08P01"
	stateParameters    = "22023"
	stateNoStatement   = "26000"
	stateNoPortal      = "34000"
	stateDuplicateName = "42P05"
	stateCancelled     = "57014"
	stateDeadlock      = "40P01"
	stateInternal      = "XX000"
)

// sqlError is an error response to a statement.
type sqlError struct {
	state   string
	message string
}

func newSQLError(state, format string, args ...any) *sqlError {
	return &sqlError{state: state, message: fmt.Sprintf(format, args...)}
}

// Error returns the SQLSTATE and the message.
func (e *sqlError) Error() string { return e.state + ": " + e.message }

func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	var s *sqlError
	if !errors.As(err, &s) {
		s = newSQLError(stateInternal, "%v", err)
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                s.state,
		Message:             s.message,
	}
}
