//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// finish is finish_s, for which jobs are asked for at the end.
const finish = 14 * time.Second

// jobID returns the ID of the nth job of a case.
func jobID(n int) string { return fmt.Sprintf("%016x", 0xa110000000000000|uint64(n)) }

func specOf(id string) string { return "work of " + id }

// smallJob returns a job of one step of short tasks.
func smallJob(n, count int, estimate time.Duration) *jobSpec {
	id := jobID(n)
	return &jobSpec{ID: id, Spec: specOf(id), Steps: []stepSpec{{Count: count, CPU: 500, MemMB: 256, EstimateMs: estimate.Milliseconds()}}}
}

// jobOf returns the ID of the job of a task.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// begin adds the workers and starts the entries.
func (s *system) begin() error {
	if err := s.addWorkers(48); err != nil {
		return err
	}
	return s.startEntries()
}

// largeGang: a gang of small tasks whose label eight workers have. With trouble it has more than 64 tasks a worker.
func largeGang(s *system, trouble bool) (int, error) {
	tasks := 500
	if trouble {
		tasks = 600
	}
	s.fleet.behave = func(string, int64) behaviour { return behaviour{lasts: 2 * time.Second, how: "done"} }
	if err := s.begin(); err != nil {
		return unable, err
	}
	id := jobID(1)
	gang := &jobSpec{ID: id, Spec: specOf(id), Steps: []stepSpec{{Count: tasks, CPU: 100, MemMB: 64, EstimateMs: 2000, Gang: true, RequiredLabel: "r0"}}}
	if !s.submit(gang) {
		return unable, fmt.Errorf("the gang is not accepted")
	}
	began := time.Now()
	other := smallJob(2, 2, 2*time.Second)
	if !s.submit(other) {
		return unable, fmt.Errorf("the small job is not accepted")
	}
	status, state := s.awaitState(other.ID, "completed", finish)
	s.rec.say("the small job beside it: %d %s", status, state)
	if state != "completed" {
		return unable, fmt.Errorf("the small job is not completed")
	}
	status, state = s.awaitState(id, "completed", 60*time.Second)
	s.rec.say("the gang of %d tasks, %.0f s after its acceptance: %d %s, %d tasks at work; %d workers of 16,000 have the label, each holds 160 of the tasks", tasks, time.Since(began).Seconds(), status, state, s.fleet.atWork(id), 8)
	if state != "completed" && s.fleet.atWork(id) == 0 {
		return broken, nil
	}
	return held, nil
}

// manyEnds: the process of the controller is killed while the tasks of a job end. Workers list 500 ends at a time.
func manyEnds(s *system, trouble bool) (int, error) {
	const tasks, lasts = 12000, 10 * time.Second
	// The first runs end at about the same time, as those of tasks that need the same input.
	var together atomic.Int64
	s.fleet.behave = func(_ string, run int64) behaviour {
		if left := time.Until(time.Unix(0, together.Load())); left > 0 {
			return behaviour{lasts: left + time.Duration(rand.Int64N(int64(200*time.Millisecond))), how: "done"}
		}
		return behaviour{lasts: lasts, how: "done"}
	}
	var mu sync.Mutex
	done := map[string]string{} // where a run of the task has ended as done
	again := map[string]string{}
	var firstEnd atomic.Int64
	s.fleet.ended = func(w *worker, task string, run int64, how string) {
		mu.Lock()
		defer mu.Unlock()
		if how == "done" {
			firstEnd.CompareAndSwap(0, time.Now().UnixNano())
			done[task] = fmt.Sprintf("run %d on %s", run, w.id)
		}
	}
	s.fleet.started = func(w *worker, task string, run int64) {
		mu.Lock()
		defer mu.Unlock()
		if former, ok := done[task]; ok {
			if len(again) < 20 {
				s.rec.note("%s starts run %d of %s, of which %s has ended as done", w.id, run, task, former)
			}
			again[task] = former
		}
	}
	if err := s.begin(); err != nil {
		return unable, err
	}
	id := jobID(1)
	j := &jobSpec{ID: id, Spec: specOf(id), Steps: []stepSpec{{Count: tasks, CPU: 10, MemMB: 32, EstimateMs: lasts.Milliseconds(), RequiredLabel: "r0"}}}
	together.Store(time.Now().Add(lasts).UnixNano())
	if !s.submit(j) {
		return unable, fmt.Errorf("the job is not accepted")
	}
	for until := time.Now().Add(30 * time.Second); firstEnd.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return unable, fmt.Errorf("no task has ended")
		}
	}
	s.rec.note("the first task has ended; %d are at work", s.fleet.atWork(id))
	if trouble {
		e := s.controller()
		if e == nil {
			return unable, fmt.Errorf("no entry has claimed to be the controller")
		}
		e.kill("it last wrote to the store under a condition")
	}
	status, state := s.awaitState(id, "completed", 60*time.Second)
	s.rec.say("the job: %d %s; %d starts for %d tasks; the longest list of ends that a worker had: %d", status, state, s.fleet.startsOf(id), tasks, s.fleet.longestList())
	time.Sleep(2 * time.Second)
	noted := 0
	mu.Lock()
	for task := range again {
		if s.fleet.takenNoteOf(task) {
			noted++
		}
	}
	s.rec.say("%d tasks were started again after a run of them had ended as done; of %d that end was taken note of", len(again), noted)
	mu.Unlock()
	if noted > 0 {
		return broken, nil
	}
	return held, nil
}

