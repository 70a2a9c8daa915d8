package cell

import (
	"context"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// nodeStats are the metrics of a node.
type nodeStats struct {
	set                    *metrics.Set
	malformedWorkerRecords *metrics.Counter
	appendSeconds          *metrics.Histogram
	advisorCallSeconds     *metrics.Histogram
	passSeconds, passSteps *metrics.Histogram
}

func newNodeStats(set *metrics.Set) *nodeStats {
	if set == nil {
		set = metrics.NewSet()
	}
	return &nodeStats{
		set:                    set,
		malformedWorkerRecords: set.NewCounter("hitch_cell_malformed_worker_records"),
		appendSeconds:          set.NewHistogram("hitch_cell_append_seconds"),
		advisorCallSeconds:     set.NewHistogram("hitch_cell_advice_seconds"),
		passSeconds:            set.NewHistogram("hitch_cell_placement_seconds"),
		passSteps:              set.NewHistogram("hitch_cell_placement_steps"),
	}
}

// outcomeOf returns the outcome label of a call's result.
func outcomeOf(err error) string {
	if err == nil {
		return "ok"
	}
	return string(structs.CodeOf(err))
}

// countDecision counts a decision of the controller by type. For the acceptance, the first start
// and the end of a job it also observes the time since the job's submission.
func (s *nodeStats) countDecision(e *event.Event) {
	s.set.GetOrCreateCounter(`hitch_cell_decisions{type="` + string(e.Type) + `"}`).Inc()
	seconds := float64(e.AgeMs) / 1000
	switch e.Type {
	case event.JobAccepted:
		s.classHistogram("hitch_cell_accept_seconds", e.Class).Update(seconds)
	case event.JobStarted:
		s.classHistogram("hitch_cell_first_start_seconds", e.Class).Update(seconds)
	case event.JobEnded:
		s.classHistogram("hitch_cell_"+e.State+"_seconds", e.Class).Update(seconds)
	case event.StepWaiting:
		s.set.GetOrCreateCounter(`hitch_cell_step_waits{reason="` + labelValue(e.State) + `"}`).Inc()
	}
}

// classHistogram returns the histogram of that name for a class.
func (s *nodeStats) classHistogram(name, class string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(name + classLabel(class))
}

// registerClassGauge adds a gauge of a class whose value is read at each scrape.
func (s *nodeStats) registerClassGauge(name, class string, read func() float64) {
	s.registerGauge(name+classLabel(class), read)
}

func classLabel(class string) string { return `{class="` + labelValue(class) + `"}` }

// maxLabelBytes is the maximum length of the value of a label.
const maxLabelBytes = 128

// labelValue returns a value from another process as the value of a label: an invalid metric name
// is a panic of the metrics package.
func labelValue(s string) string {
	s = strings.ToValidUTF8(s[:min(len(s), maxLabelBytes)], "_")
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == '"' || r == '\\' {
			return '_'
		}
		return r
	}, s)
}

// countRefused counts a request that was answered with an error.
func (s *nodeStats) countRefused(code structs.Code) {
	s.set.GetOrCreateCounter(`hitch_cell_refused{code="` + labelValue(string(code)) + `"}`).Inc()
}

// registerGauge adds a gauge whose value is read at each scrape.
func (s *nodeStats) registerGauge(name string, read func() float64) {
	s.set.GetOrCreateGauge(name, read)
}

func (s *nodeStats) observeAppend(took time.Duration, err error) {
	s.appendSeconds.Update(took.Seconds())
	s.set.GetOrCreateCounter(`hitch_cell_appends{outcome="` + outcomeOf(err) + `"}`).Inc()
}

// observePass adds a placement pass, and the number of steps that waited at its beginning, to the metrics.
func (s *nodeStats) observePass(took time.Duration, steps int) {
	s.passSeconds.Update(took.Seconds())
	s.passSteps.Update(float64(steps))
}

func (s *nodeStats) observeAdvisorCall(took time.Duration, err error) {
	s.advisorCallSeconds.Update(took.Seconds())
	s.set.GetOrCreateCounter(`hitch_cell_advice{outcome="` + outcomeOf(err) + `"}`).Inc()
}

func (s *nodeStats) countOrder(kind string, result controller.OrderResult) {
	s.set.GetOrCreateCounter(`hitch_cell_orders{kind="` + kind + `",answer="` + result.String() + `"}`).Inc()
}

// countDirectOrder counts an order that this member sends to a worker itself as the controller.
func (s *nodeStats) countDirectOrder(kind string) {
	s.directOrders(kind).Inc()
}

// directOrders returns the counter of the orders of a kind that this member has sent itself as the
// controller.
func (s *nodeStats) directOrders(kind string) *metrics.Counter {
	return s.set.GetOrCreateCounter(`hitch_cell_direct_orders{kind="` + kind + `"}`)
}

// countingWorkers counts the orders that this member sends to workers.
type countingWorkers struct {
	Workers
	stats *nodeStats
}

// Poll implements Workers.
func (w countingWorkers) Poll(ctx context.Context, token int64, p *controller.Poll) (*workload.PollResult, controller.OrderResult) {
	poll, result := w.Workers.Poll(ctx, token, p)
	w.stats.countOrder("look", result)
	return poll, result
}

// Start implements Workers.
func (w countingWorkers) Start(ctx context.Context, token int64, s *controller.Start) (controller.OrderResult, int64) {
	result, clockMs := w.Workers.Start(ctx, token, s)
	w.stats.countOrder("start", result)
	return result, clockMs
}

// Stop implements Workers.
func (w countingWorkers) Stop(ctx context.Context, token int64, s *controller.Stop) (controller.OrderResult, int64) {
	result, clockMs := w.Workers.Stop(ctx, token, s)
	w.stats.countOrder("stop", result)
	return result, clockMs
}
