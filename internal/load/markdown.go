package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// WriteMarkdown writes a report for people.
func WriteMarkdown(w io.Writer, r *Report) error {
	out := bufio.NewWriter(w)
	e := r.Experiment
	fmt.Fprintf(out, "# %s\n\n", e.Name)
	fmt.Fprintf(out, "Seed %d, %s of arrivals, started %s, took %.1f s, %d entries.\n\n",
		e.Seed, e.Duration.AsDuration(), r.Started.Format("2006-01-02 15:04:05Z"), r.DurationMs/1000, len(e.Targets))
	fmt.Fprintf(out, "Waits run from the time at which the caller meant to send: to the answer for\n")
	fmt.Fprintf(out, "requests, to the start of every task for jobs.\n\n")
	writeStreams(out, r.Streams)
	writeOutcomes(out, r.Streams)
	writeSteps(out, r.Steps)
	writeMetrics(out, r.Metrics)
	if err := writeSettings(out, e); err != nil {
		return err
	}
	return errors.Trace(out.Flush())
}

func writeStreams(w io.Writer, streams []StreamReport) {
	fmt.Fprintln(w, "| stream | kind | sent | dropped | answered | wrong | within target | p50 ms | p90 ms | p99 ms | p99.9 ms | max ms |")
	fmt.Fprintln(w, "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")
	for _, s := range streams {
		fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %d | %s | %s |\n",
			s.Name, s.Kind, s.Sent, s.Dropped, s.Answered(), s.WrongAnswers, withinText(s), waitsText(s.Latency))
		if s.EndLatency != nil {
			fmt.Fprintf(w, "| %s | to the end | %d | | %d | | | %s |\n", s.Name, s.Sent, s.EndLatency.Count, waitsText(*s.EndLatency))
		}
	}
}

func withinText(s StreamReport) string {
	if s.TargetMs == 0 || s.Latency.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%% in %g ms", 100*float64(s.WithinTarget)/float64(s.Latency.Count), s.TargetMs)
}

func waitsText(w Latency) string {
	return fmt.Sprintf("%.2f | %.2f | %.2f | %.2f | %.2f", w.P50Ms, w.P90Ms, w.P99Ms, w.P999Ms, w.MaxMs)
}

func writeOutcomes(w io.Writer, streams []StreamReport) {
	fmt.Fprint(w, "\n| stream | outcomes | reasons | sent again | moved to another entry |\n|---|---|---|--:|--:|\n")
	for _, s := range streams {
		fmt.Fprintf(w, "| %s | %s | %s | %d | %d |\n", s.Name, countsText(s.Outcomes), countsText(s.Codes), s.Retries, s.Failovers)
	}
}

func countsText[K ~string](counts map[K]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

func writeSteps(w io.Writer, steps []StepReport) {
	if len(steps) == 0 {
		return
	}
	fmt.Fprint(w, "\n| at ms | step | result |\n|--:|---|---|\n")
	for _, s := range steps {
		fmt.Fprintf(w, "| %.0f | `%s` | %s |\n", s.AtMs, s.Description, s.Result)
	}
}

func writeMetrics(w io.Writer, metrics []MetricReport) {
	if len(metrics) == 0 {
		return
	}
	fmt.Fprint(w, "\n| source | series | before | after | difference |\n|---|---|--:|--:|--:|\n")
	for _, m := range metrics {
		fmt.Fprintf(w, "| %s | `%s` | %g | %g | %g |\n", m.Source, m.Series, m.Before, m.After, m.After-m.Before)
	}
}

func writeSettings(w io.Writer, e *Experiment) error {
	b, err := json.MarshalIndent(e, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(w, "\nSettings:\n\n```json\n%s\n```\n", b)
	return nil
}
