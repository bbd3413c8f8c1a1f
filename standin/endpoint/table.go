package endpoint

import "anviltack/core"

// Table names one of the two tables.
type Table string

// The tables.
const (
	TableItem       Table = "item"
	TableSubmission Table = "anviltack_submission"
)

// row names one row of a table.
type row struct {
	table Table
	key   string
}

// Cell is the value of a row and the point at which it was written.
type Cell struct {
	Value string     `json:"value"`
	Point core.Point `json:"point"`
}

// tables holds the visible rows.
type tables struct {
	cells map[row]Cell
	items int
}

func newTables() tables {
	return tables{cells: make(map[row]Cell)}
}

func (t *tables) apply(entry Entry) {
	for _, c := range entry.Changes {
		r := row{table: c.Table, key: c.Key}
		_, found := t.cells[r]
		if c.Delete {
			delete(t.cells, r)
		} else {
			t.cells[r] = Cell{Value: c.Value, Point: entry.Point}
		}
		if c.Table != TableItem {
			continue
		}
		switch {
		case c.Delete && found:
			t.items--
		case !c.Delete && !found:
			t.items++
		}
	}
}

// dump returns the rows of one table by key.
func (t *tables) dump(table Table) map[string]Cell {
	out := make(map[string]Cell)
	for r, c := range t.cells {
		if r.table == table {
			out[r.key] = c
		}
	}
	return out
}
