package metrics

import (
	"fmt"
	"io"
	"sort"
	"strings"
)

// WritePrometheus writes all metrics in the Prometheus text format, sorted by name.
// Names get the prefix beryltrestle_, and dots and dashes become underscores.
func (r *Registry) WritePrometheus(w io.Writer) error {
	values := r.Values()
	names := make([]string, 0, len(values))
	for n := range values {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		prometheusName := "beryltrestle_" + strings.NewReplacer(".", "_", "-", "_").Replace(n)
		if _, err := fmt.Fprintf(w, "%s %d\n", prometheusName, values[n]); err != nil {
			return err
		}
	}
	return nil
}

// Values returns the values of all metrics by name.
func (r *Registry) Values() map[string]int64 {
	values := make(map[string]int64)
	r.Each(func(n string, v int64) { values[n] = v })
	return values
}
