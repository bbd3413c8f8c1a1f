package core

// Role says how an endpoint sees itself.
type Role string

// The roles of an endpoint.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is what one endpoint reports of itself.
type Status struct {
	Role Role `json:"role"`
	// Fence is the highest term the endpoint was told; it takes neither writes
	// nor replication of a lower one. Fence >= Term.
	Fence uint64 `json:"fence"`
	// Term is the term of the primary whose log the endpoint's own log is
	// known to be a prefix of; on a primary it is its own term.
	Term uint64 `json:"term"`
	// Received is the last position that the endpoint holds durably in Term.
	Received uint64 `json:"received"`
	// Applied is the last position that reads on the endpoint can see;
	// Applied <= Received.
	Applied uint64 `json:"applied"`
	// Last is the term and position of the last entry in the endpoint's log.
	// Unlike Term, Last.Term is the term in which that entry was written, so a
	// promotion compares Last.
	Last Point `json:"last"`
}

// Durable returns the point up to which the endpoint holds the log of Term.
func (s Status) Durable() Point {
	return Point{Term: s.Term, Position: s.Received}
}

// Visible returns the point up to which reads on the endpoint see the log.
func (s Status) Visible() Point {
	return Point{Term: s.Term, Position: s.Applied}
}
