package measure

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteTable writes the report as text with a table of the phases.
func (r Report) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%s, %s, policy %s, seed %d, offered work %s\n\n", r.Scenario, r.Deployment, r.Policy, r.Seed, r.OfferedDigest)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "phase\twork\toffered/s\tgoodput/s\tof capacity\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, p := range r.Phases {
		writeStats(w, p.Name, "short", p.Short, "")
		writeStats(w, "", "bookings", p.Bookings, fmt.Sprintf("%.0f%%", 100*p.GoodputOfCapacity))
		if p.Long != nil {
			writeStats(w, "", "long", *p.Long, "")
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	r.writeFigures(out)
	return nil
}

func writeStats(w io.Writer, phase, kind string, stats RequestStats, share string) {
	fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%s\t%.1f\t%.1f\t%.1f\t\n",
		phase, kind, stats.OfferedPerSecond, stats.Goodput, share, stats.P50Ms, stats.P99Ms, stats.P999Ms)
}

func (r Report) writeFigures(out io.Writer) {
	fmt.Fprintln(out)
	for _, p := range r.Phases {
		writeCounts(out, p.Name+" refused", p.Refusals)
		writeCounts(out, p.Name+" unknown", p.Unknowns)
	}
	writeCounts(out, "retries", r.Retries)
	writeFigure(out, "replica share of reads", r.ReplicaShare, "")
	writeFigure(out, "replica share of eligible lookups", r.EligibleReplicaShare, "")
	writeFigure(out, "longest gap between bookings", r.GapMs, " ms")
	writeFigure(out, "longest gap between lookups", r.LookupGapMs, " ms")
	writeFigure(out, "short p99 beside long work / alone", r.BlockingRatio, "")
	fmt.Fprintf(out, "sleeps of 10 ms overran by: p50 %.1f ms, p99 %.1f ms, at most %.1f ms\n",
		r.Noise.P50Ms, r.Noise.P99Ms, r.Noise.MaxMs)
	c := r.Check
	fmt.Fprintf(out, "check: %d confirmed, %d lost, %d doubled, %d ran although refused, %d unknown, %d stale lookups\n",
		c.Confirmed, c.Lost, c.Doubled, c.RanAlthoughRefused, c.Unknown, c.StaleLookups)
	for _, v := range c.Violations {
		fmt.Fprintln(out, "violation:", v)
	}
}

func writeCounts(out io.Writer, title string, counts map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "%s: %s %d\n", title, name, counts[name])
	}
}

func writeFigure(out io.Writer, title string, v *float64, unit string) {
	if v != nil {
		fmt.Fprintf(out, "%s: %.3f%s\n", title, *v, unit)
	}
}
