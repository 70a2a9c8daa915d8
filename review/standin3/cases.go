//go:build review3

package main

import (
	"encoding/json"
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

// lastingTasksFail: the tasks of a job that lasts fail again and again for a while, then they run on.
func lastingTasksFail(s *system, trouble bool) (int, error) {
	const tasks = 1500
	const lasting, first = 1, 100
	var failing atomic.Bool
	s.fleet.behave = func(task string, _ int64) behaviour {
		switch {
		case jobOf(task) != jobID(lasting):
			return behaviour{lasts: 8 * time.Second, how: "done"}
		case failing.Load():
			return behaviour{lasts: 20 * time.Millisecond, how: "failed"}
		}
		return behaviour{}
	}
	var failures atomic.Int64
	s.fleet.ended = func(w *worker, task string, run int64, how string) {
		if how == "failed" {
			failures.Add(1)
		}
	}
	failing.Store(trouble)
	if err := s.begin(); err != nil {
		return unable, err
	}
	service := &jobSpec{ID: jobID(lasting), Spec: specOf(jobID(lasting)), Steps: []stepSpec{{Count: tasks, CPU: 100, MemMB: 64, LongRunning: true, Image: "image-1"}}}
	if !s.submit(service) {
		return unable, fmt.Errorf("the job that lasts is not accepted")
	}
	// Requesters hand in a small job each second meanwhile.
	var mu sync.Mutex
	var accepted []string
	stop := make(chan struct{})
	var requesters sync.WaitGroup
	requesters.Go(func() {
		for n := first; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			requesters.Go(func() {
				j := smallJob(n, 2, 8*time.Second)
				if s.submit(j) {
					mu.Lock()
					accepted = append(accepted, j.ID)
					mu.Unlock()
				}
			})
		}
	})
	began := time.Now()
	for i := 0; time.Since(began) < 74*time.Second; i++ {
		time.Sleep(time.Second)
		largest, refused := s.store.sizes('p')
		if i%5 == 0 {
			s.rec.note("%d ends as failed, %d tasks of the lasting job at work, largest record of progress: %d bytes, %d appends refused", failures.Load(), s.fleet.atWork(jobID(lasting)), largest, refused)
		}
		if refused > 0 || !trouble && time.Since(began) > 20*time.Second {
			break
		}
	}
	largest, refused := s.store.sizes('p')
	s.rec.say("%d ends as failed; the largest record of progress has %d bytes; %d appends refused", failures.Load(), largest, refused)
	// From here on nothing fails: the tasks run on once they are started.
	failing.Store(false)
	s.rec.note("no task fails from now on")
	time.Sleep(7 * time.Second) // contact_window_ms and 4 s more
	close(stop)
	requesters.Wait()
	time.Sleep(3 * time.Second)
	away, startsBefore := tasks-s.fleet.atWork(jobID(lasting)), s.fleet.startCount()
	s.rec.say("%d tasks of the lasting job are not at work", away)
	bad := s.askForAll(accepted)
	s.rec.say("%d of %d accepted jobs are not shown as completed", bad, len(accepted))
	stillAway := tasks - s.fleet.atWork(jobID(lasting))
	s.rec.say("%d tasks of the lasting job are not at work at the end; %d starts since then", stillAway, s.fleet.startCount()-startsBefore)
	if bad > 0 {
		return broken, nil
	}
	return held, nil
}

// askForAll asks for jobs for finish_s, and returns how many are not shown as completed then.
func (s *system) askForAll(ids []string) int {
	var bad atomic.Int64
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() {
			status, state := s.awaitState(id, "completed", finish)
			s.rec.note("requester: GET %s: %d %s", id, status, state)
			if state != "completed" {
				bad.Add(1)
			}
		})
	}
	group.Wait()
	return int(bad.Load())
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

