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
	// Missing are streams that only one report has.
	Missing []string `json:"missing,omitempty"`
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
			c.Missing = append(c.Missing, s.Name)
			continue
		}
		c.Streams = append(c.Streams, compareStreams(s, other))
	}
	for _, s := range b.Streams {
		if _, left := inB[s.Kind+" "+s.Name]; left {
			c.Missing = append(c.Missing, s.Name)
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
	add("within target", float64(a.Within), float64(b.Within))
	add("mean ms", a.Waits.MeanMs, b.Waits.MeanMs)
	add("p50 ms", a.Waits.P50Ms, b.Waits.P50Ms)
	add("p90 ms", a.Waits.P90Ms, b.Waits.P90Ms)
	add("p99 ms", a.Waits.P99Ms, b.Waits.P99Ms)
	add("p99.9 ms", a.Waits.P999Ms, b.Waits.P999Ms)
	add("max ms", a.Waits.MaxMs, b.Waits.MaxMs)
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
	for _, name := range c.Missing {
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
