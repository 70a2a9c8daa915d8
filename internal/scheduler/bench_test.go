package scheduler

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

var benchWorkers = []int{50, 150, 1500, 13000}

// busyCell returns a cell that is filled to a share of its processors with random
// small tasks, two services of 200 tasks each among them.
func busyCell(b *testing.B, workers int, share float64) *NodeSet {
	b.Helper()
	s := cell(workers)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, job := range []string{"svc-a", "svc-b"} {
		place(b, s, ask(job, structs.KindService, min(200, workers), size(1, 2, 0)))
	}
	for i, n := range s.Nodes() {
		for j := 0; float64(n.Used().CPUMilli) < share*float64(n.Worker().Size.CPUMilli); j++ {
			s.AddObserved(structs.Alloc{
				Task:   structs.NewTaskID(fmt.Sprintf("fill-%d", i), j),
				Worker: n.ID(), Class: "fill", State: structs.AllocRunning,
				Size: structs.Resources{CPUMilli: 250 + rng.Int64N(1000), MemoryMiB: 512 + rng.Int64N(3000)},
			})
		}
	}
	return s
}

// BenchmarkPlace measures one decision with its accounting and release.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range benchWorkers {
		s := busyCell(b, workers, 0.7)
		for _, c := range []struct {
			kind  structs.Kind
			tasks int
		}{{structs.KindBatch, 1}, {structs.KindBatch, 100}, {structs.KindService, 1}, {structs.KindService, 30}, {structs.KindGang, 16}} {
			b.Run(fmt.Sprintf("workers=%d/%s=%d", workers, c.kind, c.tasks), func(b *testing.B) {
				b.ReportAllocs()
				a := ask("svc-a-more", c.kind, c.tasks, size(1, 2, 0))
				for b.Loop() {
					p := Place(s, a)
					for _, alloc := range p.Allocs(a, structs.AllocStarting) {
						_ = s.Assign(alloc)
					}
					for _, t := range p.Placed {
						s.Release(t.Task, t.Attempt)
					}
				}
			})
		}
	}
}

// BenchmarkPlaceFull measures a refusal, with its reasons, by a full cell.
func BenchmarkPlaceFull(b *testing.B) {
	for _, workers := range benchWorkers {
		s := busyCell(b, workers, 1)
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			a := ask("j", structs.KindBatch, 1, size(4, 8, 0))
			for b.Loop() {
				if p := Place(s, a); len(p.Placed) != 0 {
					b.Fatal("placed")
				}
			}
		})
	}
}

// BenchmarkQueue measures one push and one pick by the number of waiting jobs.
func BenchmarkQueue(b *testing.B) {
	for _, length := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("length=%d", length), func(b *testing.B) {
			b.ReportAllocs()
			q := NewQueue()
			rng := rand.New(rand.NewPCG(1, 1))
			jobs := make([]string, 4*length)
			for i := range jobs {
				jobs[i] = fmt.Sprintf("j%d", i)
			}
			for _, job := range jobs[:length] {
				q.Push(item(job, time.Duration(rng.IntN(3600))*time.Second))
			}
			i := length
			for b.Loop() {
				q.Push(item(jobs[i%len(jobs)], time.Duration(rng.IntN(3600))*time.Second))
				i++
				r := q.BeginRound(epoch)
				if next, ok := r.Next(); ok {
					r.MarkStarted(next.PendingTasks)
				}
				r.End()
			}
		})
	}
}

// BenchmarkCancelWave measures the removal of 10,000 jobs at once from a queue of
// 20,000, and the next pick after it.
func BenchmarkCancelWave(b *testing.B) {
	const wave = 10_000
	jobs := make([]string, wave)
	for i := range jobs {
		jobs[i] = fmt.Sprintf("j%d", i)
	}
	for b.Loop() {
		b.StopTimer()
		q := NewQueue()
		for i := range 2 * wave {
			q.Push(item(fmt.Sprintf("j%d", i), time.Duration(i%3600)*time.Second))
		}
		b.StartTimer()
		if q.Remove(jobs...) != wave {
			b.Fatal("not all removed")
		}
		r := q.BeginRound(epoch)
		if _, ok := r.Next(); !ok {
			b.Fatal("nothing left")
		}
		r.End()
	}
}

// BenchmarkMemory reports the heap that a set of workers holds with 18 tasks each, the
// letter's mean.
func BenchmarkMemory(b *testing.B) {
	const tasksEach = 18
	for _, workers := range []int{150, 2000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var empty, full int64
			for b.Loop() {
				before := liveHeap()
				s := cell(workers)
				empty = liveHeap() - before
				for i, n := range s.Nodes() {
					for j := range tasksEach {
						s.AddObserved(structs.Alloc{
							Task:   structs.NewTaskID(fmt.Sprintf("job-%d", (i*tasksEach+j)/30), j),
							Worker: n.ID(), Class: "class", Size: size(0, 1, 0), State: structs.AllocRunning,
						})
					}
				}
				full = liveHeap() - before - empty
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(empty)/float64(workers), "B/worker")
			b.ReportMetric(float64(full)/float64(workers*tasksEach), "B/task")
		})
	}
}

// liveHeap returns the live heap in bytes.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkEvict measures the choice of tasks to stop for one urgent task in a full
// cell.
func BenchmarkEvict(b *testing.B) {
	cost := func(a structs.Alloc) (float64, bool) { return float64(a.Size.CPUMilli), a.Class == "fill" }
	for _, workers := range benchWorkers {
		s := busyCell(b, workers, 1)
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			a := ask("urgent", structs.KindBatch, 1, size(2, 4, 0))
			for b.Loop() {
				if len(PlanEvictions(s, a, cost)) != 1 {
					b.Fatal("nothing to evict")
				}
			}
		})
	}
}
