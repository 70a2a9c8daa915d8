package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// busyWorkers are workers of a large cell: a poll waits without using processor time, so that a
// profile shows what the members spend.
type busyWorkers struct {
	taskTime time.Duration
	mu       sync.Mutex
	workers  map[string]*busyWorker
	// runs are the ends of the runs of each task by number, empty for one that goes on.
	runs       map[workload.TaskID]map[int64]workload.EndReason
	violations int
}

func newBusyWorkers(taskTime time.Duration) *busyWorkers {
	return &busyWorkers{taskTime: taskTime, workers: map[string]*busyWorker{}, runs: map[workload.TaskID]map[int64]workload.EndReason{}}
}

// noteStart records the start of a run, unless it was started before, and reports whether it is the
// first order for the run. It counts a violation if another run of the task goes on or was done.
func (s *busyWorkers) noteStart(run workload.Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs[run.Task]
	if runs == nil {
		runs = map[int64]workload.EndReason{}
		s.runs[run.Task] = runs
	}
	if _, known := runs[run.Number]; known {
		return false
	}
	for _, end := range runs {
		if end == "" || end == workload.EndDone {
			s.violations++
		}
	}
	runs[run.Number] = ""
	return true
}

// noteEnd records the end of a run.
func (s *busyWorkers) noteEnd(run workload.Run, reason workload.EndReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[run.Task] != nil {
		s.runs[run.Task][run.Number] = reason
	}
}

// startedTwice returns the number of starts of a task of which another run was going on or done.
func (s *busyWorkers) startedTwice() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violations
}

type busyWorker struct {
	mu       sync.Mutex
	seq      int64
	runs     map[workload.Run]struct{}
	ends     []workload.EndedTask
	changed  chan struct{}
	bootedAt time.Time
}

func (s *busyWorkers) worker(id string) *busyWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[id]
	if w == nil {
		w = &busyWorker{runs: map[workload.Run]struct{}{}, changed: make(chan struct{}), bootedAt: time.Now()}
		s.workers[id] = w
	}
	return w
}

func (w *busyWorker) clock() int64 { return time.Since(w.bootedAt).Milliseconds() + 1 }

// end ends a run on a worker.
func (s *busyWorkers) end(w *busyWorker, run workload.Run, reason workload.EndReason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, running := w.runs[run]; !running {
		return
	}
	s.noteEnd(run, reason)
	delete(w.runs, run)
	w.seq++
	w.ends = append(w.ends, workload.EndedTask{Seq: w.seq, Run: run, Reason: reason})
	close(w.changed)
	w.changed = make(chan struct{})
}

// Poll implements Workers.
func (s *busyWorkers) Poll(ctx context.Context, _ int64, order *controller.Poll) (*workload.PollResult, controller.OrderResult) {
	w := s.worker(order.Worker)
	w.mu.Lock()
	for len(w.ends) > 0 && w.ends[0].Seq <= order.AckedSeq {
		w.ends = w.ends[1:]
	}
	changed, wait := w.changed, len(w.ends) == 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(order.Wait):
		case <-ctx.Done():
			return nil, controller.NoResponse
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	result := &workload.PollResult{BootMs: 1, ClockMs: w.clock(), Ended: append([]workload.EndedTask(nil), w.ends...)}
	for run := range w.runs {
		result.Running = append(result.Running, workload.RunningTask{Run: run, Percent: 50})
	}
	return result, controller.CarriedOut
}

// Start implements Workers.
func (s *busyWorkers) Start(_ context.Context, _ int64, o *controller.Start) (controller.OrderResult, int64) {
	w := s.worker(o.Worker)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !s.noteStart(o.Run) {
		return controller.CarriedOut, w.clock()
	}
	w.runs[o.Run] = struct{}{}
	time.AfterFunc(s.taskTime, func() { s.end(w, o.Run, workload.EndDone) })
	return controller.CarriedOut, w.clock()
}

// Stop implements Workers.
func (s *busyWorkers) Stop(_ context.Context, _ int64, o *controller.Stop) (controller.OrderResult, int64) {
	s.end(s.worker(o.Worker), o.Run, workload.EndStopped)
	return controller.CarriedOut, 1
}

// loadedCell is a cell with many workers and a steady stream of jobs.
type loadedCell struct {
	*testCell
	leader  *testNode
	busy    *busyWorkers
	widths  func() int
	nextJob int
}

// newLoadedCell returns a cell of some nodes and workers with a controller.
func newLoadedCell(t *testing.T, nodes, workers int) *loadedCell {
	c := &loadedCell{testCell: &testCell{t: t, log: newFakeLog(), cores: 0.15, leaderLease: longLease}, busy: newBusyWorkers(time.Second)}
	c.writeConfig(1)
	for i := range workers {
		c.addWorker(fmt.Sprintf("i-%04d", i))
	}
	c.orderTarget = c.busy
	for i := range nodes {
		c.addNode(fmt.Sprintf("node-%02d", i))
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.kill()
		}
	})
	c.leader = c.awaitLeader(10 * time.Second)
	return c
}

// ordersSentBy returns the number of orders that a node sent to workers, by kind.
func (c *loadedCell) ordersSentBy(n *testNode) map[string]int {
	out := map[string]int{}
	for _, kind := range []string{"look", "start", "stop"} {
		counter := n.stats.set.GetOrCreateCounter(`hitch_cell_orders{kind="` + kind + `",answer="` + controller.CarriedOut.String() + `"}`)
		out[kind] = int(counter.Get())
	}
	return out
}

// submitFor submits jobs through all nodes for a time and returns how many were accepted.
func (c *loadedCell) submitFor(d time.Duration, jobsPerSecond float64) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / jobsPerSecond * float64(time.Second)))
		c.nextJob++
		job := &workload.Job{
			ID: fmt.Sprintf("%016x", c.nextJob), Class: "batch", Payload: string(make([]byte, 300)),
			Steps: []workload.Step{{Count: c.widths(), Size: structs.Resources{CPUMilli: 1000, MemoryMiB: 100}, EstimateMs: 1000}},
		}
		n := c.nodes[rand.IntN(len(c.nodes))]
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if n.Submit(ctx, job) == nil {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return accepted
}

// TestProfileLoadedCell runs a large cell for a profile of its processor time. It runs only with
// HITCH_LOAD_SECONDS.
func TestProfileLoadedCell(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("HITCH_LOAD_SECONDS"))
	if seconds == 0 {
		t.Skip("HITCH_LOAD_SECONDS is not set")
	}
	c := newLoadedCell(t, 18, 1000)
	c.widths = func() int { return 1 + rand.IntN(18) }
	c.submitFor(time.Duration(seconds)*time.Second, 130)
	runtime.GC()
}
