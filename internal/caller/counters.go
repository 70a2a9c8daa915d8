package caller

import (
	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/structs"
)

// counters are the figures of the callers' interface.
type counters struct {
	answered, notRun, unknown *metrics.Counter
	refusedAtLimit, badBody   *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		answered:       set.GetOrCreateCounter(`hitch_caller_answers_total{outcome="answered"}`),
		notRun:         set.GetOrCreateCounter(`hitch_caller_answers_total{outcome="not_run"}`),
		unknown:        set.GetOrCreateCounter(`hitch_caller_answers_total{outcome="unknown"}`),
		refusedAtLimit: set.GetOrCreateCounter(`hitch_caller_refused_full_total`),
		badBody:        set.GetOrCreateCounter(`hitch_caller_bad_bodies_total`),
	}
}

func (c counters) countOutcome(o structs.Outcome) {
	switch o {
	case structs.OutcomeAnswered:
		c.answered.Inc()
	case structs.OutcomeNotRun:
		c.notRun.Inc()
	default:
		c.unknown.Inc()
	}
}
