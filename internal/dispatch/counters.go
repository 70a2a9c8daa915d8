package dispatch

import (
	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/structs"
)

// counters holds the metrics of the request path.
type counters struct {
	answered, notRun, unknown               *metrics.Counter
	retries, refused, forwardedIn           *metrics.Counter
	hedges                                  *metrics.Counter
	replayed, unsettled                     *metrics.Counter
	forwardedInRegion, forwardedCrossRegion *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		answered:             set.GetOrCreateCounter(`hitch_requests_total{outcome="answered"}`),
		notRun:               set.GetOrCreateCounter(`hitch_requests_total{outcome="not_run"}`),
		unknown:              set.GetOrCreateCounter(`hitch_requests_total{outcome="unknown"}`),
		retries:              set.GetOrCreateCounter(`hitch_request_retries_total`),
		hedges:               set.GetOrCreateCounter(`hitch_request_hedges_total`),
		refused:              set.GetOrCreateCounter(`hitch_request_admission_refused_total`),
		forwardedIn:          set.GetOrCreateCounter(`hitch_requests_forwarded_in_total`),
		replayed:             set.GetOrCreateCounter(`hitch_request_key_replays_total`),
		unsettled:            set.GetOrCreateCounter(`hitch_request_unsettled_total`),
		forwardedInRegion:    set.GetOrCreateCounter(`hitch_requests_forwarded_total{to="region"}`),
		forwardedCrossRegion: set.GetOrCreateCounter(`hitch_requests_forwarded_total{to="other_region"}`),
	}
}

// countOutcome counts the outcome of a caller's request.
func (c counters) countOutcome(a structs.Answer) {
	switch a.Outcome {
	case structs.OutcomeAnswered:
		c.answered.Inc()
	case structs.OutcomeNotRun:
		c.notRun.Inc()
	default:
		c.unknown.Inc()
	}
}

// forwarded returns the counter of requests forwarded to a region.
func (c counters) forwarded(otherRegion bool) *metrics.Counter {
	if otherRegion {
		return c.forwardedCrossRegion
	}
	return c.forwardedInRegion
}
