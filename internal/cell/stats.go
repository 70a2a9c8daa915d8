package cell

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// nodeStats are the counters and histograms of a node.
type nodeStats struct {
	set        *metrics.Set
	badRecords *metrics.Counter
	appends    *metrics.Histogram
	advices    *metrics.Histogram
}

func newNodeStats(set *metrics.Set) *nodeStats {
	if set == nil {
		set = metrics.NewSet()
	}
	return &nodeStats{
		set:        set,
		badRecords: set.NewCounter("hitch_cell_malformed_worker_records"),
		appends:    set.NewHistogram("hitch_cell_append_seconds"),
		advices:    set.NewHistogram("hitch_cell_advice_seconds"),
	}
}

// outcome names a result for a counter.
func outcomeOf(err error) string {
	if err == nil {
		return "ok"
	}
	return string(structs.CodeOf(err))
}

// decision counts what the controller decided, and how long its jobs waited.
func (s *nodeStats) decision(e *event.Event) {
	s.set.GetOrCreateCounter(`hitch_cell_decisions{type="` + string(e.Type) + `"}`).Inc()
	seconds := float64(e.AgeMs) / 1000
	switch e.Type {
	case event.JobAccepted:
		s.byClass("hitch_cell_accept_seconds", e.Class).Update(seconds)
	case event.JobStarted:
		s.byClass("hitch_cell_first_start_seconds", e.Class).Update(seconds)
	case event.JobEnded:
		s.byClass("hitch_cell_"+e.State+"_seconds", e.Class).Update(seconds)
	}
}

// byClass returns the histogram of a class.
func (s *nodeStats) byClass(name, class string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(name + `{class="` + class + `"}`)
}

// refused counts a request that was answered with an error.
func (s *nodeStats) refused(code structs.Code) {
	s.set.GetOrCreateCounter(`hitch_cell_refused{code="` + string(code) + `"}`).Inc()
}

// gauge shows a value that is read when the metrics are.
func (s *nodeStats) gauge(name string, read func() float64) {
	s.set.GetOrCreateGauge(name, read)
}

func (s *nodeStats) append(took time.Duration, err error) {
	s.appends.Update(took.Seconds())
	s.set.GetOrCreateCounter(`hitch_cell_appends{outcome="` + outcomeOf(err) + `"}`).Inc()
}

func (s *nodeStats) advice(took time.Duration, err error) {
	s.advices.Update(took.Seconds())
	s.set.GetOrCreateCounter(`hitch_cell_advice{outcome="` + outcomeOf(err) + `"}`).Inc()
}

func (s *nodeStats) order(kind string, answer controller.OrderResult) {
	s.set.GetOrCreateCounter(`hitch_cell_orders{kind="` + kind + `",answer="` + answer.String() + `"}`).Inc()
}
