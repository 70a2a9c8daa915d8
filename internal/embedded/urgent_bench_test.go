package embedded

import (
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Load of BenchmarkUrgentStart: a cell of 32 cores with a backlog of batch tasks.
const (
	benchBulkTasks   = 160
	benchBulkRun     = 8 * time.Second
	benchUrgentEvery = 100 * time.Millisecond
	benchUrgentRun   = 200 * time.Millisecond
)

// BenchmarkUrgentStart submits an urgent job of two tasks for each iteration into a
// cell that is full of batch work with more waiting, and reports how long the tasks
// wait for their start.
func BenchmarkUrgentStart(b *testing.B) {
	f := newFailureTest(b, 3)
	f.addClass(structs.Class{Name: "bulk", Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Hour)}})
	f.addClass(structs.Class{Name: "urgent", Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Second)}})
	c := f.cell.NewCaller("caller")
	f.submitSized(c, "bulk", benchBulkTasks, 1000, benchBulkRun, "checkpoint")
	f.await("the cell is full", func() bool { return f.count(event.TaskRun) >= 32 })
	var ids []string
	for b.Loop() {
		ids = append(ids, f.submitSized(c, "urgent", 2, 1000, benchUrgentRun, ""))
		time.Sleep(benchUrgentEvery)
	}
	f.complete(c, ids)
	waits := f.startWaits(ids)
	b.ReportMetric(float64(waits[len(waits)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(waits[len(waits)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(f.count(event.TaskEvicted))/float64(len(ids)), "evictions/op")
}
