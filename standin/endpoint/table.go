package endpoint

import "anviltack/core"

// Table is the name of a table.
type Table string

// Names of the tables.
const (
	TableItem       Table = "item"
	TableSubmission Table = "anviltack_submission"
)

// rowKey identifies one row of a table.
type rowKey struct {
	table Table
	key   string
}

// RowValue is the value of a row and the point at which it was written.
type RowValue struct {
	Value string     `json:"value"`
	Point core.Point `json:"point"`
}

// tables holds the applied rows.
type tables struct {
	rows  map[rowKey]RowValue
	items int
}

func newTables() tables {
	return tables{rows: make(map[rowKey]RowValue)}
}

func (t *tables) apply(entry Entry) {
	for _, c := range entry.Changes {
		r := rowKey{table: c.Table, key: c.Key}
		_, found := t.rows[r]
		if c.Delete {
			delete(t.rows, r)
		} else {
			t.rows[r] = RowValue{Value: c.Value, Point: entry.Point}
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
func (t *tables) dump(table Table) map[string]RowValue {
	out := make(map[string]RowValue)
	for r, row := range t.rows {
		if r.table == table {
			out[r.key] = row
		}
	}
	return out
}
