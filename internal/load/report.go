package load

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelhitch/internal/structs"
)

// Report is the result of an experiment with the settings that it ran with.
type Report struct {
	Experiment *Experiment    `json:"experiment"`
	Started    time.Time      `json:"started"`
	DurationMs float64        `json:"took_ms"`
	Streams    []StreamReport `json:"streams"`
	Steps      []StepReport   `json:"steps,omitempty"`
	Metrics    []MetricReport `json:"metrics,omitempty"`
}

// StreamReport is what became of one stream.
type StreamReport struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Sent counts arrivals that were sent, Dropped those that the tool itself
	// could not send.
	Sent    int `json:"sent"`
	Dropped int `json:"dropped"`
	// Outcomes counts the last outcome of each, Codes the reasons.
	Outcomes     map[string]int       `json:"outcomes"`
	Codes        map[structs.Code]int `json:"codes,omitempty"`
	WrongAnswers int                  `json:"wrong"`
	// WithinTarget counts those answered or started within TargetMs.
	WithinTarget int     `json:"within"`
	TargetMs     float64 `json:"within_ms,omitempty"`
	Retries      int     `json:"retries,omitempty"`
	// Failovers counts sends to another entry where none could be reached.
	Failovers int `json:"moved,omitempty"`
	// Latency is the time from the intended sending to the answer, for jobs to the
	// start of every task.
	Latency Latency `json:"waits"`
	// EndLatency is the time from the intended submission to the end of a job.
	EndLatency *Latency      `json:"ends,omitempty"`
	Series     []SecondStats `json:"series"`
}

// Answered returns the number that got what they asked for.
func (s StreamReport) Answered() int {
	return s.Outcomes[string(structs.OutcomeAnswered)] + s.Outcomes[outcomeStarted] + s.Outcomes[outcomeUntimed]
}

// Latency is a distribution of times in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMs float64 `json:"mean_ms"`
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	MaxMs  float64 `json:"max_ms"`
	// Curve holds the whole distribution.
	Curve []Point `json:"curve,omitempty"`
}

// Point is one quantile of a distribution.
type Point struct {
	Percent float64 `json:"percent"`
	Ms      float64 `json:"ms"`
}

// ticksPerHalfDistance is the number of points for each halving of the share
// that waits longer.
const ticksPerHalfDistance = 5

func newWaits(h *hdrhistogram.Histogram) Latency {
	w := Latency{
		Count:  h.TotalCount(),
		MeanMs: h.Mean() / 1000,
		P50Ms:  quantile(h, 50),
		P90Ms:  quantile(h, 90),
		P99Ms:  quantile(h, 99),
		P999Ms: quantile(h, 99.9),
		MaxMs:  float64(h.Max()) / 1000,
	}
	if w.Count == 0 {
		return Latency{}
	}
	for _, b := range h.CumulativeDistributionWithTicks(ticksPerHalfDistance) {
		w.Curve = append(w.Curve, Point{Percent: b.Quantile, Ms: float64(b.ValueAt) / 1000})
	}
	return w
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

func (r *runner) report(all []*stream) *Report {
	out := &Report{Experiment: r.experiment, Started: r.start.UTC(), DurationMs: millis(time.Since(r.start)), Steps: r.steps}
	slices.SortFunc(out.Steps, func(a, b StepReport) int { return int(a.AtMs - b.AtMs) })
	for _, s := range all {
		out.Streams = append(out.Streams, s.report())
	}
	return out
}

func (s *stream) report() StreamReport {
	st := s.stats
	st.mu.Lock()
	defer st.mu.Unlock()
	out := StreamReport{
		Name:         s.name,
		Kind:         s.kind,
		Sent:         st.sent,
		Dropped:      st.dropped,
		Outcomes:     st.outcome,
		Codes:        st.codes,
		WrongAnswers: st.wrong,
		WithinTarget: st.within,
		TargetMs:     millis(s.within),
		Retries:      st.retries,
		Failovers:    st.moved,
		Latency:      newWaits(st.waits),
		Series:       st.series,
	}
	if st.ends.TotalCount() > 0 {
		ends := newWaits(st.ends)
		out.EndLatency = &ends
	}
	return out
}

// ReadReport reads the JSON form of a report.
func ReadReport(path string) (*Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, structs.NewError(structs.CodeNotFound, "report: %v", err)
	}
	r := &Report{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, structs.NewError(structs.CodeInvalid, "report %s: %v", path, err)
	}
	if r.Experiment == nil {
		return nil, structs.NewError(structs.CodeInvalid, "report %s: no experiment in it", path)
	}
	return r, nil
}
