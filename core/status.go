package core

// Role is the role that an endpoint reports for itself.
type Role string

// The roles of an endpoint.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is the state that an endpoint reports for itself.
type Status struct {
	Role Role `json:"role"`
	// Fence is the highest term to which the endpoint was fenced; it accepts
	// neither writes nor replication of a lower term. Fence >= Term.
	Fence uint64 `json:"fence"`
	// Term is the term of the primary of whose log the endpoint's log is known to
	// be a prefix; on a primary it is its own term.
	Term uint64 `json:"term"`
	// Received is the last position that the endpoint has durably stored in Term.
	Received uint64 `json:"received"`
	// Applied is the last position that reads on the endpoint can see;
	// Applied <= Received.
	Applied uint64 `json:"applied"`
	// Last is the point of the last entry in the endpoint's log. Last.Term is the
	// term in which that entry was written, unlike Term, so failover compares Last
	// to choose the endpoint to promote.
	Last Point `json:"last"`
}

// Durable returns the point up to which the endpoint has durably stored the log of
// Term.
func (s Status) Durable() Point {
	return Point{Term: s.Term, Position: s.Received}
}

// Visible returns the point up to which reads on the endpoint see the log.
func (s Status) Visible() Point {
	return Point{Term: s.Term, Position: s.Applied}
}
