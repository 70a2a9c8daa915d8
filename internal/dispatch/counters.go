package dispatch

import (
	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/structs"
)

// counters are the figures of the request path.
type counters struct {
	answered, notRun, unknown   *metrics.Counter
	retries, refused, served    *metrics.Counter
	hedges                      *metrics.Counter
	replayed, unsettled         *metrics.Counter
	nearForwarded, farForwarded *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		answered:      set.GetOrCreateCounter(`hitch_requests_total{outcome="answered"}`),
		notRun:        set.GetOrCreateCounter(`hitch_requests_total{outcome="not_run"}`),
		unknown:       set.GetOrCreateCounter(`hitch_requests_total{outcome="unknown"}`),
		retries:       set.GetOrCreateCounter(`hitch_request_retries_total`),
		hedges:        set.GetOrCreateCounter(`hitch_request_hedges_total`),
		refused:       set.GetOrCreateCounter(`hitch_request_admission_refused_total`),
		served:        set.GetOrCreateCounter(`hitch_requests_forwarded_in_total`),
		replayed:      set.GetOrCreateCounter(`hitch_request_key_replays_total`),
		unsettled:     set.GetOrCreateCounter(`hitch_request_unsettled_total`),
		nearForwarded: set.GetOrCreateCounter(`hitch_requests_forwarded_total{to="region"}`),
		farForwarded:  set.GetOrCreateCounter(`hitch_requests_forwarded_total{to="other_region"}`),
	}
}

func (c counters) outcome(a structs.Answer) {
	switch a.Outcome {
	case structs.OutcomeAnswered:
		c.answered.Inc()
	case structs.OutcomeNotRun:
		c.notRun.Inc()
	default:
		c.unknown.Inc()
	}
}

func (c counters) forwards(far bool) *metrics.Counter {
	if far {
		return c.farForwarded
	}
	return c.nearForwarded
}
