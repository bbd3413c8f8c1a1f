// Package group decides which endpoint of a database group is its primary, which
// log positions the group has acknowledged durably, and when and how a failover
// runs.
//
// A Machine is a pure state machine: events and times go in, actions come out.
// It opens no socket, starts no goroutine and reads no clock.
//
// # Safety
//
// Safety rests on three rules. None of them depends on a clock, on a lease or on
// the number of instances that act at the same time.
//
// Fence: an endpoint fenced at a term refuses writes and replication of lower terms
// and refuses a fence that is not higher than its own, so for any term at most
// one attempt fences a majority. An attempt promotes at most one endpoint, and
// never uses its term again.
//
// Promote: among a fenced majority the endpoint with the highest Last becomes
// primary and starts its term with an entry of that term.
//
// Acknowledge: a point (t, p) is confirmed when a majority reports Term = t,
// Fence <= t, a last entry of term t, and Received >= p.
//
// A confirmed point is on a majority M before any member of M is fenced above t. A
// later promotion at T > t fences a majority F. F and M share an endpoint, whose
// Last is at least (t, p), and the promoted endpoint has a Last at least as high.
// If the promoted endpoint's Last.Term is t, its log and the shared endpoint's log
// were both written by the primary of t, so the longer one contains the shorter.
// If its Last.Term is above t, the primary of that term held the point by the same
// argument one promotion earlier. Hence every later primary holds every confirmed
// point.
//
// Comparing Status.Term instead of Last.Term would break this. Status.Term rises
// as soon as an endpoint accepts one push of a new primary, even an empty one that
// only proved a common prefix. Example: A is the primary of term 2 and has entries
// that no other endpoint has. B is promoted at 3 and acknowledges its entries with
// C. B dies. A has answered a first push of term 3, but its log is not repaired
// yet, so it reports Term 3 with a longer log than C. By (Term, Position) A would
// be promoted and the acknowledged entries of term 3 would be lost; by Last, C has
// (3, p) and A only (2, q). For the same reason a point counts as confirmed only
// on endpoints whose last entry is of the term itself.
//
// AsOf is the majority-th newest time at which a status that still showed
// Fence <= t was requested. Had a higher term been promoted by then, a majority
// would have been fenced above t, and one of its members would have shown it. So a
// statement that arrived at or before AsOf reached a primary that had not been
// replaced, and its answer may be returned.
package group
