package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// tablePadding is the number of spaces between columns.
const tablePadding = 2

// Table writes rows of text in columns under a heading.
type Table struct {
	w *tabwriter.Writer
}

// NewTable begins a table.
func NewTable(w io.Writer, heading ...string) *Table {
	t := &Table{w: tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)}
	fmt.Fprintln(t.w, strings.Join(heading, "\t"))
	return t
}

// Row adds a row; an empty cell is shown as a dash.
func (t *Table) Row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

// Flush writes the table.
func (t *Table) Flush() error { return t.w.Flush() }
