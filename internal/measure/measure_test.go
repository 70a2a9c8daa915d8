package measure

import (
	"math"
	"testing"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

const second = 1_000_000

func at(seconds float64, e event.Event) event.Event {
	e.Time.Micros = int64(seconds * second)
	return e
}

func cores(n int64) *structs.Resources { return &structs.Resources{CPUMilli: n * 1000} }

func near(got, want float64) bool { return math.Abs(got-want) <= 0.002*want }

func TestMeasure(t *testing.T) {
	run := func(task structs.TaskID, attempt int) event.Event {
		return event.Event{Type: event.TaskRun, Worker: "w", Task: task, Attempt: attempt, Size: cores(2)}
	}
	end := func(task structs.TaskID) event.Event {
		return event.Event{Type: event.TaskEnd, Worker: "w", Task: task}
	}
	accepted := event.Event{Type: event.JobAccepted, Job: "g:j", Class: "batch", Count: 2}
	report := Measure([]event.Event{
		at(0, event.Event{Type: event.WorkerBoot, Worker: "w", Size: cores(8)}),
		at(1, event.Event{Type: event.RequestReceived, Request: "r", Class: "lookups"}),
		at(1.25, event.Event{Type: event.RequestRun, Request: "r", Worker: "w"}),
		at(1.5, event.Event{Type: event.RequestAnswered, Request: "r", Outcome: structs.OutcomeAnswered}),
		at(2, event.Event{Type: event.RequestReceived, Request: "s", Class: "lookups"}),
		at(3, event.Event{Type: event.RequestAnswered, Request: "s", Outcome: structs.OutcomeNotRun}),
		at(10, accepted),
		at(10.5, accepted),
		at(11, run("g:j#0", 1)),
		at(13, run("g:j#1", 1)),
		at(15, end("g:j#0")),
		at(15, run("g:j#0", 2)),
		at(17, end("g:j#0")),
		at(19, end("g:j#1")),
		at(20, event.Event{Type: event.JobEnded, Job: "g:j", State: string(structs.JobComplete)}),
	})
	want := map[Kind]struct {
		class string
		count int64
		maxMs float64
	}{
		RequestToRun:    {"lookups", 1, 250},
		RequestToAnswer: {"lookups", 1, 500},
		JobToTaskStart:  {"batch", 2, 3000},
		JobToAllStarts:  {"batch", 1, 3000},
		JobToEnd:        {"batch", 1, 10000},
	}
	if len(report.Waits) != len(want) {
		t.Errorf("waits %+v, want %d", report.Waits, len(want))
	}
	for _, got := range report.Waits {
		w := want[got.Kind]
		if got.Class != w.class || got.Count != w.count || !near(got.MaxMs, w.maxMs) {
			t.Errorf("%s: %+v, want %+v", got.Kind, got, w)
		}
	}
	// 2 cores for 2 s, 4 for 4 s and 2 for 2 s, of 8 cores for 8 s.
	p := report.Packing
	if p.Seconds != 8 || !near(p.CPU, 24.0/64) || p.PeakCPU != 0.5 || p.Workers != 1 {
		t.Errorf("packing %+v", p)
	}
}