// threeCrashes: the worker of a task crashes three times, each time seconds after the task began.
func threeCrashes(s *system, trouble bool) (int, error) {
	var mu sync.Mutex
	at := map[string]*worker{}
	failed := map[string]int{}
	s.fleet.behave = func(task string, _ int64) behaviour {
		if jobOf(task) == jobID(1) {
			return behaviour{lasts: 12 * time.Second, how: "done"}
		}
		return behaviour{lasts: 700 * time.Millisecond, how: "done"}
	}
	s.fleet.started = func(w *worker, task string, run int64) {
		s.rec.note("%s: begins %s, run %d", w.id, task, run)
		mu.Lock()
		at[task] = w
		mu.Unlock()
	}
	s.fleet.ended = func(w *worker, task string, run int64, how string) {
		s.rec.note("%s: %s, run %d ends: %s", w.id, task, run, how)
		mu.Lock()
		if how == "failed" {
			failed[task]++
		}
		mu.Unlock()
	}
	if err := s.begin(); err != nil {
		return unable, err
	}
	j := smallJob(1, 1, 12*time.Second)
	if !s.submit(j) {
		return unable, fmt.Errorf("the job is not accepted")
	}
	task := j.ID + ".0.0.0"
	crashes := 3
	if !trouble {
		crashes = 0
	}
	for range crashes {
		for until := time.Now().Add(20 * time.Second); s.fleet.atWork(j.ID) == 0; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(until) {
				return unable, fmt.Errorf("the task is not started")
			}
		}
		time.Sleep(3500 * time.Millisecond)
		mu.Lock()
		w := at[task]
		mu.Unlock()
		s.rec.note("%s crashes", w.id)
		w.crash()
		time.Sleep(1500 * time.Millisecond)
		if err := w.boot(); err != nil {
			return unable, err
		}
		s.rec.note("%s starts again under its id", w.id)
	}
	status, state := "", ""
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until) && state != "completed" && state != "failed"; time.Sleep(200 * time.Millisecond) {
		code, got := s.state(j.ID)
		status, state = fmt.Sprint(code), got
	}
	s.rec.say("after %d crashes of its worker the job is shown as %q (%s); runs of it that ended as failed: %d, max_attempts 4", crashes, state, status, failed[task])
	if state == "failed" && failed[task] == 0 {
		return broken, nil
	}
	if state != "completed" {
		return unable, fmt.Errorf("the job is neither completed nor failed")
	}
	return held, nil
}

// largeJob: one job of many tasks comes. A process that exceeds memory_mb is killed, and is started again.
func largeJob(s *system, trouble bool) (int, error) {
	steps := 2
	if trouble {
		steps = 46
	}
	s.fleet.behave = func(string, int64) behaviour { return behaviour{lasts: 700 * time.Millisecond, how: "done"} }
	if err := s.begin(); err != nil {
		return unable, err
	}
	go func() {
		for ; ; time.Sleep(20 * time.Millisecond) {
			for _, e := range s.entries {
				if mb := e.residentMB(); mb > 284 {
					e.kill(fmt.Sprintf("%d MB, memory_mb is 284", mb))
				}
			}
		}
	}()
	small := smallJob(2, 2, 700*time.Millisecond)
	if !s.submit(small) {
		return unable, fmt.Errorf("the first small job is not accepted")
	}
	j := &jobSpec{ID: jobID(1), Spec: specOf(jobID(1))}
	for i := range steps {
		step := stepSpec{Count: 20000, CPU: 100, MemMB: 64, EstimateMs: 700}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	body, _ := json.Marshal(j) // it can be encoded
	s.rec.note("the large job has %d steps of 20,000 tasks, its body %d bytes", steps, len(body))
	s.rec.say("the large job is accepted: %v", s.submit(j))
	var accepted []string
	for n := 100; n < 125; n++ {
		time.Sleep(2 * time.Second)
		j := smallJob(n, 2, 700*time.Millisecond)
		if s.submit(j) {
			accepted = append(accepted, j.ID)
		}
	}
	bad := s.askForAll(append(accepted, small.ID))
	s.rec.say("of 25 small jobs handed in after it %d are accepted; %d of the accepted ones are not shown as completed", len(accepted), bad)
	status, state := s.awaitState(j.ID, "completed", 3*time.Second)
	s.rec.say("the large job: %d %q, %d starts of its tasks", status, state, s.fleet.startsOf(j.ID))
	machines := 0
	for _, e := range s.entries {
		e.mu.Lock()
		kills := e.kills
		e.mu.Unlock()
		s.rec.say("%s: killed %d times for its memory", e.name, kills)
		if kills >= 3 {
			machines++
		}
	}
	// The rule: on a tenth of the machines in use, two at least, three times.
	if machines >= 2 {
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
