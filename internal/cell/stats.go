package cell

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/controller"
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

func (s *nodeStats) append(took time.Duration, err error) {
	s.appends.Update(took.Seconds())
	s.set.GetOrCreateCounter(`hitch_cell_appends{outcome="` + outcomeOf(err) + `"}`).Inc()
}

func (s *nodeStats) advice(took time.Duration, err error) {
	s.advices.Update(took.Seconds())
	s.set.GetOrCreateCounter(`hitch_cell_advice{outcome="` + outcomeOf(err) + `"}`).Inc()
}

func (s *nodeStats) order(kind string, answer controller.Answer) {
	s.set.GetOrCreateCounter(`hitch_cell_orders{kind="` + kind + `",answer="` + answer.String() + `"}`).Inc()
}
