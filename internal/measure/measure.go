// Package measure works out waits and packing from the merged time line of a run,
// by the record of the workers.
package measure

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Kind is the sort of a wait.
type Kind string

// The waits that are measured.
const (
	// RequestToRun is from an entry's taking a request to its run on a worker.
	RequestToRun Kind = "request to its run"
	// RequestToAnswer is from an entry's taking a request to its answer.
	RequestToAnswer Kind = "request to its answer"
	// JobToTaskStart is from a job's acceptance to the first run of a task.
	JobToTaskStart Kind = "job to a task's start"
	// JobToAllStarts is from a job's acceptance to the first run of its last task.
	JobToAllStarts Kind = "job to every task's start"
	// JobToEnd is from a job's acceptance to its recorded end.
	JobToEnd Kind = "job to its end"
)

// Wait is the distribution of one kind of wait of a class, in milliseconds.
type Wait struct {
	Class string  `json:"class"`
	Kind  Kind    `json:"kind"`
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P90Ms float64 `json:"p90_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// Report is what a run shows.
type Report struct {
	Waits   []Wait  `json:"waits"`
	Packing Packing `json:"packing"`
}

// Range and precision of the histograms, in microseconds.
const (
	lowest  = 1
	highest = 24 * 60 * 60 * 1_000_000
	digits  = 3
)

// series names a distribution.
type series struct {
	class string
	kind  Kind
}

// job is what is known of an accepted job.
type job struct {
	accepted event.Event
	started  map[structs.TaskID]bool
}

// measurer gathers waits from events in order.
type measurer struct {
	waits    map[series]*hdrhistogram.Histogram
	requests map[string]event.Event
	jobs     map[string]*job
	packing  *packer
}

// Measure reads events in the order that timeline.Merge gives.
func Measure(events []event.Event) *Report {
	m := &measurer{
		waits:    map[series]*hdrhistogram.Histogram{},
		requests: map[string]event.Event{},
		jobs:     map[string]*job{},
		packing:  newPacker(),
	}
	for _, e := range events {
		m.observe(e)
		m.packing.observe(e)
	}
	return &Report{Waits: m.report(), Packing: m.packing.report()}
}

func (m *measurer) observe(e event.Event) {
	switch e.Type {
	case event.RequestReceived:
		m.requests[e.Request] = e
	case event.RequestRun:
		m.dispatched(e)
	case event.RequestAnswered:
		m.answered(e)
	case event.JobAccepted:
		m.accepted(e)
	case event.TaskRun:
		m.started(e)
	case event.JobEnded:
		m.ended(e)
	}
}

func (m *measurer) dispatched(e event.Event) {
	if in, found := m.requests[e.Request]; found {
		m.add(in.Class, RequestToRun, in, e)
	}
}

func (m *measurer) answered(e event.Event) {
	in, found := m.requests[e.Request]
	if found && e.Outcome == structs.OutcomeAnswered {
		m.add(in.Class, RequestToAnswer, in, e)
	}
	delete(m.requests, e.Request)
}

// accepted keeps the first acceptance: every member of a group reads it.
func (m *measurer) accepted(e event.Event) {
	if m.jobs[e.Job] == nil {
		m.jobs[e.Job] = &job{accepted: e, started: map[structs.TaskID]bool{}}
	}
}

func (m *measurer) started(e event.Event) {
	id, _, err := e.Task.Split()
	j := m.jobs[id]
	if err != nil || j == nil || j.started[e.Task] {
		return
	}
	j.started[e.Task] = true
	m.add(j.accepted.Class, JobToTaskStart, j.accepted, e)
	if len(j.started) == j.accepted.Count {
		m.add(j.accepted.Class, JobToAllStarts, j.accepted, e)
	}
}

func (m *measurer) ended(e event.Event) {
	j := m.jobs[e.Job]
	if j == nil {
		return
	}
	if e.State == string(structs.JobComplete) {
		m.add(j.accepted.Class, JobToEnd, j.accepted, e)
	}
	delete(m.jobs, e.Job)
}

func (m *measurer) add(class string, kind Kind, from, to event.Event) {
	id := series{class, kind}
	if m.waits[id] == nil {
		m.waits[id] = hdrhistogram.New(lowest, highest, digits)
	}
	wait := min(max(to.Time.Micros-from.Time.Micros, lowest), highest)
	_ = m.waits[id].RecordValue(wait)
}

func (m *measurer) report() []Wait {
	var out []Wait
	for id, h := range m.waits {
		out = append(out, Wait{
			Class: id.class,
			Kind:  id.kind,
			Count: h.TotalCount(),
			P50Ms: float64(h.ValueAtQuantile(50)) / 1000,
			P90Ms: float64(h.ValueAtQuantile(90)) / 1000,
			P99Ms: float64(h.ValueAtQuantile(99)) / 1000,
			MaxMs: float64(h.Max()) / 1000,
		})
	}
	slices.SortFunc(out, func(a, b Wait) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}
