package orchestrator

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// benchTasks is the number of tasks of each job of the benchmarks.
const benchTasks = 10

// benchJobs holds jobs whose tasks all run, or wait until much later.
func benchJobs(n int, run bool) *Orchestrator {
	o := New()
	class := structs.Class{Name: "c", Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Hour)}}
	for i := range n {
		job := structs.Job{ID: fmt.Sprintf("g:%d", i), Class: "c", Kind: structs.KindBatch, Count: benchTasks, AcceptedMs: 1}
		o.AddJob(&state.Job{Job: job}, class, 1, true)
	}
	now := time.UnixMilli(2)
	for _, order := range o.NextPlacements(now, n*benchTasks) {
		if run {
			o.PlacementDone(order, order.Tasks, nil, nil, now)
			continue
		}
		o.PlacementDone(order, nil, nil, structs.NewError(structs.CodeNoCapacity, "full"), now)
	}
	return o
}

// benchTick is what one tick of the control goroutine asks.
func benchTick(o *Orchestrator, now time.Time, sent map[string]bool) {
	for id := range o.RunsToStop(func(id string) bool { return sent[id] }) {
		sent[id] = true
	}
	o.StartInventory()
	o.NextPlacements(now, 2048)
	o.JobsToFail()
	o.FinishedJobs()
	o.PendingTasks()
}

// BenchmarkTick is the cost of a tick in which nothing changed.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		for _, run := range []bool{true, false} {
			b.Run(fmt.Sprintf("jobs=%d/running=%v", n, run), func(b *testing.B) {
				o := benchJobs(n, run)
				now := time.UnixMilli(3)
				for b.Loop() {
					benchTick(o, now, map[string]bool{})
				}
			})
		}
	}
}

// BenchmarkDue is the cost of handing out and taking back one round of tasks.
func BenchmarkDue(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			o := benchJobs(n, false)
			now := time.UnixMilli(3)
			for b.Loop() {
				now = now.Add(time.Minute)
				for _, order := range o.NextPlacements(now, 100) {
					o.PlacementDone(order, nil, nil, structs.NewError(structs.CodeNoCapacity, "full"), now)
				}
			}
		})
	}
}

// BenchmarkTickAfterCancellations is the cost of a tick while the runs of 10,000
// cancelled jobs wait for their stops to be confirmed.
func BenchmarkTickAfterCancellations(b *testing.B) {
	o := benchJobs(10000, true)
	for _, id := range o.JobIDs() {
		o.EndJob(id, true, "")
	}
	sent := map[string]bool{}
	for b.Loop() {
		benchTick(o, time.UnixMilli(3), sent)
	}
}
