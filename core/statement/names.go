package statement

import "slices"

const (
	// MaxNames is how many statements a connection to an endpoint has prepared at most.
	MaxNames = 500
	// MaxTextBytes limits the sum of their texts in bytes, unless one text is longer.
	MaxTextBytes = 4 << 20
)

// Names are the statements that are prepared on a connection to an endpoint. The zero value
// has none.
type Names struct {
	// sizes holds the bytes of each statement's text by its name, and bytes is their sum.
	sizes map[string]int
	bytes int
	// oldest holds the names in the order in which they were added.
	oldest []string
}

// Len returns the number of statements.
func (n *Names) Len() int { return len(n.sizes) }

// Has reports whether a statement is prepared.
func (n *Names) Has(name string) bool {
	_, ok := n.sizes[name]
	return ok
}

// Add adds a statement whose text has size bytes.
func (n *Names) Add(name string, size int) {
	if n.Has(name) {
		return
	}
	if n.sizes == nil {
		n.sizes = make(map[string]int)
	}
	n.sizes[name] = size
	n.bytes += size
	n.oldest = append(n.oldest, name)
}

// Remove removes a statement, if it is there.
func (n *Names) Remove(name string) {
	size, ok := n.sizes[name]
	if !ok {
		return
	}
	delete(n.sizes, name)
	n.bytes -= size
	n.oldest = slices.DeleteFunc(n.oldest, func(o string) bool { return o == name })
}

// Clear removes all statements.
func (n *Names) Clear() { *n = Names{} }

// IsFull reports whether no further statement may be added.
func (n *Names) IsFull() bool { return len(n.sizes) >= MaxNames || n.bytes >= MaxTextBytes }

// Excess returns the statements, oldest first, that have to be removed before one whose text
// has size bytes may be added.
func (n *Names) Excess(size int) []string {
	excess, kept := 0, n.bytes
	for excess < len(n.oldest) && (len(n.oldest)-excess >= MaxNames || kept+size > MaxTextBytes) {
		kept -= n.sizes[n.oldest[excess]]
		excess++
	}
	return slices.Clone(n.oldest[:excess])
}
