package load

import (
	"bufio"
	"fmt"
	"io"

	"github.com/juju/errors"
)

// Comparison sets the streams of two reports against each other.
type Comparison struct {
	A string `json:"a"`
	B string `json:"b"`
	// SameSeed is false for runs whose arrivals differ.
	SameSeed bool               `json:"same_seed"`
	Streams  []StreamComparison `json:"streams"`
	// Unmatched are streams that only one report has.
	Unmatched []string `json:"missing,omitempty"`
}

// StreamComparison is one stream in two reports; a ratio is B to A, zero where A
// has none.
type StreamComparison struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	Measures []Pair `json:"measures"`
}

// Pair is one measure in two reports.
type Pair struct {
	Measure string  `json:"measure"`
	A       float64 `json:"a"`
	B       float64 `json:"b"`
	Ratio   float64 `json:"ratio"`
}

// Compare sets report b against report a.
func Compare(a, b *Report) *Comparison {
	c := &Comparison{A: a.Experiment.Name, B: b.Experiment.Name, SameSeed: a.Experiment.Seed == b.Experiment.Seed}
	inB := map[string]StreamReport{}
	for _, s := range b.Streams {
		inB[s.Kind+" "+s.Name] = s
	}
	for _, s := range a.Streams {
		other, found := inB[s.Kind+" "+s.Name]
		delete(inB, s.Kind+" "+s.Name)
		if !found {
			c.Unmatched = append(c.Unmatched, s.Name)
			continue
		}
		c.Streams = append(c.Streams, compareStreams(s, other))
	}
	for _, s := range b.Streams {
		if _, left := inB[s.Kind+" "+s.Name]; left {
			c.Unmatched = append(c.Unmatched, s.Name)
		}
	}
	return c
}

func compareStreams(a, b StreamReport) StreamComparison {
	out := StreamComparison{Name: a.Name, Kind: a.Kind}
	add := func(measure string, x, y float64) {
		p := Pair{Measure: measure, A: x, B: y}
		if x != 0 {
			p.Ratio = y / x
		}
		out.Measures = append(out.Measures, p)
	}
	add("sent", float64(a.Sent), float64(b.Sent))
	add("answered", float64(a.Answered()), float64(b.Answered()))
	add("not run", float64(a.Outcomes["not_run"]), float64(b.Outcomes["not_run"]))
	add("unknown", float64(a.Outcomes["unknown"]), float64(b.Outcomes["unknown"]))
	add("within target", float64(a.WithinTarget), float64(b.WithinTarget))
	add("mean ms", a.Latency.MeanMs, b.Latency.MeanMs)
	add("p50 ms", a.Latency.P50Ms, b.Latency.P50Ms)
	add("p90 ms", a.Latency.P90Ms, b.Latency.P90Ms)
	add("p99 ms", a.Latency.P99Ms, b.Latency.P99Ms)
	add("p99.9 ms", a.Latency.P999Ms, b.Latency.P999Ms)
	add("max ms", a.Latency.MaxMs, b.Latency.MaxMs)
	return out
}

// WriteComparison writes a comparison in Markdown.
func WriteComparison(w io.Writer, c *Comparison) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "# %s against %s\n\n", c.B, c.A)
	if !c.SameSeed {
		fmt.Fprint(out, "The seeds differ: the arrivals are not the same.\n\n")
	}
	fmt.Fprintf(out, "| stream | measure | %s | %s | ratio |\n|---|---|--:|--:|--:|\n", c.A, c.B)
	for _, s := range c.Streams {
		for _, p := range s.Measures {
			fmt.Fprintf(out, "| %s | %s | %.6g | %.6g | %s |\n", s.Name, p.Measure, p.A, p.B, ratioText(p))
		}
	}
	for _, name := range c.Unmatched {
		fmt.Fprintf(out, "\nOnly one report has the stream %s.\n", name)
	}
	return errors.Trace(out.Flush())
}

func ratioText(p Pair) string {
	if p.A == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", p.Ratio)
}
