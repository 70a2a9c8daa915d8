package endpoint

import (
	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/structs"
)

// counters are the metrics of the attempts at endpoints.
type counters struct {
	answered, notRun, unknown       *metrics.Counter
	lateAnswers, wrongID, truncated *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		answered:    set.GetOrCreateCounter(`hitch_endpoint_attempts_total{outcome="answered"}`),
		notRun:      set.GetOrCreateCounter(`hitch_endpoint_attempts_total{outcome="not_run"}`),
		unknown:     set.GetOrCreateCounter(`hitch_endpoint_attempts_total{outcome="unknown"}`),
		lateAnswers: set.GetOrCreateCounter(`hitch_endpoint_late_answers_total`),
		wrongID:     set.GetOrCreateCounter(`hitch_endpoint_wrong_id_total`),
		truncated:   set.GetOrCreateCounter(`hitch_endpoint_truncated_total`),
	}
}

func (c counters) countResult(r Result) {
	switch r.Outcome {
	case structs.OutcomeAnswered:
		c.answered.Inc()
	case structs.OutcomeNotRun:
		c.notRun.Inc()
	default:
		c.unknown.Inc()
	}
}
