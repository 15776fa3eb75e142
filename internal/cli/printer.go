package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printer writes results as a table or as JSON.
type printer struct {
	w    io.Writer
	json bool
}

// writeResult writes v as JSON, or calls text for the table form.
func (p printer) writeResult(v any, text func(w io.Writer)) error {
	if !p.json {
		text(p.w)
		return nil
	}
	encoder := json.NewEncoder(p.w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printTable writes aligned rows below a header.
func printTable(w io.Writer, header []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	_ = t.Flush() // A result that cannot be written has no other way out.
}