// timetable: a job with a timetable has two steps, one of which needs a rack that is lost for good.
func timetable(s *system, trouble bool) (int, error) {
	const times, interval = 100, 250 * time.Millisecond
	s.fleet.behave = func(string, int64) behaviour { return behaviour{lasts: 300 * time.Millisecond, how: "done"} }
	var mu sync.Mutex
	begun := map[string]bool{}
	var last time.Time
	s.fleet.started = func(_ *worker, task string, _ int64) {
		mu.Lock()
		defer mu.Unlock()
		begun[task] = true
		last = time.Now()
	}
	if err := s.addWorkers(52); err != nil {
		return unable, err
	}
	if err := s.startEntries(); err != nil {
		return unable, err
	}
	id := jobID(1)
	due := time.Now().Add(time.Second)
	j := &jobSpec{
		ID: id, Spec: specOf(id), RepeatCount: times, StartAtMs: due.UnixMilli(), IntervalMs: interval.Milliseconds(),
		Steps: []stepSpec{{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 300, RequiredLabel: "r6"}, {Count: 1, CPU: 500, MemMB: 64, EstimateMs: 300}},
	}
	if !s.submit(j) {
		return unable, fmt.Errorf("the job is not accepted")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, w := range s.fleet.workers[48:] {
			s.rec.note("%s of rack r6 is lost for good", w.id)
			w.crash()
			time.AfterFunc(3*heartbeat, func() { s.store.put("keyed.servers", w.id, nil) })
		}
	}
	// All times are due by now, and have been for long at the end.
	time.Sleep(time.Until(due.Add(times * interval)))
	time.Sleep(finish + 3*time.Second)
	mu.Lock()
	var never []int
	for k := range times {
		if !begun[fmt.Sprintf("%s.%d.1.0", id, k)] {
			never = append(never, k)
		}
	}
	quiet := time.Since(last)
	mu.Unlock()
	status, state := s.state(id)
	s.rec.say("%.0f s after the last time was due: %d %s; of step 1, which any worker can run, %d of %d tasks were never started: %v", time.Since(due.Add(times*interval)).Seconds(), status, state, len(never), times, never)
	s.rec.say("the job has had nothing running for %.0f s; all workers but the lost ones are idle", quiet.Seconds())
	if len(never) > 0 && quiet > 3*time.Second {
		return broken, nil
	}
	return held, nil
}

// farStart: a job is due in the year 9999.
func farStart(s *system, trouble bool) (int, error) {
	due := time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
	if trouble {
		due = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC)
	}
	if err := s.begin(); err != nil {
		return unable, err
	}
	j := smallJob(1, 1, time.Second)
	j.RepeatCount, j.StartAtMs, j.IntervalMs = 1, due.UnixMilli(), 1000
	if !s.submit(j) {
		return unable, fmt.Errorf("the job is not accepted")
	}
	time.Sleep(6 * time.Second)
	starts := s.fleet.startCount()
	s.rec.say("a job that is due at %s: %d starts within 6 s", due.Format(time.RFC3339), starts)
	if starts > 0 {
		return broken, nil
	}
	return held, nil
}

// adoptedRun: after a change of the controller, the worker of a task that lasts drains and leaves.
func adoptedRun(s *system, trouble bool) (int, error) {
	const tasks = 6
	s.fleet.behave = func(string, int64) behaviour { return behaviour{} }
	var mu sync.Mutex
	at := map[string]*worker{}
	ends := map[string]time.Time{}
	longest := time.Duration(0)
	s.fleet.started = func(w *worker, task string, run int64) {
		s.rec.note("%s: begins %s, run %d", w.id, task, run)
		mu.Lock()
		defer mu.Unlock()
		at[task] = w
		if end, ok := ends[task]; ok {
			longest = max(longest, time.Since(end))
			delete(ends, task)
		}
	}
	s.fleet.ended = func(w *worker, task string, run int64, how string) {
		s.rec.note("%s: %s, run %d ends: %s", w.id, task, run, how)
		mu.Lock()
		defer mu.Unlock()
		ends[task] = time.Now()
	}
	if err := s.begin(); err != nil {
		return unable, err
	}
	id := jobID(1)
	j := &jobSpec{ID: id, Spec: specOf(id), Steps: []stepSpec{{Count: tasks, CPU: 500, MemMB: 256, LongRunning: true, Image: "image-1"}}}
	if !s.submit(j) {
		return unable, fmt.Errorf("the job is not accepted")
	}
	time.Sleep(5 * time.Second)
	if n := s.fleet.atWork(id); n != tasks {
		return unable, fmt.Errorf("%d of %d tasks are at work", n, tasks)
	}
	if trouble {
		e := s.controller()
		if e == nil {
			return unable, fmt.Errorf("no entry has claimed to be the controller")
		}
		e.kill("it last wrote to the store under a condition")
	}
	// Long after that, all is calm.
	time.Sleep(20 * time.Second)
	mu.Lock()
	w := at[id+".0.0.0"]
	mu.Unlock()
	w.leave()
	time.Sleep(20 * time.Second)
	s.rec.say("a worker of %d tasks that last has left; the longest time from the end of a run to the next one: %.2f s; %d tasks are at work", tasks, longest.Seconds(), s.fleet.atWork(id))
	// 6 s after its last run, and then 3 s.
	if longest > 9*time.Second || s.fleet.atWork(id) < tasks {
		return broken, nil
	}
	return held, nil
}
