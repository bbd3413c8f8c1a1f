// Package group decides which endpoint of a database group is its primary, what
// the group has durably acknowledged, and when and how a failover runs.
//
// A Machine is a pure state machine: events and times go in, actions come out.
// It opens no socket, starts no goroutine and reads no clock.
//
// # Safety
//
// Three rules carry all safety; none depends on a clock, on a lease or on the
// number of instances that act at once.
//
// Fence: an endpoint told a term refuses writes and replication of lower terms
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
// A confirmed point is on a majority M before any of M is fenced above t. A
// later promotion at T > t fences a majority F, and F and M share an endpoint,
// whose Last is at least (t, p). The endpoint chosen has a Last at least as high.
// If its Last.Term is t, its log and the shared one were both written by the
// primary of t, so the longer has everything of the shorter. If its Last.Term is
// above t, the primary of that term held the point by the same argument one
// promotion earlier. Hence every later primary holds every confirmed point.
//
// Comparing Status.Term instead of Last.Term would break this. Status.Term rises
// as soon as an endpoint takes one push of a new primary, even an empty one that
// only proved a common prefix. Take A, primary of term 2 with entries that
// nobody else has; B, promoted at 3, appends and acknowledges its entries with
// C; B dies and A, whose log was not yet repaired but which answered a first
// push of term 3, reports Term 3 with a longer log than C. By (Term, Position) A
// would win and the acknowledged entries of term 3 would be lost; by Last, C has
// (3, p) and A only (2, q). For the same reason a point counts as confirmed only
// on endpoints whose last entry is of the term itself.
//
// AsOf is the majority-th newest time at which a status that still showed
// Fence <= t was asked for. Had a higher term been promoted by then, a majority
// would have been fenced above t, and one of its members would have shown it.
// So a statement that arrived at or before AsOf met a primary that nothing had
// replaced, and its answer may go out.
package group
